//! Agent with a simulated engine or service, and the checks on its actions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cuminlead_agent_core::{AgentAction, AgentEvent, CallRef, StreamRef};
use cuminlead_lists::{AssignedRole, Lists, ServerAssignment};
use cuminlead_protocol::{
    AgentRequest, DecodeControl, DecodeMode, DecodeOpen, DecodeResume, DecodeStart, EngineCommand,
    EngineEvent, EngineInventory, EngineOrder, EngineRole, FinishReason, HttpResponse, KvHandle,
    LoadReport, LoadedModel, PermitIssued, QueryPermit, Release, ReplyBody, ServiceCallRef,
    ServiceEvent,
};
use cuminlead_types::{
    AttemptId, DurationUs, FencingNumber, Incarnation, KvPieces, PermitId, SequenceNumber, TimeUs,
    Tokens,
};

use super::operations::{FIRST_UNKNOWN, Op, SequenceEvent};
use crate::support::{
    Agent, START_UNIX_MS, envelope, issue_permit, lists, parse, prefill, reserve, run_call,
};

pub(crate) const SERVICE: &str = "counter-1";
const PIECES: KvPieces = KvPieces(30);
/// P1: memory of requests whose entry has disconnected is free within 30 s.
const RELEASE_MAX_MS: u64 = 30_000;
/// A draining agent retains the outcome of its last application call for 5 s.
const OUTCOME_RETENTION_MS: u64 = 5_000;
/// Consecutive ticks at the same time after which the deadline counts as never cleared.
const TICKS_MAX_COUNT: u32 = 20;

fn id(number: u128) -> AttemptId {
    envelope(number, "kiosks").id
}

/// Agent under test with a simulated engine or service; checks the agent's actions.
pub(crate) struct Harness {
    agent: Agent,
    server: &'static str,
    now_ms: u64,
    calls_count: u64,
    streams_count: u64,
    /// Attempts of the messages that wait for a reply.
    unanswered: BTreeMap<CallRef, AttemptId>,
    streams: Vec<StreamRef>,
    pub(crate) permits: Vec<PermitId>,
    running_calls: Vec<ServiceCallRef>,
    /// Attempts that the agent has accepted; while draining it may accept no others.
    pub(crate) accepted: BTreeSet<AttemptId>,
    /// Sequences in the engine, each with the index of its next token.
    engine_sequences: BTreeMap<AttemptId, u64>,
    /// Sequences at the previous [`Op::EarlierInventory`], which the next one reports.
    earlier_sequences: Vec<AttemptId>,
    role: EngineRole,
    models: Vec<LoadedModel>,
    pending_order: Option<(FencingNumber, EngineOrder)>,
    /// Number of inventory requests that will fail because the engine is unreachable.
    unresponsive_count: u32,
    revision: u64,
    is_draining: bool,
    drained_count: u32,
}

impl Harness {
    pub(crate) fn new(server: &'static str) -> Self {
        let model = |text| LoadedModel {
            model: parse(text),
            version: parse("v1"),
        };
        let role = if server == "prefill-1" {
            EngineRole::Prefill
        } else {
            EngineRole::Decode
        };
        let mut harness = Self {
            agent: Agent::starting(server),
            server,
            now_ms: 0,
            calls_count: 0,
            streams_count: 0,
            unanswered: BTreeMap::new(),
            streams: Vec::new(),
            permits: Vec::new(),
            running_calls: Vec::new(),
            accepted: BTreeSet::new(),
            engine_sequences: BTreeMap::new(),
            earlier_sequences: Vec::new(),
            role,
            models: vec![model("notes"), model("other")],
            pending_order: None,
            unresponsive_count: 0,
            revision: 5,
            is_draining: false,
            drained_count: 0,
        };
        harness.handle(AgentEvent::Lists(Arc::new(lists(5))));
        harness.handle(AgentEvent::ListsConfirmed {
            age_us: DurationUs::ZERO,
        });
        harness.answer_order(true);
        harness
    }

    fn load(&self) -> LoadReport {
        self.agent.context.state(self.now()).load
    }

    fn now(&self) -> TimeUs {
        TimeUs(self.now_ms * 1_000)
    }

    fn handle(&mut self, event: AgentEvent) {
        let actions = self.agent.handle(self.now_ms, event);
        let violations = self.agent.context.verify(self.now());
        assert_eq!(violations, [], "at {} ms", self.now_ms);
        let mut inventories_count = 0;
        for action in actions {
            inventories_count += u32::from(self.execute(action));
        }
        for _ in 0..inventories_count {
            self.report_inventory();
        }
    }

