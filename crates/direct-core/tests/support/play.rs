//! Plays one request against a fleet and records what callers and servers saw.
//!
//! The record is checked by the verifier, which knows nothing of the state of the call, and every
//! action is compared with the naive version of `naive.rs`.

use cuminlead_direct_core::{
    Action, CacheRef, Call, CallSpec, RegistryUpdate, RequestKind, Reservation, ServerKey,
    ServerState, ServingState, Stage, StepOutcome,
};
use cuminlead_types::{BackendServerId, DurationUs, Findings, HostId, RequestId, TimeUs};
use cuminlead_verifier::observation::CacheName;
use cuminlead_verifier::{
    Bounds, Observation, Optional, Record, RequestKind as ObservedKind, RequestOutcome, verify,
};

use super::naive::{self, Past};
use super::{model_spec, ms, plain_spec};

/// Time that each step takes.
const STEP_TIME: DurationUs = DurationUs::from_ms(20);
/// Time after its deadline within which a call must have ended: its longest pause and one step.
const END_MARGIN: DurationUs = DurationUs::from_ms(300);
/// Request of every play.
const REQUEST: RequestId = RequestId(1);

pub(crate) const KINDS: [RequestKind; 4] = [
    RequestKind::Idempotent,
    RequestKind::NonIdempotent,
    RequestKind::Stream { resumable: false },
    RequestKind::Stream { resumable: true },
];

pub(crate) const OUTCOMES: [StepOutcome; 8] = [
    StepOutcome::Unreachable,
    StepOutcome::Rejected,
    StepOutcome::OtherIncarnation,
    StepOutcome::CacheGone,
    StepOutcome::Failed,
    StepOutcome::Lost,
    StepOutcome::Garbled,
    StepOutcome::TimedOut,
];

/// Change of the fleet that other requests or the registry bring about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disturbance {
    /// Another request could not reach the server.
    Unreachable,
    /// Another request found that the server's address is another's now.
    Forgotten,
    /// The registry says that the server leaves.
    Leaving,
    /// The registry has no entry of the server any more.
    Removed,
    /// The engine has changed to the other stage.
    OtherStage,
}

pub(crate) const DISTURBANCES: [Disturbance; 5] = [
    Disturbance::Unreachable,
    Disturbance::Forgotten,
    Disturbance::Leaving,
    Disturbance::Removed,
    Disturbance::OtherStage,
];

/// Decides what happens next.
pub(crate) trait Chooser {
    /// One of a number of possibilities; 0 is what happens without faults.
    fn choose(&mut self, count: usize) -> usize;

    /// What happens to which server before the step, given the number of servers.
    fn disturb(&mut self, _step: usize, _servers_count: usize) -> Option<(usize, Disturbance)> {
        None
    }
}

/// Guard that a test removes, to show that its check notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Removed {
    /// All guards are in place.
    None,
    /// A lost run is taken for one that never reached a server.
    ProofOfNoRun,
    /// Refusals promise that the request has not run, whatever happened.
    TruthOfRefusals,
    /// The bound by the route's attempts.
    AttemptsBound,
    /// A refused place is taken for a held one.
    Reservation,
    /// A cache that is gone is taken for one that waits.
    CacheState,
}

/// Input of a play.
pub(crate) struct Play {
    pub(crate) serving: ServingState,
    pub(crate) kind: RequestKind,
    pub(crate) attempts_max_count: u32,
    pub(crate) removed: Removed,
}

/// What a play shows.
#[derive(Debug)]
pub(crate) struct Played {
    /// Broken promises.
    pub(crate) findings: Findings,
    /// First difference from the naive version.
    pub(crate) difference: Option<String>,
    pub(crate) record: Record,
}

struct Player {
    now: TimeUs,
    serving: ServingState,
    call: Call,
    spec: CallSpec,
    removed: Removed,
    record: Record,
    past: Vec<Past>,
    difference: Option<String>,
}

/// Whether a server may have run a request after an outcome, worked out apart from the product.
pub(crate) fn may_run(outcome: StepOutcome) -> bool {
    use StepOutcome::{CacheGone, OtherIncarnation, Rejected, Unreachable};
    ![Unreachable, Rejected, OtherIncarnation, CacheGone].contains(&outcome)
}

