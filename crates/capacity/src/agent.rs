//! Decisions and memory of an agent.

use std::sync::Arc;

use cuminlead_agent_core::{
    AgentAction, AgentConfig, AgentContext, AgentEvent, CallRef, StreamRef,
};
use cuminlead_lists::Lists;
use cuminlead_permits::{KeyId, owner_of};
use cuminlead_protocol::{
    AgentRequest, DecodeControl, DecodeMode, DecodeOpen, DecodeStart, EngineCommand, EngineEvent,
    EngineInventory, EngineRole, FinishReason, HttpRequest, HttpResponse, IssuePermit, KvHandle,
    LoadedModel, Prefill, Release, ReplyBody, Reserve, RunCall, ServiceCallRef, ServiceEvent,
};
use cuminlead_types::{
    AttemptId, DurationUs, IdempotencyKey, Incarnation, KvPieces, Now, PermitId, RequestId,
    SequenceNumber, TimeUs, Tokens, UnixMs,
};

use crate::Report;
use crate::fixture::{DESIGN_LISTS, ListSize, customer, envelope, name, snapshot, target};
use crate::measure::{Times, hold};

const LEASES: [usize; 4] = [1, 5, 10, 20];
const RECORDS: [usize; 3] = [100, 1_000, 10_000];
/// Places and queue of an agent by design 5.9.
const FULL_LEASES: usize = 20;
const FULL_QUEUE: usize = 64;
const REPEATS: u64 = 20_000;
const REQUESTS: u128 = 300;
const CHUNKS: u64 = 100;
const PROMPT_TOKENS: u64 = 10_000;
const APPLIES: usize = 7;
const RESPONSE_BYTES: usize = 256;
/// Time between two events; short, so that no lease or target ends during a measurement.
const STEP: DurationUs = DurationUs(10);

/// More than the retention and the staleness of keys together, by design 5.4.
const RETENTION: DurationUs = DurationUs::from_ms(1_300_000);

/// Agent with its lists and the references of its messages.
struct Agent {
    context: AgentContext,
    now: Now,
    next: u64,
    actions: Vec<AgentAction>,
}

pub(crate) fn run(report: &mut Report) {
    let size = ListSize {
        customers: 440,
        parts: 1,
        engines: 230,
    };
    let lists = Arc::new(snapshot(size, 1).check().expect("valid lists"));
    busy_decode(report, &lists);
    whole_requests(report, &lists);
    lease_memory(report, &lists);
    permit_memory(report, &lists);
    take_lists(report);
}

/// Decisions with all leases taken and the queue full.
fn busy_decode(report: &mut Report, lists: &Arc<Lists>) {
    let mut agent = Agent::decode(lists);
    fill(&mut agent, FULL_LEASES);
    for number in 0..FULL_QUEUE {
        agent.request(reserve(1_000 + number as u128));
    }
    let load = agent.context.state(agent.now.mono_us).load;
    assert_eq!((load.free_slots.0, load.queued_count), (0, 64));
    let add = |report: &mut Report, quantity: &str, times: &Times| {
        report.add(
            &format!("{quantity}_p50"),
            "us",
            FULL_LEASES,
            times.median(),
        );
        report.add(
            &format!("{quantity}_p99"),
            "us",
            FULL_LEASES,
            times.percentile(99),
        );
    };
    let refusals = repeat(&mut agent, |agent, at| {
        let call = agent.reference();
        AgentEvent::Request {
            call: CallRef(call),
            request: reserve(100_000 + u128::from(at)),
        }
    });
    add(report, "agent_refuse_at_full_queue", &refusals);
    let chunks = repeat(&mut agent, |_, at| generated(at % 20, at / 20));
    add(report, "agent_chunk_with_20_leases", &chunks);
    let acknowledgements = repeat(&mut agent, |_, at| AgentEvent::StreamControl {
        stream: StreamRef(at % 20),
        control: DecodeControl::Acknowledge(SequenceNumber(at / 20 + 1)),
    });
    add(
        report,
        "agent_acknowledge_with_20_leases",
        &acknowledgements,
    );
    let ticks = repeat(&mut agent, |_, _| AgentEvent::Tick);
    add(report, "agent_tick_with_20_leases", &ticks);
    let mut turns = Times::default();
    for at in 0..u128::from(FULL_QUEUE as u64) {
        let message = release(lease_of_turn(at));
        let event = agent.request_event(message);
        turns.time(|| agent.handle(event));
        agent.request(reserve(500_000 + at));
    }
    add(report, "agent_release_and_grant_with_full_queue", &turns);
}

