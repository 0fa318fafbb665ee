//! What a run counts for measurements: prefills of each request and volume between regions.

use std::collections::BTreeMap;

use cuminlead_protocol::{AgentRequest, DecodeEvent};
use cuminlead_types::{Bytes, DurationUs, RegionName, RequestId, TimeUs, Tokens};

use super::event::{NodeId, Packet};
use super::simulation::Simulation;

/// Size of a message without its text: envelope, framing and headers.
const MESSAGE_BYTES: u64 = 250;

/// KV cache of one token; 250 MB for a prompt of 30,000 tokens (design 5.3).
const KV_TOKEN_BYTES: u64 = 8_192;

/// Prompt tokens computed for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillTally {
    /// By all engines.
    pub computed_tokens: Tokens,
    /// Of them by the latest prefill.
    pub latest_tokens: Tokens,
    /// Of them by the latest prefill that a decode engine imported.
    pub imported_tokens: Tokens,
}

/// Counts of a run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Prefills by request.
    pub prefills: BTreeMap<RequestId, PrefillTally>,
    /// Bytes of messages between regions.
    pub region_bytes: Bytes,
    /// Bytes of KV cache between regions.
    pub kv_region_bytes: Bytes,
    busy_until: BTreeMap<RegionWay, TimeUs>,
}

/// One direction of the link between two regions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RegionWay {
    from: RegionName,
    to: RegionName,
}

impl Tally {
    /// Notes prompt tokens that an engine computed; a cancelled prefill cannot be imported.
    pub(super) fn computed(&mut self, request: RequestId, tokens: Tokens, is_whole: bool) {
        let prefill = self.prefills.entry(request).or_default();
        prefill.computed_tokens += tokens;
        if is_whole {
            prefill.latest_tokens = tokens;
        }
    }

    /// Notes that the latest prefill was imported.
    pub(super) fn imported(&mut self, request: RequestId) {
        let prefill = self.prefills.entry(request).or_default();
        prefill.imported_tokens = prefill.latest_tokens;
    }
}

impl Simulation {
    /// Counts of the run.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// KV pieces that engines hold.
    pub fn held_pieces(&self) -> u64 {
        let held = self.engines.values().map(super::engine::Engine::held);
        held.map(|pieces| u64::from(pieces.get())).sum()
    }

    /// Time until a packet has left for another region, behind the traffic before it.
    pub(super) fn link_delay(&mut self, from: NodeId, to: NodeId, packet: &Packet) -> DurationUs {
        let (a, b) = (&self.places[from.0].region, &self.places[to.0].region);
        if a == b {
            return DurationUs::ZERO;
        }
        let way = RegionWay {
            from: a.clone(),
            to: b.clone(),
        };
        let size = size_of(packet);
        self.tally.region_bytes += size;
        let Some(rate) = self.config.region_link else {
            return DurationUs::ZERO;
        };
        let busy_until = self.tally.busy_until.entry(way).or_default();
        *busy_until = (*busy_until).max(self.now) + rate.time_for(size);
        busy_until.since(self.now)
    }

    /// Counts a KV cache that moves between two hosts.
    pub(super) fn count_kv(&mut self, from: NodeId, to: NodeId, tokens: Tokens) {
        if self.places[from.0].region != self.places[to.0].region {
            self.tally.kv_region_bytes += Bytes(tokens.get() * KV_TOKEN_BYTES);
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
