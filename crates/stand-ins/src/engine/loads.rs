//! Orders that change what the engine serves.

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
    pub(super) fn order(&self, call: &Call) -> Answer {
        let request: OrderRequest = match call.json() {
            Ok(request) => request,
            Err(refusal) => return refusal,
        };
        let Ok(fencing) = request.fencing.parse::<FencingNumber>() else {
            return Answer::error(400, "malformed fencing number");
        };
        if let Some(refusal) = self.check_fencing(fencing) {
            return refusal;
        }
        if self.needs_weights(&request.order) {
            self.read_weights();
            // An order with a higher number may have come while the weights were read.
            if let Some(refusal) = self.check_fencing(fencing) {
                return refusal;
            }
        }
        carry_out(&mut self.lock(), request.order);
        self.changed.notify_all();
        Answer::ok(json!({}))
    }

    fn check_fencing(&self, fencing: FencingNumber) -> Option<Answer> {
        if !self.config.fenced {
            return None;
        }
        let mut state = self.lock();
        if fencing < state.highest {
            let body = json!({ "highest": state.highest.to_string() });
            return Some(Answer::Json { status: 409, body });
        }
        state.highest = fencing;
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

    /// Takes the time of one load; loads run one after another.
    fn read_weights(&self) {
        let store = self.weight_store.lock();
        let _store = store.unwrap_or_else(PoisonError::into_inner);
        let rate = self.config.weight_bytes_per_second.max(1);
        let time_us = self.config.weight_bytes.saturating_mul(1_000_000) / rate;
        std::thread::sleep(Duration::from_micros(time_us));
    }
}

fn carry_out(state: &mut State, order: Order) {
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
