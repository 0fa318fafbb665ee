//! Fake plain service that executes calls and records their effects.
//!
//! The path of a call names its request, so the effects of different requests can be told apart. A
//! call takes effect after half of its execution time, so a crash can come before or after the
//! effect.

use std::collections::BTreeMap;

use cuminlead_protocol::{HttpResponse, ServiceCallRef, ServiceCommand, ServiceEvent};
use cuminlead_types::{BackendServerId, DurationUs, RequestId};
use cuminlead_verifier::Observation;

use super::event::{BackendEvent, NodeId, ProcessEvent};
use super::injection::InjectionPoint;
use super::simulation::Simulation;

/// Server of the plain service.
#[derive(Debug)]
pub struct Service {
    pub(super) server: BackendServerId,
    running: BTreeMap<u64, Running>,
    runs_count: u64,
}

#[derive(Clone, Debug)]
struct Running {
    agent_generation: u64,
    run: ServiceCallRef,
    request: RequestId,
}

impl Service {
    /// Server without running calls.
    pub fn new(server: BackendServerId) -> Self {
        Self {
            server,
            running: BTreeMap::new(),
            runs_count: 0,
        }
    }
}

/// HTTP response of the service to a request.
pub fn response_to(request: RequestId) -> HttpResponse {
    HttpResponse {
        status: 200,
        content_type: "text/plain".to_string(),
        body: format!("done {request}").into_bytes(),
    }
}

/// HTTP path of the call of a request.
pub fn path_of(is_idempotent: bool, request: RequestId) -> String {
    let name = if is_idempotent { "stock" } else { "book" };
    format!("/{name}/{request}")
}

fn request_of(path: &str) -> RequestId {
    let name = path.rsplit('/').next().unwrap_or_default();
    name.parse().unwrap_or_default()
}

impl Simulation {
    pub(super) fn service_call(
        &mut self,
        node: NodeId,
        agent_generation: u64,
        command: ServiceCommand,
    ) {
        let request = request_of(&command.http.path);
        let service = self.service_mut(node);
        service.runs_count += 1;
        let number = service.runs_count;
        let running = Running {
            agent_generation,
            run: command.run,
            request,
        };
        service.running.insert(number, running);
        let run = self.config.service_run_us;
        let half = DurationUs(run.get() / 2);
        self.push_backend(half, node, BackendEvent::ServiceEffect(number));
        self.push_backend(run, node, BackendEvent::ServiceAnswer(number));
        self.reached_run(
            request,
            InjectionPoint::RunStarted,
            InjectionPoint::IdempotentRunStarted,
        );
    }

    pub(super) fn service_effect(&mut self, node: NodeId, number: u64) {
        let service = self.service_mut(node);
        let server = service.server.clone();
        if let Some(running) = service.running.get(&number) {
            let request = running.request;
            self.observe(Observation::ServiceRan { server, request });
        }
    }

    pub(super) fn service_answer(&mut self, node: NodeId, number: u64) {
        let Some(running) = self.service_mut(node).running.remove(&number) else {
            return;
        };
        let event = ServiceEvent::Answered {
            run: running.run,
            http: response_to(running.request),
        };
        let request = running.request;
        self.report_run(node, running.agent_generation, event);
        self.reached_run(
            request,
            InjectionPoint::RunAnswered,
            InjectionPoint::IdempotentRunAnswered,
        );
    }

    pub(super) fn end_service(&mut self, node: NodeId) {
        let Some(service) = self.services.get_mut(&node) else {
            return;
        };
        for running in std::mem::take(&mut service.running).into_values() {
            let event = ServiceEvent::Lost { run: running.run };
            self.report_run(node, running.agent_generation, event);
        }
    }

    /// Sends an event to the agent of this generation, if it still runs.
    pub(super) fn report_run(&mut self, node: NodeId, agent_generation: u64, event: ServiceEvent) {
        let process = &self.processes[node.0];
        if process.is_running && process.generation == agent_generation {
            let delay = self.config.backend_latency_us;
            self.push_process(delay, node, ProcessEvent::Service(event));
        }
    }
}
