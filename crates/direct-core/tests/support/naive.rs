//! Naive version of a call: works out what may follow from everything that happened so far.
//!
//! It keeps no state of its own. Costs of servers are left out: any server that the rules allow is
//! right, so the placement is compared in `placement.rs` only. Pauses and budgets are read from the
//! context, which has tests of its own.

use std::collections::{HashMap, HashSet};

use cuminlead_direct_core::servers::{Server, ServerLifecycle};
use cuminlead_direct_core::{
    Action, CacheRef, CallSpec, RefusalReason, RequestKind, ServerKey, ServingState, Stage,
    StepOutcome,
};
use cuminlead_types::{DurationUs, RegionName, TimeUs};

use super::play::may_run;

/// Prefills that one request may have.
const PREFILLS_MAX: usize = 2;
/// Servers that may turn a request away before it is refused.
const REFUSALS_MAX: usize = 3;
/// Goals for which a request without a place waits.
const WAIT_GOALS: u64 = 2;

/// What happened to a call.
#[derive(Clone, Debug)]
pub(crate) enum Past {
    /// It waited for a place.
    Waited,
    /// A place was held, and whether the server computes the prompt itself.
    Held(ServerKey, bool),
    /// No place was held.
    NotHeld(ServerKey, StepOutcome),
    /// Its prompt was computed, at a time.
    Computed(CacheRef, TimeUs),
    /// Its prompt was not computed, with whether a repeat was left in the budget then.
    NotComputed {
        server: ServerKey,
        outcome: StepOutcome,
        is_in_budget: bool,
    },
    /// Its cache was given up, because its region has no server left.
    CacheGivenUp,
    /// A run gave no usable answer.
    NotAnswered {
        server: ServerKey,
        outcome: StepOutcome,
        cache: Option<CacheRef>,
    },
}

/// Action that the rules call for, with the servers that they allow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Allowed {
    /// Servers that may be asked, and whether they compute the prompt themselves.
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

/// What the rules call for.
#[derive(Clone, Debug)]
pub(crate) struct Expected {
    pub(crate) allowed: Allowed,
    pub(crate) gives_up_cache: bool,
}

impl Expected {
    /// How an action differs from what is allowed.
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
            (Allowed::Wait, Action::Wait(_)) | (Allowed::Deliver, Action::Deliver) => true,
            (Allowed::Refuse { is_not_run, reason }, Action::Refuse(refusal)) => {
                refusal.is_not_run == *is_not_run && refusal.reason == *reason
            }
            _ => false,
        };
        (!is_allowed).then(|| format!("expected {:?}, found {action:?}", self.allowed))
    }
}

/// Next action of a call with this past.
pub(crate) fn next(
    now: TimeUs,
    spec: &CallSpec,
    past: &[Past],
    serving: &mut ServingState,
) -> Expected {
    let history = History { spec, past };
    let mut gives_up_cache = false;
    let allowed = history
        .end()
        .unwrap_or_else(|| history.go_on(now, serving, &mut gives_up_cache));
    Expected {
        allowed,
        gives_up_cache,
    }
}

struct History<'a> {
    spec: &'a CallSpec,
    past: &'a [Past],
}