    /// Executes an action; returns whether it requests the inventory.
    fn execute(&mut self, action: AgentAction) -> bool {
        match action {
            AgentAction::Reply { call, reply } => {
                let id = self
                    .unanswered
                    .remove(&call)
                    .expect("second reply to a message");
                self.check_reply(id, &reply.body);
            }
            AgentAction::Engine(command) => return self.execute_command(command),
            AgentAction::Service(command) => {
                assert!(
                    !self.running_calls.contains(&command.run),
                    "call is executed twice"
                );
                self.running_calls.push(command.run);
            }
            AgentAction::CloseStream { stream } => self.streams.retain(|open| *open != stream),
            AgentAction::Drained => {
                self.drained_count += 1;
                assert!(
                    self.is_draining && self.drained_count == 1,
                    "drain reported without a drain, or twice"
                );
                assert_eq!(
                    self.known_sequences(),
                    [],
                    "drained with sequences in the engine"
                );
                assert_eq!(self.running_calls, [], "drained with calls in progress");
            }
            AgentAction::Send { .. } | AgentAction::Record(_) => {}
        }
        false
    }

    fn check_reply(&mut self, id: AttemptId, body: &ReplyBody) {
        match body {
            ReplyBody::Reserved(_) | ReplyBody::Prefilled(_) => self.record_accepted(id),
            ReplyBody::PermitIssued(PermitIssued { permit, .. }) => {
                assert!(!self.is_draining, "permit issued while draining");
                self.permits.push(*permit);
            }
            _ => {}
        }
    }

    fn record_accepted(&mut self, id: AttemptId) {
        assert!(
            !self.is_draining || self.accepted.contains(&id),
            "{id} accepted while draining"
        );
        self.accepted.insert(id);
    }

    fn execute_command(&mut self, command: EngineCommand) -> bool {
        match command {
            EngineCommand::Prefill { id, .. } | EngineCommand::Decode { id, .. } => {
                self.record_accepted(id);
                self.engine_sequences.insert(id, 0);
                assert!(
                    self.engine_sequences.len() <= 20 + 30,
                    "more sequences than slots and KV pieces allow"
                );
            }
            EngineCommand::Cancel { id } => {
                self.engine_sequences.remove(&id);
            }
            EngineCommand::Order { fencing, order } => {
                assert!(!self.is_draining, "engine order while draining");
                self.pending_order = Some((fencing, order));
            }
            EngineCommand::ReadInventory => return true,
            EngineCommand::ResumeDecode { .. } => {}
        }
        false
    }

    fn report_inventory(&mut self) {
        if self.unresponsive_count > 0 {
            self.unresponsive_count -= 1;
            self.handle(AgentEvent::Engine(EngineEvent::Unreachable));
            return;
        }
        let sequences = self.engine_sequences.keys().copied().collect();
        self.send_inventory(sequences);
    }

    fn send_inventory(&mut self, sequences: Vec<AttemptId>) {
        let inventory = EngineInventory {
            sequences,
            total_pieces: PIECES,
            role: self.role,
            models: self.models.clone(),
            adapters: Vec::new(),
        };
        self.handle(AgentEvent::Engine(EngineEvent::Inventory(inventory)));
    }

    fn answer_order(&mut self, is_done: bool) {
        let Some((fencing, order)) = self.pending_order.take() else {
            return;
        };
        if !is_done {
            self.handle(AgentEvent::Engine(EngineEvent::OrderFailed { fencing }));
            return;
        }
        match order {
            EngineOrder::SetRole { role } => {
                assert!(
                    role == self.role || self.slots_in_use() == 0,
                    "role changed while slots are in use"
                );
                self.role = role;
            }
            EngineOrder::LoadModel { model, version } => {
                self.models.push(LoadedModel { model, version });
            }
            EngineOrder::UnloadModel { model, version } => {
                let removed = LoadedModel { model, version };
                self.models.retain(|loaded| *loaded != removed);
            }
            EngineOrder::LoadAdapter { .. } | EngineOrder::UnloadAdapter { .. } => {}
        }
        self.handle(AgentEvent::Engine(EngineEvent::OrderDone { fencing }));
    }

