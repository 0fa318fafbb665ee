//! Commands from an agent to its backend server, a model engine or a plain service, and the events
//! that come back.
//!
//! A sequence is the state of one attempt in an engine's memory: a prefill with its KV cache, or a
//! decode. Its id is that of the attempt, so that a restarted agent recognizes the sequences that
//! the engine still has.

use cuminlead_types::{
    AdapterName, AttemptId, FencingNumber, KvPieces, ModelName, PermitId, Priority, Tokens,
    VersionName,
};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::reply::KvHandle;
use crate::request::{HttpRequest, HttpResponse, ModelTarget};
use crate::stream::FinishReason;

/// Role that a model engine has at present.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Computes the KV cache of prompts.
    #[default]
    Prefill,
    /// Generates output tokens.
    Decode,
}

/// Command from the agent to its model engine.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EngineCommand {
    /// Computes the KV cache of a prompt and retains it for export.
    Prefill {
        /// Attempt, the id of the new sequence.
        id: AttemptId,
        /// Model version and adapter to run.
        target: ModelTarget,
        /// Scheduling priority in the engine's batch.
        priority: Priority,
        /// Full prompt text.
        prompt: String,
    },
    /// Imports a KV cache and decodes from it.
    Decode {
        /// Attempt, the id of the new sequence.
        id: AttemptId,
        /// Model version and adapter to run.
        target: ModelTarget,
        /// Scheduling priority in the engine's batch.
        priority: Priority,
        /// KV cache to import from the exporting engine.
        kv: KvHandle,
        /// Maximum number of tokens to generate.
        output_max_tokens: Tokens,
    },
    /// Continues to read the output of a decode after the connection to the engine was lost.
    ResumeDecode {
        /// Sequence to read.
        id: AttemptId,
        /// Number of tokens received so far, at which to continue.
        received_tokens: Tokens,
    },
    /// Ends a sequence and releases its memory; no effect if the engine does not know it.
    Cancel {
        /// Sequence to end.
        id: AttemptId,
    },
    /// Queries the engine's [`EngineInventory`].
    ReadInventory,
    /// Changes what the engine serves. An engine that checks fencing numbers rejects a number lower
    /// than the highest that it has seen.
    Order {
        /// Incarnation of the agent and number of the order.
        fencing: FencingNumber,
        /// Change to make.
        order: EngineOrder,
    },
}

/// Change of what an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EngineOrder {
    /// Loads a model version from the weight store.
    LoadModel {
        /// Model to load.
        model: ModelName,
        /// Version of its weights.
        version: VersionName,
    },
    /// Loads an adapter from the weight store.
    LoadAdapter {
        /// Adapter to load.
        adapter: AdapterName,
    },
    /// Unloads a model version.
    UnloadModel {
        /// Model to unload.
        model: ModelName,
        /// Version of its weights.
        version: VersionName,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// Adapter to unload.
        adapter: AdapterName,
    },
    /// Changes the engine's role.
    SetRole {
        /// New role.
        role: EngineRole,
    },
}

/// Sequences and configuration as reported by an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineInventory {
    /// Sequences in the engine's memory, by attempt.
    pub sequences: Vec<AttemptId>,
    /// Total KV memory, in KV pieces.
    pub total_pieces: KvPieces,
    /// Present role.
    pub role: EngineRole,
    /// Loaded model versions.
    pub models: Vec<LoadedModel>,
    /// Loaded adapters.
    pub adapters: Vec<AdapterName>,
}

/// Model version that an engine has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadedModel {
    /// Model, without its version.
    pub model: ModelName,
    /// Version of the weights.
    pub version: VersionName,
}

/// Event from the model engine to its agent.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EngineEvent {
    /// A prefill is complete.
    PrefillDone {
        /// Sequence of the prefill.
        id: AttemptId,
        /// KV cache to import for decoding.
        kv: KvHandle,
        /// Length of the prompt as counted by the engine.
        prompt_tokens: Tokens,
        /// Prompt tokens found in the engine's prefix cache.
        cached_tokens: Tokens,
    },
    /// A KV cache was imported.
    Imported {
        /// Sequence of the decode.
        id: AttemptId,
    },
    /// A KV cache could not be imported, so the decode did not start.
    ImportFailed {
        /// Sequence of the decode.
        id: AttemptId,
    },
    /// Tokens were generated.
    Generated {
        /// Sequence of the decode.
        id: AttemptId,
        /// Index of the first of these tokens in the output, from 0.
        first_token: u64,
        /// Generated text.
        text: String,
        /// Number of tokens in `text`.
        tokens: Tokens,
        /// Set only with the last token.
        finish: Option<FinishReason>,
    },
    /// The connection of a decode was lost; the engine may still be decoding.
    StreamLost {
        /// Sequence of the decode.
        id: AttemptId,
    },
    /// The engine failed to run the sequence or does not know it.
    SequenceFailed {
        /// Sequence that failed.
        id: AttemptId,
    },
    /// Reply to [`EngineCommand::ReadInventory`].
    Inventory(EngineInventory),
    /// An engine order was carried out.
    OrderDone {
        /// Fencing number of the order.
        fencing: FencingNumber,
    },
    /// The engine rejected an order, because it has seen a higher fencing number.
    OrderFenced {
        /// Fencing number of the order.
        fencing: FencingNumber,
        /// Highest fencing number that the engine has seen.
        highest: FencingNumber,
    },
    /// An engine order failed for another reason.
    OrderFailed {
        /// Fencing number of the order.
        fencing: FencingNumber,
    },
    /// The engine did not answer an inventory query.
    Unreachable,
}

/// Agent's reference to a running call of the plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServiceCallRef {
    /// Non-idempotent call, by its permit.
    Permit(PermitId),
    /// Idempotent call, by the number of its message at the agent.
    Message(u64),
}

/// Call that the agent forwards to its plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCommand {
    /// Reference that the events on this call carry.
    pub run: ServiceCallRef,
    /// Request to send to the service.
    pub http: HttpRequest,
}

/// End of a call to the plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceEvent {
    /// The service responded.
    Answered {
        /// Call that ended.
        run: ServiceCallRef,
        /// Response of the service.
        http: HttpResponse,
    },
    /// No connection was established, so the service did not run the call.
    NotSent {
        /// Call that was not sent.
        run: ServiceCallRef,
    },
    /// The connection was lost after the call was sent, so its outcome is unknown.
    Lost {
        /// Call with unknown outcome.
        run: ServiceCallRef,
    },
}
