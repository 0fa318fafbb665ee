//! Stall detection of calls.

use std::sync::{Arc, Mutex};

use cuminlead_entry_core::{Call, CallAction, CallEvent, MonitoredCall, PendingStep, StallReports};
use cuminlead_retry::Step;
use cuminlead_types::{Attempt, BackendServerId, DurationUs, RequestId, SequenceNumber, TimeUs};

const REQUEST: RequestId = RequestId(7);

/// Call whose pending step is set by the test.
struct WaitingCall(Arc<Mutex<Option<PendingStep>>>);

impl Call for WaitingCall {
    fn handle(&mut self, _now: TimeUs, _event: CallEvent, _actions: &mut Vec<CallAction>) {}

    fn next_deadline(&self) -> Option<TimeUs> {
        None
    }

    fn is_ended(&self) -> bool {
        false
    }

    fn pending_step(&self) -> Option<PendingStep> {
        self.0.lock().expect("not poisoned").clone()
    }
}

fn server(name: &str) -> BackendServerId {
    name.parse().expect("valid name")
}

fn at(ms: u64) -> TimeUs {
    TimeUs::ZERO + DurationUs::from_ms(ms)
}

fn pending_step(name: &str, next: u64) -> Option<PendingStep> {
    Some(PendingStep {
        server: server(name),
        step: Step::Decode,
        attempt: Attempt::FIRST,
        next_sequence: SequenceNumber(next),
    })
}

fn stalled(name: &str, since: Option<TimeUs>) -> CallAction {
    CallAction::Stalled {
        request: REQUEST,
        server: server(name),
        since,
    }
}

/// A stall must be reported against the right server, and the report must be withdrawn at progress,
/// at a move to another server and at the end of the call.
#[yare::parameterized(
    progress = { pending_step("d", 1), true },
    other_server = { pending_step("e", 0), true },
    end = { None, true },
    none = { pending_step("d", 0), false },
)]
fn report_lasts_as_long_as_the_stall(later: Option<PendingStep>, is_over: bool) {
    let shared = Arc::new(Mutex::new(pending_step("d", 0)));
    let mut call = MonitoredCall::new(REQUEST, Box::new(WaitingCall(Arc::clone(&shared))));
    let mut handle = |ms| {
        let mut actions = Vec::new();
        call.handle(at(ms), CallEvent::Deadline, &mut actions);
        (actions, call.next_deadline())
    };
    assert_eq!(handle(0), (Vec::new(), Some(at(3_000))));
    assert_eq!(handle(2_999).0, []);
    let report = stalled("d", Some(at(0)));
    assert_eq!(handle(3_000), (vec![report.clone()], Some(at(4_000))));
    assert_eq!(handle(4_000).0, [report]);
    *shared.lock().expect("not poisoned") = later;
    let expected = if is_over {
        vec![stalled("d", None)]
    } else {
        Vec::new()
    };
    assert_eq!(handle(4_500).0, expected);
}

/// Progress of one call must not hide an older call that makes none, and a stall must expire when
/// its call ended without a report.
#[test]
fn oldest_call_counts() {
    let mut stalls = StallReports::default();
    let mut record = |ms, request, since| {
        let age = stalls.record(at(ms), &server("d"), RequestId(request), since);
        age.as_ms()
    };
    assert_eq!(record(5_000, 1, Some(at(1_000))), 4_000);
    assert_eq!(record(5_000, 2, Some(at(2_000))), 4_000);
    assert_eq!(record(5_500, 1, None), 3_500);
    assert_eq!(record(10_000, 3, None), 0);
}
