//! P5: a non-idempotent call runs at most once.
//!
//! A call of a request that the record does not show accepted counts as non-idempotent. Calls with
//! the same key of the same customer and service count as one call within the retention of keys.

use std::collections::{BTreeMap, BTreeSet};

use cuminlead_types::{BackendServerId, PermitId, RequestId, TimeUs};

use super::Input;
use crate::history::{CallKey, Seen};
use crate::observation::{Observation, RequestKind};
use crate::report::{Promise, Report};

#[derive(Default)]
struct Runs {
    by_request: BTreeSet<RequestId>,
    by_key: BTreeMap<CallKey, TimeUs>,
    permits: BTreeSet<StartedPermit>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct StartedPermit {
    server: BackendServerId,
    permit: PermitId,
}

pub(super) fn check(input: &Input, report: &mut Report) {
    let mut runs = Runs::default();
    for (index, observed) in input.record.iter().enumerate() {
        let seen = Seen {
            index,
            at: observed.at,
        };
        match &observed.what {
            Observation::ServiceRan { request, .. } => {
                check_run(input, report, &mut runs, seen, *request);
            }
            Observation::PermitStarted {
                server,
                permit,
                request,
            } => {
                let started = StartedPermit {
                    server: server.clone(),
                    permit: *permit,
                };
                if !runs.permits.insert(started) {
                    let message = format!("permit {permit} of {server} was started twice");
                    report.add(Promise::P5, request, index, message);
                }
            }
            _ => {}
        }
    }
}

fn check_run(input: &Input, report: &mut Report, runs: &mut Runs, seen: Seen, request: RequestId) {
    let accepted = input.history.accepted(request);
    if accepted.is_some_and(|accepted| accepted.kind == RequestKind::Idempotent) {
        return;
    }
    if !runs.by_request.insert(request) {
        report.add(
            Promise::P5,
            request,
            seen.index,
            "the call ran a second time",
        );
    }
    let Some(key) = accepted.and_then(|accepted| accepted.key.clone()) else {
        return;
    };
    let earlier_at = runs.by_key.insert(key.clone(), seen.at);
    let retention_us = input.bounds.key_retention_us;
    if earlier_at.is_some_and(|at| seen.at < at + retention_us) {
        let message = format!("a call with key {} ran again", key.key);
        report.add(Promise::P5, request, seen.index, message);
    }
}
