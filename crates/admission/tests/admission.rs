//! Cases of admission that are stated in the design.

mod support;

use cuminlead_admission::{Admission, AdmissionAction as Action, CallRef, StreamNote, StreamRef};
use cuminlead_protocol::{AgentFailure, DecodeControl, EngineCommand, RefusalReason, ReplyBody};
use cuminlead_types::{DurationUs, Sequence};
use support::{
    config, decoding, envelope, generated, id, inventory, ms, prefill, prefill_done, reserve,
    resume, start, terms,
};
use yare::parameterized;

/// A request that waits while another one holds all slots.
#[derive(Clone, Copy)]
struct Waiter {
    customer: &'static str,
    priority: u8,
    weight: u32,
    due_ms: u64,
}

const fn waiter(customer: &'static str, priority: u8, weight: u32, due_ms: u64) -> Waiter {
    Waiter {
        customer,
        priority,
        weight,
        due_ms,
    }
}

fn replied(actions: &[Action], call: u64) -> Option<&ReplyBody> {
    actions.iter().find_map(|action| match action {
        Action::Reply { call: other, body } if other.0 == call => Some(body),
        _ => None,
    })
}

fn refusal(reason: RefusalReason) -> ReplyBody {
    ReplyBody::Failed(AgentFailure::Refused(reason))
}

fn sent(actions: &[Action]) -> Vec<StreamNote> {
    let notes = actions.iter().filter_map(|action| match action {
        Action::Send { note, .. } => Some(note.clone()),
        _ => None,
    });
    notes.collect()
}

fn failed(failure: AgentFailure) -> StreamNote {
    StreamNote::Failed(failure)
}

/// Guards against a queue whose order differs from the four criteria of the design.
#[parameterized(
    late_requests_come_last = { 0, &[waiter("a", 9, 1, 500), waiter("b", 1, 1, 9_000)], &[1, 0] },
    priority_comes_before_arrival = {
        0, &[waiter("a", 1, 1, 9_000), waiter("b", 2, 1, 9_000)], &[1, 0]
    },
    arrival_decides_between_equals = {
        0, &[waiter("a", 1, 1, 9_000), waiter("b", 1, 1, 9_000)], &[0, 1]
    },
    one_customer_does_not_take_all = {
        0, &[waiter("a", 1, 1, 9_000), waiter("a", 1, 1, 9_000), waiter("b", 1, 1, 9_000)],
        &[0, 2, 1]
    },
    weight_gives_a_larger_share = {
        0,
        &[
            waiter("a", 1, 1, 9_000), waiter("a", 1, 1, 9_000),
            waiter("b", 1, 2, 9_000), waiter("b", 1, 2, 9_000), waiter("b", 1, 2, 9_000),
        ],
        &[0, 2, 3, 1, 4]
    },
    idling_earns_no_credit = {
        3, &[waiter("b", 1, 1, 9_000), waiter("a", 1, 1, 9_000), waiter("b", 1, 1, 9_000)],
        &[0, 1, 2]
    },
)]
fn serves_in_order(served_before: u64, waiters: &[Waiter], expected: &[u64]) {
    let mut config = config();
    config.queue_max_count = 10;
    let mut admission = Admission::new(config);
    let mut actions = Vec::new();
    let mut ask = |admission: &mut Admission, number: u64, waiter: Waiter| {
        let mut message = reserve(u128::from(number), 6);
        message.envelope = envelope(u128::from(number), waiter.customer);
        message.due_us = DurationUs::from_ms(waiter.due_ms);
        let mut terms = terms(waiter.priority);
        terms.weight = waiter.weight;
        admission.reserve(ms(0), CallRef(number), &message, terms, &mut actions);
    };
    for number in 200..200 + served_before {
        ask(&mut admission, number, waiter("a", 1, 1, 9_000));
        let message = support::release(u128::from(number));
        admission.release(ms(0), CallRef(1_000), &message, &mut Vec::new());
    }
    let holder = waiter("holder", 1, u32::MAX, 9_000);
    ask(&mut admission, 99, holder);
    for (number, waiter) in (0_u64..).zip(waiters) {
        ask(&mut admission, number, *waiter);
    }
    let mut order = Vec::new();
    let mut holder = 99;
    for _ in waiters {
        let mut actions = Vec::new();
        let message = support::release(holder);
        admission.release(ms(1_000), CallRef(1_000), &message, &mut actions);
        let granted = actions.iter().find_map(|action| match action {
            Action::Reply {
                call,
                body: ReplyBody::Reserved(_),
            } => Some(call.0),
            _ => None,
        });
        order.extend(granted);
        holder = u128::from(granted.expect("the next request is granted"));
    }
    assert_eq!(order, expected);
}