    /// Sequences in the engine that this incarnation of the agent started. The agent may exit while
    /// the engine holds others, which the next incarnation finds and cancels.
    fn known_sequences(&self) -> Vec<AttemptId> {
        let ids = self.engine_sequences.keys().copied();
        ids.filter(|id| id.request.0 < FIRST_UNKNOWN).collect()
    }

    /// Number of slots in use according to the agent's load report.
    fn slots_in_use(&self) -> u32 {
        20 - self.load().free_slots.0
    }

    fn advance(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        let mut ticks_count = 0;
        while let Some(at) = self.agent.context.next_deadline() {
            let at_ms = at.get().div_ceil(1_000);
            if at_ms > until {
                break;
            }
            ticks_count = if at_ms <= self.now_ms {
                ticks_count + 1
            } else {
                0
            };
            assert!(
                ticks_count < TICKS_MAX_COUNT,
                "deadline stays due after a tick"
            );
            self.now_ms = self.now_ms.max(at_ms);
            self.handle(AgentEvent::Tick);
        }
        self.now_ms = until;
        self.handle(AgentEvent::Tick);
    }

    fn send(&mut self, id: AttemptId, request: AgentRequest) {
        self.calls_count += 1;
        let call = CallRef(self.calls_count);
        self.unanswered.insert(call, id);
        self.handle(AgentEvent::Request { call, request });
    }

    fn open_stream(&mut self, number: u128, mode: DecodeMode) {
        self.streams_count += 1;
        let stream = StreamRef(self.streams_count);
        self.streams.push(stream);
        let envelope = envelope(number, "kiosks");
        let open = DecodeOpen { envelope, mode };
        self.handle(AgentEvent::StreamOpened { stream, open });
    }

    fn sequence_event(&mut self, number: u128, event: SequenceEvent) {
        let id = id(number);
        if !self.engine_sequences.contains_key(&id) {
            return;
        }
        let event = match event {
            SequenceEvent::Prefilled => EngineEvent::PrefillDone {
                id,
                kv: KvHandle::default(),
                prompt_tokens: Tokens(1_000),
                cached_tokens: Tokens::ZERO,
            },
            SequenceEvent::Imported => EngineEvent::Imported { id },
            SequenceEvent::ImportFailed => EngineEvent::ImportFailed { id },
            SequenceEvent::StreamLost => EngineEvent::StreamLost { id },
            SequenceEvent::Failed => {
                self.engine_sequences.remove(&id);
                EngineEvent::SequenceFailed { id }
            }
        };
        self.handle(AgentEvent::Engine(event));
    }

    fn generate(&mut self, number: u128, is_last: bool) {
        let id = id(number);
        let Some(first_token) = self.engine_sequences.get(&id).copied() else {
            return;
        };
        self.engine_sequences.insert(id, first_token + 1);
        if is_last {
            self.engine_sequences.remove(&id);
        }
        self.handle(AgentEvent::Engine(EngineEvent::Generated {
            id,
            first_token,
            text: "t".to_string(),
            tokens: Tokens(1),
            finish: is_last.then_some(FinishReason::Stop),
        }));
    }

    fn end_service_call(&mut self, index: usize, how: u8) {
        if index >= self.running_calls.len() {
            return;
        }
        let run = self.running_calls.remove(index);
        let http = HttpResponse::default();
        self.handle(AgentEvent::Service(match how {
            0 => ServiceEvent::Answered { run, http },
            1 => ServiceEvent::NotSent { run },
            _ => ServiceEvent::Lost { run },
        }));
    }

    fn change_lists(&mut self, is_other_role: bool) {
        self.revision += 1;
        let mut lists: Lists = lists(self.revision);
        let servers = Arc::make_mut(&mut lists.servers);
        let server = servers.get_mut(&parse(self.server)).expect("listed");
        if let ServerAssignment::Engine(assignment) = &mut server.assignment {
            assignment.role = match (assignment.role, is_other_role) {
                (AssignedRole::Prefill, true) => AssignedRole::Decode,
                (AssignedRole::Decode, true) => AssignedRole::Prefill,
                (role, false) => role,
            };
        }
        self.handle(AgentEvent::Lists(Arc::new(lists)));
    }

    fn drain(&mut self) {
        if self.drained_count == 0 {
            self.is_draining = true;
            self.pending_order = None;
            self.handle(AgentEvent::Drain);
        }
    }

