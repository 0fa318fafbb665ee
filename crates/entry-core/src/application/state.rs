//! State of an application call.

use cuminlead_types::TimeUs;

use crate::call::SendRef;

/// What the call waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// The `Start` event.
    #[default]
    Created,
    /// Choice of a server.
    Route,
    /// Time of the next route request; the lists of the entry process and the agent differ.
    RoutePause(TimeUs),
    /// Reply to `IssuePermit`.
    Permit(SendRef),
    /// Time of the next permit request; a call with the same key is running.
    KeyPause(TimeUs),
    /// Reply to `RunCall`.
    Run(SendRef),
    /// Reply to `QueryPermit`. A reply to the queried `RunCall` still counts.
    Query {
        query: SendRef,
        /// The queried `RunCall`.
        run: SendRef,
    },
    /// Time of the next `QueryPermit`.
    QueryPause {
        at: TimeUs,
        /// The queried `RunCall`.
        run: SendRef,
        /// Whether `QueryPermit` needs a new connection.
        use_new_connection: bool,
    },
    /// Nothing: the caller has its final result or disconnected.
    Ended,
}

/// Calls that may have run, because no evidence proves that they did not.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnresolvedRuns {
    /// The last `RunCall` may have run.
    pub(super) last: bool,
    /// An earlier `RunCall` was abandoned without proof that it did not run.
    pub(super) earlier: bool,
    /// A call with the same key is running or may have run.
    pub(super) same_key: bool,
}

impl UnresolvedRuns {
    pub(super) fn may_have_run(self) -> bool {
        self.last || self.earlier || self.same_key
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limits {
    /// Deadline of the request, from `request_max_us`.
    pub(super) deadline: TimeUs,
    /// Route requests so far.
    pub(super) route_count: u32,
    /// Repeats of the message that the call waits for.
    pub(super) message_repeat_count: u32,
}
