//! P1: no engine memory stays held for a request that is gone.
//!
//! Memory must be free a bounded time after its request was gone, and a shorter time after its
//! agent received a cancel. Memory that is taken later counts from its start, and so does memory of a
//! request that no entry accepted.

use std::collections::BTreeMap;

use cuminlead_types::{AttemptId, BackendServerId, TimeUs};

use super::Input;
use crate::history::Seen;
use crate::observation::Observation;
use crate::report::{Promise, Report};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Holder {
    server: BackendServerId,
    id: AttemptId,
}

struct Held {
    started: Seen,
    cancelled: Option<Seen>,
}

pub(super) fn check(input: &Input, report: &mut Report) {
    let mut held: BTreeMap<Holder, Held> = BTreeMap::new();
    for (index, observed) in input.record.iter().enumerate() {
        let seen = Seen {
            index,
            at: observed.at,
        };
        match &observed.what {
            Observation::SequenceStarted { server, id } => {
                let holder = holder(server, *id);
                held.entry(holder).or_insert(Held {
                    started: seen,
                    cancelled: None,
                });
            }
            Observation::CancelReceived { server, id } => {
                if let Some(held) = held.get_mut(&holder(server, *id)) {
                    held.cancelled.get_or_insert(seen);
                }
            }
            Observation::SequenceFreed { server, id } => {
                let holder = holder(server, *id);
                if let Some(held) = held.remove(&holder) {
                    check_held(input, report, &holder, &held, seen.at);
                }
            }
            Observation::EngineRestarted { server } => {
                held.retain(|holder, held| {
                    let is_freed = holder.server == *server;
                    if is_freed {
                        check_held(input, report, holder, held, seen.at);
                    }
                    !is_freed
                });
            }
            _ => {}
        }
    }
    for (holder, held) in &held {
        check_held(input, report, holder, held, input.end);
    }
}

fn holder(server: &BackendServerId, id: AttemptId) -> Holder {
    let server = server.clone();
    Holder { server, id }
}

fn check_held(input: &Input, report: &mut Report, holder: &Holder, held: &Held, until: TimeUs) {
    let subject = format!("{} {}", holder.server, holder.id);
    let index = held.started.index;
    let gone_at = gone_at(input, holder, held);
    let free_us = input.bounds.free_us;
    if gone_at.is_some_and(|gone_at| gone_at + free_us < until) {
        let message = format!("memory is held at {until}, over {free_us} us after its request");
        report.add(Promise::P1, &subject, index, message);
    }
    let cancel_us = input.bounds.cancel_us;
    let cancelled_at = held.cancelled.map(|seen| seen.at);
    if cancelled_at.is_some_and(|at| at + cancel_us < until) {
        let message = format!("memory is held at {until}, over {cancel_us} us after a cancel");
        report.add(Promise::P1, &subject, index, message);
    }
}

fn gone_at(input: &Input, holder: &Holder, held: &Held) -> Option<TimeUs> {
    let request = holder.id.request;
    if input.history.accepted(request).is_none() {
        return Some(held.started.at);
    }
    let gone = input.history.gone(request);
    gone.map(|seen| seen.at.max(held.started.at))
}
