//! Injection points on the paths of requests, and the plan of faults that are injected there.

use cuminlead_protocol::AgentRequest;
use cuminlead_types::RequestId;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use super::caller::PathKind;
use super::event::{Event, NodeId};
use super::fault::{Fault, Targets};
use super::simulation::Simulation;

/// Point of a path at which a fault can be injected, in the order in which a request passes them.
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
    /// The entry sends a slot reservation.
    ReserveSent,
    /// The agent has granted the reservation.
    ReserveGranted,
    /// The entry sends a prefill.
    PrefillSent,
    /// The engine begins to compute the prompt.
    PrefillRunning,
    /// The engine has computed the prompt.
    PrefillDone,
    /// The decode engine begins to import the KV cache.
    Transfer,
    /// The caller is sent the first chunk.
    FirstChunk,
    /// The caller is sent a chunk between the first and the last one.
    MiddleChunk,
    /// The entry tells the prefill engine's agent to release the KV cache.
    Release,
    /// The caller is sent the last chunk.
    LastChunk,
    /// The entry acknowledges chunks.
    Acknowledge,
    /// The router has chosen a server of the plain service.
    ServiceRoute,
    /// The entry requests a permit.
    PermitSent,
    /// The agent has issued the permit.
    PermitIssued,
    /// The entry sends the call with its permit.
    RunSent,
    /// The service begins to execute the call.
    RunStarted,
    /// The entry queries the outcome of the permit.
    Ask,
    /// The service has responded.
    RunAnswered,
    /// The entry sends an idempotent call.
    IdempotentRunSent,
    /// The service begins to execute an idempotent call.
    IdempotentRunStarted,
    /// The service has responded to an idempotent call.
    IdempotentRunAnswered,
    /// The agent has lists that change the assignment of its engine.
    DutyInForce,
    /// The agent sends an order to its engine.
    OrderSent,
    /// The engine has carried out an order.
    OrderCarriedOut,
    /// The agent receives the report that an order is done.
    OrderDone,
    /// The agent has lists that change the assignment a second time.
    LaterDutyInForce,
    /// The agent sends an order that follows from the second change.
    LaterOrderSent,
}

/// Server that the faults of an injection point affect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetRole {
    Decode,
    Prefill,
    Service,
    ChangedEngine,
}

impl InjectionPoint {
    /// Paths on which the point occurs.
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

    /// Whether the point occurs only if the service responds slowly.
    pub const fn needs_slow_service(self) -> bool {
        matches!(self, Self::Ask)
    }

    /// Point that sending a message passes; none if faults cannot be injected there.
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

    const fn target_role(self) -> TargetRole {
        match self {
            Self::PrefillSent | Self::PrefillRunning | Self::PrefillDone | Self::Release => {
                TargetRole::Prefill
            }
            Self::Route
            | Self::ReserveSent
            | Self::ReserveGranted
            | Self::Transfer
            | Self::FirstChunk
            | Self::MiddleChunk
            | Self::LastChunk
            | Self::Acknowledge => TargetRole::Decode,
            Self::DutyInForce
            | Self::OrderSent
            | Self::OrderCarriedOut
            | Self::OrderDone
            | Self::LaterDutyInForce
            | Self::LaterOrderSent => TargetRole::ChangedEngine,
            _ => TargetRole::Service,
        }
    }
}

/// A fault and the point at which it is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Injection {
    /// Point at which the target request triggers the fault.
    pub point: InjectionPoint,
    /// Fault to inject.
    pub fault: Fault,
}

/// Faults to inject into one request. Each waits until the one before it has been injected.
#[derive(Clone, Debug, Default)]
pub struct InjectionPlan {
    target: RequestId,
    pending: Vec<Injection>,
    injected_count: usize,
}

impl InjectionPlan {
    /// Plan that injects faults into the target request in this order.
    pub fn new(target: RequestId, injections: &[Injection]) -> Self {
        let mut pending = injections.to_vec();
        pending.reverse();
        Self {
            target,
            pending,
            injected_count: 0,
        }
    }

    /// Number of faults that have been injected.
    pub fn injected_count(&self) -> usize {
        self.injected_count
    }
}

impl Simulation {
    /// Handles that a request has reached a point, and schedules the planned faults.
    pub(super) fn reached(&mut self, point: InjectionPoint, request: RequestId) {
        if self.plan.target != request {
            return;
        }
        while self.plan.pending.last().is_some_and(|s| s.point == point) {
            if let Some(injection) = self.plan.pending.pop() {
                self.plan.injected_count += 1;
                let targets = self.targets(point, request);
                let delay = self.draw(self.config.injection_delay_us);
                self.push(delay, Event::Injection(injection.fault, targets));
            }
        }
    }

    /// Handles a point of the engine whose assignment the lists change, from the first change on.
    pub(super) fn reached_at_changed_engine(&mut self, point: InjectionPoint, node: NodeId) {
        if self.changed_engine == Some(node) && self.platform.assignment_stage > 0 {
            let target = self.plan.target;
            self.reached(point, target);
        }
    }

    fn targets(&self, point: InjectionPoint, request: RequestId) -> Targets {
        let used = self.used_servers.get(&request).copied().unwrap_or_default();
        let (server, other) = match point.target_role() {
            TargetRole::Decode => (used.decode, used.prefill),
            TargetRole::Prefill => (used.prefill, used.decode),
            TargetRole::Service => (used.service, None),
            TargetRole::ChangedEngine => (self.changed_engine, None),
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
        point: InjectionPoint,
        idempotent: InjectionPoint,
    ) {
        let path = self.results.get(&request).map(|result| result.spec.path);
        match path {
            Some(PathKind::Idempotent) => self.reached(idempotent, request),
            _ => self.reached(point, request),
        }
    }

    pub(super) fn reached_chunk(&mut self, request: RequestId, sequence: u64, is_last: bool) {
        let point = match sequence {
            _ if is_last => InjectionPoint::LastChunk,
            0 => InjectionPoint::FirstChunk,
            _ => InjectionPoint::MiddleChunk,
        };
        self.reached(point, request);
    }
}
