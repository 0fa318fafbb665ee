//! Entries: active lists, membership and router of the process, and the calls that it drives.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlead_entry_core::{
    ApplicationCall, ApplicationRequest, Call, CallAction, CallEvent, CallOutcome, CallStreamRef,
    CallerError, ErrorCode, ModelCall, ModelRequest, MonitoredCall, SendOutcome, SendRef,
    StallReports, counts_against_server,
};
use cuminlead_lists::{HostList, HostStore, InstallOutcome, ListStore, Lists, Snapshot};
use cuminlead_membership::{Membership, ServerStatus};
use cuminlead_protocol::{
    AgentRequest, AgentState, DecodeControl, Envelope, GetState, HttpRequest, ModelTarget,
};
use cuminlead_retry::Evidence;
use cuminlead_routing::{NoRoute, Route, Router, RoutingConfig, Usability};
use cuminlead_types::{BackendServerId, DurationUs, EntryId, RequestId, TimeUs, Tokens};

use super::caller::{PathKind, RequestSpec};
use super::event::{ConnectionId, ExchangeId, NodeId, Packet, ProcessEvent};
use super::exchange::Origin;
use super::injection::InjectionPoint;
use super::layout;
use super::service::path_of;
use super::simulation::Simulation;

/// Time for which a call whose caller has a final response is still driven to release its
/// resources; the same as in the entry process.
const CLEANUP_TIMEOUT: DurationUs = DurationUs::from_ms(30_000);
/// Time from the request to drain until the entry refuses new requests.
const DRAIN_DELAY: DurationUs = DurationUs::from_ms(3_000);
/// Interval at which a draining entry checks whether it can stop.
const DRAIN_CHECK: DurationUs = DurationUs::from_ms(50);

/// State of an entry process.
#[derive(Debug)]
pub struct Entry {
    id: EntryId,
    router: Router,
    pub(super) membership: Membership,
    stalls: StallReports,
    lists: ListStore,
    hosts: HostStore,
    /// Lists older than the active ones, used instead when `GuardHooks::accepts_older_lists`
    /// holds.
    older_lists: Option<Arc<Lists>>,
    pub(super) calls: BTreeMap<RequestId, Slot>,
    pub(super) connections: BTreeMap<NodeId, ConnectionId>,
    drain_requested_at: Option<TimeUs>,
    timer_at: Option<TimeUs>,
}

/// A call that the entry drives, and its open streams.
pub(super) struct Slot {
    call: Box<dyn Call>,
    pub(super) streams: BTreeMap<CallStreamRef, ExchangeId>,
    timer_at: Option<TimeUs>,
    /// When the caller got its final response or disconnected.
    closed_at: Option<TimeUs>,
}

impl std::fmt::Debug for Slot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Slot")
            .field("timer_at", &self.timer_at)
            .finish()
    }
}

/// Servers that a request uses at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsedServers {
    pub(super) decode: Option<NodeId>,
    pub(super) prefill: Option<NodeId>,
    pub(super) service: Option<NodeId>,
}

struct MembershipView<'a>(&'a Membership);

impl Usability for MembershipView<'_> {
    fn is_usable(&self, now: TimeUs, server: &BackendServerId) -> bool {
        self.0.is_usable(now, server)
    }

    fn is_preferred(&self, now: TimeUs, server: &BackendServerId) -> bool {
        self.0.is_preferred(now, server)
    }
}

impl Simulation {
    pub(super) fn new_entry(&self, node: NodeId) -> Entry {
        let node_spec = &self.node_specs[node.0];
        let seed = self.config.seed.wrapping_add(node.0 as u64);
        let config = RoutingConfig {
            waste_weight_percent: self.config.waste_weight_percent,
            prefill_rate: self.config.prefill_rate,
            transfer_rate: self.config.transfer_rate,
            ..RoutingConfig::new(node_spec.region.clone(), seed)
        };
        let router = Router::new(&self.config.policy, config).expect("the policy is registered");
        Entry {
            id: layout::id(node_spec.host.as_str()),
            router,
            membership: Membership::new(),
            stalls: StallReports::default(),
            lists: ListStore::new(),
            hosts: HostStore::new(),
            older_lists: None,
            calls: BTreeMap::new(),
            connections: BTreeMap::new(),
            drain_requested_at: None,
            timer_at: None,
        }
    }