/// Attempt that holds a lease before a turn: first those that were granted at once, then those
/// that waited.
fn lease_of_turn(turn: u128) -> u128 {
    let full = FULL_LEASES as u128;
    if turn < full {
        turn
    } else {
        1_000 + turn - full
    }
}

fn repeat(agent: &mut Agent, event: impl Fn(&mut Agent, u64) -> AgentEvent) -> Times {
    let mut times = Times::default();
    for at in 0..REPEATS {
        let event = event(agent, at);
        times.time(|| agent.handle(event));
    }
    times
}

/// Time of all decisions on one request at each of its two agents.
fn whole_requests(report: &mut Report, lists: &Arc<Lists>) {
    let (mut decodes, mut prefills) = (Times::default(), Times::default());
    let mut agent = Agent::decode(lists);
    for number in 0..REQUESTS {
        decodes.time(|| decode_request(&mut agent, number, CHUNKS));
    }
    let chunks = usize::try_from(CHUNKS).unwrap_or(0);
    report.add(
        "agent_decode_request_by_chunks",
        "us",
        chunks,
        decodes.mean(),
    );
    let mut agent = Agent::decode(lists);
    let mut short = Times::default();
    for number in 0..REQUESTS {
        short.time(|| decode_request(&mut agent, number, 1));
    }
    report.add("agent_decode_request_by_chunks", "us", 1, short.mean());
    let mut agent = Agent::of_engine(lists, "engine-0000", EngineRole::Prefill);
    for number in 0..REQUESTS {
        prefills.time(|| prefill_request(&mut agent, number));
    }
    let tokens = usize::try_from(PROMPT_TOKENS).unwrap_or(0);
    report.add("agent_prefill_request", "us", tokens, prefills.mean());
}

fn decode_request(agent: &mut Agent, number: u128, chunks: u64) {
    agent.request(reserve(number));
    let stream = agent.open(number);
    for at in 0..chunks {
        let finish = (at + 1 == chunks).then_some(FinishReason::Stop);
        agent.handle(generated_for(number, at, finish));
    }
    let control = DecodeControl::Acknowledge(SequenceNumber(chunks));
    agent.handle(AgentEvent::StreamControl { stream, control });
    agent.handle(AgentEvent::StreamClosed { stream });
    agent.request(release(number));
}

fn prefill_request(agent: &mut Agent, number: u128) {
    agent.request(prefill(number));
    agent.handle(AgentEvent::Engine(EngineEvent::PrefillDone {
        id: id(number),
        kv: kv(),
        prompt_tokens: Tokens(PROMPT_TOKENS),
        cached_tokens: Tokens::ZERO,
    }));
    agent.request(release(number));
}

fn lease_memory(report: &mut Report, lists: &Arc<Lists>) {
    for leases in LEASES {
        let held = hold(|| {
            let mut agent = Agent::decode(lists);
            fill(&mut agent, leases);
            agent
        });
        report.add("agent_heap_by_decode_leases", "bytes", leases, held.bytes);
        let held = hold(|| {
            let mut agent = Agent::decode(lists);
            fill(&mut agent, leases);
            for number in 0..leases as u64 {
                (0..CHUNKS).for_each(|at| agent.handle(generated(number, at)));
            }
            agent
        });
        report.add(
            "agent_heap_by_leases_with_100_chunks",
            "bytes",
            leases,
            held.bytes,
        );
        let held = hold(|| {
            let mut agent = Agent::of_engine(lists, "engine-0000", EngineRole::Prefill);
            (0..leases as u128).for_each(|number| agent.request(prefill(number)));
            agent.actions = Vec::new();
            agent
        });
        report.add(
            "agent_heap_by_prefills_of_10000_tokens",
            "bytes",
            leases,
            held.bytes,
        );
    }
}

