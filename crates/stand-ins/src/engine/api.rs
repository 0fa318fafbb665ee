//! Request handlers of the engine.

use std::sync::Arc;
use std::time::Instant;

use cuminlead_types::Tokens;
use serde::Deserialize;
use serde_json::json;

use super::Engine;
use super::kv_transfer::{self, ExportHead};
use super::state::{LoadedModel, Phase, State};
use super::stream::DecodeLines;
use super::text::Generation;
use crate::http::{Answer, Call};

const KV_PATH: &str = "/v1/kv/";
const NO_MEMORY: &str = "no_memory";

#[derive(Deserialize)]
struct RequestedModel {
    model: String,
    version: String,
    #[serde(default)]
    adapter: Option<String>,
}

#[derive(Deserialize)]
struct PrefillRequest {
    id: String,
    #[serde(flatten)]
    requested: RequestedModel,
    #[serde(default)]
    priority: u8,
    prompt: String,
}

#[derive(Deserialize)]
struct DecodeRequest {
    id: String,
    #[serde(flatten)]
    requested: RequestedModel,
    #[serde(default)]
    priority: u8,
    from_address: String,
    handle: String,
    output_max_tokens: u64,
}

#[derive(Deserialize)]
struct ResumeRequest {
    id: String,
    received_tokens: u64,
}

#[derive(Deserialize)]
struct CancelRequest {
    id: String,
}