    pub(super) fn entry_event(&mut self, node: NodeId, event: ProcessEvent) {
        match event {
            ProcessEvent::Request(spec) => self.accept_request(node, spec),
            ProcessEvent::CallerGone(request) => {
                self.close(node, request);
                self.call_event(node, request, CallEvent::CallerDisconnected);
            }
            ProcessEvent::CallTimer(request) => self.call_timer(node, request),
            ProcessEvent::Packet { connection, packet } => {
                if self.is_current(connection, node) {
                    self.entry_packet(node, connection, *packet);
                }
            }
            ProcessEvent::NotConnected(exchange) => {
                self.exchange_ended(node, exchange, SendOutcome::ConnectFailed);
            }
            ProcessEvent::Lost(exchange) => self.exchange_ended(node, exchange, SendOutcome::Lost),
            ProcessEvent::KeepAlive(connection) => self.keep_alive(connection),
            ProcessEvent::Lists(snapshot) => self.entry_lists(node, snapshot),
            ProcessEvent::Hosts(hosts) => self.entry_hosts(node, &hosts),
            ProcessEvent::Timer => self.entry_timer(node),
            ProcessEvent::Drain => self.drain_entry(node),
            ProcessEvent::Confirmed
            | ProcessEvent::Engine(_)
            | ProcessEvent::InventoryTimeout(_)
            | ProcessEvent::Service(_) => {}
        }
    }

    fn entry_lists(&mut self, node: NodeId, snapshot: Snapshot) {
        let takes_older = self.guard_hooks.accepts_older_lists();
        let entry = self.entry_mut(node);
        let outcome = entry.lists.install_if_newer(snapshot.clone());
        let is_older_forced = takes_older && matches!(outcome, InstallOutcome::Older);
        entry.older_lists = if is_older_forced {
            snapshot.check().ok().map(Arc::new)
        } else {
            None
        };
        if !is_older_forced && !matches!(outcome, InstallOutcome::Applied) {
            return;
        }
        if let Some(lists) = entry.active_lists() {
            let revision = lists.revision;
            self.apply_to_router(node);
            self.observe_lists(node, revision);
        }
    }

    fn entry_hosts(&mut self, node: NodeId, hosts: &HostList) {
        if !self.guard_hooks.passes_hosts(hosts) {
            return;
        }
        let now = self.now;
        let entry = self.entry_mut(node);
        if entry.hosts.install_if_newer(hosts.clone()) {
            entry.membership.update_hosts(now, hosts);
            self.apply_to_router(node);
            self.schedule_probes(node);
        }
    }

    fn apply_to_router(&mut self, node: NodeId) {
        let entry = self.entry_mut(node);
        let lists = entry.active_lists().unwrap_or_default();
        let hosts = entry.hosts.list().cloned().unwrap_or_default();
        entry.router.apply(lists, hosts);
    }

    fn accept_request(&mut self, node: NodeId, spec: RequestSpec) {
        self.record_accepted(&spec);
        let request = spec.request;
        let now = self.now;
        let entry = self.entry_mut(node);
        let is_refusing = entry
            .drain_requested_at
            .is_some_and(|at| now.since(at) >= DRAIN_DELAY);
        let lists = entry.active_lists().filter(|_| !is_refusing);
        let Some(lists) = lists else {
            let error = CallerError {
                code: ErrorCode::Stopping,
                outcome: CallOutcome::NotRun,
                message: "the entry is starting or stopping".to_string(),
            };
            self.record_failed(request, &error);
            return;
        };
        let call = self.new_call(node, &spec, &lists);
        let call = Box::new(MonitoredCall::new(request, call));
        let call = self.guard_hooks.wrap_call(call);
        let slot = Slot {
            call,
            streams: BTreeMap::new(),
            timer_at: None,
            closed_at: None,
        };
        self.entry_mut(node).calls.insert(request, slot);
        self.call_event(node, request, CallEvent::Start);
    }

