//! Fake model engine with prefill, decode, KV memory, export and import.
//!
//! A prefill engine computes one prompt at a time at a fixed rate, in the order of priority and
//! arrival. Each running decode generates one token a step, and a step takes longer the more
//! sequences are in the batch. The output is that of the stand-in engine, a function of the prompt.

mod faults;
mod orders;

use std::collections::BTreeMap;

use cuminlead_protocol::{
    EngineCommand, EngineEvent, EngineInventory, EngineRole, FinishReason, KvHandle, LoadedModel,
    ModelTarget,
};
use cuminlead_types::{
    AdapterName, AttemptId, BackendServerId, DurationUs, FencingNumber, KvPieces, Priority, TimeUs,
    Tokens,
};
use cuminlead_verifier::Observation;

use super::cache::PrefixCache;
use super::config::SimulationConfig;
use super::event::{BackendEvent, NodeId, ProcessEvent};
use super::injection::InjectionPoint;
use super::simulation::Simulation;
use cuminlead_stand_ins::engine::text::Generation;

/// State of a model engine.
#[derive(Debug)]
pub struct Engine {
    pub(super) server: BackendServerId,
    /// Role and model that the engine serves after a start.
    launch_config: LaunchConfig,
    role: EngineRole,
    models: Vec<LoadedModel>,
    adapters: Vec<AdapterName>,
    is_fenced: bool,
    highest: FencingNumber,
    total_pieces: KvPieces,
    pub(super) sequences: BTreeMap<AttemptId, Sequence>,
    finished: BTreeMap<AttemptId, Finished>,
    serials_count: u64,
    cache: PrefixCache,
    /// Prompt tokens computed so far, without those from the prefix cache.
    pub(super) computed_tokens: Tokens,
}

#[derive(Debug)]
struct LaunchConfig {
    role: EngineRole,
    model: LoadedModel,
}

/// Sequence that occupies KV memory of an engine.
#[derive(Debug)]
pub struct Sequence {
    serial: u64,
    target: ModelTarget,
    pieces: KvPieces,
    priority: Priority,
    /// Generation of the agent that receives the events of the sequence; none once its connection
    /// is lost.
    receiver: Option<u64>,
    work: Work,
}

#[derive(Debug)]
enum Work {
    Queued {
        prompt: String,
    },
    Computing {
        prompt: String,
        cached: Tokens,
        started_at: TimeUs,
    },
    Exported {
        prompt: String,
    },
    Importing {
        prompt: String,
        output_max: Tokens,
    },
    Decoding {
        generation: Generation,
        emitted: u64,
        /// Whether the engine crashes on the first token.
        is_crashing: bool,
    },
}

#[derive(Debug)]
struct Finished {
    generation: Generation,
}

impl Engine {
    /// Engine without sequences that serves one model. `with_limits` sets its limits.
    pub fn new(server: BackendServerId, role: EngineRole, model: LoadedModel) -> Self {
        Self {
            server,
            launch_config: LaunchConfig {
                role,
                model: model.clone(),
            },
            role,
            models: vec![model],
            adapters: Vec::new(),
            is_fenced: true,
            highest: FencingNumber::default(),
            total_pieces: KvPieces(256),
            sequences: BTreeMap::new(),
            finished: BTreeMap::new(),
            serials_count: 0,
            cache: PrefixCache::default(),
            computed_tokens: Tokens::ZERO,
        }
    }

    pub(super) fn with_limits(mut self, config: &SimulationConfig) -> Self {
        self.total_pieces = config.pieces;
        self.is_fenced = config.is_fenced;
        self.cache = PrefixCache::new(config.cache);
        self
    }

    /// KV memory in use, in pieces.
    pub(super) fn used_pieces(&self) -> KvPieces {
        self.sequences.values().map(|s| s.pieces).sum()
    }

    fn inventory(&self) -> EngineInventory {
        EngineInventory {
            sequences: self.sequences.keys().copied().collect(),
            total_pieces: self.total_pieces,
            role: self.role,
            models: self.models.clone(),
            adapters: self.adapters.clone(),
        }
    }

    fn free_pieces(&self) -> KvPieces {
        self.total_pieces.saturating_sub(self.used_pieces())
    }

    fn add(&mut self, id: AttemptId, sequence: Sequence) -> bool {
        let has_room = sequence.pieces <= self.free_pieces();
        if has_room {
            self.sequences.insert(id, sequence);
        }
        has_room
    }

    fn next_serial(&mut self) -> u64 {
        self.serials_count += 1;
        self.serials_count
    }

