//! State of an application call.

use cuminlead_types::TimeUs;

use crate::call::SendRef;

/// What the call waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// `Start` has not come.
    #[default]
    Created,
    /// A server.
    Route,
    /// Time to ask for a server again, because the lists of entry and agent differ.
    RoutePause(TimeUs),
    /// Answer to `IssuePermit`.
    Permit(SendRef),
    /// Time to ask for a permit again, because a call with the same key is running.
    KeyPause(TimeUs),
    /// Answer to `RunCall`.
    Run(SendRef),
    /// Answer to `AskPermit`; an answer to the `RunCall` in question still counts.
    Ask {
        /// The question.
        ask: SendRef,
        /// The call in question.
        run: SendRef,
    },
    /// Time to ask again.
    AskPause {
        /// When to ask.
        at: TimeUs,
        /// The call in question.
        run: SendRef,
        /// Whether the present connection is doubtful.
        fresh: bool,
    },
    /// Nothing; the caller has the ending or is gone.
    Ended,
}

/// What is proven about the `RunCall`s sent so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Proof {
    /// The last `RunCall` may have run.
    pub(super) is_last_open: bool,
    /// An earlier `RunCall` was given up without proof.
    pub(super) is_earlier_open: bool,
    /// A call with the same key may run or may have run.
    pub(super) is_key_open: bool,
}

impl Proof {
    pub(super) fn may_have_run(self) -> bool {
        self.is_last_open || self.is_earlier_open || self.is_key_open
    }
}

/// Limits of the call.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limits {
    /// End of `request_max_us`.
    pub(super) ends_at: TimeUs,
    /// Routes asked for so far.
    pub(super) route_count: u32,
    /// Repeats of the message under way.
    pub(super) repeat_count: u32,
}
