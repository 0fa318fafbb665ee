//! P6: a draining server accepts no new work after a few seconds.
//!
//! The time counts from the first source that reports it. Only a new incarnation ends the draining.

use std::collections::BTreeMap;

use cuminlead_types::{BackendServerId, TimeUs};

use super::Input;
use crate::observation::Observation;
use crate::report::{Promise, Report};

pub(super) fn check(input: &Input, report: &mut Report) {
    let mut leaving: BTreeMap<&BackendServerId, TimeUs> = BTreeMap::new();
    let draining_us = input.bounds.draining_us;
    for (index, observed) in input.record.iter().enumerate() {
        match &observed.what {
            Observation::LeavingReported { server, .. } => {
                leaving.entry(server).or_insert(observed.at);
            }
            Observation::ServerReturned { server } => {
                leaving.remove(server);
            }
            Observation::WorkAccepted { server, id } => {
                let reported_at = leaving.get(server);
                if reported_at.is_some_and(|at| *at + draining_us < observed.at) {
                    let message = format!(
                        "accepted {id} over {draining_us} us after the server began to drain"
                    );
                    report.add(Promise::P6, server, index, message);
                }
            }
            _ => {}
        }
    }
}
