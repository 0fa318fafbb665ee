//! Orders to an engine.
//!
//! An engine whose role changes ends all its sequences, and one that unloads a model or adapter
//! ends the sequences that use it. An order that the engine has not read when its agent dies
//! arrives late, as if it had waited in a socket. It is lost if the engine dies before that.

use cuminlead_protocol::{EngineEvent, EngineOrder, EngineRole, LoadedModel, ModelTarget};
use cuminlead_types::{AttemptId, DurationUs, FencingNumber};
use cuminlead_verifier::{EngineAssignmentText, Observation};

use super::{Engine, Sequence};
use crate::assignment;
use crate::event::{BackendEvent, NodeId, ProcessEvent};
use crate::fault_case::EXACT_SEED;
use crate::injection::InjectionPoint;
use crate::simulation::Simulation;

/// Time that the engine takes to carry out an order.
const ORDER_TIME: DurationUs = DurationUs::from_ms(500);

impl Engine {
    /// Whether the engine has this role and serves the model, version and adapter of the target.
    pub(super) fn serves(&self, role: EngineRole, target: &ModelTarget) -> bool {
        let model = loaded(target);
        let adapter = target.adapter.as_ref();
        self.role == role
            && self.models.contains(&model)
            && adapter.is_none_or(|adapter| self.adapters.contains(adapter))
    }

    /// Restores the launch configuration. A restarted engine has seen no fencing number.
    pub(super) fn relaunch(&mut self) {
        self.role = self.launch_config.role;
        self.models = vec![self.launch_config.model.clone()];
        self.adapters.clear();
        self.highest = FencingNumber::default();
    }

    fn served_assignment(&self) -> EngineAssignmentText {
        assignment::text(self.role, &self.models, &self.adapters)
    }

    fn apply(&mut self, order: &EngineOrder) {
        match order.clone() {
            EngineOrder::LoadModel { model, version } => {
                self.models.push(LoadedModel { model, version });
                self.models.sort_unstable();
                self.models.dedup();
            }
            EngineOrder::UnloadModel { model, version } => {
                let removed = LoadedModel { model, version };
                self.models.retain(|loaded| *loaded != removed);
            }
            EngineOrder::LoadAdapter { adapter } => {
                self.adapters.push(adapter);
                self.adapters.sort_unstable();
                self.adapters.dedup();
            }
            EngineOrder::UnloadAdapter { adapter } => self.adapters.retain(|a| *a != adapter),
            EngineOrder::SetRole { role } => self.role = role,
        }
    }

    /// Sequences that the engine cannot continue after an order.
    fn ended_by(&self, order: &EngineOrder) -> Vec<AttemptId> {
        let is_ended = |sequence: &Sequence| match order {
            EngineOrder::SetRole { role } => *role != self.role,
            EngineOrder::UnloadModel { model, version } => {
                let target = &sequence.target;
                target.model == *model && target.version == *version
            }
            EngineOrder::UnloadAdapter { adapter } => {
                sequence.target.adapter.as_ref() == Some(adapter)
            }
            EngineOrder::LoadModel { .. } | EngineOrder::LoadAdapter { .. } => false,
        };
        let sequences = self.sequences.iter();
        let ended = sequences.filter(|(_, sequence)| is_ended(sequence));
        ended.map(|(id, _)| *id).collect()
    }
}

fn loaded(target: &ModelTarget) -> LoadedModel {
    LoadedModel {
        model: target.model.clone(),
        version: target.version.clone(),
    }
}

impl Simulation {
    /// Carries out an order, or delays it if its agent has died meanwhile.
    pub(super) fn order(
        &mut self,
        node: NodeId,
        agent_generation: u64,
        fencing: FencingNumber,
        order: EngineOrder,
    ) {
        if self.is_receiver_alive(node, agent_generation) {
            self.carry_out_order(node, agent_generation, fencing, order);
            return;
        }
        let late = self.config.late_order_us;
        let delay = match self.config.seed {
            EXACT_SEED => late,
            _ => self.draw(late + late),
        };
        let event = BackendEvent::LateOrder {
            agent_generation,
            fencing,
            order,
        };
        self.push_backend(delay, node, event);
    }

    pub(crate) fn carry_out_order(
        &mut self,
        node: NodeId,
        agent_generation: u64,
        fencing: FencingNumber,
        order: EngineOrder,
    ) {
        let receiver = Some(agent_generation);
        let engine = self.engine_mut(node);
        let highest = engine.highest;
        let is_checked = engine.is_fenced;
        if is_checked && fencing <= highest {
            self.emit(
                node,
                receiver,
                EngineEvent::OrderFenced { fencing, highest },
            );
            return;
        }
        engine.highest = highest.max(fencing);
        let ended = engine.ended_by(&order);
        let server = engine.server.clone();
        self.observe(Observation::OrderCarriedOut {
            server,
            fencing,
            is_checked,
        });
        for id in ended {
            self.end_sequence(node, id, fencing);
        }
        self.engine_mut(node).apply(&order);
        self.observe_served(node);
        self.reached_at_changed_engine(InjectionPoint::OrderCarriedOut, node);
        if self.is_receiver_alive(node, agent_generation) {
            let event = ProcessEvent::Engine(EngineEvent::OrderDone { fencing });
            self.push_process(ORDER_TIME, node, event);
        }
    }

    /// Ends a sequence because of an order. The cut-off is not recorded if the agent of the
    /// sequence has died, because the sequence is then of no use to its request.
    fn end_sequence(&mut self, node: NodeId, id: AttemptId, fencing: FencingNumber) {
        let engine = self.engine_mut(node);
        let server = engine.server.clone();
        let receiver = engine.sequences.get(&id).and_then(|s| s.receiver);
        if receiver.is_none_or(|receiver| self.is_receiver_alive(node, receiver)) {
            self.observe(Observation::SequenceCutOff {
                server,
                id,
                fencing,
            });
        }
        self.free_sequence(node, id);
        self.emit(node, receiver, EngineEvent::SequenceFailed { id });
    }

    fn is_receiver_alive(&self, node: NodeId, agent_generation: u64) -> bool {
        let state = &self.processes[node.0];
        state.is_running && state.generation == agent_generation
    }

    pub(crate) fn observe_served(&mut self, node: NodeId) {
        if let Some(engine) = self.engines.get(&node) {
            let server = engine.server.clone();
            let duty = engine.served_assignment();
            self.observe(Observation::DutyServed { server, duty });
        }
    }
}