fn permit_memory(report: &mut Report, lists: &Arc<Lists>) {
    for records in RECORDS {
        let held = hold(|| permits(lists, records, false));
        report.add("agent_heap_by_permit_records", "bytes", records, held.bytes);
        let held = hold(|| permits(lists, records, true));
        report.add(
            "agent_heap_by_key_records_of_256_bytes",
            "bytes",
            records,
            held.bytes,
        );
        let mut agent = held.value;
        let mut times = Times::default();
        for number in 0..1_000 {
            let key = Some(owned_key(lists, 1_000_000 + number));
            times.time(|| permit(&mut agent, 1_000_000 + number, key));
        }
        report.add("agent_keyed_call_by_records", "us", records, times.mean());
    }
}

fn permits(lists: &Arc<Lists>, records: usize, is_keyed: bool) -> Agent {
    let mut agent = Agent::with_lists(lists, "counter-0");
    agent.outlive_retention();
    for number in 0..records as u128 {
        let key = is_keyed.then(|| owned_key(lists, number));
        permit(&mut agent, number, key);
    }
    agent.actions = Vec::new();
    agent
}

/// Key of the first customer that `counter-0` owns.
fn owned_key(lists: &Lists, number: u128) -> IdempotencyKey {
    let own = name("counter-0");
    let keys = (0..).map(|attempt| KeyId {
        customer: name(&customer(0)),
        service: name("counter"),
        key: name(&format!("{number:032}-{attempt:03}")),
    });
    let mut owned = keys.filter(|key| {
        let servers = lists.servers_of_service(&key.service);
        owner_of(key, servers) == Some(&own)
    });
    owned.next().expect("an owned key").key
}

/// One call under a permit, up to its retained outcome.
fn permit(agent: &mut Agent, number: u128, key: Option<IdempotencyKey>) {
    agent.request(AgentRequest::IssuePermit(IssuePermit {
        envelope: envelope(number),
        service: name("counter"),
        key,
        key_issued_at_ms: Some(agent.now.unix_ms),
    }));
    let Some(permit) = agent.issued() else {
        return;
    };
    let body = vec![7; RESPONSE_BYTES];
    agent.request(AgentRequest::RunCall(RunCall {
        envelope: envelope(number),
        service: name("counter"),
        permit: Some(permit),
        http: HttpRequest {
            method: "POST".to_string(),
            path: "/charges".to_string(),
            ..HttpRequest::default()
        },
    }));
    agent.handle(AgentEvent::Service(ServiceEvent::Answered {
        run: ServiceCallRef::Permit(permit),
        http: HttpResponse {
            status: 200,
            content_type: "application/json".to_string(),
            body,
        },
    }));
}

/// Time in which an agent takes lists of the design scale that another part has parsed.
fn take_lists(report: &mut Report) {
    let mut agent = Agent::decode(&Arc::new(snapshot(DESIGN_LISTS, 1).check().expect("lists")));
    let mut times = Times::default();
    for revision in 0..APPLIES as u64 {
        let mut lists = snapshot(DESIGN_LISTS, 1).check().expect("lists");
        lists.revision.0 = 2 + revision;
        let event = AgentEvent::Lists(Arc::new(lists));
        times.time(|| agent.handle(event));
    }
    report.add(
        "agent_take_lists",
        "us",
        DESIGN_LISTS.customers,
        times.median(),
    );
}

fn fill(agent: &mut Agent, leases: usize) {
    for number in 0..leases as u128 {
        agent.request(reserve(number));
        agent.open(number);
    }
}

fn id(number: u128) -> AttemptId {
    AttemptId {
        request: RequestId(number),
        ..envelope(number).id
    }
}

fn reserve(number: u128) -> AgentRequest {
    AgentRequest::Reserve(Reserve {
        envelope: envelope(number),
        target: target(),
        prompt_tokens: Tokens(PROMPT_TOKENS),
        output_max_tokens: Tokens(200),
        lease_us: DurationUs::from_ms(10_000),
        due_us: DurationUs::from_ms(10_000),
        wait_max_us: DurationUs::from_ms(10_000),
        ..Reserve::default()
    })
}

fn prefill(number: u128) -> AgentRequest {
    AgentRequest::Prefill(Prefill {
        envelope: envelope(number),
        target: target(),
        prompt: "p".repeat(usize::try_from(4 * PROMPT_TOKENS).unwrap_or(0)),
        prompt_tokens: Tokens(PROMPT_TOKENS),
        due_us: DurationUs::from_ms(60_000),
        wait_max_us: DurationUs::from_ms(60_000),
        ..Prefill::default()
    })
}