/// Guards against work that is queued although it is certain to be refused or late.
#[parameterized(
    larger_than_the_engine = { 7, 9_000, 0, Some(RefusalReason::TooLarge) },
    due_before_the_prompt_can_be_computed = { 2, 400, 0, Some(RefusalReason::CannotMeetTarget) },
    due_before_the_running_prompts_end = { 2, 900, 2, Some(RefusalReason::CannotMeetTarget) },
    in_time_after_the_running_prompts = { 2, 1_100, 2, None },
    queue_full = { 1, 90_000, 5, Some(RefusalReason::QueueFull) },
    queue_has_a_place = { 1, 90_000, 4, None },
)]
fn refuses_early(pieces: u64, due_ms: u64, others: u64, expected: Option<RefusalReason>) {
    let mut admission = Admission::new(config());
    let mut actions = Vec::new();
    for other in 1..=others {
        let message = prefill(u128::from(other), 1);
        admission.prefill(ms(0), CallRef(other), message, terms(1), &mut actions);
    }
    let mut message = prefill(50, pieces);
    message.due_us = DurationUs::from_ms(due_ms);
    admission.prefill(ms(0), CallRef(50), message, terms(1), &mut actions);
    assert_eq!(replied(&actions, 50), expected.map(refusal).as_ref());
}

/// Guards against a stream that reads or changes the attempt of another entry or incarnation.
#[parameterized(
    other_entry = { "entry-2", 7, 0, Some(RefusalReason::NoSuchLease) },
    other_incarnation = { "entry-1", 6, 0, Some(RefusalReason::NoSuchLease) },
    not_made_yet = { "entry-1", 7, 9, Some(RefusalReason::Malformed) },
    own_attempt = { "entry-1", 7, 0, None },
)]
fn resumes_only_the_own_attempt(
    entry: &str,
    incarnation: u64,
    next: u64,
    expected: Option<RefusalReason>,
) {
    let mut admission = Admission::new(config());
    decoding(&mut admission, 1);
    let mut open = resume(1, next);
    open.envelope.entry = entry.parse().unwrap();
    if let cuminlead_protocol::DecodeMode::Resume(resume) = &mut open.mode {
        resume.incarnation = cuminlead_types::Incarnation(incarnation);
    }
    let mut actions = Vec::new();
    admission.stream_opened(ms(100), StreamRef(2), open, &mut actions);
    let failure = expected.map(|reason| failed(AgentFailure::Refused(reason)));
    assert_eq!(
        sent(&actions),
        vec![failure.unwrap_or(StreamNote::Imported)]
    );
}

