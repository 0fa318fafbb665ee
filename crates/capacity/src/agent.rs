//! Measures the decisions and the memory of an agent.

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
use crate::fixture::{
    DESIGN_LISTS, ListSize, customer, envelope, name, prompt_parts, snapshot, target,
};
use crate::measure::{Timings, measure_heap};

const LEASE_COUNTS: [usize; 4] = [1, 5, 10, 20];
const RECORD_COUNTS: [usize; 3] = [100, 1_000, 10_000];
/// Decode slots and queue length of an agent by design 5.9.
const DECODE_SLOTS_COUNT: usize = 20;
const QUEUE_MAX_COUNT: usize = 64;
const REPEATS: u64 = 20_000;
const REQUESTS_COUNT: u128 = 300;
const CHUNKS_COUNT: u64 = 100;
const PROMPT_TOKENS: u64 = 10_000;
const INSTALL_REPEATS: usize = 7;
const RESPONSE_BYTES: usize = 256;
/// Time between two events, short enough that no lease and no deadline expires during a
/// measurement.
const EVENT_INTERVAL: DurationUs = DurationUs(10);

/// Longer than the retention and the staleness of keys together (design 5.4).
const KEY_RETENTION: DurationUs = DurationUs::from_ms(1_300_000);

/// Agent with a clock and the references of its calls.
struct AgentDriver {
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
    full_decode_agent(report, &lists);
    complete_requests(report, &lists);
    lease_memory(report, &lists);
    permit_memory(report, &lists);
    install_lists(report);
}

