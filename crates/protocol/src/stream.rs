//! Messages on the bidirectional decode stream.
//!
//! The first message from the entry opens the stream: it starts decoding, or resumes delivery after
//! a lost connection. Acknowledgements from the entry also renew the lease of the attempt.

use cuminlead_types::{AttemptId, Incarnation, SequenceNumber, Tokens};
use strum::{Display, EnumString, IntoStaticStr};

use crate::envelope::{AgentState, Envelope};
use crate::reply::{AgentFailure, KvHandle};

/// First message of a decode stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeOpen {
    /// Header with sender and request.
    pub envelope: Envelope,
    /// Whether to start decoding or to resume delivery.
    pub mode: DecodeMode,
}

/// How a stream begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeMode {
    /// Imports the KV cache into the reserved slot and decodes. Repeated on a new connection, it
    /// attaches to the running decode.
    Start(DecodeStart),
    /// Resumes delivery of chunks after a lost connection.
    Resume(DecodeResume),
}

/// Parameters of a new decode.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DecodeStart {
    /// KV cache to import, from the prefill.
    pub kv: KvHandle,
    /// Sequence number of the first chunk; zero unless an earlier attempt delivered chunks.
    pub first_sequence: SequenceNumber,
    /// Maximum number of tokens to decode.
    pub output_max_tokens: Tokens,
}

/// Parameters of resumed delivery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DecodeResume {
    /// Incarnation of the agent that started the decode.
    pub incarnation: Incarnation,
    /// Sequence number of the first chunk that the entry has not received.
    pub next_sequence: SequenceNumber,
}

/// Any later message from the entry on a decode stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeControl {
    /// The entry has received all chunks before this sequence number.
    Acknowledge(SequenceNumber),
    /// The entry no longer needs the output.
    Cancel,
}

/// Part of the output of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Request and attempt that the chunk belongs to.
    pub id: AttemptId,
    /// Incarnation of the agent that made the chunk.
    pub incarnation: Incarnation,
    /// Position of the chunk in the output.
    pub sequence: SequenceNumber,
    /// Generated text.
    pub text: String,
    /// Number of tokens in `text`.
    pub tokens: Tokens,
    /// Set only on the last chunk.
    pub finish: Option<FinishReason>,
}

/// Why the output of a model ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the output.
    Stop,
    /// The output reached its maximum length.
    Length,
}

/// Message from an agent on a decode stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeEvent {
    /// The KV cache was imported; the prefill server may release its copy.
    Imported(AgentState),
    /// Next part of the output.
    Chunk(Chunk),
    /// The agent is reachable and the attempt still has its lease.
    Heartbeat(AgentState),
    /// The attempt ended before the output was complete.
    Failed {
        /// State of the agent when the attempt ended.
        state: AgentState,
        /// Why the attempt ended.
        failure: AgentFailure,
    },
}
