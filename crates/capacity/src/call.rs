//! Handling and memory of a model call at an entry.

use std::collections::{HashMap, VecDeque};

use crossbeam::channel::{Receiver, Sender, unbounded};
use cuminlead_entry_core::{
    Call, CallAction, CallConfig, CallEvent, CallStreamRef, ModelCall, ModelRequest, SendOutcome,
    SendRef,
};
use cuminlead_protocol::{
    AgentReply, AgentRequest, AgentState, Chunk, DecodeEvent, FinishReason, KvHandle, Prefilled,
    ReplyBody, Reserved,
};
use cuminlead_routing::Route;
use cuminlead_types::{
    DurationUs, Incarnation, RequestId, Revision, SequenceNumber, TimeUs, Tokens,
};

use crate::Report;
use crate::fixture::{customer, envelope, name, target};
use crate::measure::{Times, hold};

const PROMPTS: [usize; 3] = [100, 1_000, 10_000];
const CHUNKS: [usize; 3] = [10, 100, 1_000];
const REQUESTS: u128 = 200;
const TOKEN_BYTES: usize = 4;
const STEP: DurationUs = DurationUs(100);

/// Model call with the time of its last event and its last actions.
struct Driven {
    call: ModelCall,
    now: TimeUs,
    number: u128,
    actions: Vec<CallAction>,
    /// Containers of the kinds that the entry's driver has for each call.
    _driver: Containers,
}

/// What a driver holds beside its call; its streams run on other threads.
struct Containers {
    _events: (Sender<CallEvent>, Receiver<CallEvent>),
    _streams: HashMap<CallStreamRef, tokio::sync::mpsc::UnboundedSender<CallEvent>>,
    _outputs: VecDeque<CallAction>,
}

pub(crate) fn run(report: &mut Report) {
    for prompt_tokens in PROMPTS {
        let held = hold(|| Driven::decoding(1, prompt_tokens, &mut Times::default()));
        report.add(
            "call_heap_by_prompt_tokens",
            "bytes",
            prompt_tokens,
            held.bytes,
        );
        requests(report, prompt_tokens);
    }
    for chunks in CHUNKS {
        let held = hold(|| {
            let mut driven = Driven::decoding(1, 1_000, &mut Times::default());
            (0..chunks as u64).for_each(|at| driven.chunk(at, false));
            driven
        });
        report.add("call_heap_by_chunks_of_answer", "bytes", chunks, held.bytes);
        chunk_times(report, chunks);
    }
}

/// Time of all decisions on a request without its chunks.
fn requests(report: &mut Report, prompt_tokens: usize) {
    let mut totals = Times::default();
    for number in 0..REQUESTS {
        let mut steps = Times::default();
        let driven = totals.time(|| {
            let mut driven = Driven::decoding(number, prompt_tokens, &mut steps);
            driven.chunk(0, true);
            driven.answer_sends();
            driven
        });
        assert!(driven.call.is_ended());
    }
    report.add(
        "call_request_by_prompt_tokens",
        "us",
        prompt_tokens,
        totals.median(),
    );
}

fn chunk_times(report: &mut Report, chunks: usize) {
    let mut times = Times::default();
    for number in 0..REQUESTS {
        let mut driven = Driven::decoding(number, 1_000, &mut Times::default());
        for at in 0..chunks as u64 {
            times.time(|| driven.chunk(at, false));
        }
    }
    report.add("call_chunk_p50_by_chunks", "us", chunks, times.median());
    report.add(
        "call_chunk_p99_by_chunks",
        "us",
        chunks,
        times.percentile(99),
    );
}

fn request(number: u128, prompt_tokens: usize) -> ModelRequest {
    let envelope = envelope(number);
    ModelRequest {
        id: RequestId(number),
        entry: envelope.entry,
        customer: name(&customer(0)),
        target: target(),
        servers: Vec::new(),
        prompt: "p".repeat(TOKEN_BYTES * prompt_tokens),
        output_max_tokens: Tokens(2_000),
        first_token_us: DurationUs::from_ms(2_000),
        lists_revision: Revision(100_000),
        hosts_revision: Revision(100_000),
        traceparent: envelope.traceparent,
        ..ModelRequest::default()
    }
}

