//! The two-way decode stream.
//!
//! The first control message opens the stream: it starts decoding, or resumes delivery after a
//! connection was lost. Acknowledgements are also the heartbeat that keeps the lease alive.

use cuminlead_types::{AttemptId, Incarnation, SequenceNumber, Tokens};
use strum::{Display, EnumString, IntoStaticStr};

use crate::envelope::{AgentState, Envelope};
use crate::reply::{AgentFailure, KvHandle};

/// First message of a decode stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeOpen {
    /// Sender and request.
    pub envelope: Envelope,
    /// Start or resume.
    pub mode: DecodeMode,
}

/// Whether the stream starts decoding or resumes delivery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeMode {
    /// Imports the KV cache into the reserved place and decodes; repeated on a fresh connection
    /// it joins the decode under way.
    Start(DecodeStart),
    /// Resumes delivery.
    Resume(DecodeResume),
}

/// Starts decoding.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DecodeStart {
    /// KV cache to import.
    pub kv: KvHandle,
    /// Sequence number of the first chunk; not zero after an earlier attempt delivered chunks.
    pub first_sequence: SequenceNumber,
    /// Most tokens to decode.
    pub output_max_tokens: Tokens,
}

/// Resumes delivery of chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DecodeResume {
    /// Incarnation that started the decode.
    pub incarnation: Incarnation,
    /// First chunk that the entry does not have.
    pub next_sequence: SequenceNumber,
}

/// Later message of a decode stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeControl {
    /// All chunks before this number have arrived.
    Acknowledge(SequenceNumber),
    /// The request is gone.
    Cancel,
}

/// Part of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Request and attempt.
    pub id: AttemptId,
    /// Life of the agent that made it.
    pub incarnation: Incarnation,
    /// Position in the answer.
    pub sequence: SequenceNumber,
    /// Text.
    pub text: String,
    /// Tokens in `text`.
    pub tokens: Tokens,
    /// Set on the last chunk.
    pub finish: Option<FinishReason>,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached its largest length.
    Length,
}

/// Message of an agent on a decode stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeEvent {
    /// The KV cache was imported; the prefill server may free it.
    Imported(AgentState),
    /// Part of the answer.
    Chunk(Chunk),
    /// The agent is alive and holds the attempt.
    Heartbeat(AgentState),
    /// The attempt ended without a whole answer.
    Failed {
        /// State of the agent.
        state: AgentState,
        /// What went wrong.
        failure: AgentFailure,
    },
}
