//! Runs one request against a fleet and records what callers and servers observe.
//!
//! The verifier, which does not know the state of the call, checks the record, and each action is
//! compared with the reference implementation in `reference.rs`.

use cuminlead_direct_core::{
    Action, CacheRef, Call, CallSpec, RegistryUpdate, RequestKind, Reservation, ServerKey,
    ServerState, ServingState, Stage, StepOutcome,
};
use cuminlead_types::{BackendServerId, DurationUs, Findings, HostId, RequestId, TimeUs};
use cuminlead_verifier::observation::CacheName;
use cuminlead_verifier::{
    Bounds, Observation, Optional, Record, RequestKind as ObservedKind, RequestOutcome, verify,
};

use super::reference::{self, CallEvent};
use super::{model_spec, ms, plain_spec};

/// Time that each step takes.
const STEP_TIME: DurationUs = DurationUs::from_ms(20);
/// Time after its deadline within which a call must have ended: its longest pause and one step.
const END_MARGIN: DurationUs = DurationUs::from_ms(300);
/// Id of the request in every scenario.
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
    StepOutcome::CacheUnavailable,
    StepOutcome::Failed,
    StepOutcome::Lost,
    StepOutcome::Malformed,
    StepOutcome::TimedOut,
];

/// Change of a server that another request or the registry causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerChange {
    /// Another request could not reach the server.
    Unreachable,
    /// Another request found another server at the address.
    AddressReused,
    /// The server is published as draining.
    Draining,
    /// The entry of the server is removed.
    EntryRemoved,
    /// The engine has changed to the other stage.
    OtherStage,
}

pub(crate) const SERVER_CHANGES: [ServerChange; 5] = [
    ServerChange::Unreachable,
    ServerChange::AddressReused,
    ServerChange::Draining,
    ServerChange::EntryRemoved,
    ServerChange::OtherStage,
];

/// Chooses the outcomes of steps and the changes of servers.
pub(crate) trait FaultChooser {
    /// Index of one of `count` possibilities; 0 is the one without a fault.
    fn choose(&mut self, count: usize) -> usize;

    /// Index of a server and its change before the step; `None` for no change.
    fn choose_change(
        &mut self,
        _step: usize,
        _servers_count: usize,
    ) -> Option<(usize, ServerChange)> {
        None
    }
}

/// Guard that a test disables to show that the checks detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DisabledGuard {
    /// All guards are enabled.
    None,
    /// A lost run is reported as one that never reached a server.
    ProofOfNoRun,
    /// Refusals claim that the request has not run, whatever happened.
    AccurateRefusals,
    /// The bound on the route's attempts is not kept.
    AttemptsBound,
    /// A rejected reservation is treated as one that was made.
    Reservation,
    /// A cache that no longer exists is treated as retained.
    CacheState,
}

pub(crate) struct Scenario {
    pub(crate) serving: ServingState,
    pub(crate) kind: RequestKind,
    pub(crate) attempts_max_count: u32,
    pub(crate) disabled_guard: DisabledGuard,
}

#[derive(Debug)]
pub(crate) struct ScenarioResult {
    /// Violated guarantees.
    pub(crate) findings: Findings,
    /// First difference from the reference implementation.
    pub(crate) difference: Option<String>,
    pub(crate) record: Record,
}

struct ScenarioRunner {
    now: TimeUs,
    serving: ServingState,
    call: Call,
    spec: CallSpec,
    disabled_guard: DisabledGuard,
    record: Record,
    events: Vec<CallEvent>,
    difference: Option<String>,
}

/// Whether a server may have run a request after an outcome, determined independently of the code
/// under test.
pub(crate) fn may_run(outcome: StepOutcome) -> bool {
    use StepOutcome::{CacheUnavailable, OtherIncarnation, Rejected, Unreachable};
    ![Unreachable, Rejected, OtherIncarnation, CacheUnavailable].contains(&outcome)
}

/// Runs one request until its end.
pub(crate) fn run_scenario(chooser: &mut dyn FaultChooser, input: Scenario) -> ScenarioResult {
    let spec = match input.kind {
        RequestKind::Stream { .. } => model_spec(input.kind, input.attempts_max_count),
        _ => plain_spec(input.kind, input.attempts_max_count),
    };
    let mut call_spec = spec.clone();
    if input.disabled_guard == DisabledGuard::AttemptsBound {
        call_spec.attempts_max_count += 1;
    }
    let mut runner = ScenarioRunner {
        now: ms(0),
        serving: input.serving,
        call: Call::new(call_spec),
        spec,
        disabled_guard: input.disabled_guard,
        record: Record::new(),
        events: Vec::new(),
        difference: None,
    };
    runner.accept();
    let request_max_us = runner.spec.deadline.since(ms(0)).saturating_add(END_MARGIN);
    let end = ms(0) + request_max_us + DurationUs::from_ms(1_000);
    let mut step = 0;
    while runner.now < end && !runner.step(chooser, step) {
        step += 1;
    }
    let bounds = Bounds {
        request_max_us,
        ..Bounds::default()
    };
    let findings = verify(&runner.record, end, &bounds);
    ScenarioResult {
        findings,
        difference: runner.difference,
        record: runner.record,
    }
}

impl ScenarioRunner {
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

