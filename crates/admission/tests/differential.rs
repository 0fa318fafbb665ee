//! Differential test of admission against a naive implementation, on random sequences of events.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use cuminlead_admission::{
    Admission, AdmissionAction as Action, CallRef, SchedulingTerms, StreamMessage, StreamRef,
};
use cuminlead_protocol::{
    AgentFailure, DecodeControl, DecodeMode, DecodeOpen, EngineCommand, EngineEvent, Prefill,
    ReplyBody, Reserve,
};
use cuminlead_types::{
    AttemptId, DurationUs, KV_PIECE_TOKENS, Priority, SequenceNumber, TimeUs, Tokens,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use support::naive::{AdmissionRequest, NaiveAdmission};
use support::{config, envelope, generated, id, inventory, ms, prefill_done, resume, start};

/// Tick interval of the naive implementation; all times in the events are multiples of it.
const STEP_US: DurationUs = DurationUs(250_000);
/// Bound of P1: engine memory of an abandoned request is free after this time.
const ENTRY_LOSS_RELEASE_US: DurationUs = DurationUs(30_000_000);
/// Number of the first chunk; not 0, as after an earlier attempt.
const FIRST_CHUNK: u64 = 3;
const SEED: u64 = 0x5eed_ad15;
const CASES: u32 = 500;

#[derive(Clone, Debug)]
enum Op {
    Wait(u64),
    AdmissionRequest(Box<AdmissionRequest>),
    Release(u128),
    DropCall(u64),
    Start(u128, u8),
    Resume(u128, u64),
    Control(u64, DecodeControl),
    Close(u64),
    Engine(EngineEvent),
    Sequence(u128, fn(u128) -> EngineEvent),
    /// Token of an attempt: 0 for the previous one again, 1 for the next, 2 after a gap.
    Token(u128, u64, bool),
    Drain,
}

fn request() -> impl Strategy<Value = AdmissionRequest> {
    let pieces = prop_oneof![6 => 1..3_u64, 1 => 3..8_u64];
    // The limit is 100 bytes: a prompt of 101 bytes can be granted but not queued.
    let prompt_bytes = prop_oneof![4 => 0..40_usize, 2 => 40..70_usize, 1 => 99..102_usize];
    let is_prefill = prop::bool::weighted(0.45);
    let size = (0..6_u128, is_prefill, pieces, any::<bool>(), prompt_bytes);
    let due_steps = prop_oneof![1 => 0..5_u64, 1 => 0..40_u64];
    let limits = (0..3_u8, 0..3_u8, 0..20_u64, due_steps);
    (size, limits).prop_map(|(size, limits)| {
        let (number, is_prefill, pieces, is_long_lease, prompt_bytes) = size;
        let (customer, priority, wait_steps, due_steps) = limits;
        let message = Reserve {
            envelope: envelope(number, &format!("c{customer}")),
            prompt_tokens: Tokens(KV_PIECE_TOKENS * pieces),
            output_max_tokens: Tokens(if is_prefill { 0 } else { 40 }),
            lease_us: DurationUs::from_ms(if is_long_lease { 30_000 } else { 1_000 }),
            due_us: DurationUs(STEP_US.0 * due_steps),
            wait_max_us: DurationUs(STEP_US.0 * wait_steps),
            ..Reserve::default()
        };
        AdmissionRequest {
            call: 0,
            is_prefill,
            prompt_bytes,
            priority,
            weight: u32::from(customer) + 1,
            message,
        }
    })
}

/// Number that [`Comparison::resolve`] turns into an attempt, mostly one known to admission.
fn pick() -> impl Strategy<Value = u128> {
    0..24_u128
}

fn chunk() -> impl Strategy<Value = u64> {
    FIRST_CHUNK..FIRST_CHUNK + 5
}

fn sequence_event() -> impl Strategy<Value = fn(u128) -> EngineEvent> {
    prop_oneof![
        6 => Just(prefill_done as fn(u128) -> EngineEvent),
        8 => Just((|number| EngineEvent::Imported { id: id(number) }) as fn(u128) -> EngineEvent),
        3 => Just((|number| EngineEvent::ImportFailed { id: id(number) }) as fn(u128) -> EngineEvent),
        4 => Just((|number| EngineEvent::StreamLost { id: id(number) }) as fn(u128) -> EngineEvent),
        1 => Just((|number| EngineEvent::SequenceFailed { id: id(number) }) as fn(u128) -> EngineEvent),
    ]
}

fn engine_event() -> impl Strategy<Value = EngineEvent> {
    let listed = prop::sample::subsequence((0..8_u128).collect::<Vec<_>>(), 5..=8);
    let pieces = prop_oneof![8 => Just(0), 1 => 1..8_u32];
    prop_oneof![
        8 => (listed, pieces).prop_map(|(listed, pieces)| inventory(&listed, pieces)),
        2 => Just(EngineEvent::Unreachable),
    ]
}

fn token() -> impl Strategy<Value = Op> {
    let shift = prop_oneof![20 => Just(1), 2 => Just(0), 1 => Just(2)];
    let token = (pick(), shift, prop::bool::weighted(0.2));
    token.prop_map(|(number, shift, is_last)| Op::Token(number, shift, is_last))
}

fn op() -> impl Strategy<Value = Op> {
    let acknowledge =
        |(stream, next)| Op::Control(stream, DecodeControl::Acknowledge(SequenceNumber(next)));
    prop_oneof![
        24 => (1..6_u64).prop_map(Op::Wait),
        2 => (20..130_u64).prop_map(Op::Wait),
        40 => request().prop_map(Box::new).prop_map(Op::AdmissionRequest),
        4 => pick().prop_map(Op::Release),
        4 => (0..4_u64).prop_map(Op::DropCall),
        20 => (pick(), 1..3_u8).prop_map(|(pick, kv)| Op::Start(pick, kv)),
        12 => (pick(), chunk()).prop_map(|(pick, next)| Op::Resume(pick, next)),
        16 => (0..3_u64, chunk()).prop_map(acknowledge),
        2 => (0..3_u64).prop_map(|stream| Op::Control(stream, DecodeControl::Cancel)),
        4 => (0..3_u64).prop_map(Op::Close),
        36 => (pick(), sequence_event()).prop_map(|(pick, event)| Op::Sequence(pick, event)),
        9 => engine_event().prop_map(Op::Engine),
        40 => token(),
        1 => prop::bool::weighted(0.2).prop_map(|is| if is { Op::Drain } else { Op::Wait(1) }),
    ]
}

struct Comparison {
    now: TimeUs,
    real: Admission,
    naive: NaiveAdmission,
    calls: u64,
    streams: u64,
    open_calls: BTreeMap<CallRef, AttemptId>,
    accepted: BTreeSet<AttemptId>,
    in_engine: BTreeSet<AttemptId>,
    /// Number of the next chunk of each stream; absent before the first chunk of a start.
    next_chunks: BTreeMap<StreamRef, Option<u64>>,
    generated_tokens: BTreeMap<AttemptId, u64>,
}

impl Comparison {
    fn new() -> Self {
        Self {
            now: ms(1_000),
            real: Admission::new(config()),
            naive: NaiveAdmission::new(config()),
            calls: 0,
            streams: 0,
            open_calls: BTreeMap::new(),
            accepted: BTreeSet::new(),
            in_engine: BTreeSet::new(),
            next_chunks: BTreeMap::new(),
            generated_tokens: BTreeMap::new(),
        }
    }

    /// Advances the time: the naive implementation in steps, the real one only at its deadlines.
    fn wait(&mut self, steps: u64) {
        for _ in 0..steps {
            self.now = self.now + STEP_US;
            let mut actions = Vec::new();
            if let Some(at) = self.real.next_deadline()
                && at <= self.now
            {
                assert_eq!(
                    at, self.now,
                    "a deadline is between two ticks or in the past"
                );
                self.real.tick(self.now, &mut actions);
                assert!(!actions.is_empty(), "the tick at a deadline had no effect");
            }
            self.naive.tick(self.now);
            self.compare(actions);
        }
    }

    fn apply(&mut self, op: &Op) {
        let mut actions = Vec::new();
        let now = self.now;
        match op.clone() {
            Op::Wait(steps) => self.wait(steps),
            Op::AdmissionRequest(mut request) => {
                request.call = self.next_call(request.message.envelope.id).0;
                self.request_real(&request, &mut actions);
                self.naive.request(now, *request);
            }
            Op::Release(pick) => {
                let number = self.resolve(pick);
                let call = self.next_call(id(number));
                let message = support::release(number);
                self.real.release(now, call, &message, &mut actions);
                self.naive.release(now, call, id(number));
            }
            Op::DropCall(back) => {
                let call = CallRef(self.calls.saturating_sub(back));
                self.open_calls.remove(&call);
                self.real.call_dropped(now, call, &mut actions);
                self.naive.call_dropped(now, call);
            }
            Op::Start(pick, kv) => {
                self.open(start(self.resolve(pick), kv, FIRST_CHUNK), &mut actions)
            }
            Op::Resume(pick, next) => self.open(resume(self.resolve(pick), next), &mut actions),
            Op::Sequence(pick, event) => return self.apply(&Op::Engine(event(self.resolve(pick)))),
            Op::Control(back, control) => {
                let stream = StreamRef(self.streams.saturating_sub(back));
                self.real.stream_control(now, stream, control, &mut actions);
                self.naive.control(now, stream, control);
            }
            Op::Close(back) => {
                let stream = StreamRef(self.streams.saturating_sub(back));
                self.real.stream_closed(now, stream, &mut actions);
                self.naive.closed(now, stream);
            }
            Op::Drain => {
                self.real.drain(now, &mut actions);
                self.naive.drain(now);
            }
            Op::Token(pick, shift, is_last) => {
                let number = self.resolve(pick);
                let generated_count = self.generated_tokens.entry(id(number)).or_default();
                let first = (*generated_count + shift).saturating_sub(1);
                *generated_count = (*generated_count).max(first + 1);
                return self.apply(&Op::Engine(generated(number, first, is_last)));
            }
            Op::Engine(event) => {
                self.track_sequence_end(&event);
                self.naive.engine(now, event.clone());
                self.real.engine_event(now, event, &mut actions);
            }
        }
        self.compare(actions);
    }

    /// Attempt for a number: from 6 on, one known to admission, if there is any.
    fn resolve(&self, pick: u128) -> u128 {
        let held: Vec<u128> = (0..6).filter(|n| self.real.has_attempt(id(*n))).collect();
        let index = usize::try_from(pick).unwrap_or(0);
        if pick < 6 || held.is_empty() {
            pick % 6
        } else {
            held[index % held.len()]
        }
    }

    fn next_call(&mut self, id: AttemptId) -> CallRef {
        self.calls += 1;
        self.open_calls.insert(CallRef(self.calls), id);
        CallRef(self.calls)
    }

    fn request_real(&mut self, request: &AdmissionRequest, actions: &mut Vec<Action>) {
        let message = request.message.clone();
        self.accepted.insert(message.envelope.id);
        let terms = SchedulingTerms {
            priority: Priority(request.priority),
            weight: request.weight,
        };
        let call = CallRef(request.call);
        if !request.is_prefill {
            self.real.reserve(self.now, call, &message, terms, actions);
            return;
        }
        let message = Prefill {
            envelope: message.envelope,
            prompt_tokens: message.prompt_tokens,
            due_us: message.due_us,
            wait_max_us: message.wait_max_us,
            prompt: "x".repeat(request.prompt_bytes),
            ..Prefill::default()
        };
        self.real.prefill(self.now, call, message, terms, actions);
    }

    fn open(&mut self, open: DecodeOpen, actions: &mut Vec<Action>) {
        self.streams += 1;
        let stream = StreamRef(self.streams);
        let next = match &open.mode {
            DecodeMode::Resume(resume) => Some(resume.next_sequence.0),
            DecodeMode::Start(_) => None,
        };
        self.next_chunks.insert(stream, next);
        self.naive.open(self.now, stream, &open);
        self.real.stream_opened(self.now, stream, open, actions);
    }

    fn track_sequence_end(&mut self, event: &EngineEvent) {
        let is_last = |finish: &Option<_>| finish.is_some();
        match event {
            EngineEvent::SequenceFailed { id } => self.in_engine.remove(id),
            EngineEvent::Generated { id, finish, .. } if is_last(finish) => {
                self.in_engine.remove(id)
            }
            _ => false,
        };
    }

    fn compare(&mut self, actions: Vec<Action>) {
        self.check(&actions);
        let naive = std::mem::take(&mut self.naive.actions);
        assert_eq!(observable(&actions), observable(&naive), "at {}", self.now);
        let used = self.real.used();
        assert_eq!(used.slots.0, self.naive.used_slots());
        assert_eq!(used.pieces.0, self.naive.used_pieces());
    }

    fn check(&mut self, actions: &[Action]) {
        assert_eq!(self.real.verify(self.now), []);
        for action in actions {
            match action {
                Action::Reply { call, body } => {
                    let attempt = self.open_calls.remove(call).expect("one reply per message");
                    let is_refused = matches!(body, ReplyBody::Failed(AgentFailure::Refused(_)));
                    if is_refused && !self.real.has_attempt(attempt) {
                        self.accepted.remove(&attempt);
                    }
                }
                Action::Engine(
                    EngineCommand::Prefill { id, .. } | EngineCommand::Decode { id, .. },
                ) => {
                    assert!(
                        self.accepted.contains(id),
                        "a refused attempt reached the engine"
                    );
                    self.in_engine.insert(*id);
                    self.generated_tokens.insert(*id, 0);
                }
                Action::Engine(EngineCommand::Cancel { id }) => {
                    self.in_engine.remove(id);
                }
                Action::Send { stream, message } => self.check_chunk_sequence(*stream, message),
                _ => {}
            }
        }
    }

    fn check_chunk_sequence(&mut self, stream: StreamRef, message: &StreamMessage) {
        if let StreamMessage::Chunk(chunk) = message {
            let sequence = chunk.sequence.0;
            let next = self
                .next_chunks
                .insert(stream, Some(sequence + 1))
                .flatten();
            assert_eq!(
                next.unwrap_or(sequence),
                sequence,
                "gap or repeat in chunk numbers"
            );
        }
    }

    /// Checks that everything is released when no entry makes contact any more.
    fn check_all_released(&mut self) {
        self.wait(ENTRY_LOSS_RELEASE_US.0 / STEP_US.0);
        assert!(
            self.real.is_idle(),
            "requests or leases remain after the last entry failed"
        );
        assert_eq!(self.real.used(), Default::default());
        assert!(self.in_engine.is_empty(), "sequences remain in the engine");
        assert_eq!(self.real.next_deadline(), None);
        assert!(self.open_calls.is_empty(), "a message got no reply");
    }
}

/// Actions without records, sorted, with the order preserved within each stream.
fn observable(actions: &[Action]) -> Vec<(Option<StreamRef>, String)> {
    let stream_of = |action: &Action| match action {
        Action::Send { stream, .. } | Action::CloseStream { stream } => Some(*stream),
        _ => None,
    };
    let lines = actions
        .iter()
        .filter(|action| !matches!(action, Action::Record(_)));
    let mut lines: Vec<_> = lines.map(|a| (stream_of(a), format!("{a:?}"))).collect();
    lines.sort_by_key(|(stream, line)| (*stream, stream.is_none().then(|| line.clone())));
    lines
}

/// Guards against decisions that differ from the naive implementation (a wrong queue order, a
/// deadline that is missed or too early), capacity over the limit, engine memory retained for an
/// entry that has stopped, a refused attempt that reaches the engine, gaps or repeats of chunks,
/// and messages that get two replies or none.
#[test]
fn matches_naive_implementation() {
    let mut runner = TestRunner::new(Config {
        cases: CASES,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    });
    let ops = prop::collection::vec(op(), 1..120);
    let result = runner.run(&ops, |ops| {
        let mut comparison = Comparison::new();
        for op in &ops {
            comparison.apply(op);
        }
        comparison.check_all_released();
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