    fn is_computing(&self) -> bool {
        let mut sequences = self.sequences.values();
        sequences.any(|s| matches!(s.work, Work::Computing { .. }))
    }

    /// Queued prompt to compute next: highest priority first, then order of arrival.
    fn next_queued(&self) -> Option<AttemptId> {
        let queued = self.sequences.iter();
        let queued = queued.filter(|(_, s)| matches!(s.work, Work::Queued { .. }));
        let first = queued.min_by_key(|(_, s)| [u64::MAX - u64::from(s.priority.get()), s.serial]);
        first.map(|(id, _)| *id)
    }

    fn decoding_count(&self) -> u64 {
        let sequences = self.sequences.values();
        let decoding = sequences.filter(|s| matches!(s.work, Work::Decoding { .. }));
        decoding.count() as u64
    }
}

impl Simulation {
    pub(super) fn engine_command(
        &mut self,
        node: NodeId,
        agent_generation: u64,
        command: EngineCommand,
    ) {
        let receiver = Some(agent_generation);
        match &command {
            EngineCommand::Prefill { id, target, .. }
            | EngineCommand::Decode { id, target, .. }
                if !self.engine_mut(node).serves(role_of(&command), target) =>
            {
                self.emit(node, receiver, EngineEvent::SequenceFailed { id: *id });
            }
            _ => self.execute_command(node, agent_generation, command),
        }
    }

    fn execute_command(&mut self, node: NodeId, agent_generation: u64, command: EngineCommand) {
        let receiver = Some(agent_generation);
        match command {
            EngineCommand::Prefill {
                id,
                target,
                priority,
                prompt,
            } => {
                let sequence = Sequence {
                    serial: 0,
                    target,
                    pieces: Tokens::estimate(&prompt).kv_pieces(),
                    priority,
                    receiver,
                    work: Work::Queued { prompt },
                };
                self.add_sequence(node, id, sequence);
                self.compute_next(node);
            }
            EngineCommand::Decode {
                id,
                target,
                priority,
                kv,
                output_max_tokens,
            } => {
                let sequence = Sequence {
                    serial: 0,
                    target,
                    pieces: output_max_tokens.kv_pieces(),
                    priority,
                    receiver,
                    work: Work::Importing {
                        prompt: String::new(),
                        output_max: output_max_tokens,
                    },
                };
                self.import(node, id, &kv, output_max_tokens, sequence);
            }
            EngineCommand::ResumeDecode {
                id,
                received_tokens,
            } => self.resume_decode(node, id, received_tokens, agent_generation),
            EngineCommand::Cancel { id } => {
                self.engine_mut(node).finished.remove(&id);
                self.free_sequence(node, id);
            }
            EngineCommand::ReadInventory => {
                let inventory = self.engine_mut(node).inventory();
                self.emit(node, receiver, EngineEvent::Inventory(inventory));
            }
            EngineCommand::Order { fencing, order } => {
                self.order(node, agent_generation, fencing, order)
            }
        }
    }

    /// Sends an event to the agent of this generation. A later agent does not receive it, because
    /// the connection ended with the agent that opened it.
    fn emit(&mut self, node: NodeId, receiver: Option<u64>, event: EngineEvent) {
        if receiver == Some(self.processes[node.0].generation) && self.processes[node.0].is_running
        {
            let delay = self.config.backend_latency_us;
            self.push_process(delay, node, ProcessEvent::Engine(event));
        }
    }

    fn add_sequence(&mut self, node: NodeId, id: AttemptId, mut sequence: Sequence) -> bool {
        let engine = self.engine_mut(node);
        sequence.serial = engine.next_serial();
        let receiver = sequence.receiver;
        let is_known = engine.sequences.contains_key(&id);
        let is_added = !is_known && engine.add(id, sequence);
        let server = engine.server.clone();
        if is_added {
            self.observe(Observation::SequenceStarted { server, id });
        } else {
            self.emit(node, receiver, EngineEvent::SequenceFailed { id });
        }
        is_added
    }

    fn free_sequence(&mut self, node: NodeId, id: AttemptId) {
        let engine = self.engine_mut(node);
        let server = engine.server.clone();
        if let Some(sequence) = engine.sequences.remove(&id) {
            self.observe(Observation::SequenceFreed { server, id });
            let is_prefill = !matches!(
                sequence.work,
                Work::Decoding { .. } | Work::Importing { .. }
            );
            // Cancelling a sequence whose prefill is not finished fails the HTTP call of the
            // prefill.
            if is_prefill && !matches!(sequence.work, Work::Exported { .. }) {
                self.emit(node, sequence.receiver, EngineEvent::SequenceFailed { id });
            }
            self.count_cancelled(id, &sequence.work);
            self.compute_next(node);
        }
    }

