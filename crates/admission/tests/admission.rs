//! Tests of admission rules that the design document states.

mod support;

use cuminlead_admission::{
    Admission, AdmissionAction as Action, CallRef, SchedulingTerms, StreamMessage, StreamRef,
};
use cuminlead_protocol::{AgentFailure, EngineCommand, EngineEvent, RefusalReason, ReplyBody};
use cuminlead_types::DurationUs;
use support::{
    config, envelope, generated, id, inventory, ms, prefill, reserve, resume, start, terms,
};
use yare::parameterized;

/// Queued request: customer, priority, weight and milliseconds until its first token is due.
type QueuedRequest = (&'static str, u8, u32, u64);

fn reply_to(actions: &[Action], call: u64) -> Option<&ReplyBody> {
    actions.iter().find_map(|action| match action {
        Action::Reply { call: other, body } if other.0 == call => Some(body),
        _ => None,
    })
}

fn refusal(reason: RefusalReason) -> ReplyBody {
    ReplyBody::Failed(AgentFailure::Refused(reason))
}

fn sent_messages(actions: &[Action]) -> Vec<StreamMessage> {
    let notes = actions.iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(message.clone()),
        _ => None,
    });
    notes.collect()
}

fn failed(failure: AgentFailure) -> StreamMessage {
    StreamMessage::Failed(failure)
}

