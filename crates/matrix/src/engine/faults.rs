//! Crash of an engine, and loss of its connections.

use cuminlead_protocol::{EngineCommand, EngineEvent};
use cuminlead_types::AttemptId;
use cuminlead_verifier::Observation;

use super::Work;
use crate::event::NodeId;
use crate::simulation::Simulation;

impl Simulation {
    /// Ends all connections between the agent and its engine, while the engine continues.
    pub(crate) fn lose_engine_connections(&mut self, node: NodeId) {
        let Some(engine) = self.engines.get_mut(&node) else {
            return;
        };
        let mut lost = Vec::new();
        for (id, sequence) in &mut engine.sequences {
            if let Some(receiver) = sequence.receiver.take() {
                lost.extend(
                    disconnect_event(*id, &sequence.work).map(|event| Lost { receiver, event }),
                );
            }
        }
        for lost in lost {
            self.emit(node, Some(lost.receiver), lost.event);
        }
    }

    /// Crashes an engine: its sequences and cache are lost, and it serves its launch configuration.
    pub(crate) fn end_engine(&mut self, node: NodeId) {
        let Some(engine) = self.engines.get_mut(&node) else {
            return;
        };
        let server = engine.server.clone();
        let sequences = std::mem::take(&mut engine.sequences);
        engine.finished.clear();
        engine.relaunch();
        engine.cache.clear();
        for (id, sequence) in sequences {
            self.count_cancelled(id, &sequence.work);
            if let Some(event) = disconnect_event(id, &sequence.work) {
                self.emit(node, sequence.receiver, event);
            }
        }
        self.observe(Observation::EngineRestarted { server });
    }

    /// Event with which a command fails that reaches no engine.
    pub(crate) fn engine_unreachable(
        &mut self,
        node: NodeId,
        receiver: u64,
        command: EngineCommand,
    ) {
        let event = match command {
            EngineCommand::Prefill { id, .. }
            | EngineCommand::Decode { id, .. }
            | EngineCommand::ResumeDecode { id, .. } => EngineEvent::SequenceFailed { id },
            EngineCommand::ReadInventory => EngineEvent::Unreachable,
            EngineCommand::Order { fencing, .. } => EngineEvent::OrderFailed { fencing },
            EngineCommand::Cancel { .. } => return,
        };
        self.emit(node, Some(receiver), event);
    }
}

struct Lost {
    receiver: u64,
    event: EngineEvent,
}

/// What an agent receives when the connection that carries a sequence ends.
fn disconnect_event(id: AttemptId, work: &Work) -> Option<EngineEvent> {
    match work {
        Work::Queued { .. } | Work::Computing { .. } => Some(EngineEvent::SequenceFailed { id }),
        Work::Exported { .. } => None,
        Work::Importing { .. } | Work::Decoding { .. } => Some(EngineEvent::StreamLost { id }),
    }
}
