//! A request is executed on at most as many servers as its route allows, once on each.
//!
//! Only requests with a recorded limit are checked; permits limit the others.

use std::collections::{BTreeMap, BTreeSet};

use cuminlead_types::{BackendServerId, RequestId};

use super::Input;
use crate::observation::Observation;
use crate::report::{Promise, Report};

#[derive(Default)]
struct LimitedRequest {
    attempts_max_count: u32,
    servers: BTreeSet<BackendServerId>,
}

pub(super) fn check(input: &Input, report: &mut Report) {
    let mut requests: BTreeMap<RequestId, LimitedRequest> = BTreeMap::new();
    for (index, observed) in input.record.iter().enumerate() {
        match &observed.what {
            Observation::AttemptsBounded {
                request,
                attempts_max_count,
            } => {
                requests.entry(*request).or_default().attempts_max_count = *attempts_max_count;
            }
            Observation::ServiceRan { server, request } => {
                if let Some(limited) = requests.get_mut(request) {
                    check_execution(report, index, *request, limited, server);
                }
            }
            _ => {}
        }
    }
}

fn check_execution(
    report: &mut Report,
    index: usize,
    request: RequestId,
    limited: &mut LimitedRequest,
    server: &BackendServerId,
) {
    if !limited.servers.insert(server.clone()) {
        let message = format!("the request was executed twice on {server}");
        report.add(Promise::Attempts, request, index, message);
        return;
    }
    let attempts_max_count = limited.attempts_max_count;
    if limited.servers.len() > attempts_max_count as usize {
        let message = format!("the request was executed on more than {attempts_max_count} servers");
        report.add(Promise::Attempts, request, index, message);
    }
}
