//! Probes of agents that get no work, so that the entry learns when they may get some again.

use std::time::Duration;

use cuminlead_entry_core::SendOutcome;
use cuminlead_protocol::{AgentRequest, Envelope, GetState};
use cuminlead_types::{BackendServerId, EntryId};

use crate::controller::ControlEvent;
use crate::driver::{DriverContext, carry};

/// Longest time of one probe; as long as a short message may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Customer of a probe, which no customer's request causes; an empty name is refused on the wire.
const PROBE_CUSTOMER: &str = "probe";

/// Sender of probes.
#[derive(Clone, Debug)]
pub struct Prober {
    /// This entry.
    pub entry: EntryId,
    /// What carries messages.
    pub driver: DriverContext,
}

impl Prober {
    /// Asks a server's agent for its state over a fresh connection and reports the outcome to the
    /// control thread; the state itself is reported as that of any reply.
    pub fn probe(&self, server: BackendServerId) {
        let context = self.driver.clone();
        let envelope = Envelope {
            entry: self.entry.clone(),
            customer: PROBE_CUSTOMER.parse().unwrap_or_default(),
            ..Envelope::default()
        };
        let request = AgentRequest::GetState(GetState { envelope });
        self.driver.runtime.spawn(async move {
            let carried = carry(&context, &server, request, true);
            let outcome = tokio::time::timeout(PROBE_TIMEOUT, carried).await;
            let is_success = matches!(outcome, Ok(SendOutcome::Reply(_)));
            if !is_success {
                context.clients.forget(&server);
            }
            // The control thread outlives the tasks of its process.
            let _ = context
                .control
                .send(ControlEvent::Probed { server, is_success });
        });
    }
}
