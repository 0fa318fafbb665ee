//! P4: a request refused as "not run" is never executed, before or after the refusal.

use std::collections::BTreeSet;

use cuminlead_types::RequestId;

use super::Input;
use crate::observation::{Observation, RequestOutcome};
use crate::report::{Promise, Report};

pub(super) fn check(input: &Input, report: &mut Report) {
    let refused = refused(input);
    for (index, observed) in input.record.iter().enumerate() {
        match &observed.what {
            Observation::ServiceRan { request, .. } if refused.contains(request) => {
                let message = "the service executed a call that was reported as not run";
                report.add(Promise::P4, request, index, message);
            }
            Observation::ChunkDelivered { request, .. } if refused.contains(request) => {
                let message = "a chunk was delivered for a call that was reported as not run";
                report.add(Promise::P4, request, index, message);
            }
            _ => {}
        }
    }
}

/// Requests whose callers got the outcome `not_run`.
fn refused(input: &Input) -> BTreeSet<RequestId> {
    let observations = input.record.iter();
    let refused = observations.filter_map(|observed| match &observed.what {
        Observation::RequestFailed {
            request,
            outcome: RequestOutcome::NotRun,
        } => Some(*request),
        _ => None,
    });
    refused.collect()
}
