//! Work of requests at servers, and the work of this process that a server has not completed.

use cuminlead_types::{DurationUs, ServiceName, TimeUs, Tokens};

use crate::server::Stage;

/// Identifies a kind of request whose service times are comparable: a route, or the runs of a
/// service's model calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RouteId(u64);

impl RouteId {
    /// Id of a route, from its name.
    pub fn of(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }

    /// Id of the runs of a service's model calls. It differs from that of a route of the same name.
    pub fn of_runs(service: &ServiceName) -> Self {
        Self(!Self::of(service.as_str()).0)
    }
}

/// What a request is likely to cost, from what is known at its arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Route of a plain request, or service of a model call.
    pub route: RouteId,
    /// Length of the prompt; zero for plain requests.
    pub prompt_tokens: Tokens,
    /// The caller's estimate of the output's length.
    pub output_tokens: Option<Tokens>,
    /// Whether a request that a server fails may be sent to another one.
    pub is_repeatable: bool,
}

impl Demand {
    /// Work of a stage at a server, `None` being the stage of plain requests. A decode server that
    /// computes the prompt has no KV cache to import.
    pub fn work(self, stage: Option<Stage>, computes_prompt: bool) -> Work {
        let route = self.route;
        match stage {
            None => Work::Plain { route },
            Some(Stage::Prefill) => Work::Prefill {
                prompt_tokens: self.prompt_tokens,
            },
            Some(Stage::Decode) => Work::Decode {
                route,
                computed_tokens: if computes_prompt {
                    self.prompt_tokens
                } else {
                    Tokens::ZERO
                },
                output_tokens: self.output_tokens,
            },
        }
    }
}

/// Work of one step at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Request of this process that costs the server next to nothing.
    Command,
    /// Request of a plain service.
    Plain {
        /// Route of the request.
        route: RouteId,
    },
    /// Computation of a prompt.
    Prefill {
        /// Length of the prompt.
        prompt_tokens: Tokens,
    },
    /// Generation of an output.
    Decode {
        /// Kind of the run.
        route: RouteId,
        /// Prompt tokens that the server computes itself.
        computed_tokens: Tokens,
        /// The caller's estimate of the output's length.
        output_tokens: Option<Tokens>,
    },
}

/// Identifies work that was sent to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct WorkId(pub(crate) u64);

/// Work that was sent to a server and has not ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SentWork {
    pub(crate) id: WorkId,
    pub(crate) work: Work,
    pub(crate) sent_at: TimeUs,
    /// Expected time in ms without the network and without waiting, as estimated when it was sent.
    pub(crate) expected_ms: f64,
    pub(crate) round_trip_ms: f64,
    /// Whether this process alone had occupied all slots of the server before.
    pub(crate) is_behind_own: bool,
    pub(crate) service: ServiceName,
}

/// Work of this process that a server has not completed.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct WorkInProgress {
    sent: Vec<SentWork>,
    /// When the server last completed a prefill of this process.
    prefilled_at: TimeUs,
}

impl WorkInProgress {
    pub(crate) fn begin(&mut self, sent: SentWork) {
        self.sent.push(sent);
    }

    pub(crate) fn count(&self) -> usize {
        self.sent.len()
    }

    /// Removes work that has ended.
    pub(crate) fn end(&mut self, id: WorkId) -> Option<SentWork> {
        let index = self.sent.iter().position(|sent| sent.id == id)?;
        Some(self.sent.remove(index))
    }

    /// Time in ms that the server spent on a prefill that it has now completed.
    ///
    /// Prompts of this process before it are not counted: its time begins when the last of them was
    /// complete. If the engine computes several prompts at a time, the first to be complete gets the
    /// time of all and the others little, so only sums over several prompts are meaningful.
    pub(crate) fn complete_prefill(&mut self, now: TimeUs, sent: &SentWork) -> f64 {
        let is_alone = self.prefilled_at <= sent.sent_at;
        let since = self.prefilled_at.max(sent.sent_at);
        self.prefilled_at = now;
        let network_ms = if is_alone { sent.round_trip_ms } else { 0.0 };
        (as_ms(now.since(since)) - network_ms).max(0.0)
    }

    /// Time in ms until the prefills are complete, one after the other. If the first one takes longer
    /// than expected, as much time as it is overdue is assumed to remain.
    pub(crate) fn prefill_ms(&self, now: TimeUs) -> f64 {
        let prefills = self
            .sent
            .iter()
            .filter(|sent| matches!(sent.work, Work::Prefill { .. }));
        let mut total_ms = 0.0;
        let mut first: Option<(TimeUs, f64)> = None;
        for sent in prefills {
            total_ms += sent.expected_ms;
            let begun_at = self.prefilled_at.max(sent.sent_at);
            first.get_or_insert((begun_at, sent.expected_ms + sent.round_trip_ms));
        }
        let Some((begun_at, first_ms)) = first else {
            return 0.0;
        };
        let elapsed_ms = as_ms(now.since(begun_at));
        if elapsed_ms <= first_ms {
            (total_ms - elapsed_ms).max(0.0)
        } else {
            total_ms - first_ms.min(total_ms) + (elapsed_ms - first_ms)
        }
    }

    /// Sum of the time in ms that requests of plain services, or computations of prompts by a decode
    /// server, are expected to take still; a request counts the time by which it is overdue.
    pub(crate) fn remaining_ms(&self, now: TimeUs) -> f64 {
        let remaining = |sent: &SentWork| match sent.work {
            Work::Plain { .. } => {
                let elapsed_ms = as_ms(now.since(sent.sent_at)) - sent.round_trip_ms;
                (sent.expected_ms - elapsed_ms).abs()
            }
            Work::Decode {
                computed_tokens, ..
            } if computed_tokens > Tokens::ZERO => {
                (sent.expected_ms - as_ms(now.since(sent.sent_at))).max(0.0)
            }
            Work::Command | Work::Prefill { .. } | Work::Decode { .. } => 0.0,
        };
        self.sent.iter().map(remaining).sum()
    }

    /// Outputs that are being generated: estimated lengths, in order of arrival.
    pub(crate) fn outputs(&self) -> impl Iterator<Item = Option<Tokens>> {
        self.sent.iter().filter_map(|sent| match sent.work {
            Work::Decode { output_tokens, .. } => Some(output_tokens),
            _ => None,
        })
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "durations are far below 2^52 us"
)]
pub(crate) fn as_ms(duration: DurationUs) -> f64 {
    duration.0 as f64 / 1_000.0
}