    /// Runs one step; true at the end of the call.
    fn step(&mut self, chooser: &mut dyn FaultChooser, step: usize) -> bool {
        self.now = self.now + STEP_TIME;
        self.change_server(chooser, step);
        let expected = reference::next(self.now, &self.spec, &self.events, &mut self.serving);
        let action = self.call.next(self.now, &mut self.serving);
        if self.disabled_guard == DisabledGuard::None && self.difference.is_none() {
            self.difference = expected.difference(&action);
        }
        if expected.discards_cache {
            self.events.push(CallEvent::CacheDiscarded);
        }
        match action {
            Action::Wait(pause) => {
                self.release_slot();
                self.now = self.now + pause;
                self.events.push(CallEvent::Waited);
            }
            Action::Reserve {
                server,
                computes_prompt,
                ..
            } => self.reserve(chooser, server, computes_prompt),
            Action::Prefill { server, .. } => self.prefill(chooser, server, step),
            Action::Run { server, cache, .. } => return self.run(chooser, server, cache),
            Action::ForwardFailure => {
                self.end(None);
                return true;
            }
            Action::Refuse(refusal) => {
                let is_not_run =
                    refusal.is_not_run || self.disabled_guard == DisabledGuard::AccurateRefusals;
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

    fn change_server(&mut self, chooser: &mut dyn FaultChooser, step: usize) {
        let servers: Vec<ServerKey> = self.serving.servers.iter().map(|(key, _)| key).collect();
        let Some((index, change)) = chooser.choose_change(step, servers.len()) else {
            return;
        };
        let Some(key) = servers.get(index).copied() else {
            return;
        };
        let Some(server) = self.serving.servers.get_mut(key) else {
            return;
        };
        let mut record = server.record.clone();
        match change {
            ServerChange::Unreachable => server.health.record_unreachable(self.now),
            ServerChange::AddressReused => self.serving.servers.drop_server(self.now, key),
            ServerChange::Draining => {
                record.state = ServerState::Draining;
                self.serving.apply(self.now, RegistryUpdate::Server(record));
            }
            ServerChange::EntryRemoved => {
                self.serving
                    .apply(self.now, RegistryUpdate::ServerRemoved(record.id));
            }
            ServerChange::OtherStage => {
                record.stage = record.stage.map(|stage| match stage {
                    Stage::Prefill => Stage::Decode,
                    Stage::Decode => Stage::Prefill,
                });
                self.serving.apply(self.now, RegistryUpdate::Server(record));
            }
        }
    }

    fn reserve(
        &mut self,
        chooser: &mut dyn FaultChooser,
        server: ServerKey,
        computes_prompt: bool,
    ) {
        let id = self.id(server);
        self.release_slot();
        let outcome = match chooser.choose(3) {
            0 => {
                self.observe(Observation::SlotReserved {
                    server: id,
                    request: REQUEST,
                });
                self.call
                    .reserved(server, Reservation::Agent, computes_prompt);
                self.events
                    .push(CallEvent::Reserved(server, computes_prompt));
                return;
            }
            1 if self.disabled_guard == DisabledGuard::Reservation => {
                self.call
                    .reserved(server, Reservation::Agent, computes_prompt);
                return;
            }
            1 => StepOutcome::Rejected,
            _ => StepOutcome::Unreachable,
        };
        self.call
            .reserve_failed(self.now, &mut self.serving, server, outcome);
        self.events.push(CallEvent::NotReserved(server, outcome));
    }

    fn prefill(&mut self, chooser: &mut dyn FaultChooser, server: ServerKey, step: usize) {
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
                self.events
                    .push(CallEvent::Prefilled(cache.clone(), self.now));
                self.call.prefill_done(self.now, &mut self.serving, cache);
            }
            choice => {
                let outcome = OUTCOMES[choice - 1];
                let service = self.spec.service.clone();
                let is_in_budget = self.serving.budget(&service).allows(self.now);
                self.call
                    .prefill_failed(self.now, &mut self.serving, server, outcome);
                self.events.push(CallEvent::PrefillFailed {
                    server,
                    outcome,
                    is_in_budget,
                });
            }
        }
    }

    fn run(
        &mut self,
        chooser: &mut dyn FaultChooser,
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
        self.release_slot();
        let choice = chooser.choose(OUTCOMES.len() + 1);
        let failure = choice.checked_sub(1).map(|index| OUTCOMES[index]);
        let failure = match failure {
            Some(StepOutcome::CacheUnavailable) if cache.is_none() => Some(StepOutcome::Rejected),
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
            && (has_run || failure == Some(StepOutcome::CacheUnavailable))
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
        let reported = match (self.disabled_guard, outcome) {
            (DisabledGuard::ProofOfNoRun, StepOutcome::Lost) => StepOutcome::Unreachable,
            (DisabledGuard::CacheState, StepOutcome::CacheUnavailable) => StepOutcome::Rejected,
            _ => outcome,
        };
        self.call
            .run_failed(self.now, &mut self.serving, server, reported);
        self.events.push(CallEvent::RunFailed {
            server,
            outcome,
            cache,
        });
        false
    }

    /// Releases the reserved slot, if there is one; a call has one reservation at most.
    fn release_slot(&mut self) {
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