impl History<'_> {
    /// End that an earlier step has led to.
    fn end(&self) -> Option<Allowed> {
        (1..=self.past.len()).find_map(|length| {
            let until = History {
                spec: self.spec,
                past: &self.past[..length],
            };
            until.end_after_last()
        })
    }

    fn end_after_last(&self) -> Option<Allowed> {
        match self.past.last()? {
            Past::NotComputed {
                outcome,
                is_in_budget: false,
                ..
            } if *outcome != StepOutcome::Unreachable => {
                Some(self.give_up(RefusalReason::RetryBudget))
            }
            Past::NotAnswered { outcome, .. } => self.end_after_run(*outcome),
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
        let turned_away = self.count_failed_runs(|outcome| outcome == StepOutcome::Rejected);
        if is_repeatable && has_attempts && turned_away < REFUSALS_MAX {
            return None;
        }
        Some(match outcome {
            StepOutcome::Failed => Allowed::Deliver,
            StepOutcome::Rejected => self.refuse(RefusalReason::Rejected),
            StepOutcome::TimedOut => self.refuse(RefusalReason::TimedOut),
            _ => self.refuse(RefusalReason::OutcomeUnknown),
        })
    }

    fn go_on(&self, now: TimeUs, serving: &mut ServingState, gives_up_cache: &mut bool) -> Allowed {
        if now >= self.spec.deadline {
            return self.refuse(RefusalReason::TimedOut);
        }
        let mut cache = self.cache(now);
        let mut region = cache.as_ref().and_then(|cache| cache.region.clone());
        let mut decodes = self.decode_servers(now, serving, region.as_ref());
        let waits_for_region = self.full().iter().any(|key| {
            let server = serving.servers.get(*key);
            server.is_some_and(|server| server.region == region)
        });
        if decodes.is_empty() && region.is_some() && !waits_for_region {
            *gives_up_cache = true;
            cache = None;
            region = None;
            decodes = self.decode_servers(now, serving, region.as_ref());
        }
        if decodes.is_empty() {
            return self.without_server(now);
        }
        let needs_prompt = cache.is_none() && self.spec.model.is_some();
        let may_compute = needs_prompt && !*gives_up_cache && self.may_compute(now, serving);
        let computes_prompt = |serving: &ServingState, decode: ServerKey| {
            let prefills = self.prefill_servers(now, serving, decode);
            needs_prompt && (!may_compute || prefills.is_empty())
        };
        if self.spec.model.is_some() {
            let held = self.held().filter(|(server, agreed)| {
                decodes.contains(server) && (*agreed || !computes_prompt(serving, *server))
            });
            let Some((server, _)) = held else {
                let servers = decodes.into_iter();
                let servers = servers.map(|key| (key, computes_prompt(serving, key)));
                return Allowed::Reserve(servers.collect());
            };
            if needs_prompt && !computes_prompt(serving, server) {
                return Allowed::Prefill(self.prefill_servers(now, serving, server));
            }
            decodes = HashSet::from([server]);
        }
        let is_first = self.count_failed_runs(|outcome| outcome != StepOutcome::Unreachable) == 0;
        if !is_first && !serving.budget(&self.spec.service).allows(now) {
            return self.give_up(RefusalReason::RetryBudget);
        }
        Allowed::Run {
            servers: decodes,
            cache,
        }
    }

    /// No server can be asked: the call waits if one of them is merely full.
    fn without_server(&self, now: TimeUs) -> Allowed {
        if self.full().is_empty() {
            let turned_away = self.count_failed_runs(|outcome| outcome == StepOutcome::Rejected);
            return self.give_up(if turned_away > 0 {
                RefusalReason::Rejected
            } else {
                RefusalReason::NoServer
            });
        }
        let waited = now.since(self.spec.arrived_at);
        if waited >= DurationUs(self.spec.latency_target.0 * WAIT_GOALS) {
            return self.give_up(RefusalReason::NoSlot);
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
                .is_some_and(|server| server.takes_prepared(now) && !server.health.is_paused(now))
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
            .past
            .iter()
            .filter_map(|past| match past {
                Past::NotComputed { server, .. } => Some(*server),
                _ => None,
            })
            .collect();
        self.usable(now, serving, |key, server| {
            server.record.stage == Some(Stage::Prefill)
                && server.region == region
                && !failed.contains(&key)
        })
    }

    /// Ready servers, or those whose entry has just gone if there are none.
    fn usable(
        &self,
        now: TimeUs,
        serving: &ServingState,
        fits: impl Fn(ServerKey, &Server) -> bool,
    ) -> HashSet<ServerKey> {
        let of_standing = |is_allowed: &dyn Fn(ServerLifecycle) -> bool| -> HashSet<ServerKey> {
            serving
                .servers
                .of_service(&self.spec.service)
                .filter(|(key, server)| fits(*key, server) && is_allowed(server.lifecycle))
                .filter(|(_, server)| !server.health.is_paused(now))
                .map(|(key, _)| key)
                .collect()
        };
        let ready = of_standing(&|lifecycle| lifecycle == ServerLifecycle::Ready);
        if !ready.is_empty() {
            return ready;
        }
        of_standing(&|lifecycle| match lifecycle {
            ServerLifecycle::Removed { until } => now < until,
            ServerLifecycle::Ready | ServerLifecycle::Leaving(_) => false,
        })
    }

    /// Server that was chosen last and neither failed nor was full.
    fn chosen(&self) -> Option<ServerKey> {
        self.past.iter().fold(None, |chosen, past| match past {
            Past::Held(server, _) | Past::NotAnswered { server, .. } => Some(*server),
            Past::Waited | Past::NotHeld(..) => None,
            Past::Computed(..) | Past::NotComputed { .. } | Past::CacheGivenUp => chosen,
        })
    }

    /// Server at which a place is held, and whether it agreed to compute the prompt.
    fn held(&self) -> Option<(ServerKey, bool)> {
        self.past.iter().fold(None, |held, past| match past {
            Past::Held(server, agreed) => Some((*server, *agreed)),
            Past::Waited | Past::NotHeld(..) | Past::NotAnswered { .. } => None,
            _ => held,
        })
    }

    /// Cache that waits and whose life is not over.
    fn cache(&self, now: TimeUs) -> Option<CacheRef> {
        let computed = self.past.iter().rev().find_map(|past| match past {
            Past::Computed(_, at) => Some(*at),
            _ => None,
        })?;
        let life = self.spec.model?.cache_ttl;
        if life.is_some_and(|life| now >= computed + life) {
            return None;
        }
        self.past.iter().fold(None, |cached, past| match past {
            Past::Computed(cache, _) => Some(cache.clone()),
            Past::CacheGivenUp => None,
            Past::NotAnswered { outcome, cache, .. } => match outcome {
                StepOutcome::Unreachable
                | StepOutcome::Rejected
                | StepOutcome::OtherIncarnation => cache.clone(),
                _ => None,
            },
            _ => cached,
        })
    }

    /// Whether a prefill server may still compute the prompt.
    fn may_compute(&self, now: TimeUs, serving: &mut ServingState) -> bool {
        let has_attempt =
            self.computations() == 0 || serving.budget(&self.spec.service).allows(now);
        let is_given_up = self.past.iter().any(|past| match past {
            // A cache that has lapsed is not computed again.
            Past::Computed(..) | Past::CacheGivenUp | Past::NotAnswered { .. } => true,
            Past::NotComputed { outcome, .. } => {
                may_run(*outcome) || *outcome == StepOutcome::CacheGone
            }
            _ => false,
        });
        has_attempt && !is_given_up && self.computations() < PREFILLS_MAX
    }

    fn computations(&self) -> usize {
        let computed = self
            .past
            .iter()
            .filter(|past| matches!(past, Past::Computed(..) | Past::NotComputed { .. }));
        computed.count()
    }

    /// Servers that have failed the request.
    fn excluded(&self) -> HashSet<ServerKey> {
        let failed = self.past.iter().filter_map(|past| match past {
            Past::NotHeld(server, outcome) => {
                (*outcome != StepOutcome::Rejected).then_some(*server)
            }
            Past::NotAnswered {
                server, outcome, ..
            } => (*outcome != StepOutcome::CacheGone).then_some(*server),
            _ => None,
        });
        failed.collect()
    }

    /// Servers without room since the last pause.
    fn full(&self) -> HashSet<ServerKey> {
        let since = self
            .past
            .iter()
            .rposition(|past| matches!(past, Past::Waited))
            .map_or(0, |index| index + 1);
        let full = self.past[since..].iter().filter_map(|past| match past {
            Past::NotHeld(server, StepOutcome::Rejected) => Some(*server),
            _ => None,
        });
        full.collect()
    }

    fn runs(&self) -> usize {
        self.count_failed_runs(may_run)
    }

    fn count_failed_runs(&self, is_counted: impl Fn(StepOutcome) -> bool) -> usize {
        let counted = self.past.iter().filter(
            |past| matches!(past, Past::NotAnswered { outcome, .. } if is_counted(*outcome)),
        );
        counted.count()
    }

    fn refuse(&self, reason: RefusalReason) -> Allowed {
        Allowed::Refuse {
            is_not_run: self.runs() == 0,
            reason,
        }
    }

    /// A failure that a server answered is passed on in place of a refusal.
    fn give_up(&self, reason: RefusalReason) -> Allowed {
        if self.count_failed_runs(|outcome| outcome == StepOutcome::Failed) > 0 {
            Allowed::Deliver
        } else {
            self.refuse(reason)
        }
    }
}
