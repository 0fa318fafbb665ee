//! P3: every caller gets the whole answer to its own request.
//!
//! A caller that is told by an error that its answer is incomplete, or whose entry was killed, knows
//! that it has no whole answer. Any other answer must be whole, in order and its own.

use std::collections::BTreeMap;

use cuminlead_types::{RequestId, SequenceNumber};

use super::Input;
use crate::history::{Accepted, RequestHistory, Seen};
use crate::observation::{AnswerDigest, Observation};
use crate::report::{Promise, Report};

pub(super) fn check(input: &Input, report: &mut Report) {
    check_answered(input, report);
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
                check_cut_off(input, report, index, *request);
            }
            _ => {}
        }
    }
}

/// Every request must have had an ending unless its caller is gone or its time is not over.
fn check_answered(input: &Input, report: &mut Report) {
    for (request, history) in &input.history.requests {
        let Some(accepted) = open_since(history) else {
            continue;
        };
        let due_at = accepted.at + input.bounds.request_max_us;
        if due_at < input.end {
            let message = "the request was never answered";
            report.add(Promise::P3, request, accepted.index, message);
        }
    }
}

fn open_since(history: &RequestHistory) -> Option<Seen> {
    if history.gone.is_some() {
        return None;
    }
    history.accepted.as_ref().map(|accepted| accepted.seen)
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
            "chunk for a request that was not accepted",
        );
    }
    if sequence > next {
        let message = format!("chunk {sequence} was delivered before chunk {next}");
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
            "answer to a request that was not accepted",
        );
        return;
    };
    if let (Some(expected), Some(answer)) = (accepted.answer, answer)
        && expected != answer
    {
        let message = format!("the answer is {answer}, the right one is {expected}");
        report.add(Promise::P3, request, index, message);
    }
}

/// Only the death of its entry may end a caller's connection without an ending.
fn check_cut_off(input: &Input, report: &mut Report, index: usize, request: RequestId) {
    let Some(accepted) = input.history.accepted(request) else {
        return;
    };
    if !is_entry_killed(input, accepted) {
        report.add(
            Promise::P3,
            request,
            index,
            "the answer was cut off by a living entry",
        );
    }
}

/// Whether the entry was killed after it accepted the request. The caller may notice before the
/// observer of the process does, so the order of the two does not matter.
fn is_entry_killed(input: &Input, accepted: &Accepted) -> bool {
    let mut observations = input.record.iter().skip(accepted.seen.index);
    observations.any(|observed| match &observed.what {
        Observation::ProcessKilled { process } => *process == accepted.process,
        _ => false,
    })
}
