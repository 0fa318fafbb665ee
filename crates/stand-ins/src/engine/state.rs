//! Sequences, KV memory and loaded models and adapters of an engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use cuminlead_types::{FencingNumber, Tokens};
use serde::Serialize;

use super::cache::PrefixCache;
use super::text::Generation;
use super::{EngineConfig, FINISHED_RETENTION};

/// Model and version, as the inventory lists them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct LoadedModel {
    pub(super) model: String,
    pub(super) version: String,
}

/// Phase of a sequence.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// Computes the prompt; `left` tokens remain.
    Prefill { left: u64 },
    /// Retains the KV cache of the computed prompt for export.
    Computed,
    /// Allocated; imports the KV cache on a decode engine.
    Importing,
    /// Generates the answer; `emitted` tokens are done.
    Decode {
        generation: Generation,
        emitted: u64,
    },
}

/// Sequence that occupies KV memory.
#[derive(Clone, Debug)]
pub(super) struct Sequence {
    pub(super) priority: u8,
    /// Position in order of arrival.
    pub(super) arrival: u64,
    /// KV pieces allocated.
    pub(super) pieces: u32,
    pub(super) prompt: String,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
    /// Name under which the KV cache is exported.
    pub(super) handle: String,
    /// Whether [`Counts::exported_tokens`] includes this prompt.
    pub(super) is_export_counted: bool,
    pub(super) phase: Phase,
}

/// Completed answer that can still be resumed.
#[derive(Clone, Debug)]
pub(super) struct FinishedAnswer {
    pub(super) generation: Generation,
    pub(super) finished_at: Instant,
}

/// Work done since the engine started.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Counts {
    pub(super) prefills: u64,
    pub(super) computed_tokens: u64,
    pub(super) cached_tokens: u64,
    /// Computed tokens of prompts whose KV cache was exported at least once.
    pub(super) exported_tokens: u64,
    pub(super) decodes: u64,
    pub(super) generated_tokens: u64,
}

/// State of an engine, apart from its reports.
pub(super) struct State {
    pub(super) role: String,
    pub(super) models: BTreeSet<LoadedModel>,
    pub(super) adapters: BTreeSet<String>,
    /// Highest fencing number accepted.
    pub(super) highest_fencing: FencingNumber,
    pub(super) sequences: BTreeMap<String, Sequence>,
    pub(super) finished: BTreeMap<String, FinishedAnswer>,
    pub(super) total_pieces: u32,
    pub(super) cache: PrefixCache,
    pub(super) counts: Counts,
    /// Number of sequences added.
    arrivals: u64,
}

impl State {
    pub(super) fn new(config: &EngineConfig) -> Self {
        let models = config.models.iter().filter_map(|m| m.split_once(':'));
        Self {
            role: config.role.clone(),
            models: models
                .map(|pair| LoadedModel {
                    model: pair.0.to_string(),
                    version: pair.1.to_string(),
                })
                .collect(),
            adapters: config.adapters.iter().cloned().collect(),
            highest_fencing: FencingNumber::default(),
            sequences: BTreeMap::new(),
            finished: BTreeMap::new(),
            total_pieces: config.total_pieces,
            cache: PrefixCache::new(config.cache_blocks),
            counts: Counts::default(),
            arrivals: 0,
        }
    }

    pub(super) fn free_pieces(&self) -> u32 {
        let used: u32 = self.sequences.values().map(|s| s.pieces).sum();
        self.total_pieces.saturating_sub(used)
    }

    /// Adds a sequence and allocates its KV memory; `None` when too few pieces are free.
    pub(super) fn add(&mut self, id: &str, priority: u8, memory_tokens: u64) -> Option<()> {
        let pieces = Tokens(memory_tokens).kv_pieces().get();
        if pieces > self.free_pieces() {
            return None;
        }
        self.arrivals += 1;
        let sequence = Sequence {
            priority,
            arrival: self.arrivals,
            pieces,
            prompt: String::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            handle: format!("kv-{}", self.arrivals),
            is_export_counted: false,
            phase: Phase::Importing,
        };
        self.sequences.insert(id.to_string(), sequence);
        Some(())
    }

    /// Changes the KV memory of a sequence; false when too few pieces are free or the id is
    /// unknown.
    pub(super) fn resize(&mut self, id: &str, memory_tokens: u64) -> bool {
        let pieces = Tokens(memory_tokens).kv_pieces().get();
        let free = self.free_pieces();
        let Some(sequence) = self.sequences.get_mut(id) else {
            return false;
        };
        if pieces > free + sequence.pieces {
            return false;
        }
        sequence.pieces = pieces;
        true
    }

    /// Frees the memory of a completed decode and retains its answer for [`FINISHED_RETENTION`].
    pub(super) fn finish(&mut self, id: &str, generation: Generation) {
        self.sequences.remove(id);
        let finished_at = Instant::now();
        self.finished
            .retain(|_, old| finished_at.duration_since(old.finished_at) < FINISHED_RETENTION);
        let finished = FinishedAnswer {
            generation,
            finished_at,
        };
        self.finished.insert(id.to_string(), finished);
    }

    /// Prompt tokens still to compute, over all sequences.
    pub(super) fn pending_prompt_tokens(&self) -> u64 {
        let left = |sequence: &Sequence| match sequence.phase {
            Phase::Prefill { left } => left,
            _ => 0,
        };
        self.sequences.values().map(left).sum()
    }

    /// Sequences that generate an answer; imports don't count.
    pub(super) fn decoding_count(&self) -> usize {
        let is_decoding = |sequence: &&Sequence| matches!(sequence.phase, Phase::Decode { .. });
        self.sequences.values().filter(is_decoding).count()
    }
}
