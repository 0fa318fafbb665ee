//! No prompt is computed and no answer asked for without a place for the answer.
//!
//! A prompt that is computed before a place is held may never be used, and an answer without a place
//! at its own server takes memory that was promised to others.

use std::collections::BTreeSet;

use cuminlead_types::{BackendServerId, RequestId};

use super::Input;
use crate::observation::Observation;
use crate::report::{Promise, Report};

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SourceLocation {
    request: RequestId,
    server: BackendServerId,
}

pub(super) fn check(input: &Input, report: &mut Report) {
    let mut held: BTreeSet<SourceLocation> = BTreeSet::new();
    for (index, observed) in input.record.iter().enumerate() {
        match &observed.what {
            Observation::SlotReserved { server, request } => {
                held.insert(place(server, *request));
            }
            Observation::SlotReleased { server, request } => {
                held.remove(&place(server, *request));
            }
            Observation::PrefillSent { request, .. }
                if !held.iter().any(|place| place.request == *request) =>
            {
                let message = "a prompt was sent to be computed without a place";
                report.add(Promise::Places, request, index, message);
            }
            Observation::DecodeSent {
                server, request, ..
            } if !held.contains(&place(server, *request)) => {
                let message = format!("an answer was asked for without a place at {server}");
                report.add(Promise::Places, request, index, message);
            }
            _ => {}
        }
    }
}

fn place(server: &BackendServerId, request: RequestId) -> SourceLocation {
    let server = server.clone();
    SourceLocation { request, server }
}
