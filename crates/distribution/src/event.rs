//! Events that the distribution decides on.

use cuminlead_lists::{Delta, HostDelta, HostList, PartPatch, Snapshot};
use cuminlead_types::{DurationUs, Findings, Revision};

use crate::election::Peer;

/// Call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlatformCallRef(pub u64);

/// Stream on which this process follows a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FollowRef(pub u64);

/// Single question to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PullRef(pub u64);

/// Stream on which a peer follows this process; the process numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FollowerRef(pub u64);

/// Age of the confirmation of a process that was never confirmed.
pub const NEVER_CONFIRMED: DurationUs = DurationUs(u64::MAX);

/// Message of a peer to a follower or in answer to a pull; without changes it is a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Changed parts of the lists, without those that travel as patches.
    pub lists: Delta,
    /// Patches of changed parts.
    pub patches: Vec<PartPatch>,
    /// Changed hosts.
    pub hosts: HostDelta,
    /// Time since the sender's lists were confirmed as the newest.
    pub confirmed_age: DurationUs,
    /// Time since the sender's host list was read as the newest, by the sender or by the reader that
    /// it follows; [`NEVER_CONFIRMED`] while the sender does not rely on it.
    pub hosts_confirmed_age: DurationUs,
}

/// Form in which a process asks for changed parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartEncoding {
    /// As a patch where the asked process has one.
    #[default]
    Patch,
    /// Whole, because a patch did not fit or the process is of a version without patches.
    Full,
}

/// Revisions of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revisions {
    /// Of the lists in force.
    pub lists: Revision,
    /// Of the host list.
    pub hosts: Revision,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The process started.
    Start,
    /// The platform answered a call.
    Answered {
        /// The call.
        call: PlatformCallRef,
        /// The answer.
        answer: Answer,
    },
    /// A call to the platform failed.
    CallFailed {
        /// The call.
        call: PlatformCallRef,
    },
    /// A followed peer sent an update or a heartbeat.
    FollowUpdate {
        /// The stream.
        follow: FollowRef,
        /// What it sent.
        update: Update,
    },
    /// The stream of a followed peer ended or could not be opened.
    FollowLost {
        /// The stream.
        follow: FollowRef,
    },
    /// A peer answered a pull.
    PullReply {
        /// The pull.
        pull: PullRef,
        /// The answer.
        update: Update,
    },
    /// A pull failed.
    PullFailed {
        /// The pull.
        pull: PullRef,
    },
    /// A message or a reply carried revisions; a pull request is such a message too.
    RevisionsSeen {
        /// Revisions of the sender.
        revisions: Revisions,
        /// Sender, when its address is known.
        peer: Option<Peer>,
    },
    /// A peer began to follow this process.
    FollowerJoined {
        /// Its stream.
        follower: FollowerRef,
        /// Its revisions.
        revisions: Revisions,
        /// Form of changed parts that it takes.
        form: PartEncoding,
        /// The peer, when its address is known.
        peer: Option<Peer>,
    },
    /// A peer no longer follows this process.
    FollowerLeft {
        /// Its stream.
        follower: FollowerRef,
    },
    /// Time passed.
    Tick,
}

/// Answer of the platform.
#[derive(Clone, Debug)]
pub enum Answer {
    /// All parts.
    Lists(Snapshot),
    /// Parts changed since the revision that the call named as held.
    ListChanges(Delta),
    /// The host list.
    Hosts(HostList),
    /// Hosts changed since the revision that the call named as held.
    HostChanges(HostDelta),
    /// The host list, or the values of the parts, could not be read.
    Unreadable(Findings),
    /// The value did not change after the revision of the call.
    Unchanged {
        /// Revision that the platform serves.
        revision: Revision,
    },
}