    /// Counts the prompt tokens that a cancelled prefill had computed.
    fn count_cancelled(&mut self, id: AttemptId, work: &Work) {
        if let Work::Computing { started_at, .. } = work {
            let time = self.now.since(*started_at);
            let rate = self.config.prefill_rate;
            let computed = Tokens(time.get().saturating_mul(rate.get()) / 1_000_000);
            self.counters.computed(id.request, computed, false);
        }
    }

    fn compute_next(&mut self, node: NodeId) {
        let rate = self.config.prefill_rate;
        let started_at = self.now;
        let engine = self.engine_mut(node);
        if engine.is_computing() {
            return;
        }
        let Some(id) = engine.next_queued() else {
            return;
        };
        let Some(sequence) = engine.sequences.get_mut(&id) else {
            return;
        };
        if let Work::Queued { prompt } = &mut sequence.work {
            let prompt = std::mem::take(prompt);
            let cached = engine.cache.cached_tokens(&prompt);
            let time = rate.time_for(Tokens::estimate(&prompt).saturating_sub(cached));
            let serial = sequence.serial;
            sequence.work = Work::Computing {
                prompt,
                cached,
                started_at,
            };
            self.push_backend(time, node, BackendEvent::SequenceStep { id, serial });
            self.reached(InjectionPoint::PrefillRunning, id.request);
        }
    }

    fn import(
        &mut self,
        node: NodeId,
        id: AttemptId,
        kv: &KvHandle,
        output_max: Tokens,
        mut sequence: Sequence,
    ) {
        let receiver = sequence.receiver;
        let Some(source) = self.export_of(kv) else {
            self.emit(node, receiver, EngineEvent::ImportFailed { id });
            return;
        };
        let tokens = Tokens::estimate(&source.prompt);
        sequence.pieces = (tokens + output_max).kv_pieces();
        sequence.work = Work::Importing {
            prompt: source.prompt,
            output_max,
        };
        if !self.add_sequence(node, id, sequence) {
            return;
        }
        let serial = self.engine_mut(node).serials_count;
        self.count_kv(source.node, node, tokens);
        let is_stalled = self.are_transfers_stalled || self.is_cut(source.node, node);
        if !is_stalled {
            let time = self.config.transfer_rate.time_for(tokens);
            let time = time + self.latency(source.node, node);
            self.push_backend(time, node, BackendEvent::SequenceStep { id, serial });
        }
        self.reached(InjectionPoint::Transfer, id.request);
    }

    fn export_of(&self, kv: &KvHandle) -> Option<Export> {
        let index = kv.address.parse().ok()?;
        let node = NodeId(index);
        if !self.backends.get(index)?.is_running {
            return None;
        }
        let engine = self.engines.get(&node)?;
        let mut sequences = engine.sequences.values();
        sequences.find_map(|sequence| match &sequence.work {
            Work::Exported { prompt } if sequence.serial.to_string() == kv.handle => Some(Export {
                node,
                prompt: prompt.clone(),
            }),
            _ => None,
        })
    }

    pub(super) fn sequence_step(&mut self, node: NodeId, id: AttemptId, serial: u64) {
        let is_full_length = self.config.has_whole_outputs;
        let crashing_text = self.config.crashing_text.clone();
        let engine = self.engine_mut(node);
        let Some(sequence) = engine.sequences.get_mut(&id) else {
            return;
        };
        if sequence.serial != serial {
            return;
        }
        let receiver = sequence.receiver;
        let is_importing = matches!(sequence.work, Work::Importing { .. });
        if is_importing && self.are_transfers_stalled {
            return;
        }
        let engine = self.engine_mut(node);
        let Some(sequence) = engine.sequences.get_mut(&id) else {
            return;
        };
        match &mut sequence.work {
            Work::Computing { prompt, cached, .. } => {
                let (prompt, cached) = (std::mem::take(prompt), *cached);
                self.computed(node, id, serial, receiver, prompt, cached);
            }
            Work::Importing { prompt, output_max } => {
                let generation = generation_of(prompt, output_max.get(), is_full_length);
                let work = Work::Decoding {
                    generation,
                    emitted: 0,
                    is_crashing: crashing_text.is_some_and(|text| prompt.contains(&text)),
                };
                sequence.work = work;
                self.emit(node, receiver, EngineEvent::Imported { id });
                self.counters.imported(id.request);
                self.schedule_decode_step(node, id, serial);
            }
            Work::Decoding { .. } => self.generate(node, id, serial),
            Work::Exported { .. } => self.free_sequence(node, id),
            Work::Queued { .. } => {}
        }
    }