    fn new_call(&self, node: NodeId, spec: &RequestSpec, lists: &Lists) -> Box<dyn Call> {
        let entry = &self.entries[&node];
        let hosts_revision = entry.membership.hosts_revision();
        let customer = layout::id(layout::CUSTOMER);
        if spec.path.is_model() {
            let model = layout::id(layout::MODEL);
            let grant = lists.choose_model(&customer, &model, None, None);
            let grant = grant.expect("the plan allows the model");
            return Box::new(ModelCall::new(
                self.config.call.clone(),
                ModelRequest {
                    id: spec.request,
                    entry: entry.id.clone(),
                    customer: customer.clone(),
                    target: ModelTarget {
                        model: grant.allowance.model.clone(),
                        adapter: grant.allowance.adapter.clone(),
                        version: grant.allowance.version.clone(),
                    },
                    priority: grant.allowance.priority,
                    servers: Vec::new(),
                    prompt: spec.prompt.clone(),
                    output_max_tokens: spec.output_max_tokens,
                    first_token_us: grant.plan.first_token_us,
                    lists_revision: lists.revision,
                    hosts_revision,
                    traceparent: String::new(),
                },
            ));
        }
        let key_made_at = spec.key_made_at.unwrap_or(self.now);
        let is_idempotent = spec.path == PathKind::Idempotent;
        let method = if is_idempotent { "GET" } else { "POST" };
        let service = layout::id(layout::SERVICE);
        let path = path_of(is_idempotent, spec.request);
        Box::new(ApplicationCall::new(
            self.config.call.clone(),
            ApplicationRequest {
                id: spec.request,
                entry: entry.id.clone(),
                is_idempotent: lists.is_idempotent(&service, method, &path),
                customer,
                service,
                servers: Vec::new(),
                key: spec.key.clone(),
                key_issued_at_ms: spec.key.as_ref().map(|_| self.unix_ms_at(key_made_at)),
                http: HttpRequest {
                    method: method.to_string(),
                    path,
                    ..HttpRequest::default()
                },
                lists_revision: lists.revision,
                hosts_revision,
                traceparent: String::new(),
            },
        ))
    }

    fn call_timer(&mut self, node: NodeId, request: RequestId) {
        let now = self.now;
        let Some(slot) = self.entry_mut(node).calls.get_mut(&request) else {
            return;
        };
        slot.timer_at = None;
        if slot.call.next_deadline().is_some_and(|at| at <= now) {
            self.call_event(node, request, CallEvent::Deadline);
        } else {
            self.schedule_call_deadline(node, request);
        }
    }

