//! Reference implementation of a call: derives the permitted next actions from everything that has
//! happened to the call.
//!
//! It keeps no state of its own. The costs of servers are left out: any server that the rules
//! permit is right, and `placement.rs` alone tests the choice by cost. Pauses and budgets are read
//! from the serving state, which has its own tests.

use std::collections::{HashMap, HashSet};

use cuminlead_direct_core::servers::{Server, ServerLifecycle};
use cuminlead_direct_core::{
    Action, CacheRef, CallSpec, RefusalReason, RequestKind, ServerKey, ServingState, Stage,
    StepOutcome,
};
use cuminlead_types::{DurationUs, RegionName, TimeUs};

use super::scenario::may_run;

const PREFILL_ATTEMPTS_MAX: usize = 2;
/// Servers that may reject a request before it is refused.
const REJECTIONS_MAX: usize = 3;
/// Time for which a request waits for a slot, in latency targets.
const SLOT_WAIT_TARGETS: u64 = 2;

/// Earlier step of a call.
#[derive(Clone, Debug)]
pub(crate) enum CallEvent {
    /// The call waited for a slot.
    Waited,
    /// A slot was reserved; the flag says whether the server computes the prompt itself.
    Reserved(ServerKey, bool),
    /// No slot was reserved.
    NotReserved(ServerKey, StepOutcome),
    /// The prompt was computed at the given time.
    Prefilled(CacheRef, TimeUs),
    /// The prompt was not computed; the flag says whether the retry budget allowed a retry then.
    PrefillFailed {
        server: ServerKey,
        outcome: StepOutcome,
        is_in_budget: bool,
    },
    /// The KV cache was discarded, because its region has no server left.
    CacheDiscarded,
    /// A run gave no usable response.
    RunFailed {
        server: ServerKey,
        outcome: StepOutcome,
        cache: Option<CacheRef>,
    },
}

/// Action that the rules require, with the servers that they permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Allowed {
    /// Permitted servers, and whether they compute the prompt themselves.
    Reserve(HashMap<ServerKey, bool>),
    Wait,
    Prefill(HashSet<ServerKey>),
    Run {
        servers: HashSet<ServerKey>,
        cache: Option<CacheRef>,
    },
    Deliver,
    Refuse {
        is_not_run: bool,
        reason: RefusalReason,
    },
}

/// Next action that the rules require, and whether the cache is discarded before it.
#[derive(Clone, Debug)]
pub(crate) struct Expected {
    pub(crate) allowed: Allowed,
    pub(crate) discards_cache: bool,
}

impl Expected {
    /// How an action differs from the permitted ones; `None` if it is one of them.
    pub(crate) fn difference(&self, action: &Action) -> Option<String> {
        let is_allowed = match (&self.allowed, action) {
            (
                Allowed::Reserve(servers),
                Action::Reserve {
                    server,
                    computes_prompt,
                    ..
                },
            ) => servers.get(server) == Some(computes_prompt),
            (Allowed::Prefill(servers), Action::Prefill { server, .. }) => servers.contains(server),
            (
                Allowed::Run { servers, cache },
                Action::Run {
                    server,
                    cache: taken,
                    ..
                },
            ) => servers.contains(server) && cache == taken,
            (Allowed::Wait, Action::Wait(_)) | (Allowed::Deliver, Action::ForwardFailure) => true,
            (Allowed::Refuse { is_not_run, reason }, Action::Refuse(refusal)) => {
                refusal.is_not_run == *is_not_run && refusal.reason == *reason
            }
            _ => false,
        };
        (!is_allowed).then(|| format!("expected {:?}, found {action:?}", self.allowed))
    }
}

/// Next action of a call after these events.
pub(crate) fn next(
    now: TimeUs,
    spec: &CallSpec,
    events: &[CallEvent],
    serving: &mut ServingState,
) -> Expected {
    let history = History { spec, events };
    let mut discards_cache = false;
    let allowed = history
        .end()
        .unwrap_or_else(|| history.continue_call(now, serving, &mut discards_cache));
    Expected {
        allowed,
        discards_cache,
    }
}