    pub(crate) fn apply(&mut self, op: &Op) {
        match *op {
            Op::Advance(ms) => self.advance(ms),
            Op::RequestModel(number, is_other) => {
                let is_prefill = (self.role == EngineRole::Prefill) != is_other;
                let request = match is_prefill {
                    true => prefill(number, "kiosks", "notes"),
                    false => reserve(number, "kiosks", "notes"),
                };
                self.send(id(number), request);
            }
            Op::Release(number) => {
                let envelope = envelope(number, "kiosks");
                self.send(id(number), AgentRequest::Release(Release { envelope }));
            }
            Op::DropCall(index) => {
                if let Some(call) = self.unanswered.keys().nth(index).copied() {
                    self.unanswered.remove(&call);
                    self.handle(AgentEvent::CallDropped { call });
                }
            }
            Op::OpenStream(number, kv) => self.open_stream(
                number,
                DecodeMode::Start(DecodeStart {
                    kv: KvHandle {
                        handle: kv.to_string(),
                        ..KvHandle::default()
                    },
                    output_max_tokens: Tokens(10),
                    ..DecodeStart::default()
                }),
            ),
            Op::ResumeStream(number, next) => self.open_stream(
                number,
                DecodeMode::Resume(DecodeResume {
                    incarnation: Incarnation(START_UNIX_MS),
                    next_sequence: SequenceNumber(next),
                }),
            ),
            Op::StreamControl(index, next) => {
                if let Some(stream) = self.streams.get(index).copied() {
                    let control = next.map_or(DecodeControl::Cancel, |next| {
                        DecodeControl::Acknowledge(SequenceNumber(next))
                    });
                    self.handle(AgentEvent::StreamControl { stream, control });
                }
            }
            Op::CloseStream(index) => {
                if index < self.streams.len() {
                    let stream = self.streams.remove(index);
                    self.handle(AgentEvent::StreamClosed { stream });
                }
            }
            Op::Sequence(number, event) => self.sequence_event(number, event),
            Op::Generate(number, is_last) => self.generate(number, is_last),
            Op::Unresponsive(count) => self.unresponsive_count += count,
            Op::EarlierInventory => {
                let earlier = std::mem::take(&mut self.earlier_sequences);
                self.earlier_sequences = self.engine_sequences.keys().copied().collect();
                self.send_inventory(earlier);
            }
            Op::UnknownSequence(number) => {
                if self.server != SERVICE {
                    self.engine_sequences.insert(id(number), 0);
                }
            }
            Op::AnswerOrder(is_done) => self.answer_order(is_done),
            Op::IssuePermit(number) => self.send(id(number), issue_permit(number, "kiosks")),
            Op::RunCall(number, permit, is_idempotent) => {
                let permit = self.permits.get(permit).copied().filter(|_| !is_idempotent);
                let method = if is_idempotent { "GET" } else { "POST" };
                self.send(id(number), run_call(number, permit, method));
            }
            Op::QueryPermit(number, permit) => {
                if let Some(permit) = self.permits.get(permit).copied() {
                    let envelope = envelope(number, "kiosks");
                    let query = QueryPermit { envelope, permit };
                    self.send(id(number), AgentRequest::QueryPermit(query));
                }
            }
            Op::EndServiceCall(index, how) => self.end_service_call(index, how),
            Op::ChangeLists(is_other_role) => self.change_lists(is_other_role),
            Op::Drain => self.drain(),
        }
    }

    /// Disconnects all entries, lets engine and service answer, and drains the agent. Checks that
    /// it has then released all resources.
    pub(crate) fn finish(&mut self) {
        self.unresponsive_count = 0;
        for stream in std::mem::take(&mut self.streams) {
            self.handle(AgentEvent::StreamClosed { stream });
        }
        for call in self.unanswered.keys().copied().collect::<Vec<_>>() {
            if self.unanswered.remove(&call).is_some() {
                self.handle(AgentEvent::CallDropped { call });
            }
        }
        while !self.running_calls.is_empty() {
            self.end_service_call(0, 0);
        }
        self.advance(RELEASE_MAX_MS);
        let load = self.load();
        assert_eq!(
            load.free_slots.0, 20,
            "slot still in use after all entries disconnected"
        );
        assert_eq!((load.running_count, load.queued_count), (0, 0));
        assert_eq!(
            self.known_sequences(),
            [],
            "sequence still in the engine after all entries disconnected"
        );
        assert!(
            self.drained_count > 0 || self.engine_sequences.is_empty(),
            "unknown sequence still in the engine"
        );
        self.drain();
        self.advance(OUTCOME_RETENTION_MS);
        assert_eq!(self.drained_count, 1, "drain did not complete");
    }
}
