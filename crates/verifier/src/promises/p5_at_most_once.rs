//! P5: a non-idempotent call is executed at most once.
//!
//! A request without a recorded acceptance counts as non-idempotent. Calls with the same
//! idempotency key, customer and service count as one call within the retention period of keys.

use std::collections::{BTreeMap, BTreeSet};

use cuminlead_types::{BackendServerId, PermitId, RequestId, TimeUs};

use super::Input;
use crate::history::{CallKey, RecordPosition};
use crate::observation::{Observation, RequestKind};
use crate::report::{Promise, Report};

#[derive(Default)]
struct Executions {
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
    let mut executions = Executions::default();
    for (index, observed) in input.record.iter().enumerate() {
        let position = RecordPosition {
            index,
            at: observed.at,
        };
        match &observed.what {
            Observation::ServiceRan { request, .. } => {
                check_execution(input, report, &mut executions, position, *request);
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
                if !executions.permits.insert(started) {
                    let message = format!("permit {permit} of {server} started a second call");
                    report.add(Promise::P5, request, index, message);
                }
            }
            _ => {}
        }
    }
}

fn check_execution(
    input: &Input,
    report: &mut Report,
    executions: &mut Executions,
    position: RecordPosition,
    request: RequestId,
) {
    let accepted = input.history.accepted(request);
    if accepted.is_some_and(|accepted| accepted.kind == RequestKind::Idempotent) {
        return;
    }
    if !executions.by_request.insert(request) {
        report.add(
            Promise::P5,
            request,
            position.index,
            "the call was executed a second time",
        );
    }
    let Some(key) = accepted.and_then(|accepted| accepted.key.clone()) else {
        return;
    };
    let earlier_at = executions.by_key.insert(key.clone(), position.at);
    let retention_us = input.bounds.key_retention_us;
    if earlier_at.is_some_and(|at| position.at < at + retention_us) {
        let message = format!(
            "a call with idempotency key {} was executed again within the retention period",
            key.key
        );
        report.add(Promise::P5, request, position.index, message);
    }
}
