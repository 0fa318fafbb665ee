//! What became of a step at a server, and what that proves.

use cuminlead_retry::Evidence;
use cuminlead_types::TimeUs;
use strum::{Display, EnumIter, IntoStaticStr};

use crate::servers::ServerKey;
use crate::serving::ServingState;

/// What became of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StepOutcome {
    /// No connection was made, or nothing was sent on it.
    Unreachable,
    /// The server turned the request away and has not run it.
    #[strum(serialize = "turned_away")]
    Rejected,
    /// Another incarnation has the address; the request was not run.
    OtherIncarnation,
    /// The KV cache could not be taken; the request was not run.
    CacheGone,
    /// The server answered that it failed.
    Failed,
    /// The connection ended before the answer was whole.
    Lost,
    /// What came back is not the answer to this request.
    Garbled,
    /// No answer within the attempt's time.
    TimedOut,
}

/// Records what an outcome says of its server.
pub(crate) fn record_outcome(
    now: TimeUs,
    serving: &mut ServingState,
    key: ServerKey,
    outcome: StepOutcome,
) {
    if outcome == StepOutcome::OtherIncarnation {
        serving.servers.forget(key);
        return;
    }
    let Some(server) = serving.servers.get_mut(key) else {
        return;
    };
    match outcome {
        // A server that keeps requests without an answer is left out like one that is gone.
        StepOutcome::Unreachable | StepOutcome::TimedOut => server.health.record_unreachable(now),
        StepOutcome::Rejected | StepOutcome::Failed | StepOutcome::Lost | StepOutcome::Garbled => {
            server.health.record_failure(now)
        }
        StepOutcome::CacheGone | StepOutcome::OtherIncarnation => {}
    }
}

/// Whether the KV cache offered with a run is still there afterwards.
pub(crate) fn leaves_cache(outcome: StepOutcome) -> bool {
    matches!(
        outcome,
        StepOutcome::Unreachable | StepOutcome::Rejected | StepOutcome::OtherIncarnation
    )
}

/// Whether an outcome proves that the server has not run the request and never will.
pub(crate) fn is_proof_of_no_run(outcome: StepOutcome) -> bool {
    match outcome {
        StepOutcome::Unreachable
        | StepOutcome::Rejected
        | StepOutcome::OtherIncarnation
        | StepOutcome::CacheGone => true,
        StepOutcome::Failed | StepOutcome::Lost | StepOutcome::Garbled | StepOutcome::TimedOut => {
            false
        }
    }
}

/// Evidence for the retry table.
pub(crate) fn evidence(outcome: StepOutcome) -> Evidence {
    match outcome {
        StepOutcome::Unreachable => Evidence::ConnectFailed,
        StepOutcome::Rejected | StepOutcome::OtherIncarnation | StepOutcome::CacheGone => {
            Evidence::RefusedNotRun
        }
        StepOutcome::Failed => Evidence::EngineFailed,
        StepOutcome::Lost => Evidence::Silent,
        StepOutcome::Garbled => Evidence::OutcomeUnknown,
        StepOutcome::TimedOut => Evidence::TimedOut,
    }
}