impl Engine {
    pub(super) fn route(self: &Arc<Self>, call: &Call) -> Answer {
        let answer = match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/prefill") => call.json().map(|request| self.prefill(request)),
            ("POST", "/v1/decode") => call.json().map(|request| self.decode(call, request)),
            ("POST", "/v1/resume") => call.json().map(|request| self.resume(call, request)),
            ("POST", "/v1/cancel") => call.json().map(|request| self.cancel(&request)),
            ("POST", "/v1/orders") => Ok(self.handle_order(call)),
            ("GET", path) => Ok(self.read(call, path)),
            _ => Ok(Answer::error(404, "unknown path")),
        };
        answer.unwrap_or_else(|rejection| rejection)
    }

    fn read(&self, call: &Call, path: &str) -> Answer {
        match path {
            "/v1/inventory" => self.inventory(),
            "/v1/load" => Answer::ok(self.reports().load(Instant::now())),
            "/v1/events" => {
                let events = self
                    .reports()
                    .events(Instant::now(), call.number("since", 0));
                Answer::ok(json!({ "events": events }))
            }
            "/control/counts" => Answer::ok(self.lock().counts),
            _ => match path.strip_prefix(KV_PATH) {
                Some(handle) => self.export(handle),
                None => Answer::error(404, "unknown path"),
            },
        }
    }

    fn inventory(&self) -> Answer {
        let state = self.lock();
        let sequences: Vec<&String> = state.sequences.keys().collect();
        Answer::ok(json!({
            "sequences": sequences,
            "total_pieces": state.total_pieces,
            "free_pieces": state.free_pieces(),
            "role": state.role,
            "models": state.models,
            "adapters": state.adapters,
        }))
    }

    fn prefill(&self, request: PrefillRequest) -> Answer {
        let mut state = self.lock();
        if let Some(rejection) = check_served(&state, "prefill", &request.requested) {
            return rejection;
        }
        if !state.sequences.contains_key(&request.id) {
            let tokens = Tokens::estimate(&request.prompt).get();
            if state.add(&request.id, request.priority, tokens).is_none() {
                return Answer::error(503, NO_MEMORY);
            }
            start_prefill(&mut state, &request.id, request.prompt, tokens);
        }
        drop(state);
        self.changed.notify_all();
        self.wait_for_prefill(&request.id)
    }

    fn wait_for_prefill(&self, id: &str) -> Answer {
        let mut state = self.lock();
        loop {
            let Some(sequence) = state.sequences.get(id) else {
                return Answer::error(410, "cancelled");
            };
            match sequence.phase {
                Phase::Prefill { .. } => {}
                Phase::Computed => {
                    return Answer::ok(json!({
                        "handle": sequence.handle,
                        "prompt_tokens": sequence.prompt_tokens,
                        "cached_tokens": sequence.cached_tokens,
                    }));
                }
                _ => return Answer::error(409, "duplicate"),
            }
            state = self.wait(state);
        }
    }

    fn decode(self: &Arc<Self>, call: &Call, request: DecodeRequest) -> Answer {
        let mut state = self.lock();
        if let Some(rejection) = check_served(&state, "decode", &request.requested) {
            return rejection;
        }
        if state.sequences.contains_key(&request.id) || state.finished.contains_key(&request.id) {
            return Answer::error(409, "duplicate");
        }
        let output = request.output_max_tokens;
        if state.add(&request.id, request.priority, output).is_none() {
            return Answer::error(503, NO_MEMORY);
        }
        drop(state);
        let Ok(head) = kv_transfer::import_kv(&request.from_address, &request.handle) else {
            self.lock().sequences.remove(&request.id);
            return Answer::error(502, "import_failed");
        };
        self.start_decode(call, request, &head)
    }

    fn start_decode(
        self: &Arc<Self>,
        call: &Call,
        request: DecodeRequest,
        head: &ExportHead,
    ) -> Answer {
        let mut state = self.lock();
        if !state.sequences.contains_key(&request.id) {
            return Answer::error(410, "cancelled");
        }
        let memory_tokens = head.prompt_tokens + request.output_max_tokens;
        if !state.resize(&request.id, memory_tokens) {
            state.sequences.remove(&request.id);
            return Answer::error(503, NO_MEMORY);
        }
        let generation = match self.config.answers_to_limit {
            true => Generation::to_limit(&head.prompt, request.output_max_tokens),
            false => Generation::of(&head.prompt, request.output_max_tokens),
        };
        if let Some(sequence) = state.sequences.get_mut(&request.id) {
            sequence.prompt.clone_from(&head.prompt);
            sequence.prompt_tokens = head.prompt_tokens;
            sequence.phase = Phase::Decode {
                generation,
                emitted: 0,
            };
        }
        drop(state);
        self.changed.notify_all();
        self.lines(call, request.id, true, 0)
    }

    fn resume(self: &Arc<Self>, call: &Call, request: ResumeRequest) -> Answer {
        let state = self.lock();
        let phase = state.sequences.get(&request.id).map(|s| &s.phase);
        let is_decoding = matches!(phase, Some(Phase::Decode { .. }));
        if !is_decoding && !state.finished.contains_key(&request.id) {
            return Answer::error(404, "unknown_sequence");
        }
        drop(state);
        self.lines(call, request.id, false, request.received_tokens)
    }

    fn lines(
        self: &Arc<Self>,
        call: &Call,
        id: String,
        announces_import: bool,
        sent_tokens: u64,
    ) -> Answer {
        Answer::Lines(Box::new(DecodeLines {
            engine: Arc::clone(self),
            id,
            peer: call.peer,
            announces_import,
            sent_tokens,
            is_finished: false,
        }))
    }

    fn cancel(&self, request: &CancelRequest) -> Answer {
        let mut state = self.lock();
        let removed = state.sequences.remove(&request.id);
        state.finished.remove(&request.id);
        drop(state);
        self.changed.notify_all();
        Answer::ok(json!({ "freed": removed.is_some() }))
    }
}

fn check_served(state: &State, role: &str, requested: &RequestedModel) -> Option<Answer> {
    if state.role != role {
        return Some(Answer::error(409, "wrong_role"));
    }
    let model = LoadedModel {
        model: requested.model.clone(),
        version: requested.version.clone(),
    };
    let has_adapter = requested
        .adapter
        .as_ref()
        .is_none_or(|adapter| state.adapters.contains(adapter));
    let is_loaded = state.models.contains(&model) && has_adapter;
    (!is_loaded).then(|| Answer::error(404, "not_loaded"))
}

fn start_prefill(state: &mut State, id: &str, prompt: String, prompt_tokens: u64) {
    // The last prompt token is always computed, because decoding starts from its output.
    let cached = state.cache.cached_tokens(&prompt).min(prompt_tokens - 1);
    if let Some(sequence) = state.sequences.get_mut(id) {
        sequence.prompt = prompt;
        sequence.prompt_tokens = prompt_tokens;
        sequence.cached_tokens = cached;
        sequence.phase = Phase::Prefill {
            left: prompt_tokens - cached,
        };
    }
}
