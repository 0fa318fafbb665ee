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
use support::naive::{Ask, Naive};
use support::{config, envelope, generated, id, inventory, ms, prefill_done, resume, start};

/// Step of the naive version; all times in the events are multiples of it.
const STEP_US: DurationUs = DurationUs(250_000);
/// Bound of P1: engine memory of a request that is gone is free after this time.
const GONE_FREE_US: DurationUs = DurationUs(30_000_000);
/// Number of the first chunk, as after an earlier attempt.
const FIRST_CHUNK: u64 = 3;
const SEED: u64 = 0x5eed_ad15;
const CASES: u32 = 500;

#[derive(Clone, Debug)]
enum Op {
    Wait(u64),
    Ask(Ask),
    Release(u128),
    DropCall(u64),
    Start(u128, u8),
    Resume(u128, u64),
    Control(u64, DecodeControl),
    Close(u64),
    Engine(EngineEvent),
    Sequence(u128, fn(u128) -> EngineEvent),
    /// Token of an attempt: 0 for one that was generated before, 1 for the next, 2 after a gap.
    Token(u128, u64, bool),
    Drain,
}

fn ask() -> impl Strategy<Value = Ask> {
    let pieces = prop_oneof![6 => 1..3_u64, 1 => 3..8_u64];
    // The limit is 100 bytes: the longest prompt can be granted and not wait.
    let prompt_bytes = prop_oneof![4 => 0..40_usize, 2 => 40..70_usize, 1 => 99..102_usize];
    let is_prefill = prop::bool::weighted(0.45);
    let size = (0..6_u128, is_prefill, pieces, any::<bool>(), prompt_bytes);
    let due_steps = prop_oneof![1 => 0..5_u64, 1 => 0..40_u64];
    let limits = (0..3_u8, 0..3_u8, 0..20_u64, due_steps);
    (size, limits).prop_map(|(size, limits)| {
        let (number, is_prefill, pieces, is_long, prompt_bytes) = size;
        let (customer, priority, wait_steps, due_steps) = limits;
        let message = Reserve {
            envelope: envelope(number, &format!("c{customer}")),
            prompt_tokens: Tokens(KV_PIECE_TOKENS * pieces),
            output_max_tokens: Tokens(if is_prefill { 0 } else { 40 }),
            lease_us: DurationUs::from_ms(if is_long { 30_000 } else { 1_000 }),
            due_us: DurationUs(STEP_US.0 * due_steps),
            wait_max_us: DurationUs(STEP_US.0 * wait_steps),
            ..Reserve::default()
        };
        Ask {
            call: 0,
            is_prefill,
            prompt_bytes,
            priority,
            weight: u32::from(customer) + 1,
            message,
        }
    })
}

/// Attempt, most often one that is held at the time: see [`Pair::aim`].
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
        40 => ask().prop_map(Op::Ask),
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

struct Pair {
    now: TimeUs,
    real: Admission,
    naive: Naive,
    calls: u64,
    streams: u64,
    asked: BTreeMap<CallRef, AttemptId>,
    accepted: BTreeSet<AttemptId>,
    in_engine: BTreeSet<AttemptId>,
    /// Number of the next chunk of each stream, from the first one on.
    next_chunks: BTreeMap<StreamRef, Option<u64>>,
    made_tokens: BTreeMap<AttemptId, u64>,
}

impl Pair {
    fn new() -> Self {
        Self {
            now: ms(1_000),
            real: Admission::new(config()),
            naive: Naive::new(config()),
            calls: 0,
            streams: 0,
            asked: BTreeMap::new(),
            accepted: BTreeSet::new(),
            in_engine: BTreeSet::new(),
            next_chunks: BTreeMap::new(),
            made_tokens: BTreeMap::new(),
        }
    }

