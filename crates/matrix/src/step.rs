//! Steps of the paths at which a fault can be injected.

use cuminlead_protocol::AgentRequest;
use cuminlead_types::RequestId;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use super::caller::PathKind;
use super::event::{Event, NodeId};
use super::fault::{Fault, Targets};
use super::simulation::Simulation;

/// Step of a path, in the order in which a request takes them.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum InjectionPoint {
    /// The router has chosen a decode and a prefill server.
    Route,
    /// A reservation is sent.
    ReserveSent,
    /// The reservation is granted.
    ReserveGranted,
    /// A prefill is sent.
    PrefillSent,
    /// The engine computes the prompt.
    PrefillRunning,
    /// The engine has computed the prompt.
    PrefillDone,
    /// The decode engine imports the KV cache.
    Transfer,
    /// The caller gets the first chunk.
    FirstChunk,
    /// The caller gets a chunk between first and last.
    MiddleChunk,
    /// The prefill engine is told to free the KV cache.
    Release,
    /// The caller gets the last chunk.
    LastChunk,
    /// Chunks are acknowledged.
    Acknowledge,
    /// The router has chosen a server of the service.
    ServiceRoute,
    /// A permit is asked for.
    PermitSent,
    /// The permit is issued.
    PermitIssued,
    /// The call is sent under the permit.
    RunSent,
    /// The service has begun to run the call.
    RunStarted,
    /// The outcome of a permit is asked for.
    Ask,
    /// The service has answered.
    RunAnswered,
    /// An idempotent call is sent.
    IdempotentRunSent,
    /// The service has begun to run an idempotent call.
    IdempotentRunStarted,
    /// The service has answered an idempotent call.
    IdempotentRunAnswered,
    /// The agent has lists that change what its engine should serve.
    DutyInForce,
    /// The agent sends an order to its engine.
    OrderSent,
    /// The engine has carried out an order.
    OrderCarriedOut,
    /// The agent hears that an order is done.
    OrderDone,
    /// The agent has lists that change it for the second time.
    LaterDutyInForce,
    /// The agent sends an order that follows from those.
    LaterOrderSent,
}

/// Server that a step is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum About {
    Decode,
    Prefill,
    Service,
    Changed,
}

impl InjectionPoint {
    /// Paths that have the step.
    pub const fn paths(self) -> &'static [PathKind] {
        match self {
            Self::Route
            | Self::ReserveSent
            | Self::ReserveGranted
            | Self::PrefillSent
            | Self::PrefillRunning
            | Self::PrefillDone
            | Self::Transfer
            | Self::FirstChunk
            | Self::MiddleChunk
            | Self::Release
            | Self::LastChunk
            | Self::Acknowledge => &[PathKind::Model],
            Self::ServiceRoute => &[
                PathKind::Idempotent,
                PathKind::NonIdempotent,
                PathKind::Keyed,
            ],
            Self::PermitSent
            | Self::PermitIssued
            | Self::RunSent
            | Self::RunStarted
            | Self::Ask
            | Self::RunAnswered => &[PathKind::NonIdempotent, PathKind::Keyed],
            Self::IdempotentRunSent | Self::IdempotentRunStarted | Self::IdempotentRunAnswered => {
                &[PathKind::Idempotent]
            }
            Self::DutyInForce
            | Self::OrderSent
            | Self::OrderCarriedOut
            | Self::OrderDone
            | Self::LaterDutyInForce
            | Self::LaterOrderSent => &[
                PathKind::RoleChange,
                PathKind::RoleChangeUnfenced,
                PathKind::ModelChange,
                PathKind::ModelChangeUnfenced,
            ],
        }
    }

    /// Whether the step only occurs when the service is slow to answer.
    pub const fn needs_slow_service(self) -> bool {
        matches!(self, Self::Ask)
    }

    /// Step at which a message is sent.
    pub(super) const fn of_message(message: &AgentRequest) -> Option<Self> {
        match message {
            AgentRequest::Reserve(_) => Some(Self::ReserveSent),
            AgentRequest::Prefill(_) => Some(Self::PrefillSent),
            AgentRequest::Release(_) => Some(Self::Release),
            AgentRequest::IssuePermit(_) => Some(Self::PermitSent),
            AgentRequest::RunCall(run) if run.permit.is_some() => Some(Self::RunSent),
            AgentRequest::RunCall(_) => Some(Self::IdempotentRunSent),
            AgentRequest::QueryPermit(_) => Some(Self::Ask),
            AgentRequest::GetState(_) => None,
        }
    }

    const fn about(self) -> About {
        match self {
            Self::PrefillSent | Self::PrefillRunning | Self::PrefillDone | Self::Release => {
                About::Prefill
            }
            Self::Route
            | Self::ReserveSent
            | Self::ReserveGranted
            | Self::Transfer
            | Self::FirstChunk
            | Self::MiddleChunk
            | Self::LastChunk
            | Self::Acknowledge => About::Decode,
            Self::DutyInForce
            | Self::OrderSent
            | Self::OrderCarriedOut
            | Self::OrderDone
            | Self::LaterDutyInForce
            | Self::LaterOrderSent => About::Changed,
            _ => About::Service,
        }
    }
}

