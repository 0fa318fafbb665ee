//! P7: a graceful shutdown cuts off no request in flight.

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
            let message = format!("stopped gracefully with {open_count} open");
            report.add(Promise::P7, process, index, message);
        }
        check_requests(input, report, index, process);
    }
}

/// Every request that the process accepted must have ended before it stopped.
fn check_requests(input: &Input, report: &mut Report, stopped: usize, process: &HostId) {
    for (request, history) in &input.history.requests {
        if is_open_at(history, stopped, process) {
            let message = format!("{process} stopped gracefully before the request ended");
            report.add(Promise::P7, request, stopped, message);
        }
    }
}

fn is_open_at(history: &RequestHistory, stopped: usize, process: &HostId) -> bool {
    let Some(accepted) = &history.accepted else {
        return false;
    };
    let is_of_process = accepted.process == *process && accepted.seen.index < stopped;
    let is_gone = history.gone.is_some_and(|gone| gone.index < stopped);
    is_of_process && !is_gone
}