    /// Moves time: the naive version in small steps, the real one only at its deadlines.
    fn wait(&mut self, steps: u64) {
        for _ in 0..steps {
            self.now = self.now + STEP_US;
            let mut actions = Vec::new();
            if let Some(at) = self.real.next_deadline()
                && at <= self.now
            {
                assert_eq!(
                    at, self.now,
                    "a deadline lies between the steps or in the past"
                );
                self.real.tick(self.now, &mut actions);
                assert!(
                    !actions.is_empty(),
                    "the tick at a deadline changed nothing"
                );
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
            Op::Ask(mut ask) => {
                ask.call = self.next_call(ask.message.envelope.id).0;
                self.real_ask(&ask, &mut actions);
                self.naive.ask(now, ask);
            }
            Op::Release(pick) => {
                let number = self.aim(pick);
                let call = self.next_call(id(number));
                let message = support::release(number);
                self.real.release(now, call, &message, &mut actions);
                self.naive.release(now, call, id(number));
            }
            Op::DropCall(back) => {
                let call = CallRef(self.calls.saturating_sub(back));
                self.asked.remove(&call);
                self.real.call_dropped(now, call, &mut actions);
                self.naive.call_dropped(now, call);
            }
            Op::Start(pick, kv) => self.open(start(self.aim(pick), kv, FIRST_CHUNK), &mut actions),
            Op::Resume(pick, next) => self.open(resume(self.aim(pick), next), &mut actions),
            Op::Sequence(pick, event) => return self.apply(&Op::Engine(event(self.aim(pick)))),
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
                let number = self.aim(pick);
                let made = self.made_tokens.entry(id(number)).or_default();
                let first = (*made + shift).saturating_sub(1);
                *made = (*made).max(first + 1);
                return self.apply(&Op::Engine(generated(number, first, is_last)));
            }
            Op::Engine(event) => {
                self.engine_forgets(&event);
                self.naive.engine(now, event.clone());
                self.real.engine_event(now, event, &mut actions);
            }
        }
        self.compare(actions);
    }

    /// Attempt for a number: a held one for numbers from 6 on, if there is one.
    fn aim(&self, pick: u128) -> u128 {
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
        self.asked.insert(CallRef(self.calls), id);
        CallRef(self.calls)
    }

    fn real_ask(&mut self, ask: &Ask, actions: &mut Vec<Action>) {
        let message = ask.message.clone();
        self.accepted.insert(message.envelope.id);
        let terms = SchedulingTerms {
            priority: Priority(ask.priority),
            weight: ask.weight,
        };
        let call = CallRef(ask.call);
        if !ask.is_prefill {
            self.real.reserve(self.now, call, &message, terms, actions);
            return;
        }
        let message = Prefill {
            envelope: message.envelope,
            prompt_tokens: message.prompt_tokens,
            due_us: message.due_us,
            wait_max_us: message.wait_max_us,
            prompt: "x".repeat(ask.prompt_bytes),
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

    fn engine_forgets(&mut self, event: &EngineEvent) {
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
        let naive = std::mem::take(&mut self.naive.out);
        assert_eq!(visible(&actions), visible(&naive), "at {}", self.now);
        let used = self.real.used();
        assert_eq!(used.slots.0, self.naive.used_slots());
        assert_eq!(used.pieces.0, self.naive.used_pieces());
    }

    fn check(&mut self, actions: &[Action]) {
        assert_eq!(self.real.verify(self.now), []);
        for action in actions {
            match action {
                Action::Reply { call, body } => {
                    let attempt = self.asked.remove(call).expect("answered once");
                    let is_refused = matches!(body, ReplyBody::Failed(AgentFailure::Refused(_)));
                    if is_refused && !self.real.has_attempt(attempt) {
                        self.accepted.remove(&attempt);
                    }
                }
                Action::Engine(
                    EngineCommand::Prefill { id, .. } | EngineCommand::Decode { id, .. },
                ) => {
                    assert!(self.accepted.contains(id), "not accepted");
                    self.in_engine.insert(*id);
                    self.made_tokens.insert(*id, 0);
                }
                Action::Engine(EngineCommand::Cancel { id }) => {
                    self.in_engine.remove(id);
                }
                Action::Send { stream, message } => self.check_chunk(*stream, message),
                _ => {}
            }
        }
    }

    fn check_chunk(&mut self, stream: StreamRef, message: &StreamMessage) {
        if let StreamMessage::Chunk(chunk) = message {
            let sequence = chunk.sequence.0;
            let next = self
                .next_chunks
                .insert(stream, Some(sequence + 1))
                .flatten();
            assert_eq!(next.unwrap_or(sequence), sequence, "gap or repeat");
        }
    }

    /// All entries are gone from now on.
    fn everything_is_freed(&mut self) {
        self.wait(GONE_FREE_US.0 / STEP_US.0);
        assert!(self.real.is_idle(), "held for nobody");
        assert_eq!(self.real.used(), Default::default());
        assert!(self.in_engine.is_empty(), "held in the engine");
        assert_eq!(self.real.next_deadline(), None);
        assert!(self.asked.is_empty(), "a message was never answered");
    }
}

/// Everything but the records, sorted, with the order kept within each stream.
fn visible(actions: &[Action]) -> Vec<(Option<StreamRef>, String)> {
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
fn decides_like_the_naive_version() {
    let mut runner = TestRunner::new(Config {
        cases: CASES,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    });
    let ops = prop::collection::vec(op(), 1..120);
    let result = runner.run(&ops, |ops| {
        let mut pair = Pair::new();
        for op in &ops {
            pair.apply(op);
        }
        pair.everything_is_freed();
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
