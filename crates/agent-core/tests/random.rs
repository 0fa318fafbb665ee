//! An agent under random events: requests, streams, late and crossed engine events, permits, lists,
//! orders, silence of the engine and drain, on a fixed seed.

mod support;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cuminlead_agent_core::{AgentAction, AgentEvent, CallRef, StreamRef};
use cuminlead_lists::{AssignedRole, Lists, ServerAssignment};
use cuminlead_protocol::{
    AgentRequest, AskPermit, DecodeControl, DecodeMode, DecodeOpen, DecodeResume, DecodeStart,
    EngineCommand, EngineEvent, EngineInventory, EngineOrder, EngineRole, FinishReason,
    HttpResponse, KvHandle, LoadReport, LoadedModel, PermitIssued, Release, ReplyBody, RunRef,
    ServiceEvent,
};
use cuminlead_types::{
    AttemptId, DurationUs, FencingNumber, Incarnation, KvPieces, PermitId, SequenceNumber, TimeUs,
    Tokens,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use support::{Agent, START_UNIX_MS, envelope, issue, lists, name, prefill, reserve, run};

const CASES: u32 = 500;
const SEED: u64 = 11;
/// Sequences from here on are of an earlier life of the agent.
const FIRST_STRAY: u128 = 20;
const SERVICE: &str = "counter-1";
const PIECES: KvPieces = KvPieces(30);
/// P1: memory of requests that are gone is free within 30 s.
const GONE_FREE_MS: u64 = 30_000;
/// A draining agent retains the outcome of its last application call for 5 s.
const OUTCOME_MS: u64 = 5_000;
/// Ticks at one time after which the agent would spin.
const TICKS_MAX_COUNT: u32 = 20;

#[derive(Clone, Debug)]
enum Op {
    Wait(u64),
    Ask(u128, bool),
    Release(u128),
    DropCall(usize),
    Open(u128, u8),
    Resume(u128, u64),
    Control(usize, Option<u64>),
    Close(usize),
    Sequence(u128, Sign),
    Token(u128, bool),
    Silent(u32),
    Stale,
    Stray(u128),
    Answer(bool),
    Issue(u128),
    Run(u128, usize, bool),
    AskPermit(u128, usize),
    Service(usize, u8),
    Lists(bool),
    Drain,
}

#[derive(Clone, Copy, Debug)]
enum Sign {
    Prefilled,
    Imported,
    ImportFailed,
    StreamLost,
    Failed,
}

fn op() -> impl Strategy<Value = Op> {
    let attempt = || 1..8_u128;
    let sign = prop_oneof![
        4 => Just(Sign::Prefilled),
        4 => Just(Sign::Imported),
        1 => Just(Sign::ImportFailed),
        2 => Just(Sign::StreamLost),
        1 => Just(Sign::Failed),
    ];
    let control = prop_oneof![4 => (0..6_u64).prop_map(Some), 1 => Just(None)];
    prop_oneof![
        16 => (1..1_500_u64).prop_map(Op::Wait),
        2 => (2_000..12_000_u64).prop_map(Op::Wait),
        16 => (attempt(), prop::bool::weighted(0.3)).prop_map(|(id, other)| Op::Ask(id, other)),
        3 => attempt().prop_map(Op::Release),
        2 => (0..4_usize).prop_map(Op::DropCall),
        12 => (attempt(), 0..2_u8).prop_map(|(id, kv)| Op::Open(id, kv)),
        6 => (attempt(), 0..6_u64).prop_map(|(id, next)| Op::Resume(id, next)),
        8 => (0..4_usize, control).prop_map(|(stream, next)| Op::Control(stream, next)),
        3 => (0..4_usize).prop_map(Op::Close),
        16 => (attempt(), sign).prop_map(|(id, sign)| Op::Sequence(id, sign)),
        16 => (attempt(), prop::bool::weighted(0.2)).prop_map(|(id, last)| Op::Token(id, last)),
        2 => (1..4_u32).prop_map(Op::Silent),
        1 => Just(Op::Stale),
        1 => (FIRST_STRAY..FIRST_STRAY + 4).prop_map(Op::Stray),
        4 => prop::bool::weighted(0.8).prop_map(Op::Answer),
        6 => attempt().prop_map(Op::Issue),
        8 => (attempt(), 0..4_usize, any::<bool>()).prop_map(|(id, p, free)| Op::Run(id, p, free)),
        4 => (attempt(), 0..4_usize).prop_map(|(id, permit)| Op::AskPermit(id, permit)),
        6 => (0..4_usize, 0..3_u8).prop_map(|(run, how)| Op::Service(run, how)),
        2 => any::<bool>().prop_map(Op::Lists),
        1 => Just(Op::Drain),
    ]
}

fn id(number: u128) -> AttemptId {
    envelope(number, "kiosks").id
}

/// An agent, its engine or service, and what must hold of them.
struct Bench {
    agent: Agent,
    server: &'static str,
    now_ms: u64,
    calls_count: u64,
    streams_count: u64,
    /// Messages without a reply, and their attempts.
    asked: BTreeMap<CallRef, AttemptId>,
    streams: Vec<StreamRef>,
    permits: Vec<PermitId>,
    runs: Vec<RunRef>,
    /// Attempts that the agent had accepted before it drained.
    accepted: BTreeSet<AttemptId>,
    held: BTreeMap<AttemptId, u64>,
    earlier: Vec<AttemptId>,
    role: EngineRole,
    models: Vec<LoadedModel>,
    order: Option<(FencingNumber, EngineOrder)>,
    silent_count: u32,
    revision: u64,
    is_draining: bool,
    drained_count: u32,
}

impl Bench {
    fn new(server: &'static str) -> Self {
        let model = |text| LoadedModel {
            model: name(text),
            version: name("v1"),
        };
        let role = if server == "prefill-1" {
            EngineRole::Prefill
        } else {
            EngineRole::Decode
        };
        let mut bench = Self {
            agent: Agent::starting(server),
            server,
            now_ms: 0,
            calls_count: 0,
            streams_count: 0,
            asked: BTreeMap::new(),
            streams: Vec::new(),
            permits: Vec::new(),
            runs: Vec::new(),
            accepted: BTreeSet::new(),
            held: BTreeMap::new(),
            earlier: Vec::new(),
            role,
            models: vec![model("notes"), model("other")],
            order: None,
            silent_count: 0,
            revision: 5,
            is_draining: false,
            drained_count: 0,
        };
        bench.handle(AgentEvent::Lists(Arc::new(lists(5))));
        bench.handle(AgentEvent::ListsConfirmed {
            age_us: DurationUs::ZERO,
        });
        bench.answer_order(true);
        bench
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
            inventories_count += u32::from(self.carry_out(action));
        }
        for _ in 0..inventories_count {
            self.answer_inventory();
        }
    }

    /// Carries out an action; whether the inventory is asked for.
    fn carry_out(&mut self, action: AgentAction) -> bool {
        match action {
            AgentAction::Reply { call, reply } => {
                let id = self.asked.remove(&call).expect("answered once");
                self.replied(id, &reply.body);
            }
            AgentAction::Engine(command) => return self.command(command),
            AgentAction::Service(command) => {
                assert!(!self.runs.contains(&command.run), "a call runs twice");
                self.runs.push(command.run);
            }
            AgentAction::CloseStream { stream } => self.streams.retain(|open| *open != stream),
            AgentAction::Drained => {
                self.drained_count += 1;
                assert!(
                    self.is_draining && self.drained_count == 1,
                    "drained too often"
                );
                assert_eq!(self.held_known(), [], "drained with work");
                assert_eq!(self.runs, [], "drained with calls");
            }
            AgentAction::Send { .. } | AgentAction::Record(_) => {}
        }
        false
    }

    fn replied(&mut self, id: AttemptId, body: &ReplyBody) {
        match body {
            ReplyBody::Reserved(_) | ReplyBody::Prefilled(_) => self.new_work(id),
            ReplyBody::PermitIssued(PermitIssued { permit, .. }) => {
                assert!(!self.is_draining, "a permit while draining");
                self.permits.push(*permit);
            }
            _ => {}
        }
    }

    fn new_work(&mut self, id: AttemptId) {
        assert!(
            !self.is_draining || self.accepted.contains(&id),
            "{id} while draining"
        );
        self.accepted.insert(id);
    }

    fn command(&mut self, command: EngineCommand) -> bool {
        match command {
            EngineCommand::Prefill { id, .. } | EngineCommand::Decode { id, .. } => {
                self.new_work(id);
                self.held.insert(id, 0);
                assert!(self.held.len() <= 20 + 30, "more than the engine holds");
            }
            EngineCommand::Cancel { id } => {
                self.held.remove(&id);
            }
            EngineCommand::Order { fencing, order } => {
                assert!(!self.is_draining, "an order while draining");
                self.order = Some((fencing, order));
            }
            EngineCommand::ReadInventory => return true,
            EngineCommand::ResumeDecode { .. } => {}
        }
        false
    }

    fn answer_inventory(&mut self) {
        if self.silent_count > 0 {
            self.silent_count -= 1;
            self.handle(AgentEvent::Engine(EngineEvent::Unreachable));
            return;
        }
        let sequences = self.held.keys().copied().collect();
        self.show(sequences);
    }

    fn show(&mut self, sequences: Vec<AttemptId>) {
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
        let Some((fencing, order)) = self.order.take() else {
            return;
        };
        if !is_done {
            self.handle(AgentEvent::Engine(EngineEvent::OrderFailed { fencing }));
            return;
        }
        match order {
            EngineOrder::SetRole { role } => {
                assert!(
                    role == self.role || self.held_by_agent() == 0,
                    "a role under leases"
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

    /// Sequences in the engine that this life of the agent began. It may exit while the engine holds
    /// others: its successor finds and cancels them.
    fn held_known(&self) -> Vec<AttemptId> {
        let ids = self.held.keys().copied();
        ids.filter(|id| id.request.0 < FIRST_STRAY).collect()
    }

    /// Slots in use as the agent reports them.
    fn held_by_agent(&self) -> u32 {
        20 - self.load().free_slots.0
    }

    fn wait(&mut self, ms: u64) {
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
            assert!(ticks_count < TICKS_MAX_COUNT, "a deadline that stays due");
            self.now_ms = self.now_ms.max(at_ms);
            self.handle(AgentEvent::Tick);
        }
        self.now_ms = until;
        self.handle(AgentEvent::Tick);
    }

    fn send(&mut self, id: AttemptId, request: AgentRequest) {
        self.calls_count += 1;
        let call = CallRef(self.calls_count);
        self.asked.insert(call, id);
        self.handle(AgentEvent::Request { call, request });
    }

    fn open(&mut self, number: u128, mode: DecodeMode) {
        self.streams_count += 1;
        let stream = StreamRef(self.streams_count);
        self.streams.push(stream);
        let envelope = envelope(number, "kiosks");
        let open = DecodeOpen { envelope, mode };
        self.handle(AgentEvent::StreamOpened { stream, open });
    }

    fn sequence(&mut self, number: u128, sign: Sign) {
        let id = id(number);
        if !self.held.contains_key(&id) {
            return;
        }
        let event = match sign {
            Sign::Prefilled => EngineEvent::PrefillDone {
                id,
                kv: KvHandle::default(),
                prompt_tokens: Tokens(1_000),
                cached_tokens: Tokens::ZERO,
            },
            Sign::Imported => EngineEvent::Imported { id },
            Sign::ImportFailed => EngineEvent::ImportFailed { id },
            Sign::StreamLost => EngineEvent::StreamLost { id },
            Sign::Failed => {
                self.held.remove(&id);
                EngineEvent::SequenceFailed { id }
            }
        };
        self.handle(AgentEvent::Engine(event));
    }

    fn token(&mut self, number: u128, is_last: bool) {
        let id = id(number);
        let Some(first_token) = self.held.get(&id).copied() else {
            return;
        };
        self.held.insert(id, first_token + 1);
        if is_last {
            self.held.remove(&id);
        }
        self.handle(AgentEvent::Engine(EngineEvent::Generated {
            id,
            first_token,
            text: "t".to_string(),
            tokens: Tokens(1),
            finish: is_last.then_some(FinishReason::Stop),
        }));
    }

    fn service(&mut self, index: usize, how: u8) {
        if index >= self.runs.len() {
            return;
        }
        let run = self.runs.remove(index);
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
        let server = servers.get_mut(&name(self.server)).expect("listed");
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
            self.order = None;
            self.handle(AgentEvent::Drain);
        }
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Wait(ms) => self.wait(ms),
            Op::Ask(number, is_other) => {
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
                if let Some(call) = self.asked.keys().nth(index).copied() {
                    self.asked.remove(&call);
                    self.handle(AgentEvent::CallDropped { call });
                }
            }
            Op::Open(number, kv) => self.open(
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
            Op::Resume(number, next) => self.open(
                number,
                DecodeMode::Resume(DecodeResume {
                    incarnation: Incarnation(START_UNIX_MS),
                    next_sequence: SequenceNumber(next),
                }),
            ),
            Op::Control(index, next) => {
                if let Some(stream) = self.streams.get(index).copied() {
                    let control = next.map_or(DecodeControl::Cancel, |next| {
                        DecodeControl::Acknowledge(SequenceNumber(next))
                    });
                    self.handle(AgentEvent::StreamControl { stream, control });
                }
            }
            Op::Close(index) => {
                if index < self.streams.len() {
                    let stream = self.streams.remove(index);
                    self.handle(AgentEvent::StreamClosed { stream });
                }
            }
            Op::Sequence(number, sign) => self.sequence(number, sign),
            Op::Token(number, is_last) => self.token(number, is_last),
            Op::Silent(count) => self.silent_count += count,
            Op::Stale => {
                let earlier = std::mem::take(&mut self.earlier);
                self.earlier = self.held.keys().copied().collect();
                self.show(earlier);
            }
            Op::Stray(number) => {
                if self.server != SERVICE {
                    self.held.insert(id(number), 0);
                }
            }
            Op::Answer(is_done) => self.answer_order(is_done),
            Op::Issue(number) => self.send(id(number), issue(number, "kiosks")),
            Op::Run(number, permit, is_free) => {
                let permit = self.permits.get(permit).copied().filter(|_| !is_free);
                let method = if is_free { "GET" } else { "POST" };
                self.send(id(number), run(number, permit, method));
            }
            Op::AskPermit(number, permit) => {
                if let Some(permit) = self.permits.get(permit).copied() {
                    let envelope = envelope(number, "kiosks");
                    let ask = AskPermit { envelope, permit };
                    self.send(id(number), AgentRequest::AskPermit(ask));
                }
            }
            Op::Service(index, how) => self.service(index, how),
            Op::Lists(is_other_role) => self.change_lists(is_other_role),
            Op::Drain => self.drain(),
        }
    }

    /// All entries are gone, engine and service work, and the agent drains in the end.
    fn end(&mut self) {
        self.silent_count = 0;
        for stream in std::mem::take(&mut self.streams) {
            self.handle(AgentEvent::StreamClosed { stream });
        }
        for call in self.asked.keys().copied().collect::<Vec<_>>() {
            if self.asked.remove(&call).is_some() {
                self.handle(AgentEvent::CallDropped { call });
            }
        }
        while !self.runs.is_empty() {
            self.service(0, 0);
        }
        self.wait(GONE_FREE_MS);
        let load = self.load();
        assert_eq!(load.free_slots.0, 20, "a slot is held for nobody");
        assert_eq!((load.running_count, load.queued_count), (0, 0));
        assert_eq!(self.held_known(), [], "held in the engine");
        assert!(
            self.drained_count > 0 || self.held.is_empty(),
            "unknown sequences stay"
        );
        self.drain();
        self.wait(OUTCOME_MS);
        assert_eq!(self.drained_count, 1, "a drain that does not end");
    }
}

/// Guards against a slot or KV piece that is lost or counted twice, a lease without an end, a message
/// that is answered twice, a call that runs twice, a role that changes under leases, new work, permits
/// or orders of a draining agent, a drain that ends early, twice or never, a deadline that stays due,
/// and memory that is held for longer than the bounds of the design.
#[yare::parameterized(
    decode = { "decode-1" },
    prefill = { "prefill-1" },
    service = { SERVICE },
)]
fn keeps_its_bounds(server: &'static str) {
    let mut runner = TestRunner::new(Config {
        cases: CASES,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    });
    let ops = prop::collection::vec(op(), 1..120);
    let accepted_count = Cell::new(0);
    let permits_count = Cell::new(0);
    let result = runner.run(&ops, |ops| {
        let mut bench = Bench::new(server);
        for op in &ops {
            bench.apply(op);
        }
        bench.end();
        accepted_count.set(accepted_count.get() + bench.accepted.len());
        permits_count.set(permits_count.get() + bench.permits.len());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    let (accepted_count, permits_count) = (accepted_count.get(), permits_count.get());
    println!("{server}: {CASES} sequences, {accepted_count} attempts, {permits_count} permits");
    let worked_count = accepted_count + permits_count;
    assert!(
        worked_count > CASES as usize,
        "hardly any work was accepted"
    );
}
