//! Order of the commands for one sequence.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cuminlead_agent::backend::sequences::Sequences;
use cuminlead_types::{Attempt, AttemptId, RequestId};

const ID: AttemptId = AttemptId {
    request: RequestId(1),
    attempt: Attempt(1),
};

/// Guards against events of a cancelled sequence that are taken for those of a later one of the
/// same attempt.
#[test]
fn cancelled_start_reports_nothing() {
    let sequences = Sequences::default();
    let first = sequences.begin(ID);
    assert!(sequences.is_current(first));
    let cancel = sequences.cancel(ID);
    assert!(!sequences.is_current(first));
    let second = sequences.begin(ID);
    assert!(sequences.is_current(second));
    assert!(sequences.has_earlier_start(cancel));
    sequences.end_start(first);
    assert!(
        !sequences.has_earlier_start(cancel),
        "the second start is not before the cancel"
    );
}

/// Guards against a start that was cancelled in the queue and still reaches the engine.
#[test]
fn start_cancelled_in_the_queue_is_not_sent() {
    let sequences = Sequences::default();
    let start = sequences.begin(ID);
    sequences.cancel(ID);
    assert!(!sequences.wait_for_turn(start));
}

/// Guards against a cancel that overtakes the next start of the same attempt and ends it.
#[test]
fn start_waits_for_the_cancel_before_it() {
    let sequences = Arc::new(Sequences::default());
    let cancel = sequences.cancel(ID);
    let start = sequences.begin(ID);
    let (sent, order) = crossbeam::channel::unbounded();
    let waiting = {
        let (sequences, sent) = (Arc::clone(&sequences), sent.clone());
        thread::spawn(move || {
            let is_wanted = sequences.wait_for_turn(start);
            sent.send("start").map(|()| is_wanted)
        })
    };
    thread::sleep(Duration::from_millis(20));
    assert!(sent.send("cancel").is_ok());
    sequences.end_cancel(cancel);
    assert!(matches!(waiting.join(), Ok(Ok(true))));
    assert_eq!(order.try_iter().collect::<Vec<_>>(), ["cancel", "start"]);
}
