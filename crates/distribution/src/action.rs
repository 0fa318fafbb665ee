//! Actions that [`Distribution`](crate::Distribution) requests from the process.

use std::sync::Arc;

use cuminlead_lists::{CustomerKeys, HostList, Lists};
use cuminlead_types::{DurationUs, Findings, Revision};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::election::Peer;
use crate::event::{
    FollowRef, FollowerRef, PartEncoding, PlatformCallRef, PullRef, Revisions, Update,
};

/// Resource that the platform publishes, with its own sequence of revisions.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum PublishedResource {
    /// Plans and allowances, from the configuration service.
    Lists,
    /// List of live and leaving hosts; it can be read but not watched.
    Hosts,
}

/// Action for the process to carry out; results come back as an [`Event`](crate::Event).
#[derive(Clone, Debug)]
pub enum Action {
    /// Queries the platform for a revision newer than `after`; the platform may delay its response
    /// until there is one.
    WatchPlatform {
        /// Identifies the call in the event that ends it.
        call: PlatformCallRef,
        /// Resource to query.
        resource: PublishedResource,
        /// Newest revision that this process has received, including a refused one.
        after: Revision,
        /// Active revision, from which the response may be a delta. It is earlier than `after`
        /// while a newer revision is refused.
        active_revision: Revision,
        /// Longest time for which the platform may delay its response.
        wait: DurationUs,
    },
    /// Queries the platform for a revision newer than `after`; the platform responds immediately.
    QueryPlatform {
        /// Identifies the call in the event that ends it.
        call: PlatformCallRef,
        /// Resource to query.
        resource: PublishedResource,
        /// Newest revision that this process has received, including a refused one.
        after: Revision,
        /// Active revision, from which the response may be a delta. It is earlier than `after`
        /// while a newer revision is refused.
        active_revision: Revision,
    },
    /// Abandons a call to the platform; a response that still arrives is ignored.
    StopPlatformCall {
        /// Call to abandon, a watch or a single query.
        call: PlatformCallRef,
    },
    /// Opens a stream on which this process follows a peer.
    FollowPeer {
        /// Identifies the stream in later events.
        follow: FollowRef,
        /// Peer to follow.
        peer: Peer,
        /// Active revisions of this process, from which the peer's first update starts.
        revisions: Revisions,
    },
    /// Closes a stream on which this process follows a peer.
    StopFollowing {
        /// Stream to close.
        follow: FollowRef,
    },
    /// Queries a peer once for the changes since the given revisions.
    PullFromPeer {
        /// Identifies the pull in the event that ends it.
        pull: PullRef,
        /// Peer to query.
        peer: Peer,
        /// Active revisions of this process, from which the changes start. The peer learns them
        /// too, and pulls if it is behind.
        since: Revisions,
        /// Encoding of changed parts that this process accepts.
        encoding: PartEncoding,
    },
    /// Sends an update, or a heartbeat if nothing changed, to a follower.
    SendUpdate {
        /// Stream to send on.
        follower: FollowerRef,
        /// Message, shared by all followers at the same revisions and encoding.
        update: Arc<Update>,
    },
    /// A newer revision of the lists is active.
    ApplyLists {
        /// Validated plans and allowances.
        lists: Arc<Lists>,
        /// Look-up of customers by the keys in these lists.
        keys: Arc<CustomerKeys>,
    },
    /// A newer host list is active.
    ApplyHosts(Arc<HostList>),
    /// A newer snapshot is invalid and was refused in full; the active lists do not change.
    Refused {
        /// Revision of the refused snapshot; zero if the response was unreadable and carried none.
        revision: Revision,
        /// Reasons for the refusal.
        findings: Findings,
    },
    /// The platform or a peer confirmed the active lists as the newest.
    Confirmed {
        /// Upper bound on the time since the lists were confirmed.
        age: DurationUs,
    },
    /// The process has the highest revision that the platform and the queried peers reported, and
    /// may accept requests. Sent once.
    Ready,
}
