//! Operations that are generated at random.

use proptest::prelude::*;

/// Request numbers from here on belong to sequences of an earlier incarnation of the agent.
pub(crate) const FIRST_UNKNOWN: u128 = 20;

/// Operation of the harness. Numbers of type `u128` identify requests, those of type `usize` are
/// positions among the open messages, streams, permits or service calls.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    /// Advances the time by milliseconds, with ticks at all deadlines.
    Advance(u64),
    /// Sends a prefill or reservation; true requests the role that the engine does not have.
    RequestModel(u128, bool),
    Release(u128),
    DropCall(usize),
    /// Opens a decode stream with a KV handle.
    OpenStream(u128, u8),
    /// Resumes a decode from a sequence number.
    ResumeStream(u128, u64),
    /// Acknowledges up to a sequence number, or cancels.
    StreamControl(usize, Option<u64>),
    CloseStream(usize),
    Sequence(u128, SequenceEvent),
    /// Generates a token; true ends the sequence.
    Generate(u128, bool),
    /// Fails the next inventory requests.
    Unresponsive(u32),
    /// Delivers a stale inventory: the sequences at the previous operation of this kind.
    EarlierInventory,
    /// Adds a sequence of an earlier incarnation to the engine.
    UnknownSequence(u128),
    /// Answers the pending engine order; false fails it.
    AnswerOrder(bool),
    IssuePermit(u128),
    /// Sends an application call under a permit; true sends an idempotent one without.
    RunCall(u128, usize, bool),
    QueryPermit(u128, usize),
    /// Ends a service call: 0 answered, 1 not sent, others lost.
    EndServiceCall(usize, u8),
    /// Delivers the next revision of the lists; true assigns the other role.
    ChangeLists(bool),
    Drain,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum SequenceEvent {
    Prefilled,
    Imported,
    ImportFailed,
    StreamLost,
    Failed,
}

pub(crate) fn op() -> impl Strategy<Value = Op> {
    let attempt = || 1..8_u128;
    let event = prop_oneof![
        4 => Just(SequenceEvent::Prefilled),
        4 => Just(SequenceEvent::Imported),
        1 => Just(SequenceEvent::ImportFailed),
        2 => Just(SequenceEvent::StreamLost),
        1 => Just(SequenceEvent::Failed),
    ];
    let control = prop_oneof![4 => (0..6_u64).prop_map(Some), 1 => Just(None)];
    prop_oneof![
        16 => (1..1_500_u64).prop_map(Op::Advance),
        2 => (2_000..12_000_u64).prop_map(Op::Advance),
        16 => (attempt(), prop::bool::weighted(0.3))
            .prop_map(|(id, other)| Op::RequestModel(id, other)),
        3 => attempt().prop_map(Op::Release),
        2 => (0..4_usize).prop_map(Op::DropCall),
        12 => (attempt(), 0..2_u8).prop_map(|(id, kv)| Op::OpenStream(id, kv)),
        6 => (attempt(), 0..6_u64).prop_map(|(id, next)| Op::ResumeStream(id, next)),
        8 => (0..4_usize, control).prop_map(|(stream, next)| Op::StreamControl(stream, next)),
        3 => (0..4_usize).prop_map(Op::CloseStream),
        16 => (attempt(), event).prop_map(|(id, event)| Op::Sequence(id, event)),
        16 => (attempt(), prop::bool::weighted(0.2)).prop_map(|(id, last)| Op::Generate(id, last)),
        2 => (1..4_u32).prop_map(Op::Unresponsive),
        1 => Just(Op::EarlierInventory),
        1 => (FIRST_UNKNOWN..FIRST_UNKNOWN + 4).prop_map(Op::UnknownSequence),
        4 => prop::bool::weighted(0.8).prop_map(Op::AnswerOrder),
        6 => attempt().prop_map(Op::IssuePermit),
        8 => (attempt(), 0..4_usize, any::<bool>())
            .prop_map(|(id, permit, idempotent)| Op::RunCall(id, permit, idempotent)),
        4 => (attempt(), 0..4_usize).prop_map(|(id, permit)| Op::QueryPermit(id, permit)),
        6 => (0..4_usize, 0..3_u8).prop_map(|(run, how)| Op::EndServiceCall(run, how)),
        2 => any::<bool>().prop_map(Op::ChangeLists),
        1 => Just(Op::Drain),
    ]
}