/// Guards against a queue order that differs from the design: requests that can still meet their
/// target, then priority, fair share and arrival.
#[parameterized(
    late_requests_come_last = { 0, &[("a", 9, 1, 500), ("b", 1, 1, 9_000)], &[1, 0] },
    priority_comes_before_arrival = {
        0, &[("a", 1, 1, 9_000), ("b", 2, 1, 9_000)], &[1, 0]
    },
    arrival_decides_between_equals = {
        0, &[("a", 1, 1, 9_000), ("b", 1, 1, 9_000)], &[0, 1]
    },
    one_customer_does_not_starve_another = {
        0, &[("a", 1, 1, 9_000), ("a", 1, 1, 9_000), ("b", 1, 1, 9_000)],
        &[0, 2, 1]
    },
    weight_gives_a_larger_share = {
        0,
        &[
            ("a", 1, 1, 9_000), ("a", 1, 1, 9_000),
            ("b", 1, 2, 9_000), ("b", 1, 2, 9_000), ("b", 1, 2, 9_000),
        ],
        &[0, 2, 3, 1, 4]
    },
    idle_time_earns_no_credit = {
        3, &[("b", 1, 1, 9_000), ("a", 1, 1, 9_000), ("b", 1, 1, 9_000)],
        &[0, 1, 2]
    },
)]
fn serves_in_order(served_before: u64, requests: &[QueuedRequest], expected: &[u64]) {
    let mut config = config();
    config.queue_max_count = 10;
    let mut admission = Admission::new(config);
    let mut actions = Vec::new();
    let mut send_request = |admission: &mut Admission, number: u64, request: QueuedRequest| {
        let (customer, priority, weight, due_ms) = request;
        let mut message = reserve(u128::from(number), 6);
        message.envelope = envelope(u128::from(number), customer);
        message.due_us = DurationUs::from_ms(due_ms);
        let terms = SchedulingTerms {
            weight,
            ..terms(priority)
        };
        admission.reserve(ms(0), CallRef(number), &message, terms, &mut actions);
    };
    for number in 200..200 + served_before {
        send_request(&mut admission, number, ("a", 1, 1, 9_000));
        let message = support::release(u128::from(number));
        admission.release(ms(0), CallRef(1_000), &message, &mut Vec::new());
    }
    let holder = ("holder", 1, u32::MAX, 9_000);
    send_request(&mut admission, 99, holder);
    for (number, request) in (0_u64..).zip(requests) {
        send_request(&mut admission, number, *request);
    }
    let mut order = Vec::new();
    let mut holder = 99;
    for _ in requests {
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

/// Guards against a request that stays queued after the first one became late. No event occurs at
/// that time, so only a deadline can grant the next request.
#[test]
fn next_request_is_granted_when_the_first_turns_late() {
    let mut admission = Admission::new(config());
    let mut actions = Vec::new();
    admission.reserve(ms(0), CallRef(1), &reserve(1, 1), terms(1), &mut actions);
    let mut large = reserve(2, 6);
    large.due_us = DurationUs::from_ms(500);
    admission.reserve(ms(0), CallRef(2), &large, terms(9), &mut actions);
    admission.reserve(ms(0), CallRef(3), &reserve(3, 1), terms(1), &mut actions);
    assert_eq!(admission.next_deadline(), Some(ms(500)));
    admission.tick(ms(500), &mut actions);
    assert!(matches!(
        reply_to(&actions, 3),
        Some(ReplyBody::Reserved(_))
    ));
}

/// Guards against queueing requests that can never fit the engine or meet their latency target, or
/// that exceed the queue limit.
#[parameterized(
    larger_than_the_engine = { 7, 9_000, 0, Some(RefusalReason::TooLarge) },
    due_before_the_prompt_can_be_computed = { 2, 400, 0, Some(RefusalReason::CannotMeetTarget) },
    due_before_the_running_prompts_end = { 2, 900, 2, Some(RefusalReason::CannotMeetTarget) },
    in_time_after_the_running_prompts = { 2, 1_100, 2, None },
    queue_full = { 1, 90_000, 5, Some(RefusalReason::QueueFull) },
    queue_has_room = { 1, 90_000, 4, None },
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
    assert_eq!(reply_to(&actions, 50), expected.map(refusal).as_ref());
}

/// Guards against unbounded memory for queued prompts, and against bytes that stay counted after a
/// request has left the queue. Two prompts run; `waiting` holds the sizes of those queued behind
/// them.
#[parameterized(
    exactly_full = { &[60], 40, None },
    over_by_one = { &[60], 41, Some(RefusalReason::QueueFull) },
    larger_than_the_limit = { &[], 101, Some(RefusalReason::QueueFull) },
    empty_prompt_behind_a_full_queue = { &[100], 0, None },
)]
fn queued_prompt_bytes_are_bounded(
    waiting: &[usize],
    bytes: usize,
    expected: Option<RefusalReason>,
) {
    let mut admission = Admission::new(config());
    let mut actions = Vec::new();
    let mut send_request = |admission: &mut Admission, number: u64, bytes: usize| {
        let mut message = prefill(u128::from(number), 1);
        message.prompt = "x".repeat(bytes);
        message.due_us = DurationUs::from_ms(90_000);
        admission.prefill(ms(0), CallRef(number), message, terms(1), &mut actions);
    };
    send_request(&mut admission, 1, 1_000);
    send_request(&mut admission, 2, 1_000);
    for (number, bytes) in (3..).zip(waiting) {
        send_request(&mut admission, number, *bytes);
    }
    send_request(&mut admission, 50, bytes);
    for (number, _) in (3..).zip(waiting) {
        let message = support::release(number);
        admission.release(ms(0), CallRef(1_000), &message, &mut Vec::new());
    }
    send_request(
        &mut admission,
        51,
        if expected.is_some() { 100 } else { 100 - bytes },
    );
    assert_eq!(reply_to(&actions, 50), expected.map(refusal).as_ref());
    assert_eq!(reply_to(&actions, 51), None);
    assert!(admission.verify(ms(0)).is_empty());
}