/// Plays one request until its end.
pub(crate) fn play(chooser: &mut dyn Chooser, input: Play) -> Played {
    let spec = match input.kind {
        RequestKind::Stream { .. } => model_spec(input.kind, input.attempts_max_count),
        _ => plain_spec(input.kind, input.attempts_max_count),
    };
    let mut told = spec.clone();
    if input.removed == Removed::AttemptsBound {
        told.attempts_max_count += 1;
    }
    let mut player = Player {
        now: ms(0),
        serving: input.serving,
        call: Call::new(told),
        spec,
        removed: input.removed,
        record: Record::new(),
        past: Vec::new(),
        difference: None,
    };
    player.accept();
    let request_max_us = player.spec.deadline.since(ms(0)).saturating_add(END_MARGIN);
    let end = ms(0) + request_max_us + DurationUs::from_ms(1_000);
    let mut step = 0;
    while player.now < end && !player.step(chooser, step) {
        step += 1;
    }
    let bounds = Bounds {
        request_max_us,
        ..Bounds::default()
    };
    let findings = verify(&player.record, end, &bounds);
    Played {
        findings,
        difference: player.difference,
        record: player.record,
    }
}

impl Player {
    fn accept(&mut self) {
        let kind = match self.spec.kind {
            RequestKind::Idempotent | RequestKind::Stream { resumable: true } => {
                ObservedKind::Idempotent
            }
            _ => ObservedKind::NonIdempotent,
        };
        self.observe(Observation::RequestAccepted {
            request: REQUEST,
            process: host(),
            kind,
            customer: "c".parse().expect("a valid fixture"),
            service: Optional(Some(self.spec.service.clone())),
            key: Optional(None),
            answer: Optional(None),
        });
        self.observe(Observation::AttemptsBounded {
            request: REQUEST,
            attempts_max_count: self.spec.attempts_max_count,
        });
    }

    /// One step; true at the end of the call.
    fn step(&mut self, chooser: &mut dyn Chooser, step: usize) -> bool {
        self.now = self.now + STEP_TIME;
        self.disturb(chooser, step);
        let expected = naive::next(self.now, &self.spec, &self.past, &mut self.serving);
        let action = self.call.next(self.now, &mut self.serving);
        if self.removed == Removed::None && self.difference.is_none() {
            self.difference = expected.difference(&action);
        }
        if expected.gives_up_cache {
            self.past.push(Past::CacheGivenUp);
        }
        match action {
            Action::Wait(pause) => {
                self.release_place();
                self.now = self.now + pause;
                self.past.push(Past::Waited);
            }
            Action::Reserve {
                server,
                computes_prompt,
                ..
            } => self.reserve(chooser, server, computes_prompt),
            Action::Prefill { server, .. } => self.prefill(chooser, server, step),
            Action::Run { server, cache, .. } => return self.run(chooser, server, cache),
            Action::Deliver => {
                self.end(None);
                return true;
            }
            Action::Refuse(refusal) => {
                let is_not_run = refusal.is_not_run || self.removed == Removed::TruthOfRefusals;
                self.end(Some(if is_not_run {
                    RequestOutcome::NotRun
                } else {
                    RequestOutcome::Unknown
                }));
                return true;
            }
        }
        false
    }

    fn disturb(&mut self, chooser: &mut dyn Chooser, step: usize) {
        let servers: Vec<ServerKey> = self.serving.servers.iter().map(|(key, _)| key).collect();
        let Some((index, disturbance)) = chooser.disturb(step, servers.len()) else {
            return;
        };
        let Some(key) = servers.get(index).copied() else {
            return;
        };
        let Some(server) = self.serving.servers.get_mut(key) else {
            return;
        };
        let mut record = server.record.clone();
        match disturbance {
            Disturbance::Unreachable => server.health.record_unreachable(self.now),
            Disturbance::Forgotten => self.serving.servers.forget(key),
            Disturbance::Leaving => {
                record.state = ServerState::Draining;
                self.serving.apply(self.now, RegistryUpdate::Server(record));
            }
            Disturbance::Removed => {
                self.serving
                    .apply(self.now, RegistryUpdate::ServerRemoved(record.id));
            }
            Disturbance::OtherStage => {
                record.stage = record.stage.map(|stage| match stage {
                    Stage::Prefill => Stage::Decode,
                    Stage::Decode => Stage::Prefill,
                });
                self.serving.apply(self.now, RegistryUpdate::Server(record));
            }
        }
    }

