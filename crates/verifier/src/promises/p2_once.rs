//! P2: no request is answered twice.

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
        for seen in history.endings.iter().skip(1) {
            let message = "the answer ended a second time";
            report.add(Promise::P2, request, seen.index, message);
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
        let first_ending = history.and_then(|history| history.endings.first());
        if first_ending.is_some_and(|ending| ending.index < index) {
            let message = format!("chunk {sequence} came after the end");
            report.add(Promise::P2, request, index, message);
        }
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Chunk {
    request: RequestId,
    sequence: SequenceNumber,
}
