//! A request runs on no more servers than its route allows, and once at each.
//!
//! Only requests with a bound in the record are checked; others are bounded by their permits.

use std::collections::{BTreeMap, BTreeSet};

use cuminlead_types::{BackendServerId, RequestId};

use super::Input;
use crate::observation::Observation;
use crate::report::{Promise, Report};

#[derive(Default)]
struct Bounded {
    attempts_max_count: u32,
    servers: BTreeSet<BackendServerId>,
}

pub(super) fn check(input: &Input, report: &mut Report) {
    let mut requests: BTreeMap<RequestId, Bounded> = BTreeMap::new();
    for (index, observed) in input.record.iter().enumerate() {
        match &observed.what {
            Observation::AttemptsBounded {
                request,
                attempts_max_count,
            } => {
                requests.entry(*request).or_default().attempts_max_count = *attempts_max_count;
            }
            Observation::ServiceRan { server, request } => {
                if let Some(bounded) = requests.get_mut(request) {
                    check_run(report, index, *request, bounded, server);
                }
            }
            _ => {}
        }
    }
}

fn check_run(
    report: &mut Report,
    index: usize,
    request: RequestId,
    bounded: &mut Bounded,
    server: &BackendServerId,
) {
    if !bounded.servers.insert(server.clone()) {
        let message = format!("the request ran twice at {server}");
        report.add(Promise::Attempts, request, index, message);
        return;
    }
    let attempts_max_count = bounded.attempts_max_count;
    if bounded.servers.len() > attempts_max_count as usize {
        let message = format!("the request ran on more than {attempts_max_count} servers");
        report.add(Promise::Attempts, request, index, message);
    }
}
