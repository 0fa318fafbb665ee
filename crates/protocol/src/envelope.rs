//! Fields common to all messages and replies.

use cuminlead_types::{
    AttemptId, BackendServerId, CustomerId, DurationUs, EntryId, Incarnation, KvPieces,
    PromptPartId, Revision, Slots, Tokens,
};

/// Header of every message from an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Envelope {
    /// Entry that sent the message.
    pub entry: EntryId,
    /// Request and attempt that the message is for.
    pub id: AttemptId,
    /// Customer of the request; the default id in a probe.
    pub customer: CustomerId,
    /// Active revision of the lists at the sender, zero without lists.
    pub lists_revision: Revision,
    /// Revision of the host list at the sender, zero without one.
    pub hosts_revision: Revision,
    /// W3C `traceparent` header, or empty.
    pub traceparent: String,
}

/// State of an agent, sent with every reply.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AgentState {
    /// Backend server that the agent controls.
    pub server: BackendServerId,
    /// Incarnation of the agent, new at each start of its process.
    pub incarnation: Incarnation,
    /// Active revision of the lists at the agent, zero without lists.
    pub lists_revision: Revision,
    /// Revision of the host list at the agent, zero without one.
    pub hosts_revision: Revision,
    /// Whether the agent is draining, so that it admits no new requests.
    pub draining: bool,
    /// Load when the reply was sent.
    pub load: LoadReport,
    /// Sequences that may have caused a recent crash of the engine.
    pub crashes: Vec<SequenceCrash>,
}

/// Sequence that had generated no output, or had only begun to, when its engine crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SequenceCrash {
    /// Attempt of the sequence.
    pub id: AttemptId,
    /// Time since the crash.
    pub age_us: DurationUs,
    /// Prefixes of the prompt that other prompts may share, shortest first.
    pub prompt_parts: Vec<PromptPartId>,
}

/// Load of a backend server, as tracked by its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Free slots in the engine's batch.
    pub free_slots: Slots,
    /// Free KV memory, in KV pieces.
    pub free_pieces: KvPieces,
    /// Requests that occupy a slot, and running calls to a plain service.
    pub running_count: u32,
    /// Requests that wait for a slot in the agent's queue.
    pub queued_count: u32,
    /// Prompt tokens of queued and running prefills that are not yet computed.
    pub pending_prompt_tokens: Tokens,
    /// Longest time for which running work has made no progress, zero if nothing is running.
    pub oldest_stall_us: DurationUs,
}
