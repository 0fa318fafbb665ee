//! Places, engine parameters and capacity of a deployment.

use std::fmt;

use cuminlead_protocol::EngineRole;
use cuminlead_types::{BitsPerSecond, DurationUs, KvPieces, Slots, Tokens, TokensPerSecond};

use super::workload::{self, Shape};
use cuminlead_fleet::deployment::{Deployment, EntrySpec, ServerKind, ServerSpec};
use cuminlead_matrix::layout::{NodeKind, NodeSpec, id};
use cuminlead_matrix::{NodeId, SimulationConfig};

/// Prompts from which the mean demand is computed.
const SAMPLE_COUNT: u64 = 20_000;
/// Seed of the sample, which does not vary between runs, so that capacity does not either.
const SAMPLE_SEED: u64 = 0;
const US_PER_SECOND: f64 = 1_000_000.0;

/// Deployment with its engine parameters.
#[derive(Clone, Debug)]
pub struct Site {
    /// Deployment.
    pub deployment: Deployment,
    /// Settings of all runs.
    pub config: SimulationConfig,
    /// Prompts and answers.
    pub shape: Shape,
}

/// Model calls that a site can complete each second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Prefill engines.
    pub prefills_count: u64,
    /// Decode engines.
    pub decodes_count: u64,
    /// Mean prompt tokens.
    pub prompt_tokens: f64,
    /// Mean prompt tokens after the shared guide.
    pub unshared_tokens: f64,
    /// Mean tokens of an answer.
    pub output_tokens: f64,
    /// Calls each second that the prefill engines can compute, with every guide cached and nothing
    /// else.
    pub prefill_rate: f64,
    /// Calls each second that the decode engines can generate with full batches, each place held
    /// for the prefill as well.
    pub decode_rate: f64,
}

impl Capacity {
    /// Calls each second: the smaller of both.
    pub fn rate(&self) -> f64 {
        self.prefill_rate.min(self.decode_rate)
    }
}

impl fmt::Display for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "capacity {:.2} calls/s: prefill {:.2} ({} engines, {:.0} of {:.0} prompt tokens after \
             the guide), decode {:.2} ({} engines, {:.0} output tokens)",
            self.rate(),
            self.prefill_rate,
            self.prefills_count,
            self.unshared_tokens,
            self.prompt_tokens,
            self.decode_rate,
            self.decodes_count,
            self.output_tokens,
        )
    }
}

impl Site {
    /// Site of a deployment, with the latencies of design 1.4.
    pub fn new(deployment: Deployment) -> Self {
        let is_goodput_first = deployment.wasted_prefill_weight < 0.5;
        let shape = match is_goodput_first {
            true => Shape::relojeria(),
            false => Shape::bucaramanga(),
        };
        // Decode engines are nearly full at peak (design 1.4), so both kinds reach their capacity
        // together.
        let prefill_rate = if is_goodput_first { 25_000 } else { 60_000 };
        let places = places(&deployment);
        let config = SimulationConfig {
            places,
            waste_weight_percent: if is_goodput_first { 20 } else { 80 },
            prefill_rate: TokensPerSecond(prefill_rate),
            first_token_us: DurationUs::from_ms(2_000),
            between_tokens_us: DurationUs::from_ms(60),
            region_link: Some(BitsPerSecond(30_000_000)),
            cache: Tokens(100_000),
            kv_life_us: Some(DurationUs::from_ms(900)),
            has_whole_outputs: true,
            restart_us: DurationUs::from_ms(8_000),
            slots: Slots(20),
            pieces: KvPieces(80),
            decode_step_us: DurationUs::from_ms(25),
            decode_slot_us: DurationUs::from_ms(1),
            ..SimulationConfig::default()
        };
        Self {
            deployment,
            config,
            shape,
        }
    }

    /// Capacity by the engine parameters and the mean of the workload.
    pub fn capacity(&self) -> Capacity {
        let mean = workload::mean(&self.shape, SAMPLE_SEED, SAMPLE_COUNT);
        let prefills_count = self.count(EngineRole::Prefill);
        let decodes_count = self.count(EngineRole::Decode);
        let config = &self.config;
        let slots = f64::from(config.slots.get());
        let prefill_s = mean.unshared_tokens / as_f64(config.prefill_rate.get());
        let step_us = as_f64(config.decode_step_us.get())
            + as_f64(config.decode_slot_us.get()) * (slots - 1.0);
        let decode_s = mean.output_tokens * step_us / US_PER_SECOND;
        Capacity {
            prefills_count,
            decodes_count,
            prompt_tokens: mean.prompt_tokens,
            unshared_tokens: mean.unshared_tokens,
            output_tokens: mean.output_tokens,
            prefill_rate: as_f64(prefills_count) / prefill_s,
            decode_rate: as_f64(decodes_count) * slots / (decode_s + prefill_s),
        }
    }

    /// Entries of a region.
    pub fn entries(&self, region: &str) -> Vec<NodeId> {
        self.nodes(|place| place.kind == NodeKind::Entry && place.region.as_str() == region)
    }

    /// Regions, the one with most engines first.
    pub fn regions(&self) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for place in &self.config.places {
            let name = place.region.as_str();
            if !names.iter().any(|known| known == name) {
                names.push(name.to_string());
            }
        }
        names
    }

    /// First engine of a role.
    pub fn first_engine(&self, role: EngineRole) -> Option<NodeId> {
        let nodes = self.nodes(|place| place.kind == NodeKind::Engine(role));
        nodes.first().copied()
    }

    fn nodes(&self, is_wanted: impl Fn(&NodeSpec) -> bool) -> Vec<NodeId> {
        let places = self.config.places.iter().enumerate();
        let wanted = places.filter(|(_, place)| is_wanted(place));
        wanted.map(|(index, _)| NodeId(index)).collect()
    }

    fn count(&self, role: EngineRole) -> u64 {
        self.nodes(|place| place.kind == NodeKind::Engine(role))
            .len() as u64
    }
}

fn places(deployment: &Deployment) -> Vec<NodeSpec> {
    let servers = deployment.servers.iter().map(server_place);
    servers
        .chain(deployment.entries.iter().map(entry_place))
        .collect()
}

fn server_place(server: &ServerSpec) -> NodeSpec {
    let kind = match server.kind {
        ServerKind::Prefill => NodeKind::Engine(EngineRole::Prefill),
        ServerKind::Decode => NodeKind::Engine(EngineRole::Decode),
        ServerKind::Service => NodeKind::Service,
    };
    NodeSpec {
        host: id(&server.id),
        region: id(&server.region),
        zone: id(&server.zone),
        kind,
    }
}

fn entry_place(entry: &EntrySpec) -> NodeSpec {
    NodeSpec {
        host: id(&entry.name),
        region: id(&entry.region),
        zone: id(&entry.zone),
        kind: NodeKind::Entry,
    }
}

/// A count as a number for means and rates; all counts here are far below 2^52.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}