fn release(number: u128) -> AgentRequest {
    AgentRequest::Release(Release {
        envelope: envelope(number),
    })
}

fn kv() -> KvHandle {
    KvHandle {
        address: "10.0.0.1:7500".to_string(),
        handle: "kv-0000000000000001".to_string(),
    }
}

fn generated(number: u64, first_token: u64) -> AgentEvent {
    generated_for(u128::from(number), first_token, None)
}

fn generated_for(number: u128, first_token: u64, finish: Option<FinishReason>) -> AgentEvent {
    AgentEvent::Engine(EngineEvent::Generated {
        id: id(number),
        first_token,
        text: "word ".to_string(),
        tokens: Tokens(1),
        finish,
    })
}

impl Agent {
    fn decode(lists: &Arc<Lists>) -> Self {
        Self::of_engine(lists, "engine-0001", EngineRole::Decode)
    }

    fn of_engine(lists: &Arc<Lists>, server: &str, role: EngineRole) -> Self {
        let mut agent = Self::with_lists(lists, server);
        agent.handle(AgentEvent::Engine(EngineEvent::Inventory(
            EngineInventory {
                total_pieces: KvPieces(256),
                role,
                models: vec![LoadedModel {
                    model: name("model-0"),
                    version: name("v1"),
                }],
                ..EngineInventory::default()
            },
        )));
        agent.answer_order();
        agent
    }

    /// The engine has done the order that shows it the agent's fencing number.
    fn answer_order(&mut self) {
        let mut orders = self.actions.iter().filter_map(|action| match action {
            AgentAction::Engine(EngineCommand::Order { fencing, .. }) => Some(*fencing),
            _ => None,
        });
        if let Some(fencing) = orders.next_back() {
            self.handle(AgentEvent::Engine(EngineEvent::OrderDone { fencing }));
        }
    }

    fn with_lists(lists: &Arc<Lists>, server: &str) -> Self {
        let start_ms = 1_700_000_000_000;
        let mut agent = Self {
            context: AgentContext::new(AgentConfig::new(name(server), Incarnation(start_ms))),
            now: Now {
                mono_us: TimeUs(1_000_000),
                unix_ms: UnixMs(start_ms),
            },
            next: 0,
            actions: Vec::new(),
        };
        agent.handle(AgentEvent::Lists(Arc::clone(lists)));
        agent.handle(AgentEvent::ListsConfirmed {
            age_us: DurationUs::ZERO,
        });
        agent
    }

    /// Lets the time pass in which keys without a record are answered as unknown.
    fn outlive_retention(&mut self) {
        self.now.mono_us = self.now.mono_us + RETENTION;
        self.now.unix_ms.0 += RETENTION.as_ms();
        self.handle(AgentEvent::ListsConfirmed {
            age_us: DurationUs::ZERO,
        });
    }

    fn reference(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn handle(&mut self, event: AgentEvent) {
        self.actions.clear();
        self.now.mono_us = self.now.mono_us + STEP;
        self.context.handle(self.now, event, &mut self.actions);
    }

    fn request_event(&mut self, request: AgentRequest) -> AgentEvent {
        let call = CallRef(self.reference());
        AgentEvent::Request { call, request }
    }

    fn request(&mut self, request: AgentRequest) {
        let event = self.request_event(request);
        self.handle(event);
    }

    /// Opens a decode stream and reports its import; the stream has the number of the request.
    fn open(&mut self, number: u128) -> StreamRef {
        let stream = StreamRef(u64::try_from(number).unwrap_or(u64::MAX));
        self.handle(AgentEvent::StreamOpened {
            stream,
            open: DecodeOpen {
                envelope: envelope(number),
                mode: DecodeMode::Start(DecodeStart {
                    kv: kv(),
                    first_sequence: SequenceNumber(0),
                    output_max_tokens: Tokens(200),
                }),
            },
        });
        self.handle(AgentEvent::Engine(EngineEvent::Imported { id: id(number) }));
        stream
    }

    fn issued(&self) -> Option<PermitId> {
        self.actions.iter().find_map(|action| match action {
            AgentAction::Reply { reply, .. } => match &reply.body {
                ReplyBody::PermitIssued(issued) => Some(issued.permit),
                body => panic!("no permit: {body:?}"),
            },
            _ => None,
        })
    }
}
