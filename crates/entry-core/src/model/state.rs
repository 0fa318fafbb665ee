//! What a model call knows.

use cuminlead_protocol::Prefilled;
use cuminlead_types::{
    Attempt, BackendServerId, DurationUs, Incarnation, RegionName, SequenceNumber, TimeUs, Tokens,
};

use crate::call::{CallStreamRef, SendRef};

/// What the call waits for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// `Start` has not come.
    #[default]
    Created,
    /// Decode and prefill server.
    RoutePair,
    /// Another prefill server for the held decode place.
    RoutePrefill,
    /// Answer to `Reserve`.
    Reserve(SendRef),
    /// Answer to `Prefill`.
    Prefill(SendRef),
    /// Chunks.
    Stream(OpenStream),
    /// Nothing; the caller has the ending or is gone.
    Ended,
}

/// The open decode stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OpenStream {
    pub(super) stream: CallStreamRef,
    /// When the agent was last heard on it.
    pub(super) heard_at: TimeUs,
    /// When the last acknowledgement was sent on it.
    pub(super) acknowledged_at: TimeUs,
}

/// State of the current attempt.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptState {
    pub(super) number: Attempt,
    pub(super) region: RegionName,
    pub(super) decode: BackendServerId,
    pub(super) prefill: BackendServerId,
    /// Life of the decode agent that granted the place.
    pub(super) incarnation: Incarnation,
    /// When the granted place is given up by its agent; `None` while none is granted.
    pub(super) lease_ends_at: Option<TimeUs>,
    /// Length of the granted lease.
    pub(super) lease_us: DurationUs,
    pub(super) prefilled: Option<Prefilled>,
    /// Time until which the KV cache is held for import.
    pub(super) prefill_held_until: TimeUs,
    pub(super) is_imported: bool,
    /// Whether a chunk of this attempt was delivered.
    pub(super) has_delivered: bool,
    /// Repeats of the message under way.
    pub(super) repeat_count: u32,
    /// Failed imports of the present KV cache.
    pub(super) import_failed_count: u32,
    /// Streams in a row without a chunk.
    pub(super) resume_count: u32,
}

/// The part of the answer that the caller has.
#[derive(Clone, Debug, Default)]
pub(super) struct Answer {
    pub(super) next: SequenceNumber,
    pub(super) text: String,
    pub(super) tokens: Tokens,
}

/// Limits of the call as times.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limits {
    /// End of `request_max_us`.
    pub(super) ends_at: TimeUs,
    /// When the first token is due.
    pub(super) due_at: TimeUs,
    /// Routes asked for so far.
    pub(super) route_count: u32,
}
