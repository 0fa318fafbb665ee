//! Inference engine over HTTP and JSON.
//!
//! It simulates prefill, decode and KV transfer with configured rates and generates text that
//! receivers can verify (see [`text`]). One engine implements both roles; the current role decides
//! which requests it accepts. KV caches are exported at the engine's own address.
//!
//! | request | response |
//! |---|---|
//! | `POST /v1/prefill {id, model, version, adapter?, priority, prompt}` | `{handle, prompt_tokens, cached_tokens}` once the prompt is computed; a repeated request attaches to the running prefill |
//! | `POST /v1/decode {id, model, version, adapter?, priority, from_address, handle, output_max_tokens}` | after the import: lines `{"imported":true}`, then `{"first_token", "text", "tokens", "finish"}` with finish null, `"stop"` or `"length"` |
//! | `POST /v1/resume {id, received_tokens}` | the same lines after `received_tokens` tokens, without the import line |
//! | `POST /v1/cancel {id}` | `{freed}`: whether the id was an open sequence |
//! | `GET /v1/kv/HANDLE` | line `{prompt, prompt_tokens, cache_bytes}`, then `cache_bytes` bytes at the transfer rate |
//! | `GET /v1/inventory` | `{sequences, total_pieces, free_pieces, role, models: [{model, version}], adapters}` |
//! | `POST /v1/orders {fencing: "incarnation.order", order: {kind, model?, version?, adapter?, role?}}` | `{}` once executed |
//! | `GET /v1/load` | load report, delayed: `{running, waiting, free_pieces, pending_prompt_tokens}` |
//! | `GET /v1/events?since=N` | cache events, delayed and with gaps: `{events: [{number, kind, block}]}` |
//! | `GET /control/counts` | work done since the engine started: `{prefills, computed_tokens, cached_tokens, exported_tokens, decodes, generated_tokens}` |
//!
//! Order kinds are `load_model`, `load_adapter`, `unload_model`, `unload_adapter` and `set_role`.
//! A stream that ends without `finish` was interrupted; the decode continues until it is complete
//! or cancelled. A completed answer can be resumed for [`FINISHED_RETENTION`], although its memory
//! is freed.
//!
//! Errors are `{"error": reason}`: 400 malformed; 404 `unknown_sequence`, `unknown_handle` or
//! `not_loaded`; 409 `wrong_role`, `duplicate` or, for an old fencing number, `{highest}`;
//! 410 `cancelled`; 502 `import_failed`; 503 `no_memory`.

mod api;
mod batch;
pub mod cache;
mod kv_transfer;
mod orders;
mod reports;
mod state;
mod stream;
pub mod text;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use crate::behaviour::{Behaviour, ControlRequest, Mode};
use crate::http::{Answer, Call, Handler, serve};
use reports::Reports;
use state::State;

/// Time for which a completed answer can be resumed.
pub const FINISHED_RETENTION: Duration = Duration::from_secs(10);

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Listen address; port 0 chooses a free port.
    pub address: String,
    /// Role at the start: `prefill` or `decode`.
    pub role: String,
    /// Models loaded at the start, as `model:version`.
    pub models: Vec<String>,
    /// Adapters loaded at the start.
    pub adapters: Vec<String>,
    /// Whether orders with an old fencing number are rejected.
    pub fenced: bool,
    /// Most sequences decoded in one step.
    pub batch_max: usize,
    /// KV memory in pieces of 4,096 tokens.
    pub total_pieces: u32,
    /// Capacity of the prefix cache in blocks of [`cache::BLOCK_BYTES`] prompt bytes.
    pub cache_blocks: usize,
    /// Prefill throughput.
    pub prefill_tokens_per_second: u64,
    /// Fixed part of the time of a decode step.
    pub step: Duration,
    /// Time that each sequence adds to a decode step.
    pub step_per_sequence: Duration,
    /// KV cache bytes per token.
    pub kv_bytes_per_token: u64,
    /// Transfer rate of each KV export.
    pub transfer_bytes_per_second: u64,
    /// Size of the weights of a model or adapter.
    pub weight_bytes: u64,
    /// Rate at which this engine loads weights.
    pub weight_bytes_per_second: u64,
    /// Time until load reports and cache events become visible.
    pub report_lag: Duration,
    /// Whether every answer has exactly the requested output limit, instead of a length that
    /// follows from the prompt.
    pub answers_to_limit: bool,
    /// Text in a prompt on which the process exits when it generates the first token; none when not
    /// set.
    pub crash_text: Option<String>,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_string(),
            role: "prefill".to_string(),
            models: Vec::new(),
            adapters: Vec::new(),
            fenced: true,
            batch_max: 20,
            total_pieces: 128,
            cache_blocks: 4_096,
            prefill_tokens_per_second: 20_000,
            step: Duration::from_millis(8),
            step_per_sequence: Duration::from_micros(300),
            kv_bytes_per_token: 256,
            transfer_bytes_per_second: 50_000_000,
            weight_bytes: 100_000_000,
            weight_bytes_per_second: 200_000_000,
            report_lag: Duration::from_secs(1),
            answers_to_limit: false,
            crash_text: None,
        }
    }
}

/// Running engine.
pub struct Engine {
    config: EngineConfig,
    behaviour: Arc<Behaviour>,
    state: Mutex<State>,
    changed: Condvar,
    weight_store: Mutex<()>,
    reports: Mutex<Reports>,
    address: OnceLock<SocketAddr>,
}

impl Engine {
    /// Starts an engine and returns the bound address.
    pub fn start(config: &EngineConfig) -> io::Result<SocketAddr> {
        let behaviour = Arc::new(Behaviour::default());
        let engine = Arc::new(Self {
            config: config.clone(),
            behaviour: Arc::clone(&behaviour),
            state: Mutex::new(State::new(config)),
            changed: Condvar::new(),
            weight_store: Mutex::default(),
            reports: Mutex::new(Reports::new(config.report_lag)),
            address: OnceLock::new(),
        });
        let calls = Arc::new(CallHandler(Arc::clone(&engine)));
        let address = serve(&config.address, behaviour, calls)?;
        engine.address.get_or_init(|| address);
        std::thread::spawn(move || engine.run_batches());
        Ok(address)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reports(&self) -> MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a state change, at most [`STATE_WAIT_MAX`].
    fn wait<'a>(&self, state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        let waited = self.changed.wait_timeout(state, STATE_WAIT_MAX);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }
}

/// Bounds the time until a mode change takes effect.
const STATE_WAIT_MAX: Duration = Duration::from_millis(50);

/// Handler with a shared engine, which streams keep alive beyond one call.
struct CallHandler(Arc<Engine>);

impl Handler for CallHandler {
    fn handle(&self, call: &Call) -> Answer {
        self.0.route(call)
    }

    fn before_mode_change(&self, request: ControlRequest) {
        self.0.reports().freeze(request.mode == Mode::Stale);
    }
}
