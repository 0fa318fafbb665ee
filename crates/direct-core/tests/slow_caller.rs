//! Callers that read slowly, on virtual time.

use cuminlead_direct_core::slow_caller::CallerProgress;
use cuminlead_types::{DurationUs, TimeUs};

const LIMIT: DurationUs = DurationUs::from_ms(1_500);
/// Bytes that the process holds for a caller.
const BUFFER_BYTES: u64 = 64 * 1024;
const LENGTH: DurationUs = DurationUs::from_ms(20_000);
const STEP_MS: u64 = 5;

struct Case {
    name: &'static str,
    /// Bytes that the server sends every `server_every_ms`.
    server_bytes: u64,
    server_every_ms: u64,
    /// Bytes that the caller takes in a second; none in a pause.
    caller_bytes_per_s: u64,
    /// Start and end of a pause of the caller, in ms.
    pause_ms: (u64, u64),
    /// Earliest and latest time at which the caller is closed, in ms.
    closed_ms: Option<(u64, u64)>,
}

const CASES: &[Case] = &[
    Case {
        name: "reads in time",
        server_bytes: 200,
        server_every_ms: 30,
        caller_bytes_per_s: 1_000_000,
        pause_ms: (0, 0),
        closed_ms: None,
    },
    Case {
        name: "long answer over a slow link",
        server_bytes: 64_000,
        server_every_ms: 5,
        caller_bytes_per_s: 40_000,
        pause_ms: (0, 0),
        closed_ms: None,
    },
    Case {
        name: "stops reading a short stream that fits in the buffer",
        server_bytes: 50,
        server_every_ms: 30,
        caller_bytes_per_s: 0,
        pause_ms: (0, 0),
        closed_ms: None,
    },
    Case {
        name: "never reads a long stream",
        server_bytes: 8_000,
        server_every_ms: 5,
        caller_bytes_per_s: 0,
        pause_ms: (0, 0),
        closed_ms: Some((1_500, 1_600)),
    },
    Case {
        name: "reads a few bytes at a time",
        server_bytes: 8_000,
        server_every_ms: 5,
        caller_bytes_per_s: 2_000,
        pause_ms: (0, 0),
        closed_ms: Some((1_500, 1_600)),
    },
    Case {
        name: "pauses for less than the limit",
        server_bytes: 8_000,
        server_every_ms: 40,
        caller_bytes_per_s: 1_000_000,
        pause_ms: (5_000, 6_200),
        closed_ms: None,
    },
    Case {
        name: "pauses for longer than the limit",
        server_bytes: 8_000,
        server_every_ms: 40,
        caller_bytes_per_s: 1_000_000,
        pause_ms: (5_000, 9_000),
        closed_ms: Some((6_500, 7_000)),
    },
];

/// Time at which the caller is closed, and the longest time for which data of the server waited.
fn simulate(case: &Case) -> (Option<u64>, u64) {
    let mut progress = CallerProgress::new(LIMIT);
    let (mut produced, mut held, mut taken, mut waits_since) = (0_u64, 0_u64, 0_u64, None);
    let (mut last_data_ms, mut waited_max_ms) = (0, 0);
    for ms in (0..LENGTH.as_ms()).step_by(5) {
        let now = TimeUs(ms * 1_000);
        if ms.is_multiple_of(case.server_every_ms) {
            produced += case.server_bytes;
        }
        let is_paused = (case.pause_ms.0..case.pause_ms.1).contains(&ms);
        if !is_paused {
            let read = held.min(case.caller_bytes_per_s * STEP_MS / 1_000);
            held -= read;
            taken += read;
            progress.taken(now, taken);
        }
        let moved = produced.min(BUFFER_BYTES - held);
        produced -= moved;
        held += moved;
        if moved > 0 {
            progress.waited_for_server(DurationUs::from_ms(ms - last_data_ms));
            last_data_ms = ms;
        }
        if produced > 0 {
            progress.blocked(now);
            last_data_ms = ms;
            let since = *waits_since.get_or_insert(ms);
            waited_max_ms = waited_max_ms.max(ms - since);
        } else {
            waits_since = None;
        }
        if progress.is_too_slow(now) && produced > 0 {
            return (Some(ms), waited_max_ms);
        }
    }
    (None, waited_max_ms)
}

/// Guards against callers that are closed although they read in time or pause shortly, and against
/// a server whose response stays unread for 2 s because its caller takes a few bytes at a time.
#[test]
fn only_callers_that_block_their_server_are_closed() {
    for case in CASES {
        let (closed_at, waited_max_ms) = simulate(case);
        let is_expected = match (closed_at, case.closed_ms) {
            (Some(at), Some((earliest, latest))) => (earliest..=latest).contains(&at),
            (None, None) => true,
            _ => false,
        };
        assert!(
            is_expected,
            "{}: {closed_at:?}, {waited_max_ms} ms",
            case.name
        );
    }
}
