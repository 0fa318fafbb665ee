//! Commands to and events from the back end beside an agent.
//!
//! A sequence is what an engine holds for one attempt: a prefill with its KV cache, or a decode.
//! It is named after the attempt, so an agent that restarts can tell what the engine still holds.

use cuminlead_types::{
    AdapterName, AttemptId, FencingNumber, KvPieces, ModelName, PermitId, Priority, Tokens,
    VersionName,
};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::reply::KvHandle;
use crate::request::{HttpRequest, HttpResponse, ModelTarget};
use crate::stream::FinishReason;

/// Role of a model engine.
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
    /// Computes prompts.
    #[default]
    Prefill,
    /// Generates answers.
    Decode,
}

/// Command to the model engine.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EngineCommand {
    /// Computes a prompt and keeps its KV cache for export.
    Prefill {
        /// Attempt that the sequence is for.
        id: AttemptId,
        /// Model to use.
        target: ModelTarget,
        /// Priority in the engine's batch.
        priority: Priority,
        /// Prompt.
        prompt: String,
    },
    /// Imports a KV cache and generates.
    Decode {
        /// Attempt that the sequence is for.
        id: AttemptId,
        /// Model to use.
        target: ModelTarget,
        /// Priority in the engine's batch.
        priority: Priority,
        /// KV cache to import.
        kv: KvHandle,
        /// Most tokens to generate.
        output_max_tokens: Tokens,
    },
    /// Reads on from a token after the connection to the engine was lost.
    ResumeDecode {
        /// Attempt.
        id: AttemptId,
        /// Number of tokens received so far.
        received_tokens: Tokens,
    },
    /// Ends a sequence and frees its memory; no effect on an unknown one.
    Cancel {
        /// Attempt.
        id: AttemptId,
    },
    /// Lists all sequences that the engine holds.
    ReadInventory,
    /// Order that changes what the engine serves.
    Order {
        /// Fencing number.
        fencing: FencingNumber,
        /// What to change.
        order: EngineOrder,
    },
}

/// Order that changes what an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EngineOrder {
    /// Loads a version of a model from the weight store.
    LoadModel {
        /// Model.
        model: ModelName,
        /// Version.
        version: VersionName,
    },
    /// Loads an adapter from the weight store.
    LoadAdapter {
        /// Adapter.
        adapter: AdapterName,
    },
    /// Removes a version of a model.
    UnloadModel {
        /// Model.
        model: ModelName,
        /// Version.
        version: VersionName,
    },
    /// Removes an adapter.
    UnloadAdapter {
        /// Adapter.
        adapter: AdapterName,
    },
    /// Changes the role.
    SetRole {
        /// New role.
        role: EngineRole,
    },
}

/// What an engine says it serves and holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineInventory {
    /// Sequences in the engine's memory.
    pub sequences: Vec<AttemptId>,
    /// KV pieces in all.
    pub total_pieces: KvPieces,
    /// Role.
    pub role: EngineRole,
    /// Loaded models and versions.
    pub models: Vec<LoadedModel>,
    /// Loaded adapters.
    pub adapters: Vec<AdapterName>,
}

/// A loaded version of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadedModel {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
}

/// Event from the model engine.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EngineEvent {
    /// A prefill is done.
    PrefillDone {
        /// Attempt.
        id: AttemptId,
        /// Where the KV cache can be imported from.
        kv: KvHandle,
        /// Tokens of the prompt.
        prompt_tokens: Tokens,
        /// Tokens taken from the prefix cache.
        cached_tokens: Tokens,
    },
    /// A KV cache was imported.
    Imported {
        /// Attempt.
        id: AttemptId,
    },
    /// A KV cache could not be imported.
    ImportFailed {
        /// Attempt.
        id: AttemptId,
    },
    /// Tokens were generated.
    Generated {
        /// Attempt.
        id: AttemptId,
        /// Number of the first of these tokens, from 0.
        first_token: u64,
        /// Text.
        text: String,
        /// Tokens in `text`.
        tokens: Tokens,
        /// Set with the last token.
        finish: Option<FinishReason>,
    },
    /// The connection that carried a decode was lost; the engine may still run it.
    StreamLost {
        /// Attempt.
        id: AttemptId,
    },
    /// The engine failed the sequence or does not know it.
    SequenceFailed {
        /// Attempt.
        id: AttemptId,
    },
    /// What the engine holds.
    Inventory(EngineInventory),
    /// An order was carried out.
    OrderDone {
        /// Fencing number of the order.
        fencing: FencingNumber,
    },
    /// An order was refused because of its fencing number.
    OrderFenced {
        /// Fencing number of the order.
        fencing: FencingNumber,
        /// Highest number that the engine has seen.
        highest: FencingNumber,
    },
    /// An order failed for another reason.
    OrderFailed {
        /// Fencing number of the order.
        fencing: FencingNumber,
    },
    /// The engine does not answer.
    Unreachable,
}

/// Reference of the agent to a running application call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunRef {
    /// Call under a permit.
    Permit(PermitId),
    /// Idempotent call, by its message.
    Message(u64),
}

/// Command to the plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCommand {
    /// Call that is run.
    pub run: RunRef,
    /// Request to forward.
    pub http: HttpRequest,
}

/// Event from the plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceEvent {
    /// The service answered.
    Answered {
        /// Call.
        run: RunRef,
        /// Response.
        http: HttpResponse,
    },
    /// No connection was made, so the service did not run the call.
    NotSent {
        /// Call.
        run: RunRef,
    },
    /// The connection ended after the call was sent.
    Lost {
        /// Call.
        run: RunRef,
    },
}