struct History<'a> {
    spec: &'a CallSpec,
    events: &'a [CallEvent],
}

impl History<'_> {
    /// Final action that an earlier step has led to.
    fn end(&self) -> Option<Allowed> {
        (1..=self.events.len()).find_map(|length| {
            let prefix = History {
                spec: self.spec,
                events: &self.events[..length],
            };
            prefix.end_after_last()
        })
    }

    fn end_after_last(&self) -> Option<Allowed> {
        match self.events.last()? {
            CallEvent::PrefillFailed {
                outcome,
                is_in_budget: false,
                ..
            } if *outcome != StepOutcome::Unreachable => {
                Some(self.refuse_or_deliver(RefusalReason::RetryBudget))
            }
            CallEvent::RunFailed { outcome, .. } => self.end_after_run(*outcome),
            _ => None,
        }
    }

    fn end_after_run(&self, outcome: StepOutcome) -> Option<Allowed> {
        let is_repeatable = match self.spec.kind {
            RequestKind::Idempotent | RequestKind::Stream { resumable: true } => true,
            RequestKind::NonIdempotent | RequestKind::Stream { resumable: false } => {
                !may_run(outcome)
            }
        };
        let has_attempts = self.runs() < self.spec.attempts_max_count as usize;
        let rejected_count = self.count_failed_runs(|outcome| outcome == StepOutcome::Rejected);
        if is_repeatable && has_attempts && rejected_count < REJECTIONS_MAX {
            return None;
        }
        Some(match outcome {
            StepOutcome::Failed => Allowed::Deliver,
            StepOutcome::Rejected => self.refuse(RefusalReason::Rejected),
            StepOutcome::TimedOut => self.refuse(RefusalReason::TimedOut),
            _ => self.refuse(RefusalReason::OutcomeUnknown),
        })
    }

    fn continue_call(
        &self,
        now: TimeUs,
        serving: &mut ServingState,
        discards_cache: &mut bool,
    ) -> Allowed {
        if now >= self.spec.deadline {
            return self.refuse(RefusalReason::TimedOut);
        }
        let mut cache = self.cache(now);
        // A server that has ended has no caches; its successor may use their names for others.
        cache.take_if(|cache| {
            let server = serving.servers.get(cache.server);
            server.is_none_or(|server| server.is_displaced(now))
        });
        let mut region = cache.as_ref().and_then(|cache| cache.region.clone());
        let mut candidates = self.decode_servers(now, serving, region.as_ref());
        let is_region_full = self.full().iter().any(|key| {
            let server = serving.servers.get(*key);
            server.is_some_and(|server| server.region == region)
        });
        if candidates.is_empty() && region.is_some() && !is_region_full {
            *discards_cache = true;
            cache = None;
            region = None;
            candidates = self.decode_servers(now, serving, region.as_ref());
        }
        if candidates.is_empty() {
            return self.next_without_server(now);
        }
        let needs_prompt = cache.is_none() && self.spec.model.is_some();
        let may_prefill = needs_prompt && !*discards_cache && self.may_prefill(now, serving);
        let computes_prompt = |serving: &ServingState, decode: ServerKey| {
            let prefills = self.prefill_servers(now, serving, decode);
            needs_prompt && (!may_prefill || prefills.is_empty())
        };
        if self.spec.model.is_some() {
            let reservation = self.reservation().filter(|(server, agreed)| {
                candidates.contains(server) && (*agreed || !computes_prompt(serving, *server))
            });
            let Some((server, _)) = reservation else {
                let servers = candidates.into_iter();
                let servers = servers.map(|key| (key, computes_prompt(serving, key)));
                return Allowed::Reserve(servers.collect());
            };
            if needs_prompt && !computes_prompt(serving, server) {
                return Allowed::Prefill(self.prefill_servers(now, serving, server));
            }
            candidates = HashSet::from([server]);
        }
        let is_first = self.count_failed_runs(|outcome| outcome != StepOutcome::Unreachable) == 0;
        if !is_first && !serving.budget(&self.spec.service).allows(now) {
            return self.refuse_or_deliver(RefusalReason::RetryBudget);
        }
        Allowed::Run {
            servers: candidates,
            cache,
        }
    }

    /// Next action when no server can be tried: the call waits if one of them is merely full.
    fn next_without_server(&self, now: TimeUs) -> Allowed {
        if self.full().is_empty() {
            let rejected_count = self.count_failed_runs(|outcome| outcome == StepOutcome::Rejected);
            return self.refuse_or_deliver(if rejected_count > 0 {
                RefusalReason::Rejected
            } else {
                RefusalReason::NoServer
            });
        }
        let waited = now.since(self.spec.arrived_at);
        if waited >= DurationUs(self.spec.latency_target.0 * SLOT_WAIT_TARGETS) {
            return self.refuse_or_deliver(RefusalReason::NoSlot);
        }
        Allowed::Wait
    }

    /// Servers that may run the request: the one that was chosen before, as long as it can be used.
    fn decode_servers(
        &self,
        now: TimeUs,
        serving: &ServingState,
        region: Option<&RegionName>,
    ) -> HashSet<ServerKey> {
        let excluded = self.excluded();
        if let Some(key) = self.chosen()
            && !excluded.contains(&key)
            && serving
                .servers
                .get(key)
                .is_some_and(|server| server.accepts_prepared(now) && !server.health.is_paused(now))
        {
            return HashSet::from([key]);
        }
        let full = self.full();
        let stage = self.spec.model.map(|_| Stage::Decode);
        self.usable(now, serving, |key, server| {
            !excluded.contains(&key)
                && !full.contains(&key)
                && (stage.is_none() || server.record.stage == stage)
                && (region.is_none() || server.region.as_ref() == region)
        })
    }

    fn prefill_servers(
        &self,
        now: TimeUs,
        serving: &ServingState,
        decode: ServerKey,
    ) -> HashSet<ServerKey> {
        let region = serving.servers.get(decode);
        let region = region.and_then(|server| server.region.clone());
        let failed: HashSet<ServerKey> = self
            .events
            .iter()
            .filter_map(|events| match events {
                CallEvent::PrefillFailed { server, .. } => Some(*server),
                _ => None,
            })
            .collect();
        self.usable(now, serving, |key, server| {
            server.record.stage == Some(Stage::Prefill)
                && server.region == region
                && !failed.contains(&key)
        })
    }

    /// Ready servers, or fallback servers if no server is ready.
    fn usable(
        &self,
        now: TimeUs,
        serving: &ServingState,
        fits: impl Fn(ServerKey, &Server) -> bool,
    ) -> HashSet<ServerKey> {
        let of_lifecycle = |is_allowed: &dyn Fn(ServerLifecycle) -> bool| -> HashSet<ServerKey> {
            serving
                .servers
                .of_service(&self.spec.service)
                .filter(|(key, server)| fits(*key, server) && is_allowed(server.lifecycle))
                .filter(|(_, server)| !server.health.is_paused(now) && !server.is_displaced(now))
                .map(|(key, _)| key)
                .collect()
        };
        let ready = of_lifecycle(&|lifecycle| lifecycle == ServerLifecycle::Ready);
        if !ready.is_empty() {
            return ready;
        }
        of_lifecycle(&|lifecycle| match lifecycle {
            ServerLifecycle::Removed { until } => now < until,
            ServerLifecycle::Ready | ServerLifecycle::Draining(_) => false,
        })
    }

    /// Server that was chosen last and neither failed nor was full.
    fn chosen(&self) -> Option<ServerKey> {
        self.events
            .iter()
            .fold(None, |chosen, events| match events {
                CallEvent::Reserved(server, _) | CallEvent::RunFailed { server, .. } => {
                    Some(*server)
                }
                CallEvent::Waited | CallEvent::NotReserved(..) => None,
                CallEvent::Prefilled(..)
                | CallEvent::PrefillFailed { .. }
                | CallEvent::CacheDiscarded => chosen,
            })
    }

    /// Server that has reserved a slot, and whether it agreed to compute the prompt.
    fn reservation(&self) -> Option<(ServerKey, bool)> {
        self.events
            .iter()
            .fold(None, |reservation, events| match events {
                CallEvent::Reserved(server, agreed) => Some((*server, *agreed)),
                CallEvent::Waited | CallEvent::NotReserved(..) | CallEvent::RunFailed { .. } => {
                    None
                }
                _ => reservation,
            })
    }

    /// KV cache that is retained and has not expired.
    fn cache(&self, now: TimeUs) -> Option<CacheRef> {
        let computed = self.events.iter().rev().find_map(|events| match events {
            CallEvent::Prefilled(_, at) => Some(*at),
            _ => None,
        })?;
        let ttl = self.spec.model?.cache_ttl;
        if ttl.is_some_and(|ttl| now >= computed + ttl) {
            return None;
        }
        self.events
            .iter()
            .fold(None, |cached, events| match events {
                CallEvent::Prefilled(cache, _) => Some(cache.clone()),
                CallEvent::CacheDiscarded => None,
                CallEvent::RunFailed { outcome, cache, .. } => match outcome {
                    StepOutcome::Unreachable
                    | StepOutcome::Rejected
                    | StepOutcome::OtherIncarnation => cache.clone(),
                    _ => None,
                },
                _ => cached,
            })
    }

    /// Whether a prefill server may still compute the prompt.
    fn may_prefill(&self, now: TimeUs, serving: &mut ServingState) -> bool {
        let has_attempt =
            self.prefill_attempts() == 0 || serving.budget(&self.spec.service).allows(now);
        let is_prefill_over = self.events.iter().any(|events| match events {
            // The prompt of an expired cache is not computed again.
            CallEvent::Prefilled(..) | CallEvent::CacheDiscarded | CallEvent::RunFailed { .. } => {
                true
            }
            CallEvent::PrefillFailed { outcome, .. } => {
                may_run(*outcome) || *outcome == StepOutcome::CacheUnavailable
            }
            _ => false,
        });
        has_attempt && !is_prefill_over && self.prefill_attempts() < PREFILL_ATTEMPTS_MAX
    }

    fn prefill_attempts(&self) -> usize {
        let computed = self.events.iter().filter(|events| {
            matches!(
                events,
                CallEvent::Prefilled(..) | CallEvent::PrefillFailed { .. }
            )
        });
        computed.count()
    }

    /// Servers that have failed the request.
    fn excluded(&self) -> HashSet<ServerKey> {
        let failed = self.events.iter().filter_map(|events| match events {
            CallEvent::NotReserved(server, outcome) => {
                (*outcome != StepOutcome::Rejected).then_some(*server)
            }
            CallEvent::RunFailed {
                server, outcome, ..
            } => (*outcome != StepOutcome::CacheUnavailable).then_some(*server),
            _ => None,
        });
        failed.collect()
    }

    /// Servers without a free slot since the last pause.
    fn full(&self) -> HashSet<ServerKey> {
        let since = self
            .events
            .iter()
            .rposition(|events| matches!(events, CallEvent::Waited))
            .map_or(0, |index| index + 1);
        let full = self.events[since..]
            .iter()
            .filter_map(|events| match events {
                CallEvent::NotReserved(server, StepOutcome::Rejected) => Some(*server),
                _ => None,
            });
        full.collect()
    }

    fn runs(&self) -> usize {
        self.count_failed_runs(may_run)
    }

    fn count_failed_runs(&self, is_counted: impl Fn(StepOutcome) -> bool) -> usize {
        let counted = self.events.iter().filter(
            |events| matches!(events, CallEvent::RunFailed { outcome, .. } if is_counted(*outcome)),
        );
        counted.count()
    }

    fn refuse(&self, reason: RefusalReason) -> Allowed {
        Allowed::Refuse {
            is_not_run: self.runs() == 0,
            reason,
        }
    }

    /// A server's failure response is forwarded instead of a refusal.
    fn refuse_or_deliver(&self, reason: RefusalReason) -> Allowed {
        if self.count_failed_runs(|outcome| outcome == StepOutcome::Failed) > 0 {
            Allowed::Deliver
        } else {
            self.refuse(reason)
        }
    }
}
