//! P3: a caller gets the complete answer to its own request.
//!
//! A caller that received an error for an incomplete answer, or whose entry was killed, knows that
//! its answer is incomplete. Any other answer must be complete, in order and that of the request.

use std::collections::BTreeMap;

use cuminlead_types::{RequestId, SequenceNumber};

use super::Input;
use crate::history::{Accepted, RecordPosition, RequestHistory};
use crate::observation::{AnswerDigest, Observation};
use crate::report::{Promise, Report};

pub(super) fn check(input: &Input, report: &mut Report) {
    check_completed(input, report);
    let mut next: BTreeMap<RequestId, SequenceNumber> = BTreeMap::new();
    for (index, observed) in input.record.iter().enumerate() {
        match &observed.what {
            Observation::ChunkDelivered { request, sequence } => {
                let next = next.entry(*request).or_default();
                check_chunk(input, report, index, *request, *next, *sequence);
                *next = sequence.next().max(*next);
            }
            Observation::AnswerEnded { request, answer } => {
                check_answer(input, report, index, *request, answer.0);
            }
            Observation::CallerCutOff { request } => {
                check_disconnect(input, report, index, *request);
            }
            _ => {}
        }
    }
}

/// Finds requests that have not ended within `request_max_us` of their acceptance.
fn check_completed(input: &Input, report: &mut Report) {
    for (request, history) in &input.history.requests {
        let Some(accepted) = open_since(history) else {
            continue;
        };
        let due_at = accepted.at + input.bounds.request_max_us;
        if due_at < input.end {
            let message = "the request got no answer or error within its time limit";
            report.add(Promise::P3, request, accepted.index, message);
        }
    }
}

fn open_since(history: &RequestHistory) -> Option<RecordPosition> {
    if history.ended.is_some() {
        return None;
    }
    history.accepted.as_ref().map(|accepted| accepted.position)
}

fn check_chunk(
    input: &Input,
    report: &mut Report,
    index: usize,
    request: RequestId,
    next: SequenceNumber,
    sequence: SequenceNumber,
) {
    if input.history.accepted(request).is_none() {
        report.add(
            Promise::P3,
            request,
            index,
            "chunk delivered for a request that no entry accepted",
        );
    }
    if sequence > next {
        let message = format!("chunk {sequence} was delivered where chunk {next} was expected");
        report.add(Promise::P3, request, index, message);
    }
}

fn check_answer(
    input: &Input,
    report: &mut Report,
    index: usize,
    request: RequestId,
    answer: Option<AnswerDigest>,
) {
    let Some(accepted) = input.history.accepted(request) else {
        report.add(
            Promise::P3,
            request,
            index,
            "answer ended for a request that no entry accepted",
        );
        return;
    };
    if let (Some(expected), Some(answer)) = (accepted.answer, answer)
        && expected != answer
    {
        let message = format!("wrong answer: digest {answer}, expected {expected}");
        report.add(Promise::P3, request, index, message);
    }
}

/// Finds a connection that was closed without an answer or error although its entry was not killed.
fn check_disconnect(input: &Input, report: &mut Report, index: usize, request: RequestId) {
    let Some(accepted) = input.history.accepted(request) else {
        return;
    };
    if !is_entry_killed(input, accepted) {
        report.add(
            Promise::P3,
            request,
            index,
            "connection closed without an answer or error by an entry that was not killed",
        );
    }
}

/// Whether the entry was killed after it accepted the request. The caller may observe the
/// disconnect before the kill is recorded, so the order of the two is not checked.
fn is_entry_killed(input: &Input, accepted: &Accepted) -> bool {
    let mut observations = input.record.iter().skip(accepted.position.index);
    observations.any(|observed| match &observed.what {
        Observation::ProcessKilled { process } => *process == accepted.process,
        _ => false,
    })
}
