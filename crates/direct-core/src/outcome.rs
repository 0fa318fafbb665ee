//! Outcomes of a step at a server, and whether they prove that the request was not run.

use cuminlead_retry::Evidence;
use cuminlead_types::TimeUs;
use strum::{Display, EnumIter, IntoStaticStr};

use crate::servers::ServerKey;
use crate::serving::Serving;

/// What became of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// No connection was made, or nothing was sent on it.
    Unreachable,
    /// The server turned the request away and has not run it.
    TurnedAway,
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
pub(crate) fn record_outcome(now: TimeUs, serving: &mut Serving, key: ServerKey, outcome: Outcome) {
    if outcome == Outcome::OtherIncarnation {
        serving.servers.forget(key);
        return;
    }
    let Some(server) = serving.servers.get_mut(key) else {
        return;
    };
    match outcome {
        // A server that keeps requests without an answer is left out like one that is gone.
        Outcome::Unreachable | Outcome::TimedOut => server.health.record_unreachable(now),
        Outcome::TurnedAway | Outcome::Failed | Outcome::Lost | Outcome::Garbled => {
            server.health.record_failure(now)
        }
        Outcome::CacheGone | Outcome::OtherIncarnation => {}
    }
}

/// Whether the KV cache offered with a run is still there afterwards.
pub(crate) fn leaves_cache(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Unreachable | Outcome::TurnedAway | Outcome::OtherIncarnation
    )
}

/// Whether an outcome proves that the server has not run the request and never will.
pub(crate) fn is_proof_of_no_run(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Unreachable
        | Outcome::TurnedAway
        | Outcome::OtherIncarnation
        | Outcome::CacheGone => true,
        Outcome::Failed | Outcome::Lost | Outcome::Garbled | Outcome::TimedOut => false,
    }
}

/// Evidence for the retry table.
pub(crate) fn evidence(outcome: Outcome) -> Evidence {
    match outcome {
        Outcome::Unreachable => Evidence::ConnectFailed,
        Outcome::TurnedAway | Outcome::OtherIncarnation | Outcome::CacheGone => {
            Evidence::RefusedNotRun
        }
        Outcome::Failed => Evidence::EngineFailed,
        Outcome::Lost => Evidence::Silent,
        Outcome::Garbled => Evidence::OutcomeUnknown,
        Outcome::TimedOut => Evidence::TimedOut,
    }
}
