//! State of a model call.

use cuminlead_protocol::Prefilled;
use cuminlead_types::{
    Attempt, BackendServerId, DurationUs, Incarnation, RegionName, SequenceNumber, TimeUs, Tokens,
};

use crate::call::{CallStreamRef, SendRef};

/// What the call waits for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// The `Start` event.
    #[default]
    Created,
    /// Choice of a decode and a prefill server.
    RoutePair,
    /// Choice of another prefill server, with a decode slot reserved.
    RoutePrefill,
    /// Reply to `Reserve`.
    Reserve(SendRef),
    /// Reply to `Prefill`.
    Prefill(SendRef),
    /// Events of the decode stream.
    Stream(OpenStream),
    /// Nothing: the caller has its final result or disconnected.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OpenStream {
    pub(super) stream: CallStreamRef,
    /// When the last event arrived on the stream, or when it was opened.
    pub(super) last_event_at: TimeUs,
    /// When the last acknowledgement was sent on the stream, or when it was opened.
    pub(super) acknowledged_at: TimeUs,
}

#[derive(Clone, Debug, Default)]
pub(super) struct AttemptState {
    pub(super) number: Attempt,
    pub(super) region: RegionName,
    pub(super) decode_server: BackendServerId,
    pub(super) prefill_server: BackendServerId,
    /// Incarnation of the decode agent that reserved the slot.
    pub(super) incarnation: Incarnation,
    /// When the lease of the decode slot expires; `None` while no slot is reserved.
    pub(super) lease_expires_at: Option<TimeUs>,
    /// Duration of the granted lease.
    pub(super) lease_us: DurationUs,
    pub(super) prefilled: Option<Prefilled>,
    /// End of the retention period of the KV cache at the prefill server.
    pub(super) kv_retained_until: TimeUs,
    pub(super) is_kv_imported: bool,
    /// Whether a chunk of this attempt was delivered to the caller.
    pub(super) has_delivered: bool,
    /// When the first of these chunks was delivered.
    pub(super) first_chunk_at: Option<TimeUs>,
    /// Whether the call has reported that the engine generates output.
    pub(super) is_output_reported: bool,
    /// Repeats of the message that the call waits for.
    pub(super) message_repeat_count: u32,
    /// Failed imports of the current KV cache.
    pub(super) failed_import_count: u32,
    /// Consecutive resumptions without a chunk.
    pub(super) resume_count: u32,
}

/// Output that was delivered to the caller, over all attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct DeliveredOutput {
    pub(super) next_sequence: SequenceNumber,
    pub(super) text: String,
    pub(super) tokens: Tokens,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limits {
    /// Deadline of the request, from `request_max_us`.
    pub(super) deadline: TimeUs,
    pub(super) first_token_due_at: TimeUs,
    /// Route requests so far.
    pub(super) route_count: u32,
}
