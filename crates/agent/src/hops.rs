//! Spans of the hops from the agent to its back end.
//!
//! Commands to the back end carry no trace context, because decision code needs none. A command is
//! decided on while the message that causes it is handled, so the context of that message is the
//! parent of the hop.

use std::collections::HashMap;

use cuminlead_protocol::{EngineCommand, EngineEvent, RunRef, ServiceCommand, ServiceEvent};
use cuminlead_telemetry::{HopSpan, Tracing};
use cuminlead_types::AttemptId;

/// Open spans of transfers between engines and of calls to the service.
#[derive(Debug, Default)]
pub struct Hops {
    tracing: Tracing,
    parent: String,
    transfers: HashMap<AttemptId, HopSpan>,
    runs: HashMap<RunRef, HopSpan>,
}

impl Hops {
    /// No open spans.
    pub fn new(tracing: Tracing) -> Self {
        Self {
            tracing,
            ..Self::default()
        }
    }

    /// Sets the trace context of the message that is being handled; empty without one.
    pub fn set_parent(&mut self, traceparent: String) {
        self.parent = traceparent;
    }

    /// Begins the span of a transfer; a cancelled one ends.
    pub fn command_engine(&mut self, command: &EngineCommand) {
        match command {
            EngineCommand::Decode { id, .. } if !self.parent.is_empty() => {
                let span = self.hop("transfer", &id.to_string());
                self.transfers.insert(*id, span);
            }
            EngineCommand::Cancel { id } => drop(self.transfers.remove(id)),
            _ => {}
        }
    }

    /// Ends the span of a transfer.
    pub fn engine_reported(&mut self, event: &EngineEvent) {
        match event {
            EngineEvent::Imported { id }
            | EngineEvent::ImportFailed { id }
            | EngineEvent::StreamLost { id }
            | EngineEvent::SequenceFailed { id } => drop(self.transfers.remove(id)),
            _ => {}
        }
    }

    /// Begins the span of a call to the service; returns the trace context for the service.
    pub fn command_service(&mut self, command: &ServiceCommand) -> String {
        if self.parent.is_empty() {
            return String::new();
        }
        let span = self.hop("service", &command.http.method);
        let traceparent = span.traceparent().to_string();
        self.runs.insert(command.run, span);
        traceparent
    }

    /// Ends the span of a call to the service.
    pub fn service_reported(&mut self, event: &ServiceEvent) {
        let (ServiceEvent::Answered { run, .. }
        | ServiceEvent::NotSent { run }
        | ServiceEvent::Lost { run }) = event;
        self.runs.remove(run);
    }

    fn hop(&self, name: &'static str, what: &str) -> HopSpan {
        let mut span = self.tracing.hop(name, &self.parent);
        span.attribute("cuminlead.command", what);
        span
    }
}
