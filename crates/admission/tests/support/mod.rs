//! Messages and engine events for the tests, and a naive implementation of admission.
#![allow(dead_code)]

pub(crate) mod naive;

use cuminlead_admission::{AdmissionConfig, SchedulingTerms};
use cuminlead_protocol::{
    DecodeMode, DecodeOpen, DecodeResume, DecodeStart, EngineEvent, EngineInventory, Envelope,
    FinishReason, KvHandle, Prefill, Release, Reserve,
};
use cuminlead_types::{
    Attempt, AttemptId, Bytes, DurationUs, Incarnation, KvPieces, Priority, RequestId,
    SequenceNumber, Slots, TimeUs, Tokens, TokensPerSecond,
};

pub(crate) const INCARNATION: Incarnation = Incarnation(7);

/// Two slots and six KV pieces; the engine computes one KV piece of prompt in 250 ms.
pub(crate) fn config() -> AdmissionConfig {
    AdmissionConfig {
        incarnation: INCARNATION,
        slots: Slots(2),
        pieces: KvPieces(6),
        queue_max_count: 3,
        queue_max_bytes: Bytes(100),
        prefill_rate: TokensPerSecond(16_384),
        ..AdmissionConfig::default()
    }
}

pub(crate) fn ms(ms: u64) -> TimeUs {
    TimeUs(ms * 1_000)
}

pub(crate) fn id(number: u128) -> AttemptId {
    AttemptId {
        request: RequestId(number),
        attempt: Attempt::FIRST,
    }
}

pub(crate) fn envelope(number: u128, customer: &str) -> Envelope {
    Envelope {
        entry: "entry-1".parse().expect("valid name"),
        id: id(number),
        customer: customer.parse().expect("valid name"),
        ..Envelope::default()
    }
}

pub(crate) fn reserve(number: u128, pieces: u64) -> Reserve {
    Reserve {
        envelope: envelope(number, "c0"),
        prompt_tokens: Tokens(4_096 * pieces - 96),
        output_max_tokens: Tokens(96),
        lease_us: DurationUs::from_ms(10_000),
        due_us: DurationUs::from_ms(10_000),
        wait_max_us: DurationUs::from_ms(5_000),
        ..Reserve::default()
    }
}

pub(crate) fn prefill(number: u128, pieces: u64) -> Prefill {
    Prefill {
        envelope: envelope(number, "c0"),
        prompt: format!("prompt {number}"),
        prompt_tokens: Tokens(4_096 * pieces),
        due_us: DurationUs::from_ms(10_000),
        wait_max_us: DurationUs::from_ms(5_000),
        ..Prefill::default()
    }
}

pub(crate) fn terms(priority: u8) -> SchedulingTerms {
    SchedulingTerms {
        priority: Priority(priority),
        weight: 1,
    }
}

pub(crate) fn release(number: u128) -> Release {
    Release {
        envelope: envelope(number, "c0"),
    }
}

pub(crate) fn kv(number: u8) -> KvHandle {
    KvHandle {
        address: "127.0.0.1:9".to_string(),
        handle: format!("kv-{number}"),
    }
}

pub(crate) fn start(number: u128, kv_number: u8, first_sequence: u64) -> DecodeOpen {
    DecodeOpen {
        envelope: envelope(number, "c0"),
        mode: DecodeMode::Start(DecodeStart {
            kv: kv(kv_number),
            first_sequence: SequenceNumber(first_sequence),
            output_max_tokens: Tokens(50),
        }),
    }
}

pub(crate) fn resume(number: u128, next_sequence: u64) -> DecodeOpen {
    DecodeOpen {
        envelope: envelope(number, "c0"),
        mode: DecodeMode::Resume(DecodeResume {
            incarnation: INCARNATION,
            next_sequence: SequenceNumber(next_sequence),
        }),
    }
}

pub(crate) fn generated(number: u128, first_token: u64, is_last: bool) -> EngineEvent {
    EngineEvent::Generated {
        id: id(number),
        first_token,
        text: format!("t{first_token}"),
        tokens: Tokens(1),
        finish: is_last.then_some(FinishReason::Stop),
    }
}

pub(crate) fn prefill_done(number: u128) -> EngineEvent {
    EngineEvent::PrefillDone {
        id: id(number),
        kv: kv(1),
        prompt_tokens: Tokens(4_096),
        cached_tokens: Tokens(96),
    }
}

pub(crate) fn inventory(listed: &[u128], total_pieces: u32) -> EngineEvent {
    EngineEvent::Inventory(EngineInventory {
        sequences: listed.iter().map(|number| id(*number)).collect(),
        total_pieces: KvPieces(total_pieces),
        ..EngineInventory::default()
    })
}