    pub(super) fn call_event(&mut self, node: NodeId, request: RequestId, event: CallEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = self.now;
            let Some(slot) = self.entry_mut(node).calls.get_mut(&request) else {
                return;
            };
            let mut actions = Vec::new();
            slot.call.handle(now, event, &mut actions);
            for action in actions {
                events.extend(self.apply_action(node, request, action));
            }
        }
        self.schedule_call_deadline(node, request);
    }

    /// Schedules the next deadline of a call, or drops the call once it has ended.
    fn schedule_call_deadline(&mut self, node: NodeId, request: RequestId) {
        let now = self.now;
        let Some(slot) = self.entry_mut(node).calls.get_mut(&request) else {
            return;
        };
        let is_cleanup_over = slot
            .closed_at
            .is_some_and(|at| now.since(at) >= CLEANUP_TIMEOUT);
        if slot.call.is_ended() || is_cleanup_over {
            self.entry_mut(node).calls.remove(&request);
            return;
        }
        let Some(at) = slot.call.next_deadline() else {
            return;
        };
        if slot.timer_at.is_none_or(|planned| at < planned) {
            slot.timer_at = Some(at);
            let event = ProcessEvent::CallTimer(request);
            self.push_process(at.since(now), node, event);
        }
    }

    fn close(&mut self, node: NodeId, request: RequestId) {
        let now = self.now;
        if let Some(slot) = self.entry_mut(node).calls.get_mut(&request) {
            slot.closed_at.get_or_insert(now);
        }
    }

    fn apply_action(
        &mut self,
        node: NodeId,
        request: RequestId,
        action: CallAction,
    ) -> Option<CallEvent> {
        match action {
            CallAction::Route(need) => {
                let now = self.now;
                let entry = self.entry_mut(node);
                let view = MembershipView(&entry.membership);
                let result = entry.router.route(now, &view, &need);
                self.record_route(request, &result);
                self.reached_route(request);
                return Some(CallEvent::Routed(result));
            }
            CallAction::Send {
                send,
                server,
                request: message,
                use_new_connection,
            } => self.send_message(node, request, send, &server, message, use_new_connection),
            CallAction::OpenStream {
                stream,
                server,
                open,
                use_new_connection,
            } => {
                let agent = self.node_of(&server);
                let origin = Origin::Stream(request, stream);
                let exchange = self.start_exchange(node, agent, origin, use_new_connection, |id| {
                    Packet::Open(id, open)
                });
                let slot = self.entry_mut(node).calls.get_mut(&request);
                if let Some(slot) = slot {
                    slot.streams.insert(stream, exchange);
                }
            }
            CallAction::Control { stream, control } => {
                if let Some(exchange) = self.stream_of(node, request, stream) {
                    self.send_packet(exchange, Packet::Control(exchange, control));
                    if matches!(control, DecodeControl::Acknowledge(_)) {
                        self.reached(InjectionPoint::Acknowledge, request);
                    }
                }
            }
            CallAction::CloseStream { stream } => {
                if let Some(exchange) = self.stream_of(node, request, stream) {
                    self.send_packet(exchange, Packet::Close(exchange));
                    self.finish_exchange(exchange);
                }
            }
            CallAction::Deliver(delivery) => {
                let is_last = delivery.finish.is_some();
                self.record_delivered(request, &delivery);
                if is_last {
                    self.close(node, request);
                }
                self.reached_chunk(request, delivery.sequence.get(), is_last);
            }
            CallAction::Respond(http) => {
                self.record_responded(request, &http);
                self.close(node, request);
            }
            CallAction::Fail(error) => {
                self.record_failed(request, &error);
                self.close(node, request);
            }
            CallAction::Report { server, evidence } => self.report(node, &server, evidence),
            CallAction::OutputGenerated { prompt_parts } => {
                let now = self.now;
                let entry = self.entry_mut(node);
                entry.router.record_sound(now, &prompt_parts);
            }
            CallAction::Stalled {
                request,
                server,
                since,
            } => {
                let now = self.now;
                let entry = self.entry_mut(node);
                let age = entry.stalls.record(now, &server, request, since);
                entry.membership.record_stall(now, &server, age);
            }
            CallAction::WastedPrefill { tokens, .. } => self.wasted_tokens += tokens,
            CallAction::Retried { .. } => self.retries_count += 1,
        }
        None
    }

    fn send_message(
        &mut self,
        node: NodeId,
        request: RequestId,
        send: SendRef,
        server: &BackendServerId,
        message: AgentRequest,
        use_new_connection: bool,
    ) {
        let agent = self.node_of(server);
        let point = InjectionPoint::of_message(&message);
        let origin = Origin::Send(request, send);
        self.start_exchange(node, agent, origin, use_new_connection, |id| {
            Packet::Call(id, message)
        });
        if let Some(point) = point {
            self.reached(point, request);
        }
    }

    fn record_route(&mut self, request: RequestId, result: &Result<Route, NoRoute>) {
        let used = self.used_servers.get(&request).copied().unwrap_or_default();
        let used = match result {
            Ok(Route::Pair {
                decode, prefill, ..
            }) => UsedServers {
                decode: Some(self.node_of(decode)),
                prefill: Some(self.node_of(prefill)),
                ..used
            },
            Ok(Route::Prefill(prefill)) => UsedServers {
                prefill: Some(self.node_of(prefill)),
                ..used
            },
            Ok(Route::Service(server)) => UsedServers {
                service: Some(self.node_of(server)),
                ..used
            },
            Err(_) => used,
        };
        self.used_servers.insert(request, used);
    }

    pub(super) fn entry_observe(&mut self, node: NodeId, state: &AgentState) {
        let now = self.now;
        let entry = self.entry_mut(node);
        entry.membership.record_report(now, state);
        entry.router.record_report(now, state);
        self.schedule_probes(node);
    }

    fn report(&mut self, node: NodeId, server: &BackendServerId, evidence: Option<Evidence>) {
        let now = self.now;
        let entry = self.entry_mut(node);
        match evidence {
            None => entry.membership.record_success(now, server),
            Some(evidence) if counts_against_server(evidence) => {
                entry.membership.record_failure(now, server);
            }
            Some(_) => {}
        }
        entry
            .router
            .record_finished(now, server, evidence.is_none());
        self.schedule_probes(node);
    }

    pub(super) fn schedule_probes(&mut self, node: NodeId) {
        let now = self.now;
        let entry = self.entry_mut(node);
        let Some(at) = entry.membership.next_probe_at() else {
            return;
        };
        if entry.timer_at.is_none_or(|planned| at < planned) {
            entry.timer_at = Some(at);
            self.push_process(at.since(now), node, ProcessEvent::Timer);
        }
    }

    fn entry_timer(&mut self, node: NodeId) {
        let now = self.now;
        let entry = self.entry_mut(node);
        entry.timer_at = None;
        let id = entry.id.clone();
        for server in entry.membership.take_due_probes(now) {
            let agent = self.node_of(&server);
            let envelope = Envelope {
                entry: id.clone(),
                ..Envelope::default()
            };
            let message = AgentRequest::GetState(GetState { envelope });
            let origin = Origin::Probe(server);
            self.start_exchange(node, agent, origin, true, |id| Packet::Call(id, message));
        }
        self.schedule_probes(node);
        self.advance_drain(node);
    }

    fn drain_entry(&mut self, node: NodeId) {
        let now = self.now;
        let entry = self.entry_mut(node);
        entry.drain_requested_at.get_or_insert(now);
        self.advance_drain(node);
    }

    fn advance_drain(&mut self, node: NodeId) {
        let now = self.now;
        let stops_immediately = self.guard_hooks.stops_immediately();
        let entry = self.entry_mut(node);
        let Some(requested_at) = entry.drain_requested_at else {
            return;
        };
        let calls = entry.calls.values();
        let open_count = calls.filter(|slot| slot.closed_at.is_none()).count();
        let is_refusing = now.since(requested_at) >= DRAIN_DELAY;
        if stops_immediately || (is_refusing && open_count == 0) {
            let open_count = u32::try_from(open_count).unwrap_or(u32::MAX);
            self.stop_process(node, open_count);
        } else {
            self.push_process(DRAIN_CHECK, node, ProcessEvent::Timer);
        }
    }

    /// Servers to which some entry would send no new work, each with the reason and the entry.
    pub fn unusable_servers(&self) -> Vec<String> {
        let mut unusable = Vec::new();
        for entry in self.entries.values() {
            for server in self.by_server.keys() {
                let status = entry.membership.status(server);
                if status != ServerStatus::Usable {
                    unusable.push(format!("{server} is {status} at entry {}", entry.id));
                }
            }
        }
        unusable
    }

    /// Prompt tokens that were computed and then discarded, as the entries report them.
    pub fn wasted_tokens(&self) -> Tokens {
        self.wasted_tokens
    }
}

impl Entry {
    fn active_lists(&self) -> Option<Arc<Lists>> {
        self.older_lists
            .clone()
            .or_else(|| self.lists.lists().cloned())
    }

    /// Active snapshot, which starting peers fetch.
    pub(super) fn snapshot(&self) -> Option<Snapshot> {
        self.lists.snapshot().cloned()
    }

    /// Number of calls that the entry still drives.
    pub fn calls_count(&self) -> usize {
        self.calls.len()
    }
}
