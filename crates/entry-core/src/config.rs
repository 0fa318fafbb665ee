//! Limits of a call's decisions.

use cuminlead_types::DurationUs;

/// Limits of a call's decisions; the defaults are those of `docs/design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallConfig {
    /// Longest time that one request may take, all attempts together.
    pub request_max_us: DurationUs,
    /// Most attempts of one request.
    pub attempts_max_count: u32,
    /// Time without a chunk or heartbeat after which a stream is silent.
    pub silence_us: DurationUs,
    /// Interval of acknowledgements on a decode stream.
    pub acknowledge_us: DurationUs,
    /// Time without an answer after which a short message is lost.
    pub message_timeout_us: DurationUs,
    /// Longest wait for a place in a queue.
    pub wait_max_us: DurationUs,
}

impl Default for CallConfig {
    fn default() -> Self {
        Self {
            request_max_us: DurationUs::from_ms(100_000),
            attempts_max_count: 3,
            silence_us: DurationUs::from_ms(2_000),
            acknowledge_us: DurationUs::from_ms(1_000),
            message_timeout_us: DurationUs::from_ms(2_000),
            wait_max_us: DurationUs::from_ms(5_000),
        }
    }
}