/// Guards against an import that fails without a report, and against losing the reserved place,
/// which a second import needs.
#[test]
fn failed_import_keeps_the_place() {
    let mut admission = Admission::new(config());
    let mut actions = Vec::new();
    admission.reserve(ms(0), CallRef(1), &reserve(1, 1), terms(1), &mut actions);
    admission.stream_opened(ms(0), StreamRef(1), start(1, 1, 0), &mut actions);
    admission.engine_event(ms(1_000), inventory(&[], 0), &mut actions);
    actions.clear();
    admission.tick(ms(2_000), &mut actions);
    assert!(sent(&actions).contains(&failed(AgentFailure::TransferFailed)));
    assert_eq!(admission.used().slots.0, 1);
    admission.stream_opened(ms(2_100), StreamRef(2), start(1, 2, 0), &mut actions);
    let decode = |action: &&Action| matches!(action, Action::Engine(EngineCommand::Decode { .. }));
    assert_eq!(actions.iter().filter(decode).count(), 1);
    // A miss counts from the start of the second import only.
    admission.engine_event(ms(2_200), inventory(&[], 0), &mut actions);
    assert!(admission.has_attempt(id(1)));
}

/// Guards against a wrong numbering after an earlier attempt, and against an answer that is kept
/// after its entry has it all.
#[test]
fn answer_is_numbered_and_ends_when_acknowledged() {
    let mut admission = Admission::new(config());
    let mut actions = Vec::new();
    admission.reserve(ms(0), CallRef(1), &reserve(1, 1), terms(1), &mut actions);
    admission.stream_opened(ms(0), StreamRef(1), start(1, 1, 40), &mut actions);
    admission.engine_event(ms(1), generated(1, 0, false), &mut actions);
    admission.engine_event(ms(2), generated(1, 1, true), &mut actions);
    let sequences: Vec<u64> = sent(&actions)
        .into_iter()
        .filter_map(|note| match note {
            StreamNote::Chunk(chunk) => Some(chunk.sequence.0),
            _ => None,
        })
        .collect();
    assert_eq!(sequences, [40, 41]);
    assert_eq!(admission.used(), Default::default());
    let control = DecodeControl::Acknowledge(Sequence(42));
    admission.stream_control(ms(3), StreamRef(1), control, &mut actions);
    assert!(admission.is_idle());
}

/// Guards against a ledger that counts pieces which the engine does not have.
#[test]
fn engine_with_less_memory_limits_the_ledger() {
    let mut admission = Admission::new(config());
    let mut actions = Vec::new();
    admission.engine_event(ms(0), inventory(&[], 3), &mut actions);
    admission.reserve(ms(0), CallRef(1), &reserve(1, 4), terms(1), &mut actions);
    assert_eq!(
        replied(&actions, 1),
        Some(&refusal(RefusalReason::TooLarge))
    );
}

/// Guards against a message that takes a place after the release of its attempt overtook it.
#[test]
fn message_after_its_release_gets_nothing() {
    let mut admission = Admission::new(config());
    let mut actions = Vec::new();
    admission.release(ms(0), CallRef(1), &support::release(1), &mut actions);
    admission.prefill(ms(1), CallRef(2), prefill(1, 1), terms(1), &mut actions);
    let cancelled = ReplyBody::Failed(AgentFailure::Cancelled);
    assert_eq!(replied(&actions, 2), Some(&cancelled));
    assert!(admission.is_idle());
}

/// Guards against a repeat that computes the prompt again or leaves a caller without its reply.
#[test]
fn repeated_prefill_runs_once_and_answers_both() {
    let mut admission = Admission::new(config());
    let mut actions = Vec::new();
    admission.prefill(ms(0), CallRef(1), prefill(1, 1), terms(1), &mut actions);
    admission.prefill(ms(1), CallRef(2), prefill(1, 1), terms(1), &mut actions);
    admission.engine_event(ms(2), prefill_done(1), &mut actions);
    admission.prefill(ms(3), CallRef(3), prefill(1, 1), terms(1), &mut actions);
    let prefilled = |call| matches!(replied(&actions, call), Some(ReplyBody::Prefilled(_)));
    assert!((1..=3).all(prefilled));
    let command = |action: &&Action| matches!(action, Action::Engine(_));
    assert_eq!(actions.iter().filter(command).count(), 1);
}