    fn computed(
        &mut self,
        node: NodeId,
        id: AttemptId,
        serial: u64,
        receiver: Option<u64>,
        prompt: String,
        cached_tokens: Tokens,
    ) {
        let prompt_tokens = Tokens::estimate(&prompt);
        let computed_tokens = prompt_tokens.saturating_sub(cached_tokens);
        let engine = self.engine_mut(node);
        engine.computed_tokens += computed_tokens;
        engine.cache.store(&prompt);
        if let Some(sequence) = engine.sequences.get_mut(&id) {
            sequence.work = Work::Exported { prompt };
        }
        let kv = KvHandle {
            address: node.0.to_string(),
            handle: serial.to_string(),
        };
        let event = EngineEvent::PrefillDone {
            id,
            kv,
            prompt_tokens,
            cached_tokens,
        };
        self.emit(node, receiver, event);
        self.counters.computed(id.request, computed_tokens, true);
        if let Some(state) = self.config.kv_life_us {
            self.push_backend(state, node, BackendEvent::SequenceStep { id, serial });
        }
        self.compute_next(node);
    }

    fn schedule_decode_step(&mut self, node: NodeId, id: AttemptId, serial: u64) {
        let others = self.engine_mut(node).decoding_count().saturating_sub(1);
        let longer = self.config.decode_slot_us.get() * others;
        let time = self.config.decode_step_us + DurationUs(longer);
        self.push_backend(time, node, BackendEvent::SequenceStep { id, serial });
    }

    fn generate(&mut self, node: NodeId, id: AttemptId, serial: u64) {
        let engine = self.engine_mut(node);
        let Some(sequence) = engine.sequences.get_mut(&id) else {
            return;
        };
        let receiver = sequence.receiver;
        let Work::Decoding {
            generation,
            emitted,
            is_crashing,
        } = &mut sequence.work
        else {
            return;
        };
        if *is_crashing {
            self.kill_backend(node);
            return;
        }
        let generation = *generation;
        let first = *emitted;
        *emitted += 1;
        let is_last = *emitted >= generation.count;
        self.emit(node, receiver, generated(id, generation, first, first + 1));
        if is_last {
            let finished = Finished { generation };
            self.engine_mut(node).finished.insert(id, finished);
            self.free_sequence(node, id);
        } else {
            self.schedule_decode_step(node, id, serial);
        }
    }

    fn resume_decode(
        &mut self,
        node: NodeId,
        id: AttemptId,
        received: Tokens,
        agent_generation: u64,
    ) {
        let receiver = Some(agent_generation);
        let engine = self.engine_mut(node);
        if let Some(finished) = engine.finished.get(&id) {
            let generation = finished.generation;
            let event = generated(id, generation, received.get(), generation.count);
            self.emit(node, receiver, event);
            return;
        }
        let Some(sequence) = engine.sequences.get_mut(&id) else {
            self.emit(node, receiver, EngineEvent::SequenceFailed { id });
            return;
        };
        sequence.receiver = receiver;
        let Work::Decoding {
            generation,
            emitted,
            ..
        } = &sequence.work
        else {
            return;
        };
        if *emitted > received.get() {
            let event = generated(id, *generation, received.get(), *emitted);
            self.emit(node, receiver, event);
        }
    }
}

fn role_of(command: &EngineCommand) -> EngineRole {
    match command {
        EngineCommand::Prefill { .. } => EngineRole::Prefill,
        _ => EngineRole::Decode,
    }
}

struct Export {
    node: NodeId,
    prompt: String,
}

/// Output for a prompt, of exactly `output_max` tokens if `is_full_length` is set.
pub(super) fn generation_of(prompt: &str, output_max: u64, is_full_length: bool) -> Generation {
    let generation = Generation::of(prompt, output_max);
    match is_full_length {
        false => generation,
        true => Generation {
            count: output_max,
            stops: false,
            ..generation
        },
    }
}

fn generated(id: AttemptId, generation: Generation, first: u64, end: u64) -> EngineEvent {
    let is_last = end >= generation.count;
    let reason = match generation.stops {
        true => FinishReason::Stop,
        false => FinishReason::Length,
    };
    EngineEvent::Generated {
        id,
        first_token: first,
        text: generation.text(first, end),
        tokens: Tokens(end - first),
        finish: is_last.then_some(reason),
    }
}
