//! Trace spans of calls from the agent to its back end.
//!
//! Commands to the back end carry no trace context, because the decision code does not need it. The
//! decision for a command is made while the message that causes it is handled, so the trace context
//! of that message is the parent of the span.

use std::collections::HashMap;

use cuminlead_protocol::{
    EngineCommand, EngineEvent, ServiceCallRef, ServiceCommand, ServiceEvent,
};
use cuminlead_telemetry::{HopSpan, Tracing};
use cuminlead_types::AttemptId;

/// Open spans of KV transfers between engines and of calls to the service.
#[derive(Debug, Default)]
pub struct BackendSpans {
    tracing: Tracing,
    parent: String,
    transfers: HashMap<AttemptId, HopSpan>,
    service_calls: HashMap<ServiceCallRef, HopSpan>,
}

impl BackendSpans {
    /// Starts without open spans.
    pub fn new(tracing: Tracing) -> Self {
        Self {
            tracing,
            ..Self::default()
        }
    }

    /// Sets the trace context of the message that is being handled; empty if there is none.
    pub fn set_parent(&mut self, traceparent: String) {
        self.parent = traceparent;
    }

    /// Begins the span of a KV transfer at a decode command, and ends it at a cancel.
    pub fn on_engine_command(&mut self, command: &EngineCommand) {
        match command {
            EngineCommand::Decode { id, .. } if !self.parent.is_empty() => {
                let span = self.start_span("transfer", &id.to_string());
                self.transfers.insert(*id, span);
            }
            EngineCommand::Cancel { id } => drop(self.transfers.remove(id)),
            _ => {}
        }
    }

    /// Ends the span of a KV transfer when the import or its sequence has ended.
    pub fn on_engine_event(&mut self, event: &EngineEvent) {
        match event {
            EngineEvent::Imported { id }
            | EngineEvent::ImportFailed { id }
            | EngineEvent::StreamLost { id }
            | EngineEvent::SequenceFailed { id } => drop(self.transfers.remove(id)),
            _ => {}
        }
    }

    /// Begins the span of a call to the service. Returns the trace context to send to the service,
    /// or an empty string if the message had none.
    pub fn on_service_command(&mut self, command: &ServiceCommand) -> String {
        if self.parent.is_empty() {
            return String::new();
        }
        let span = self.start_span("service", &command.http.method);
        let traceparent = span.traceparent().to_string();
        self.service_calls.insert(command.run, span);
        traceparent
    }

    /// Ends the span of a call to the service, with any outcome.
    pub fn on_service_event(&mut self, event: &ServiceEvent) {
        let (ServiceEvent::Answered { run, .. }
        | ServiceEvent::NotSent { run }
        | ServiceEvent::Lost { run }) = event;
        self.service_calls.remove(run);
    }

    fn start_span(&self, name: &'static str, command_name: &str) -> HopSpan {
        let mut span = self.tracing.hop(name, &self.parent);
        span.attribute("cuminlead.command", command_name);
        span
    }
}
