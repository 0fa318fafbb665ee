//! Actions that the distribution asks for.

use std::sync::Arc;

use cuminlead_lists::{CustomerKeys, HostList, Lists};
use cuminlead_types::{DurationUs, Findings, Revision};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::election::Peer;
use crate::event::{
    FollowRef, FollowerRef, PartEncoding, PlatformCallRef, PullRef, Revisions, Update,
};

/// Value that the platform publishes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum PublishedResource {
    /// Plans and allowances at the configuration service.
    Lists,
    /// List of live and leaving hosts.
    Hosts,
}

/// Something that the process must do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Asks the platform for a value newer than `after`, and lets it wait for one.
    WatchService {
        /// The call.
        call: PlatformCallRef,
        /// Value.
        source: PublishedResource,
        /// Revision known.
        after: Revision,
        /// Revision that changes may start from: the one in force, which is earlier than `after`
        /// while a newer one is refused.
        held: Revision,
        /// Longest wait.
        wait: DurationUs,
    },
    /// Asks the platform for a value newer than `after`, to be answered at once.
    QueryService {
        /// The call.
        call: PlatformCallRef,
        /// Value.
        source: PublishedResource,
        /// Revision known.
        after: Revision,
        /// Revision that changes may start from: the one in force, which is earlier than `after`
        /// while a newer one is refused.
        held: Revision,
    },
    /// Drops a call to the platform.
    StopWatching {
        /// The call.
        call: PlatformCallRef,
    },
    /// Opens a stream to follow a peer.
    FollowPeer {
        /// The stream.
        follow: FollowRef,
        /// The peer.
        peer: Peer,
        /// Revisions of this process.
        revisions: Revisions,
    },
    /// Closes a stream.
    StopFollowing {
        /// The stream.
        follow: FollowRef,
    },
    /// Asks a peer for the changes since these revisions.
    PullFromPeer {
        /// The pull.
        pull: PullRef,
        /// The peer.
        peer: Peer,
        /// Revisions that the changes start from.
        since: Revisions,
        /// Form of changed parts.
        form: PartEncoding,
    },
    /// Sends an update or a heartbeat to a follower.
    SendUpdate {
        /// The follower.
        follower: FollowerRef,
        /// What to send.
        update: Arc<Update>,
    },
    /// New lists are in force.
    ApplyLists {
        /// The lists.
        lists: Arc<Lists>,
        /// Their customer keys.
        keys: Arc<CustomerKeys>,
    },
    /// A newer host list is in use.
    ApplyHosts(Arc<HostList>),
    /// A newer snapshot was refused whole; the lists in force stay.
    Refused {
        /// Its revision.
        revision: Revision,
        /// Why.
        findings: Findings,
    },
    /// The lists in force were confirmed as the newest by the platform or by a peer.
    Confirmed {
        /// Time since then, at most.
        age: DurationUs,
    },
    /// The process knows the highest revision that it could learn and may accept work.
    Ready,
}