/// A fault at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Injection {
    /// Step.
    pub step: InjectionPoint,
    /// Fault.
    pub fault: Fault,
}

/// Faults injected into one request, each at its step and after the one before.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    target: RequestId,
    waiting: Vec<Injection>,
    injected_count: usize,
}

impl Plan {
    /// Plan for a request.
    pub fn new(target: RequestId, injections: &[Injection]) -> Self {
        let mut waiting = injections.to_vec();
        waiting.reverse();
        Self {
            target,
            waiting,
            injected_count: 0,
        }
    }

    /// Faults that have been injected.
    pub fn injected_count(&self) -> usize {
        self.injected_count
    }
}

impl Simulation {
    /// Notes that a request has reached a step, and injects the planned faults.
    pub(super) fn reached(&mut self, step: InjectionPoint, request: RequestId) {
        if self.plan.target != request {
            return;
        }
        while self.plan.waiting.last().is_some_and(|s| s.step == step) {
            if let Some(injection) = self.plan.waiting.pop() {
                self.plan.injected_count += 1;
                let targets = self.targets(step, request);
                let delay = self.draw(self.config.injection_delay_us);
                self.push(delay, Event::Injection(injection.fault, targets));
            }
        }
    }

    /// Notes a step of the engine whose duty the lists change, from the first change on.
    pub(super) fn reached_duty(&mut self, step: InjectionPoint, node: NodeId) {
        if self.changed == Some(node) && self.platform.duty_stage > 0 {
            let target = self.plan.target;
            self.reached(step, target);
        }
    }

    fn targets(&self, step: InjectionPoint, request: RequestId) -> Targets {
        let used = self.used.get(&request).copied().unwrap_or_default();
        let (server, other) = match step.about() {
            About::Decode => (used.decode, used.prefill),
            About::Prefill => (used.prefill, used.decode),
            About::Service => (used.service, None),
            About::Changed => (self.changed, None),
        };
        let entry = self.results.get(&request).map(|result| result.spec.entry);
        Targets {
            request,
            entry: entry.unwrap_or(NodeId(0)),
            server,
            other,
        }
    }

    pub(super) fn reached_route(&mut self, request: RequestId) {
        let path = self.results.get(&request).map(|result| result.spec.path);
        match path {
            Some(path) if path.is_model() => self.reached(InjectionPoint::Route, request),
            _ => self.reached(InjectionPoint::ServiceRoute, request),
        }
    }

    pub(super) fn reached_run(
        &mut self,
        request: RequestId,
        step: InjectionPoint,
        idempotent: InjectionPoint,
    ) {
        let path = self.results.get(&request).map(|result| result.spec.path);
        match path {
            Some(PathKind::Idempotent) => self.reached(idempotent, request),
            _ => self.reached(step, request),
        }
    }

    pub(super) fn reached_chunk(&mut self, request: RequestId, sequence: u64, is_last: bool) {
        let step = match sequence {
            _ if is_last => InjectionPoint::LastChunk,
            0 => InjectionPoint::FirstChunk,
            _ => InjectionPoint::MiddleChunk,
        };
        self.reached(step, request);
    }
}
