//! Topology, engine parameters and capacity of a deployment.

use std::fmt;

use cuminlead_protocol::EngineRole;
use cuminlead_types::{BitsPerSecond, DurationUs, KvPieces, Slots, Tokens, TokensPerSecond};

use super::workload::{self, WorkloadShape};
use cuminlead_fleet::deployment::{Deployment, EntrySpec, ServerKind, ServerSpec};
use cuminlead_matrix::layout::{NodeKind, NodeSpec, id};
use cuminlead_matrix::{NodeId, SimulationConfig};

/// Number of sampled requests from which the mean demand is computed.
const SAMPLE_COUNT: u64 = 20_000;
/// Seed of that sample. It is the same for all runs, so that the capacity is too.
const SAMPLE_SEED: u64 = 0;
const US_PER_SECOND: f64 = 1_000_000.0;

/// Test deployment with the parameters of its engines and its workload.
#[derive(Clone, Debug)]
pub struct Site {
    /// Servers and entries.
    pub deployment: Deployment,
    /// Simulation settings shared by all runs.
    pub config: SimulationConfig,
    /// Distribution of prompt lengths and regions.
    pub shape: WorkloadShape,
}

/// Model calls per second that a site can complete.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Number of prefill engines.
    pub prefill_engines_count: u64,
    /// Number of decode engines.
    pub decode_engines_count: u64,
    /// Mean prompt length in tokens.
    pub prompt_tokens: f64,
    /// Mean number of prompt tokens after the shared guide.
    pub unshared_tokens: f64,
    /// Mean output length in tokens.
    pub output_tokens: f64,
    /// Calls per second that the prefill engines can compute if every guide is cached and nothing
    /// else is.
    pub prefill_rate: f64,
    /// Calls per second that the decode engines can generate with full batches, each decode slot
    /// being reserved during the prefill as well.
    pub decode_rate: f64,
}

impl Capacity {
    /// Calls per second: the smaller of both rates.
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
            self.prefill_engines_count,
            self.unshared_tokens,
            self.prompt_tokens,
            self.decode_rate,
            self.decode_engines_count,
            self.output_tokens,
        )
    }
}

impl Site {
    /// Site of a deployment, with the latencies of design 1.4.
    pub fn new(deployment: Deployment) -> Self {
        let is_goodput_first = deployment.wasted_prefill_weight < 0.5;
        let shape = match is_goodput_first {
            true => WorkloadShape::relojeria(),
            false => WorkloadShape::bucaramanga(),
        };
        // Decode engines are nearly full at peak (design 1.4), so this rate lets the prefill and
        // the decode engines reach their capacity together.
        let prefill_rate = if is_goodput_first { 25_000 } else { 60_000 };
        let places = node_specs(&deployment);
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

    /// Computes the capacity from the engine parameters and the means of the workload.
    pub fn capacity(&self) -> Capacity {
        let means = workload::means(&self.shape, SAMPLE_SEED, SAMPLE_COUNT);
        let prefill_engines_count = self.count(EngineRole::Prefill);
        let decode_engines_count = self.count(EngineRole::Decode);
        let config = &self.config;
        let slots = f64::from(config.slots.get());
        let prefill_s = means.unshared_tokens / as_f64(config.prefill_rate.get());
        let step_us = as_f64(config.decode_step_us.get())
            + as_f64(config.decode_slot_us.get()) * (slots - 1.0);
        let decode_s = means.output_tokens * step_us / US_PER_SECOND;
        Capacity {
            prefill_engines_count,
            decode_engines_count,
            prompt_tokens: means.prompt_tokens,
            unshared_tokens: means.unshared_tokens,
            output_tokens: means.output_tokens,
            prefill_rate: as_f64(prefill_engines_count) / prefill_s,
            decode_rate: as_f64(decode_engines_count) * slots / (decode_s + prefill_s),
        }
    }

    /// Nodes of the entries in a region.
    pub fn entries(&self, region: &str) -> Vec<NodeId> {
        self.nodes(|node| node.kind == NodeKind::Entry && node.region.as_str() == region)
    }

    /// Names of the regions in the order of the deployment, in which the region with the most
    /// engines comes first.
    pub fn regions(&self) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for node in &self.config.places {
            let name = node.region.as_str();
            if !names.iter().any(|known| known == name) {
                names.push(name.to_string());
            }
        }
        names
    }

    /// First engine with a role in the order of the deployment; `None` if there is none.
    pub fn first_engine(&self, role: EngineRole) -> Option<NodeId> {
        let nodes = self.nodes(|node| node.kind == NodeKind::Engine(role));
        nodes.first().copied()
    }

    fn nodes(&self, predicate: impl Fn(&NodeSpec) -> bool) -> Vec<NodeId> {
        let places = self.config.places.iter().enumerate();
        let matching = places.filter(|(_, node)| predicate(node));
        matching.map(|(index, _)| NodeId(index)).collect()
    }

    fn count(&self, role: EngineRole) -> u64 {
        self.nodes(|node| node.kind == NodeKind::Engine(role)).len() as u64
    }
}

fn node_specs(deployment: &Deployment) -> Vec<NodeSpec> {
    let servers = deployment.servers.iter().map(server_node);
    servers
        .chain(deployment.entries.iter().map(entry_node))
        .collect()
}

fn server_node(server: &ServerSpec) -> NodeSpec {
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

fn entry_node(entry: &EntrySpec) -> NodeSpec {
    NodeSpec {
        host: id(&entry.name),
        region: id(&entry.region),
        zone: id(&entry.zone),
        kind: NodeKind::Entry,
    }
}

/// Converts a count for means and rates. All counts here are far below 2^52, so none loses
/// precision.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}
