//! What a process still takes after it was asked to stop.

use cuminlead_direct_core::shutdown::ShutdownSchedule;
use cuminlead_direct_core::{RefusalReason, RequestKind};
use cuminlead_types::{DurationUs, TimeUs};

const ONCE: RequestKind = RequestKind::NonIdempotent;
const STREAM: RequestKind = RequestKind::Stream { resumable: false };

fn ms(ms: u64) -> TimeUs {
    TimeUs(ms * 1_000)
}

/// Guards against streams that are taken by a process that ends before they do, and against plain
/// requests that are refused though there is time for them.
#[test]
fn requests_are_taken_while_they_can_be_answered() {
    struct Case {
        at_ms: u64,
        kind: RequestKind,
        patience_ms: u64,
        is_admitted: bool,
    }
    let case = |at_ms, kind, patience_ms, is_admitted| Case {
        at_ms,
        kind,
        patience_ms,
        is_admitted,
    };
    let cases = [
        case(0, STREAM, 14_000, true),
        case(2_499, STREAM, 14_000, true),
        case(2_500, STREAM, 14_000, false),
        // Mix, seed 827165878752: taken 4.8 s after the signal and cut after 2.8 s.
        case(4_816, STREAM, 14_000, false),
        case(4_816, STREAM, 2_000, true),
        case(4_816, ONCE, 4_000, true),
        case(7_299, ONCE, 4_000, true),
        case(7_300, ONCE, 100, false),
    ];
    let stopping = ShutdownSchedule {
        turned_away_at: ms(2_500),
        ends_at: ms(7_600),
    };
    for case in cases {
        let (now, deadline) = (ms(case.at_ms), ms(case.at_ms + case.patience_ms));
        let is_admitted = stopping.admits(now, case.kind, deadline);
        assert_eq!(
            is_admitted, case.is_admitted,
            "{:?} at {}",
            case.kind, case.at_ms
        );
    }
}

/// Guards against a caller that comes back to a process that is still stopping, or to none.
#[test]
fn refused_callers_come_back_to_the_next_process() {
    let stopping = ShutdownSchedule {
        turned_away_at: ms(2_500),
        ends_at: ms(7_600),
    };
    let refusal = stopping.refusal(ms(4_600));
    assert!(refusal.is_not_run);
    assert_eq!(refusal.reason, RefusalReason::Stopping);
    assert_eq!(refusal.retry_after, DurationUs::from_ms(4_000));
}