    fn reserve(&mut self, chooser: &mut dyn Chooser, server: ServerKey, computes_prompt: bool) {
        let id = self.id(server);
        self.release_place();
        let outcome = match chooser.choose(3) {
            0 => {
                self.observe(Observation::SlotReserved {
                    server: id,
                    request: REQUEST,
                });
                self.call
                    .reserved(server, Reservation::Agent, computes_prompt);
                self.past.push(Past::Held(server, computes_prompt));
                return;
            }
            1 if self.removed == Removed::Reservation => {
                self.call
                    .reserved(server, Reservation::Agent, computes_prompt);
                return;
            }
            1 => StepOutcome::Rejected,
            _ => StepOutcome::Unreachable,
        };
        self.call
            .reserve_failed(self.now, &mut self.serving, server, outcome);
        self.past.push(Past::NotHeld(server, outcome));
    }

    fn prefill(&mut self, chooser: &mut dyn Chooser, server: ServerKey, step: usize) {
        let id = self.id(server);
        self.observe(Observation::PrefillSent {
            server: id,
            request: REQUEST,
        });
        match chooser.choose(OUTCOMES.len() + 1) {
            0 => {
                let region = self.serving.servers.get(server);
                let region = region.and_then(|server| server.region.clone());
                let cache = CacheRef {
                    server,
                    region,
                    handle: format!("h{step}"),
                };
                self.past.push(Past::Computed(cache.clone(), self.now));
                self.call.prefill_done(self.now, &mut self.serving, cache);
            }
            choice => {
                let outcome = OUTCOMES[choice - 1];
                let service = self.spec.service.clone();
                let is_in_budget = self.serving.budget(&service).allows(self.now);
                self.call
                    .prefill_failed(self.now, &mut self.serving, server, outcome);
                self.past.push(Past::NotComputed {
                    server,
                    outcome,
                    is_in_budget,
                });
            }
        }
    }

    fn run(
        &mut self,
        chooser: &mut dyn Chooser,
        server: ServerKey,
        cache: Option<CacheRef>,
    ) -> bool {
        let id = self.id(server);
        let name = cache.as_ref().map(|cache| CacheName(cache.handle.clone()));
        if self.spec.model.is_some() {
            self.observe(Observation::DecodeSent {
                server: id.clone(),
                request: REQUEST,
                cache: Optional(name.clone()),
            });
        }
        self.release_place();
        let choice = chooser.choose(OUTCOMES.len() + 1);
        let failure = choice.checked_sub(1).map(|index| OUTCOMES[index]);
        let failure = match failure {
            Some(StepOutcome::CacheGone) if cache.is_none() => Some(StepOutcome::Rejected),
            other => other,
        };
        let has_run = failure.is_none_or(may_run);
        if has_run {
            self.observe(Observation::ServiceRan {
                server: id,
                request: REQUEST,
            });
        }
        if let Some(cache) = name
            && (has_run || failure == Some(StepOutcome::CacheGone))
        {
            self.observe(Observation::CacheConsumed {
                request: REQUEST,
                cache,
            });
        }
        let Some(outcome) = failure else {
            self.call.run_answered(self.now, &mut self.serving, server);
            self.end(None);
            return true;
        };
        let told = match (self.removed, outcome) {
            (Removed::ProofOfNoRun, StepOutcome::Lost) => StepOutcome::Unreachable,
            (Removed::CacheState, StepOutcome::CacheGone) => StepOutcome::Rejected,
            _ => outcome,
        };
        self.call
            .run_failed(self.now, &mut self.serving, server, told);
        self.past.push(Past::NotAnswered {
            server,
            outcome,
            cache,
        });
        false
    }

    /// Gives back the place that is held; the caller of [`Call`] holds one at most.
    fn release_place(&mut self) {
        let mut held = None;
        for observed in self.record.iter() {
            match &observed.what {
                Observation::SlotReserved { server, .. } => held = Some(server.clone()),
                Observation::SlotReleased { .. } => held = None,
                _ => {}
            }
        }
        if let Some(server) = held {
            self.observe(Observation::SlotReleased {
                server,
                request: REQUEST,
            });
        }
    }

    fn end(&mut self, refused: Option<RequestOutcome>) {
        self.observe(match refused {
            Some(outcome) => Observation::RequestFailed {
                request: REQUEST,
                outcome,
            },
            None => Observation::AnswerEnded {
                request: REQUEST,
                answer: Optional(None),
            },
        });
    }

    fn observe(&mut self, what: Observation) {
        self.record.push(self.now, what);
    }

    fn id(&self, server: ServerKey) -> BackendServerId {
        let server = self.serving.servers.get(server);
        server.expect("a server that is known").record.id.clone()
    }
}

fn host() -> HostId {
    "e1".parse().expect("a valid fixture")
}
