//! Admission of requests while a process shuts down.

use cuminlead_direct_core::shutdown::ShutdownSchedule;
use cuminlead_direct_core::{RefusalReason, RequestKind};
use cuminlead_types::{DurationUs, TimeUs};

const NON_IDEMPOTENT: RequestKind = RequestKind::NonIdempotent;
const STREAM: RequestKind = RequestKind::Stream { resumable: false };

fn ms(ms: u64) -> TimeUs {
    TimeUs(ms * 1_000)
}

/// Guards against admitting streams that outlast the process, and against refusing plain requests
/// that can still be answered.
#[test]
fn requests_are_admitted_while_they_can_be_answered() {
    struct Case {
        at_ms: u64,
        kind: RequestKind,
        caller_timeout_ms: u64,
        is_admitted: bool,
    }
    let case = |at_ms, kind, caller_timeout_ms, is_admitted| Case {
        at_ms,
        kind,
        caller_timeout_ms,
        is_admitted,
    };
    let cases = [
        case(0, STREAM, 14_000, true),
        case(2_499, STREAM, 14_000, true),
        case(2_500, STREAM, 14_000, false),
        // From the mix with seed 827165878752: a stream was admitted 4.8 s after the signal and cut
        // off after 2.8 s.
        case(4_816, STREAM, 14_000, false),
        case(4_816, STREAM, 2_000, true),
        case(4_816, NON_IDEMPOTENT, 4_000, true),
        case(7_299, NON_IDEMPOTENT, 4_000, true),
        case(7_300, NON_IDEMPOTENT, 100, false),
    ];
    let schedule = ShutdownSchedule {
        balancer_drained_at: ms(2_500),
        ends_at: ms(7_600),
    };
    for case in cases {
        let (now, deadline) = (ms(case.at_ms), ms(case.at_ms + case.caller_timeout_ms));
        let is_admitted = schedule.admits(now, case.kind, deadline);
        assert_eq!(
            is_admitted, case.is_admitted,
            "{:?} at {}",
            case.kind, case.at_ms
        );
    }
}

/// Guards against a caller that retries while the process is still shutting down, or before its
/// successor has started.
#[test]
fn refused_callers_retry_at_the_next_process() {
    let schedule = ShutdownSchedule {
        balancer_drained_at: ms(2_500),
        ends_at: ms(7_600),
    };
    let refusal = schedule.refusal(ms(4_600));
    assert!(refusal.is_not_run);
    assert_eq!(refusal.reason, RefusalReason::Stopping);
    assert_eq!(refusal.retry_after, DurationUs::from_ms(4_000));
}
