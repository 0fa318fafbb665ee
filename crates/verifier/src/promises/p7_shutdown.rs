//! P7: a graceful shutdown aborts no in-flight request.

use cuminlead_types::HostId;

use super::Input;
use crate::history::RequestHistory;
use crate::observation::Observation;
use crate::report::{Promise, Report};

pub(super) fn check(input: &Input, report: &mut Report) {
    for (index, observed) in input.record.iter().enumerate() {
        let Observation::ProcessStopped {
            process,
            open_count,
        } = &observed.what
        else {
            continue;
        };
        if *open_count > 0 {
            let message = format!(
                "graceful shutdown ended with {open_count} open requests, leases and permits"
            );
            report.add(Promise::P7, process, index, message);
        }
        check_requests(input, report, index, process);
    }
}

/// Finds requests that the process accepted and that had not ended when it stopped.
fn check_requests(input: &Input, report: &mut Report, stopped: usize, process: &HostId) {
    for (request, history) in &input.history.requests {
        if is_open_at(history, stopped, process) {
            let message = format!("graceful shutdown of {process} ended before the request did");
            report.add(Promise::P7, request, stopped, message);
        }
    }
}

fn is_open_at(history: &RequestHistory, stopped: usize, process: &HostId) -> bool {
    let Some(accepted) = &history.accepted else {
        return false;
    };
    let is_of_process = accepted.process == *process && accepted.position.index < stopped;
    let has_ended = history.ended.is_some_and(|ended| ended.index < stopped);
    is_of_process && !has_ended
}
