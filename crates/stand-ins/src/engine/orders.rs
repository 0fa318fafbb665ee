//! Engine orders: load and unload models and adapters, change the role.
//!
//! With [`EngineConfig::fenced`](super::EngineConfig::fenced), an order with a lower fencing number
//! than an earlier one is rejected.

use std::sync::PoisonError;
use std::time::Duration;

use cuminlead_types::FencingNumber;
use serde::Deserialize;
use serde_json::json;

use super::Engine;
use super::state::{LoadedModel, State};
use crate::http::{Answer, Call};

#[derive(Deserialize)]
struct OrderRequest {
    fencing: String,
    order: Order,
}

#[derive(Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum Order {
    LoadModel { model: String, version: String },
    LoadAdapter { adapter: String },
    UnloadModel { model: String, version: String },
    UnloadAdapter { adapter: String },
    SetRole { role: String },
}

impl Engine {
    pub(super) fn handle_order(&self, call: &Call) -> Answer {
        let request: OrderRequest = match call.json() {
            Ok(request) => request,
            Err(rejection) => return rejection,
        };
        let Ok(fencing) = request.fencing.parse::<FencingNumber>() else {
            return Answer::error(400, "malformed fencing number");
        };
        if let Some(rejection) = self.check_fencing(fencing) {
            return rejection;
        }
        if self.needs_weights(&request.order) {
            self.load_weights();
            // An order with a higher number may have arrived during the load.
            if let Some(rejection) = self.check_fencing(fencing) {
                return rejection;
            }
        }
        apply_order(&mut self.lock(), request.order);
        self.changed.notify_all();
        Answer::ok(json!({}))
    }

    fn check_fencing(&self, fencing: FencingNumber) -> Option<Answer> {
        if !self.config.fenced {
            return None;
        }
        let mut state = self.lock();
        if fencing < state.highest_fencing {
            let body = json!({ "highest": state.highest_fencing.to_string() });
            return Some(Answer::Json { status: 409, body });
        }
        state.highest_fencing = fencing;
        None
    }

    fn needs_weights(&self, order: &Order) -> bool {
        let state = self.lock();
        match order {
            Order::LoadModel { model, version } => !state.models.contains(&LoadedModel {
                model: model.clone(),
                version: version.clone(),
            }),
            Order::LoadAdapter { adapter } => !state.adapters.contains(adapter),
            _ => false,
        }
    }

    /// Blocks for the time of one load; the loads of an engine run one after another.
    fn load_weights(&self) {
        let store = self.weight_store.lock();
        let _store = store.unwrap_or_else(PoisonError::into_inner);
        let rate = self.config.weight_bytes_per_second.max(1);
        let time_us = self.config.weight_bytes.saturating_mul(1_000_000) / rate;
        std::thread::sleep(Duration::from_micros(time_us));
    }
}

fn apply_order(state: &mut State, order: Order) {
    match order {
        Order::LoadModel { model, version } => {
            state.models.insert(LoadedModel { model, version });
        }
        Order::UnloadModel { model, version } => {
            state.models.remove(&LoadedModel { model, version });
        }
        Order::LoadAdapter { adapter } => {
            state.adapters.insert(adapter);
        }
        Order::UnloadAdapter { adapter } => {
            state.adapters.remove(&adapter);
        }
        Order::SetRole { role } => state.role = role,
    }
}
