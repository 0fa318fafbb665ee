//! Ordering of the commands for one sequence.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cuminlead_agent::backend::sequence_commands::SequenceCommands;
use cuminlead_types::{Attempt, AttemptId, RequestId};

const ID: AttemptId = AttemptId {
    request: RequestId(1),
    attempt: Attempt(1),
};

/// Guards against events of a cancelled sequence that are attributed to a later sequence of the
/// same attempt.
#[test]
fn cancelled_start_reports_nothing() {
    let sequences = SequenceCommands::default();
    let first = sequences.register_start(ID);
    assert!(sequences.is_current(first));
    let cancel = sequences.register_cancel(ID);
    assert!(!sequences.is_current(first));
    let second = sequences.register_start(ID);
    assert!(sequences.is_current(second));
    assert!(sequences.has_earlier_start(cancel));
    sequences.end_start(first);
    assert!(
        !sequences.has_earlier_start(cancel),
        "the second start is not before the cancel"
    );
}

/// Guards against a start that is cancelled while it waits in the queue and still reaches the
/// engine.
#[test]
fn start_cancelled_in_the_queue_is_not_sent() {
    let sequences = SequenceCommands::default();
    let start = sequences.register_start(ID);
    sequences.register_cancel(ID);
    assert!(!sequences.wait_for_earlier_cancels(start));
}

/// Guards against a cancel that reaches the engine after the next start of the same attempt and
/// ends that start.
#[test]
fn start_waits_for_earlier_cancel() {
    let sequences = Arc::new(SequenceCommands::default());
    let cancel = sequences.register_cancel(ID);
    let start = sequences.register_start(ID);
    let (sent, order) = crossbeam::channel::unbounded();
    let waiting = {
        let (sequences, sent) = (Arc::clone(&sequences), sent.clone());
        thread::spawn(move || {
            let is_wanted = sequences.wait_for_earlier_cancels(start);
            sent.send("start").map(|()| is_wanted)
        })
    };
    thread::sleep(Duration::from_millis(20));
    assert!(sent.send("cancel").is_ok());
    sequences.end_cancel(cancel);
    assert!(matches!(waiting.join(), Ok(Ok(true))));
    assert_eq!(order.try_iter().collect::<Vec<_>>(), ["cancel", "start"]);
}
