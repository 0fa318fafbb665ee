//! JSON bodies of the model engine's HTTP API.

use cuminlead_protocol::{
    EngineInventory, EngineOrder, EngineRole, FinishReason, LoadedModel, ModelTarget,
};
use cuminlead_types::{KvPieces, Priority};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/prefill`.
#[derive(Debug, Serialize)]
pub(super) struct PrefillBody {
    pub(super) id: String,
    #[serde(flatten)]
    pub(super) target: TargetBody,
    pub(super) prompt: String,
}

/// Body of `POST /v1/decode`.
#[derive(Debug, Serialize)]
pub(super) struct DecodeBody {
    pub(super) id: String,
    #[serde(flatten)]
    pub(super) target: TargetBody,
    pub(super) from_address: String,
    pub(super) handle: String,
    pub(super) output_max_tokens: u64,
}

/// Model and priority of a sequence, sent as fields of the enclosing body.
#[derive(Debug, Serialize)]
pub(super) struct TargetBody {
    model: String,
    version: String,
    adapter: Option<String>,
    priority: u8,
}

impl TargetBody {
    pub(super) fn new(target: &ModelTarget, priority: Priority) -> Self {
        Self {
            model: target.model.to_string(),
            version: target.version.to_string(),
            adapter: target.adapter.as_ref().map(ToString::to_string),
            priority: priority.0,
        }
    }
}

/// Body of `POST /v1/resume`.
#[derive(Debug, Serialize)]
pub(super) struct ResumeBody {
    pub(super) id: String,
    pub(super) received_tokens: u64,
}

/// Body of `POST /v1/cancel`.
#[derive(Debug, Serialize)]
pub(super) struct CancelBody {
    pub(super) id: String,
}

/// Response to `POST /v1/prefill`.
#[derive(Debug, Deserialize)]
pub(super) struct PrefillResponse {
    pub(super) handle: String,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
}

/// Line of a decode stream.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum DecodeLine {
    Imported {
        imported: bool,
    },
    Generated {
        first_token: u64,
        text: String,
        tokens: u64,
        #[serde(default)]
        finish: Option<String>,
    },
}

/// Parses a finish reason; an unknown one counts as `stop`.
pub(super) fn finish_reason(text: &str) -> FinishReason {
    text.parse().unwrap_or(FinishReason::Stop)
}

/// Response to `GET /v1/inventory`.
#[derive(Debug, Deserialize)]
pub(super) struct InventoryResponse {
    sequences: Vec<String>,
    total_pieces: u32,
    role: String,
    #[serde(default)]
    models: Vec<ModelEntry>,
    #[serde(default)]
    adapters: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct ModelEntry {
    model: String,
    version: String,
}

impl InventoryResponse {
    /// Converts to the protocol's inventory. Invalid ids are omitted; an unknown role counts as
    /// prefill.
    pub(super) fn into_inventory(self) -> EngineInventory {
        let models = self.models.iter().filter_map(|entry| {
            let model = entry.model.parse().ok()?;
            let version = entry.version.parse().ok()?;
            Some(LoadedModel { model, version })
        });
        EngineInventory {
            sequences: self
                .sequences
                .iter()
                .filter_map(|id| id.parse().ok())
                .collect(),
            total_pieces: KvPieces(self.total_pieces),
            role: self.role.parse().unwrap_or(EngineRole::Prefill),
            models: models.collect(),
            adapters: self
                .adapters
                .iter()
                .filter_map(|name| name.parse().ok())
                .collect(),
        }
    }
}

/// Body of `POST /v1/orders`.
#[derive(Debug, Serialize)]
pub(super) struct OrderBody {
    pub(super) fencing: String,
    pub(super) order: OrderFields,
}

/// Engine order; only the fields of its kind are sent.
#[derive(Debug, Default, Serialize)]
pub(super) struct OrderFields {
    kind: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<String>,
}

impl From<&EngineOrder> for OrderFields {
    fn from(order: &EngineOrder) -> Self {
        let kind = order.to_string();
        match order {
            EngineOrder::LoadModel { model, version }
            | EngineOrder::UnloadModel { model, version } => Self {
                kind,
                model: Some(model.to_string()),
                version: Some(version.to_string()),
                ..Self::default()
            },
            EngineOrder::LoadAdapter { adapter } | EngineOrder::UnloadAdapter { adapter } => Self {
                kind,
                adapter: Some(adapter.to_string()),
                ..Self::default()
            },
            EngineOrder::SetRole { role } => Self {
                kind,
                role: Some(role.to_string()),
                ..Self::default()
            },
        }
    }
}

/// Response with status 409 to an order that the engine rejected because it has accepted a higher
/// fencing number.
#[derive(Debug, Deserialize)]
pub(super) struct FencedResponse {
    pub(super) highest: String,
}
