//! P1: engine memory is freed after its request has ended.
//!
//! Memory must be free within a bound after the end of its request, and within a shorter bound
//! after its agent received a cancel. For memory that is allocated after the end of the request, or for a
//! request that no entry accepted, the time counts from the allocation.

use std::collections::BTreeMap;

use cuminlead_types::{AttemptId, BackendServerId, TimeUs};

use super::Input;
use crate::history::RecordPosition;
use crate::observation::Observation;
use crate::report::{Promise, Report};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MemoryOwner {
    server: BackendServerId,
    id: AttemptId,
}

struct Allocation {
    started: RecordPosition,
    cancelled: Option<RecordPosition>,
}

pub(super) fn check(input: &Input, report: &mut Report) {
    let mut allocations: BTreeMap<MemoryOwner, Allocation> = BTreeMap::new();
    for (index, observed) in input.record.iter().enumerate() {
        let position = RecordPosition {
            index,
            at: observed.at,
        };
        match &observed.what {
            Observation::SequenceStarted { server, id } => {
                let owner = owner(server, *id);
                allocations.entry(owner).or_insert(Allocation {
                    started: position,
                    cancelled: None,
                });
            }
            Observation::CancelReceived { server, id } => {
                if let Some(allocation) = allocations.get_mut(&owner(server, *id)) {
                    allocation.cancelled.get_or_insert(position);
                }
            }
            Observation::SequenceFreed { server, id } => {
                let owner = owner(server, *id);
                if let Some(allocation) = allocations.remove(&owner) {
                    check_allocation(input, report, &owner, &allocation, position.at);
                }
            }
            Observation::EngineRestarted { server } => {
                allocations.retain(|owner, allocation| {
                    let is_freed = owner.server == *server;
                    if is_freed {
                        check_allocation(input, report, owner, allocation, position.at);
                    }
                    !is_freed
                });
            }
            _ => {}
        }
    }
    for (owner, allocation) in &allocations {
        check_allocation(input, report, owner, allocation, input.end);
    }
}

fn owner(server: &BackendServerId, id: AttemptId) -> MemoryOwner {
    let server = server.clone();
    MemoryOwner { server, id }
}

fn check_allocation(
    input: &Input,
    report: &mut Report,
    owner: &MemoryOwner,
    allocation: &Allocation,
    until: TimeUs,
) {
    let subject = format!("{} {}", owner.server, owner.id);
    let index = allocation.started.index;
    let request_ended_at = request_ended_at(input, owner, allocation);
    let free_us = input.bounds.free_us;
    if request_ended_at.is_some_and(|request_ended_at| request_ended_at + free_us < until) {
        let message = format!(
            "memory still allocated at {until} us, over {free_us} us after its request ended"
        );
        report.add(Promise::P1, &subject, index, message);
    }
    let cancel_us = input.bounds.cancel_us;
    let cancelled_at = allocation.cancelled.map(|position| position.at);
    if cancelled_at.is_some_and(|at| at + cancel_us < until) {
        let message =
            format!("memory still allocated at {until} us, over {cancel_us} us after a cancel");
        report.add(Promise::P1, &subject, index, message);
    }
}

fn request_ended_at(input: &Input, owner: &MemoryOwner, allocation: &Allocation) -> Option<TimeUs> {
    let request = owner.id.request;
    if input.history.accepted(request).is_none() {
        return Some(allocation.started.at);
    }
    let ended = input.history.ended(request);
    ended.map(|position| position.at.max(allocation.started.at))
}
