//! What every message and every reply carries.

use cuminlead_types::{
    AttemptId, BackendServerId, CustomerId, DurationUs, EntryId, Incarnation, KvPieces, Revision,
    Slots, Tokens,
};

/// Carried by every message from an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Envelope {
    /// Sending entry.
    pub entry: EntryId,
    /// Request and attempt that the message serves.
    pub id: AttemptId,
    /// Customer of the request.
    pub customer: CustomerId,
    /// Revision of the lists in force at the sender.
    pub lists_revision: Revision,
    /// Revision of the host list known to the sender.
    pub hosts_revision: Revision,
    /// W3C trace context, or empty.
    pub traceparent: String,
}

/// Carried by every reply of an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AgentState {
    /// Backend server beside the agent.
    pub server: BackendServerId,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Revision of the lists in force at the agent.
    pub lists_revision: Revision,
    /// Revision of the host list known to the agent.
    pub hosts_revision: Revision,
    /// Whether the agent takes no new work.
    pub draining: bool,
    /// Load at the time of the reply.
    pub load: LoadReport,
}

/// Load of a backend server as its agent knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Free places in the batch.
    pub free_slots: Slots,
    /// Free KV pieces.
    pub free_pieces: KvPieces,
    /// Requests that hold a place.
    pub running_count: u32,
    /// Requests that wait for a place.
    pub queued_count: u32,
    /// Prompt tokens that wait or run and are not yet computed.
    pub pending_prompt_tokens: Tokens,
    /// Age of the oldest call without progress, zero when all make progress.
    pub oldest_stall_us: DurationUs,
}
