//! Measures the processing and the memory of a model call at an entry.

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
use crate::measure::{Timings, measure_heap};

const PROMPT_TOKEN_COUNTS: [usize; 3] = [100, 1_000, 10_000];
const CHUNK_COUNTS: [usize; 3] = [10, 100, 1_000];
const REQUESTS_COUNT: u128 = 200;
const BYTES_PER_TOKEN: usize = 4;
const EVENT_INTERVAL: DurationUs = DurationUs(100);

/// Model call with its clock and the actions of the last event.
struct CallDriver {
    call: ModelCall,
    now: TimeUs,
    number: u128,
    actions: Vec<CallAction>,
    /// Counted in the heap use of a call.
    _containers: Containers,
}

/// Containers that the entry's driver allocates for each call. Its streams run on other threads and
/// are not included.
struct Containers {
    _events: (Sender<CallEvent>, Receiver<CallEvent>),
    _streams: HashMap<CallStreamRef, tokio::sync::mpsc::UnboundedSender<CallEvent>>,
    _outputs: VecDeque<CallAction>,
}

pub(crate) fn run(report: &mut Report) {
    for prompt_tokens in PROMPT_TOKEN_COUNTS {
        let heap = measure_heap(|| CallDriver::decoding(1, prompt_tokens, &mut Timings::default()));
        report.add(
            "call_heap_by_prompt_tokens",
            "bytes",
            prompt_tokens,
            heap.bytes,
        );
        request_times(report, prompt_tokens);
    }
    for chunks in CHUNK_COUNTS {
        let heap = measure_heap(|| {
            let mut driver = CallDriver::decoding(1, 1_000, &mut Timings::default());
            (0..chunks as u64).for_each(|at| driver.chunk(at, false));
            driver
        });
        report.add("call_heap_by_chunks_of_answer", "bytes", chunks, heap.bytes);
        chunk_times(report, chunks);
    }
}

/// Measures the total time of all decisions on a request with a single chunk.
fn request_times(report: &mut Report, prompt_tokens: usize) {
    let mut totals = Timings::default();
    for number in 0..REQUESTS_COUNT {
        let mut steps = Timings::default();
        let driver = totals.time(|| {
            let mut driver = CallDriver::decoding(number, prompt_tokens, &mut steps);
            driver.chunk(0, true);
            driver.reply_to_sends();
            driver
        });
        assert!(driver.call.is_ended());
    }
    report.add(
        "call_request_by_prompt_tokens",
        "us",
        prompt_tokens,
        totals.median(),
    );
}

fn chunk_times(report: &mut Report, chunks: usize) {
    let mut times = Timings::default();
    for number in 0..REQUESTS_COUNT {
        let mut driver = CallDriver::decoding(number, 1_000, &mut Timings::default());
        for at in 0..chunks as u64 {
            times.time(|| driver.chunk(at, false));
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
        prompt: "p".repeat(BYTES_PER_TOKEN * prompt_tokens),
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

impl CallDriver {
    /// Creates a call that is ready to receive its first chunk.
    fn decoding(number: u128, prompt_tokens: usize, steps: &mut Timings) -> Self {
        let call = ModelCall::new(CallConfig::default(), request(number, prompt_tokens));
        let mut driver = Self {
            call,
            now: TimeUs(1_000_000),
            number,
            actions: Vec::new(),
            _containers: Containers {
                _events: unbounded(),
                _streams: HashMap::new(),
                _outputs: VecDeque::new(),
            },
        };
        steps.time(|| driver.handle(CallEvent::Start));
        steps.time(|| {
            driver.handle(CallEvent::Routed(Ok(Route::Pair {
                region: name("region-0"),
                decode: name("engine-0001"),
                prefill: name("engine-0000"),
            })));
        });
        driver.reply_to_sends();
        driver.reply_to_sends();
        let stream = driver.stream();
        driver.handle(CallEvent::Stream {
            stream,
            event: DecodeEvent::Imported(state("engine-0001")),
        });
        driver.reply_to_sends();
        driver
    }

    fn handle(&mut self, event: CallEvent) {
        self.actions.clear();
        self.now = self.now + EVENT_INTERVAL;
        self.call.handle(self.now, event, &mut self.actions);
    }

    /// Replies to the messages of the last event as agents do.
    fn reply_to_sends(&mut self) {
        let sends: Vec<(SendRef, ReplyBody)> = self.actions.iter().filter_map(reply_to).collect();
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

/// Reference of the first stream of a call.
const FIRST_STREAM: u64 = 0;

fn reply_to(action: &CallAction) -> Option<(SendRef, ReplyBody)> {
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
