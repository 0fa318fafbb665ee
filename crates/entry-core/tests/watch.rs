//! Reports of calls that make no progress.

use std::sync::{Arc, Mutex};

use cuminlead_entry_core::{Awaited, Call, CallAction, CallEvent, MonitoredCall, StallReports};
use cuminlead_retry::Step;
use cuminlead_types::{Attempt, BackendServerId, DurationUs, RequestId, SequenceNumber, TimeUs};

const REQUEST: RequestId = RequestId(7);

/// Call that waits for what the test says.
struct Waiting(Arc<Mutex<Option<Awaited>>>);

impl Call for Waiting {
    fn handle(&mut self, _now: TimeUs, _event: CallEvent, _actions: &mut Vec<CallAction>) {}

    fn next_deadline(&self) -> Option<TimeUs> {
        None
    }

    fn is_ended(&self) -> bool {
        false
    }

    fn awaited(&self) -> Option<Awaited> {
        self.0.lock().expect("not poisoned").clone()
    }
}

fn server(name: &str) -> BackendServerId {
    name.parse().expect("valid name")
}

fn at(ms: u64) -> TimeUs {
    TimeUs::ZERO + DurationUs::from_ms(ms)
}

fn awaited(name: &str, next: u64) -> Option<Awaited> {
    Some(Awaited {
        server: server(name),
        step: Step::Decode,
        attempt: Attempt::FIRST,
        next: SequenceNumber(next),
    })
}

fn stalled(name: &str, since: Option<TimeUs>) -> CallAction {
    CallAction::Stalled {
        request: REQUEST,
        server: server(name),
        since,
    }
}

/// Guards against a stall that is never reported, is reported of the wrong server, or outlasts the
/// progress, the move to another server or the end of its call.
#[yare::parameterized(
    progress = { awaited("d", 1), true },
    other_server = { awaited("e", 0), true },
    end = { None, true },
    none = { awaited("d", 0), false },
)]
fn report_lasts_as_long_as_the_stall(later: Option<Awaited>, is_over: bool) {
    let shared = Arc::new(Mutex::new(awaited("d", 0)));
    let mut call = MonitoredCall::new(REQUEST, Box::new(Waiting(Arc::clone(&shared))));
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

/// Guards against a call whose progress hides that an older one makes none, and against a stall that
/// stays when its call ended without a report.
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