fn state(server: &str) -> AgentState {
    AgentState {
        server: name(server),
        incarnation: Incarnation(7),
        ..AgentState::default()
    }
}

impl Driven {
    /// Call whose first chunk may come.
    fn decoding(number: u128, prompt_tokens: usize, steps: &mut Times) -> Self {
        let call = ModelCall::new(CallConfig::default(), request(number, prompt_tokens));
        let mut driven = Self {
            call,
            now: TimeUs(1_000_000),
            number,
            actions: Vec::new(),
            _driver: Containers {
                _events: unbounded(),
                _streams: HashMap::new(),
                _outputs: VecDeque::new(),
            },
        };
        steps.time(|| driven.handle(CallEvent::Start));
        steps.time(|| {
            driven.handle(CallEvent::Routed(Ok(Route::Pair {
                region: name("region-0"),
                decode: name("engine-0001"),
                prefill: name("engine-0000"),
            })));
        });
        driven.answer_sends();
        driven.answer_sends();
        let stream = driven.stream();
        driven.handle(CallEvent::Stream {
            stream,
            event: DecodeEvent::Imported(state("engine-0001")),
        });
        driven.answer_sends();
        driven
    }

    fn handle(&mut self, event: CallEvent) {
        self.actions.clear();
        self.now = self.now + STEP;
        self.call.handle(self.now, event, &mut self.actions);
    }

    /// Answers the messages of the last event as agents do.
    fn answer_sends(&mut self) {
        let sends: Vec<(SendRef, ReplyBody)> = self.actions.iter().filter_map(answer_of).collect();
        for (send, body) in sends {
            let reply = AgentReply {
                state: state("engine-0000"),
                body,
            };
            let outcome = SendOutcome::Reply(Box::new(reply));
            self.handle(CallEvent::Reply { send, outcome });
        }
    }

    fn stream(&self) -> CallStreamRef {
        let stream = self.actions.iter().find_map(|action| match action {
            CallAction::OpenStream { stream, .. } => Some(*stream),
            _ => None,
        });
        stream.expect("a decode stream is opened")
    }

    fn chunk(&mut self, sequence: u64, is_last: bool) {
        let chunk = Chunk {
            id: envelope(self.number).id,
            incarnation: Incarnation(7),
            sequence: SequenceNumber(sequence),
            text: "word ".to_string(),
            tokens: Tokens(1),
            finish: is_last.then_some(FinishReason::Stop),
        };
        self.handle(CallEvent::Stream {
            stream: CallStreamRef(FIRST_STREAM),
            event: DecodeEvent::Chunk(chunk),
        });
        let is_delivered = |action: &CallAction| matches!(action, CallAction::Deliver(_));
        assert!(self.actions.iter().any(is_delivered), "chunk is dropped");
    }
}

/// Number of the first stream of a call.
const FIRST_STREAM: u64 = 0;

fn answer_of(action: &CallAction) -> Option<(SendRef, ReplyBody)> {
    let CallAction::Send { send, request, .. } = action else {
        return None;
    };
    let body = match request {
        AgentRequest::Reserve(_) => ReplyBody::Reserved(Reserved {
            expires_in_us: DurationUs::from_ms(10_000),
        }),
        AgentRequest::Prefill(message) => ReplyBody::Prefilled(Prefilled {
            kv: KvHandle {
                address: "10.0.0.1:7500".to_string(),
                handle: "kv-0000000000000001".to_string(),
            },
            prompt_tokens: message.prompt_tokens,
            cached_tokens: Tokens::ZERO,
            retained_for_us: DurationUs::from_ms(10_000),
        }),
        _ => ReplyBody::Released,
    };
    Some((*send, body))
}
