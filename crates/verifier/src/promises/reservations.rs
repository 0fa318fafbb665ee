//! Prefill and decode requests are sent only while a decode slot is reserved.
//!
//! A prompt computed before the reservation may become discarded prefill work, and a decode on a
//! server without its own reservation takes KV memory that is reserved for others.

use std::collections::BTreeSet;

use cuminlead_types::{BackendServerId, RequestId};

use super::Input;
use crate::observation::Observation;
use crate::report::{Promise, Report};

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Reservation {
    request: RequestId,
    server: BackendServerId,
}

pub(super) fn check(input: &Input, report: &mut Report) {
    let mut reserved: BTreeSet<Reservation> = BTreeSet::new();
    for (index, observed) in input.record.iter().enumerate() {
        match &observed.what {
            Observation::SlotReserved { server, request } => {
                reserved.insert(reservation(server, *request));
            }
            Observation::SlotReleased { server, request } => {
                reserved.remove(&reservation(server, *request));
            }
            Observation::PrefillSent { request, .. }
                if !reserved
                    .iter()
                    .any(|reservation| reservation.request == *request) =>
            {
                let message = "prefill request sent without a reserved decode slot";
                report.add(Promise::Reservations, request, index, message);
            }
            Observation::DecodeSent {
                server, request, ..
            } if !reserved.contains(&reservation(server, *request)) => {
                let message = format!("decode request sent without a reserved slot on {server}");
                report.add(Promise::Reservations, request, index, message);
            }
            _ => {}
        }
    }
}

fn reservation(server: &BackendServerId, request: RequestId) -> Reservation {
    let server = server.clone();
    Reservation { request, server }
}