/// Guards against a resumed stream that reads or changes an attempt of another entry or
/// incarnation, or that starts at a chunk not generated yet.
#[parameterized(
    other_entry = { "entry-2", 7, 0, Some(RefusalReason::NoSuchLease) },
    other_incarnation = { "entry-1", 6, 0, Some(RefusalReason::NoSuchLease) },
    chunk_not_generated_yet = { "entry-1", 7, 9, Some(RefusalReason::Malformed) },
    own_attempt = { "entry-1", 7, 0, None },
)]
fn resumes_only_own_attempts(
    entry: &str,
    incarnation: u64,
    next: u64,
    expected: Option<RefusalReason>,
) {
    let mut admission = Admission::new(config());
    let mut actions = Vec::new();
    admission.reserve(ms(0), CallRef(1), &reserve(1, 1), terms(1), &mut actions);
    admission.stream_opened(ms(0), StreamRef(1), start(1, 1, 0), &mut actions);
    admission.engine_event(ms(0), EngineEvent::Imported { id: id(1) }, &mut actions);
    actions.clear();
    let mut open = resume(1, next);
    open.envelope.entry = entry.parse().unwrap();
    if let cuminlead_protocol::DecodeMode::Resume(resume) = &mut open.mode {
        resume.incarnation = cuminlead_types::Incarnation(incarnation);
    }
    admission.stream_opened(ms(100), StreamRef(2), open, &mut actions);
    let failure = expected.map(|reason| failed(AgentFailure::Refused(reason)));
    assert_eq!(
        sent_messages(&actions),
        vec![failure.unwrap_or(StreamMessage::Imported)]
    );
}

/// Guards against an import that times out without a report to the entry, and against releasing the
/// reserved slot, which a second import needs.
#[test]
fn failed_import_keeps_the_reserved_slot() {
    let mut admission = Admission::new(config());
    let mut actions = Vec::new();
    admission.reserve(ms(0), CallRef(1), &reserve(1, 1), terms(1), &mut actions);
    admission.stream_opened(ms(0), StreamRef(1), start(1, 1, 0), &mut actions);
    admission.engine_event(ms(1_000), inventory(&[], 0), &mut actions);
    actions.clear();
    admission.tick(ms(2_000), &mut actions);
    assert!(sent_messages(&actions).contains(&failed(AgentFailure::TransferFailed)));
    assert_eq!(admission.used().slots.0, 1);
    admission.stream_opened(ms(2_100), StreamRef(2), start(1, 2, 0), &mut actions);
    let decode = |action: &&Action| matches!(action, Action::Engine(EngineCommand::Decode { .. }));
    assert_eq!(actions.iter().filter(decode).count(), 1);
    // The inventory at 1,000 ms does not count as a miss of the second import.
    admission.engine_event(ms(2_200), inventory(&[], 0), &mut actions);
    assert!(admission.has_attempt(id(1)));
}

/// Guards against resuming without pause or limit when an engine closes every stream immediately,
/// and against counting stream losses from before the last token.
#[parameterized(
    no_tokens = { false, &[0, 500, 1_000, 1_500], true },
    tokens_between_losses = { true, &[0, 0, 0, 0, 0], false },
)]
fn lost_streams_are_resumed_with_pauses(has_tokens: bool, expected_ms: &[u64], fails: bool) {
    let mut admission = Admission::new(config());
    let mut actions = Vec::new();
    admission.reserve(ms(0), CallRef(1), &reserve(1, 1), terms(1), &mut actions);
    admission.stream_opened(ms(0), StreamRef(1), start(1, 1, 0), &mut actions);
    admission.engine_event(ms(0), EngineEvent::Imported { id: id(1) }, &mut actions);
    let mut resumed_ms = Vec::new();
    let mut now = ms(0);
    for token in 0..5 {
        if has_tokens {
            admission.engine_event(now, generated(1, token, false), &mut actions);
        }
        actions.clear();
        admission.engine_event(now, EngineEvent::StreamLost { id: id(1) }, &mut actions);
        let is_resume =
            |action: &Action| matches!(action, Action::Engine(EngineCommand::ResumeDecode { .. }));
        while !actions.iter().any(is_resume) && admission.has_attempt(id(1)) {
            now = admission.next_deadline().expect("the attempt has a lease");
            admission.tick(now, &mut actions);
        }
        if admission.has_attempt(id(1)) {
            resumed_ms.push(now.since(ms(0)).as_ms());
        }
    }
    assert_eq!(resumed_ms, expected_ms);
    let is_failed = sent_messages(&actions).contains(&failed(AgentFailure::EngineFailed));
    assert_eq!(is_failed, fails);
}
