//! P2: a request gets one answer or error, and each chunk once.

use std::collections::BTreeSet;

use cuminlead_types::{RequestId, SequenceNumber};

use super::Input;
use crate::observation::Observation;
use crate::report::{Promise, Report};

pub(super) fn check(input: &Input, report: &mut Report) {
    check_endings(input, report);
    check_chunks(input, report);
}

fn check_endings(input: &Input, report: &mut Report) {
    for (request, history) in &input.history.requests {
        for position in history.completions.iter().skip(1) {
            let message = "the request got a second answer or error";
            report.add(Promise::P2, request, position.index, message);
        }
    }
}

fn check_chunks(input: &Input, report: &mut Report) {
    let mut delivered: BTreeSet<Chunk> = BTreeSet::new();
    for (index, observed) in input.record.iter().enumerate() {
        let Observation::ChunkDelivered { request, sequence } = &observed.what else {
            continue;
        };
        let chunk = Chunk {
            request: *request,
            sequence: *sequence,
        };
        if !delivered.insert(chunk) {
            let message = format!("chunk {sequence} was delivered twice");
            report.add(Promise::P2, request, index, message);
        }
        let history = input.history.requests.get(request);
        let first_ending = history.and_then(|history| history.completions.first());
        if first_ending.is_some_and(|ending| ending.index < index) {
            let message = format!(
                "chunk {sequence} was delivered after the answer or error ended the request"
            );
            report.add(Promise::P2, request, index, message);
        }
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Chunk {
    request: RequestId,
    sequence: SequenceNumber,
}