/// Measures decisions of an agent whose decode slots are all leased and whose queue is full.
fn full_decode_agent(report: &mut Report, lists: &Arc<Lists>) {
    let mut agent = AgentDriver::decode(lists);
    start_decodes(&mut agent, DECODE_SLOTS_COUNT);
    for number in 0..QUEUE_MAX_COUNT {
        agent.request(reserve(1_000 + number as u128));
    }
    let load = agent.context.state(agent.now.mono_us).load;
    assert_eq!((load.free_slots.0, load.queued_count), (0, 64));
    let add = |report: &mut Report, quantity: &str, times: &Timings| {
        report.add(
            &format!("{quantity}_p50"),
            "us",
            DECODE_SLOTS_COUNT,
            times.median(),
        );
        report.add(
            &format!("{quantity}_p99"),
            "us",
            DECODE_SLOTS_COUNT,
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
    let mut releases = Timings::default();
    for at in 0..u128::from(QUEUE_MAX_COUNT as u64) {
        let message = release(lease_to_release(at));
        let event = agent.request_event(message);
        releases.time(|| agent.handle(event));
        agent.request(reserve(500_000 + at));
    }
    add(report, "agent_release_and_grant_with_full_queue", &releases);
}

/// Attempt to release after `released_count` others: first those that got a lease at once, then
/// those that waited in the queue.
fn lease_to_release(released_count: u128) -> u128 {
    let full = DECODE_SLOTS_COUNT as u128;
    if released_count < full {
        released_count
    } else {
        1_000 + released_count - full
    }
}

fn repeat(agent: &mut AgentDriver, event: impl Fn(&mut AgentDriver, u64) -> AgentEvent) -> Timings {
    let mut times = Timings::default();
    for at in 0..REPEATS {
        let event = event(agent, at);
        times.time(|| agent.handle(event));
    }
    times
}

/// Measures the total time of all decisions on one request, at its decode agent and at its prefill
/// agent.
fn complete_requests(report: &mut Report, lists: &Arc<Lists>) {
    let (mut decodes, mut prefills) = (Timings::default(), Timings::default());
    let mut agent = AgentDriver::decode(lists);
    for number in 0..REQUESTS_COUNT {
        decodes.time(|| decode_request(&mut agent, number, CHUNKS_COUNT));
    }
    let chunks = usize::try_from(CHUNKS_COUNT).unwrap_or(0);
    report.add(
        "agent_decode_request_by_chunks",
        "us",
        chunks,
        decodes.mean(),
    );
    let mut agent = AgentDriver::decode(lists);
    let mut short = Timings::default();
    for number in 0..REQUESTS_COUNT {
        short.time(|| decode_request(&mut agent, number, 1));
    }
    report.add("agent_decode_request_by_chunks", "us", 1, short.mean());
    let mut agent = AgentDriver::of_engine(lists, "engine-0000", EngineRole::Prefill);
    for number in 0..REQUESTS_COUNT {
        prefills.time(|| prefill_request(&mut agent, number));
    }
    let tokens = usize::try_from(PROMPT_TOKENS).unwrap_or(0);
    report.add("agent_prefill_request", "us", tokens, prefills.mean());
}

fn decode_request(agent: &mut AgentDriver, number: u128, chunks: u64) {
    agent.request(reserve(number));
    let stream = agent.open_stream(number);
    for at in 0..chunks {
        let finish = (at + 1 == chunks).then_some(FinishReason::Stop);
        agent.handle(generated_for(number, at, finish));
    }
    let control = DecodeControl::Acknowledge(SequenceNumber(chunks));
    agent.handle(AgentEvent::StreamControl { stream, control });
    agent.handle(AgentEvent::StreamClosed { stream });
    agent.request(release(number));
}

fn prefill_request(agent: &mut AgentDriver, number: u128) {
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
    for leases in LEASE_COUNTS {
        let heap = measure_heap(|| {
            let mut agent = AgentDriver::decode(lists);
            start_decodes(&mut agent, leases);
            agent
        });
        report.add("agent_heap_by_decode_leases", "bytes", leases, heap.bytes);
        let heap = measure_heap(|| {
            let mut agent = AgentDriver::decode(lists);
            start_decodes(&mut agent, leases);
            for number in 0..leases as u64 {
                (0..CHUNKS_COUNT).for_each(|at| agent.handle(generated(number, at)));
            }
            agent
        });
        report.add(
            "agent_heap_by_leases_with_100_chunks",
            "bytes",
            leases,
            heap.bytes,
        );
        let heap = measure_heap(|| {
            let mut agent = AgentDriver::of_engine(lists, "engine-0000", EngineRole::Prefill);
            (0..leases as u128).for_each(|number| agent.request(prefill(number)));
            agent.actions = Vec::new();
            agent
        });
        report.add(
            "agent_heap_by_prefills_of_10000_tokens",
            "bytes",
            leases,
            heap.bytes,
        );
    }
}

fn permit_memory(report: &mut Report, lists: &Arc<Lists>) {
    for records in RECORD_COUNTS {
        let heap = measure_heap(|| agent_with_permit_records(lists, records, false));
        report.add("agent_heap_by_permit_records", "bytes", records, heap.bytes);
        let heap = measure_heap(|| agent_with_permit_records(lists, records, true));
        report.add(
            "agent_heap_by_key_records_of_256_bytes",
            "bytes",
            records,
            heap.bytes,
        );
        let mut agent = heap.value;
        let mut times = Timings::default();
        for number in 0..1_000 {
            let key = Some(owned_key(lists, 1_000_000 + number));
            times.time(|| run_permitted_call(&mut agent, 1_000_000 + number, key));
        }
        report.add("agent_keyed_call_by_records", "us", records, times.mean());
    }
}

fn agent_with_permit_records(lists: &Arc<Lists>, records: usize, is_keyed: bool) -> AgentDriver {
    let mut agent = AgentDriver::with_lists(lists, "counter-0");
    agent.advance_past_key_retention();
    for number in 0..records as u128 {
        let key = is_keyed.then(|| owned_key(lists, number));
        run_permitted_call(&mut agent, number, key);
    }
    agent.actions = Vec::new();
    agent
}

/// Idempotency key of the first customer for which `counter-0` is the owning server.
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

/// Performs one call under a permit, up to its retained outcome.
fn run_permitted_call(agent: &mut AgentDriver, number: u128, key: Option<IdempotencyKey>) {
    agent.request(AgentRequest::IssuePermit(IssuePermit {
        envelope: envelope(number),
        service: name("counter"),
        key,
        key_issued_at_ms: Some(agent.now.unix_ms),
    }));
    let Some(permit) = agent.issued_permit() else {
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

/// Measures the time in which an agent puts already parsed lists of the design scale into effect.
fn install_lists(report: &mut Report) {
    let mut agent =
        AgentDriver::decode(&Arc::new(snapshot(DESIGN_LISTS, 1).check().expect("lists")));
    let mut times = Timings::default();
    for revision in 0..INSTALL_REPEATS as u64 {
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

fn start_decodes(agent: &mut AgentDriver, leases: usize) {
    for number in 0..leases as u128 {
        agent.request(reserve(number));
        agent.open_stream(number);
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
        prompt_parts: prompt_parts(1),
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

impl AgentDriver {
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
        agent.complete_order();
        agent
    }

    /// Reports the engine order that carries the agent's fencing number as done.
    fn complete_order(&mut self) {
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

    /// Advances the clock past the time in which the agent answers keys without a record as
    /// unknown.
    fn advance_past_key_retention(&mut self) {
        self.now.mono_us = self.now.mono_us + KEY_RETENTION;
        self.now.unix_ms.0 += KEY_RETENTION.as_ms();
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
        self.now.mono_us = self.now.mono_us + EVENT_INTERVAL;
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

    /// Opens a decode stream and reports its KV cache as imported; the stream has the number of the
    /// request.
    fn open_stream(&mut self, number: u128) -> StreamRef {
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

    fn issued_permit(&self) -> Option<PermitId> {
        self.actions.iter().find_map(|action| match action {
            AgentAction::Reply { reply, .. } => match &reply.body {
                ReplyBody::PermitIssued(issued) => Some(issued.permit),
                body => panic!("no permit: {body:?}"),
            },
            _ => None,
        })
    }
}
