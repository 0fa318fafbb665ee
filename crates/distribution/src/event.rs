//! Events that [`Distribution`](crate::Distribution) handles.

use cuminlead_lists::{Delta, HostDelta, HostList, PartPatch, Snapshot};
use cuminlead_types::{DurationUs, Findings, Revision};

use crate::election::Peer;

/// Number of a call to the platform, assigned by the distribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlatformCallRef(pub u64);

/// Number of a stream on which this process follows a peer, assigned by the distribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FollowRef(pub u64);

/// Number of a single query to a peer, assigned by the distribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PullRef(pub u64);

/// Number of a stream on which a peer follows this process, assigned by the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FollowerRef(pub u64);

/// Confirmation age that stands for the absence of any confirmation.
pub const NEVER_CONFIRMED: DurationUs = DurationUs(u64::MAX);

/// Message of a peer to a follower or in reply to a pull. Without changes it is a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Changed parts of the lists, except those sent as patches.
    pub lists: Delta,
    /// Changed parts that are sent as patches.
    pub patches: Vec<PartPatch>,
    /// Changed hosts.
    pub hosts: HostDelta,
    /// Time since the sender's lists were confirmed as the newest.
    pub confirmed_age: DurationUs,
    /// Time since the sender's host list was read as the newest, by the sender or by the reader
    /// that it follows. [`NEVER_CONFIRMED`] if the sender has no valid confirmation of it.
    pub hosts_confirmed_age: DurationUs,
}

/// Encoding of changed parts that a process accepts in an update.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartEncoding {
    /// As a patch if the sender has one, otherwise in full.
    #[default]
    Patch,
    /// In full, because a patch did not match the local part or the process runs a version without
    /// patches.
    Full,
}

/// Revisions of the two resources at one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revisions {
    /// Revision of the active lists; zero if there are none.
    pub lists: Revision,
    /// Revision of the host list; zero if there is none.
    pub hosts: Revision,
}

/// Input of [`Distribution::handle`](crate::Distribution::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// The process started; handled once.
    Start,
    /// The platform responded to a call.
    PlatformResponded {
        /// Call that ended.
        call: PlatformCallRef,
        /// Content of the response.
        answer: PlatformResponse,
    },
    /// A call to the platform failed without a usable response.
    CallFailed {
        /// Call that ended.
        call: PlatformCallRef,
    },
    /// A followed peer sent an update or a heartbeat.
    FollowUpdate {
        /// Stream on which it arrived.
        follow: FollowRef,
        /// Message of the peer.
        update: Update,
    },
    /// The stream to a followed peer ended or could not be opened.
    FollowStreamClosed {
        /// Stream that ended.
        follow: FollowRef,
    },
    /// A peer replied to a pull.
    PullReply {
        /// Pull that ended.
        pull: PullRef,
        /// Reply of the peer.
        update: Update,
    },
    /// A pull failed without a reply.
    PullFailed {
        /// Pull that ended.
        pull: PullRef,
    },
    /// Any request, reply or pull request from another process carried its revisions.
    RevisionsSeen {
        /// Active revisions of the sender.
        revisions: Revisions,
        /// Sender; absent if its address is unknown.
        peer: Option<Peer>,
    },
    /// A peer began to follow this process.
    FollowerJoined {
        /// Stream of the follower.
        follower: FollowerRef,
        /// Active revisions of the follower.
        revisions: Revisions,
        /// Encoding of changed parts that the follower accepts.
        encoding: PartEncoding,
        /// Follower as a peer; absent if its address is unknown.
        peer: Option<Peer>,
    },
    /// A peer no longer follows this process.
    FollowerLeft {
        /// Stream of the follower.
        follower: FollowerRef,
    },
    /// Time has passed; due at [`Distribution::next_deadline`](crate::Distribution::next_deadline).
    Tick,
}

/// Content of a response from the platform.
#[derive(Clone, Debug)]
pub enum PlatformResponse {
    /// All parts of the lists.
    Lists(Snapshot),
    /// Parts changed since the revision named by `active_revision` in the call.
    ListChanges(Delta),
    /// The full host list.
    Hosts(HostList),
    /// Hosts changed since the revision named by `active_revision` in the call.
    HostChanges(HostDelta),
    /// The host list or the parts in the response could not be parsed; counts as a failed call.
    Unreadable(Findings),
    /// There is no revision newer than `after` in the call.
    Unchanged {
        /// Revision that the platform serves; earlier than `after` at a stale replica.
        revision: Revision,
    },
}
