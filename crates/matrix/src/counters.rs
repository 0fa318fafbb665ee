//! Counters for measurements: prefills of each request, and traffic between regions.

use std::collections::BTreeMap;

use cuminlead_protocol::{AgentRequest, DecodeEvent};
use cuminlead_types::{Bytes, DurationUs, RegionName, RequestId, TimeUs, Tokens};

use super::event::{NodeId, Packet};
use super::simulation::Simulation;

/// Size of a message without its text: envelope, framing and headers.
const MESSAGE_BYTES: u64 = 250;

/// KV cache of one token, which makes 250 MB for a prompt of 30,000 tokens (design 5.3).
const KV_TOKEN_BYTES: u64 = 8_192;

/// Prompt tokens computed for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillCounters {
    /// Tokens that all engines computed for it.
    pub computed_tokens: Tokens,
    /// Tokens that its latest finished prefill computed.
    pub latest_tokens: Tokens,
    /// Tokens that the latest prefill imported by a decode engine computed.
    pub imported_tokens: Tokens,
}

/// Counters of one run.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Prefill counters by request.
    pub prefills: BTreeMap<RequestId, PrefillCounters>,
    /// Bytes of messages sent between regions.
    pub region_bytes: Bytes,
    /// Bytes of KV cache transferred between regions.
    pub kv_region_bytes: Bytes,
    busy_until: BTreeMap<RegionLink, TimeUs>,
}

/// One direction of the link between two regions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RegionLink {
    from: RegionName,
    to: RegionName,
}

impl Counters {
    /// Counts prompt tokens that an engine computed. A cancelled prefill is not complete and cannot
    /// be imported.
    pub(super) fn computed(&mut self, request: RequestId, tokens: Tokens, is_complete: bool) {
        let prefill = self.prefills.entry(request).or_default();
        prefill.computed_tokens += tokens;
        if is_complete {
            prefill.latest_tokens = tokens;
        }
    }

    /// Counts the import of the latest prefill.
    pub(super) fn imported(&mut self, request: RequestId) {
        let prefill = self.prefills.entry(request).or_default();
        prefill.imported_tokens = prefill.latest_tokens;
    }
}

impl Simulation {
    /// Counters of the run so far.
    pub fn tally(&self) -> &Counters {
        &self.counters
    }

    /// KV pieces in use in all engines.
    pub fn held_pieces(&self) -> u64 {
        let used = self
            .engines
            .values()
            .map(super::engine::Engine::used_pieces);
        used.map(|pieces| u64::from(pieces.get())).sum()
    }

    /// Time until a packet has left for another region, after the traffic queued before it.
    pub(super) fn link_delay(&mut self, from: NodeId, to: NodeId, packet: &Packet) -> DurationUs {
        let (a, b) = (
            &self.node_specs[from.0].region,
            &self.node_specs[to.0].region,
        );
        if a == b {
            return DurationUs::ZERO;
        }
        let link = RegionLink {
            from: a.clone(),
            to: b.clone(),
        };
        let size = size_of(packet);
        self.counters.region_bytes += size;
        let Some(rate) = self.config.region_link else {
            return DurationUs::ZERO;
        };
        let busy_until = self.counters.busy_until.entry(link).or_default();
        *busy_until = (*busy_until).max(self.now) + rate.time_for(size);
        busy_until.since(self.now)
    }

    /// Counts a KV transfer if it is between regions.
    pub(super) fn count_kv(&mut self, from: NodeId, to: NodeId, tokens: Tokens) {
        if self.node_specs[from.0].region != self.node_specs[to.0].region {
            self.counters.kv_region_bytes += Bytes(tokens.get() * KV_TOKEN_BYTES);
        }
    }
}

fn size_of(packet: &Packet) -> Bytes {
    let text = match packet {
        Packet::Call(_, AgentRequest::Prefill(message)) => message.prompt.len(),
        Packet::Stream(_, DecodeEvent::Chunk(chunk)) => chunk.text.len(),
        _ => 0,
    };
    Bytes(MESSAGE_BYTES + text as u64)
}
