//! Model engine over HTTP and JSON.
//!
//! The engine serves both roles; its role decides which calls it accepts. The export address of a
//! KV cache is the engine's own address.
//!
//! | call | answer |
//! |---|---|
//! | `POST /v1/prefill {id, model, version, adapter?, priority, prompt}` | `{handle, prompt_tokens, cached_tokens}` when computed; a repeat joins the running one |
//! | `POST /v1/decode {id, model, version, adapter?, priority, from_address, handle, output_max_tokens}` | after the import: lines `{"imported":true}`, then `{"first_token", "text", "tokens", "finish"}` with finish null, `"stop"` or `"length"` |
//! | `POST /v1/resume {id, received_tokens}` | the same lines from that token on, without the import line |
//! | `POST /v1/cancel {id}` | `{freed}` |
//! | `GET /v1/kv/HANDLE` | line `{prompt, prompt_tokens, cache_bytes}`, then that many bytes at the transfer rate |
//! | `GET /v1/inventory` | `{sequences, total_pieces, free_pieces, role, models: [{model, version}], adapters}` |
//! | `POST /v1/orders {fencing: "incarnation.order", order: {kind, model?, version?, adapter?, role?}}` | `{}` when done |
//! | `GET /v1/load` | load at an earlier time: `{running, waiting, free_pieces, pending_prompt_tokens}` |
//! | `GET /v1/events?since=N` | cache events, late and with gaps: `{events: [{number, kind, block}]}` |
//! | `GET /control/counts` | work done since the start: `{prefills, computed_tokens, cached_tokens, exported_tokens, decodes, generated_tokens}` |
//!
//! Order kinds are `load_model`, `load_adapter`, `unload_model`, `unload_adapter` and `set_role`.
//! A stream that ends without `finish` is broken; the decode
//! itself goes on until it is finished or cancelled. A finished answer can be resumed for
//! [`FINISHED_HOLD`], though its memory is free.
//!
//! Errors are `{"error": reason}`: 400 malformed; 404 `unknown_sequence`, `unknown_handle` or
//! `not_loaded`; 409 `wrong_role`, `duplicate` or, for an old fencing number, `{highest}`;
//! 410 `cancelled`; 502 `import_failed`; 503 `no_memory`.

mod api;
mod batch;
pub mod cache;
mod import;
mod loads;
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

/// Time that a finished answer can still be resumed.
pub const FINISHED_HOLD: Duration = Duration::from_secs(10);

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Address to listen on.
    pub address: String,
    /// Role at the start: `prefill` or `decode`.
    pub role: String,
    /// Models loaded at the start, as `model:version`.
    pub models: Vec<String>,
    /// Adapters loaded at the start.
    pub adapters: Vec<String>,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// Decodes in one batch.
    pub batch_max: usize,
    /// KV pieces in all.
    pub total_pieces: u32,
    /// Blocks of [`cache::BLOCK_BYTES`] bytes of prompt in the prefix cache.
    pub cache_blocks: usize,
    /// Prompt tokens computed in a second.
    pub prefill_tokens_per_second: u64,
    /// Time of a decode step with an empty batch.
    pub step: Duration,
    /// Time that each sequence adds to a decode step.
    pub step_per_sequence: Duration,
    /// Bytes of KV cache for each token.
    pub kv_bytes_per_token: u64,
    /// Rate at which a KV cache is exported.
    pub transfer_bytes_per_second: u64,
    /// Size of the weights of a model or adapter.
    pub weight_bytes: u64,
    /// Rate at which the weight store serves this engine.
    pub weight_bytes_per_second: u64,
    /// Age of load reports and cache events.
    pub report_lag: Duration,
    /// Whether answers end at their limit only, instead of after a length that the prompt gives.
    pub answers_to_limit: bool,
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
        }
    }
}

/// Model engine.
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
    /// Starts an engine and returns its address.
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
        let calls = Arc::new(Calls(Arc::clone(&engine)));
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

    /// Waits until the state changed, or a short time.
    fn wait<'a>(&self, state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        let waited = self.changed.wait_timeout(state, IDLE_WAIT);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }
}

/// Longest wait for a change; bounds the time in which a new mode is noticed.
const IDLE_WAIT: Duration = Duration::from_millis(50);

/// Handler of calls; streams keep the engine alive beyond one call.
struct Calls(Arc<Engine>);

impl Handler for Calls {
    fn handle(&self, call: &Call) -> Answer {
        self.0.route(call)
    }

    fn before_mode(&self, request: ControlRequest) {
        self.0.reports().freeze(request.mode == Mode::Stale);
    }
}
