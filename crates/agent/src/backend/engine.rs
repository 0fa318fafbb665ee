//! Driver of a model engine over HTTP.
//!
//! Each sequence is named after its attempt. A repeated command therefore attaches to the running
//! sequence, and a restarted agent recognises the sequences that the engine holds.
//!
//! Each command opens its own connection. Responses of engines name no sequence, so on a reused
//! connection a late second copy of one would pass for the response to the next command, for
//! example with the handle of another sequence's KV cache.

use std::io::{BufRead, BufReader};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cuminlead_kernel::{PluginInfo, PluginPoint, WorkerPool};
use cuminlead_process::http_client;
use cuminlead_process::response_head::check;
use cuminlead_protocol::{
    EngineCommand, EngineEvent, EngineOrder, KvHandle, ModelTarget, ServiceCommand,
};
use cuminlead_types::{FencingNumber, Priority, Tokens};
use serde::Serialize;
use ureq::http::{Method, Response};
use ureq::{Agent, Body};

use super::engine_wire::{
    CancelBody, DecodeBody, DecodeLine, FencedResponse, InventoryResponse, OrderBody, PrefillBody,
    PrefillResponse, ResumeBody, TargetBody, finish_reason,
};
use super::sequence_commands::{SequenceCommands, Ticket};
use super::{Backend, BackendContext, BackendEvent, BackendEvents, BackendPlugin};

inventory::submit! { BackendPlugin { name: "engine", build: EngineBackend::build } }
inventory::submit! {
    PluginInfo {
        point: PluginPoint::Backend,
        name: "engine",
        summary: "model engine with continuous batching and KV transfer",
    }
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of commands that do no model work: cancel and inventory.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of an engine order. It is long because models are loaded from a rate-limited weight
/// store.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);

/// How often a cancel is sent while an earlier start may still be in flight to the engine.
const CANCEL_ATTEMPTS_MAX_COUNT: u32 = 10;

/// Interval between these cancels.
const CANCEL_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a prefill or decode. No request lasts longer.
const SEQUENCE_TIMEOUT: Duration = Duration::from_secs(100);

struct EngineBackend {
    pool: WorkerPool,
    client: Arc<EngineClient>,
}

struct EngineClient {
    base: String,
    address: String,
    http: Agent,
    events: BackendEvents,
    sequences: SequenceCommands,
}

impl EngineBackend {
    fn build(context: BackendContext) -> Box<dyn Backend> {
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .max_idle_connections(0)
            .build();
        let client = EngineClient {
            base: format!("http://{}", context.address),
            address: context.address,
            http: http_client::backend_agent(config),
            events: context.events,
            sequences: SequenceCommands::default(),
        };
        Box::new(Self {
            pool: context.pool,
            client: Arc::new(client),
        })
    }
}

impl Backend for EngineBackend {
    fn command_engine(&self, command: EngineCommand) {
        let client = Arc::clone(&self.client);
        // Tickets are taken before the commands enter the pool, so that their order is that of the
        // control thread's commands.
        match command {
            EngineCommand::Prefill { id, .. }
            | EngineCommand::Decode { id, .. }
            | EngineCommand::ResumeDecode { id, .. } => {
                let start = client.sequences.register_start(id);
                self.pool.execute(move || client.start(start, command));
            }
            EngineCommand::Cancel { id } => {
                let cancel = client.sequences.register_cancel(id);
                self.pool.execute(move || client.cancel(cancel));
            }
            EngineCommand::ReadInventory => self.pool.execute(move || client.read_inventory()),
            EngineCommand::Order { fencing, order } => {
                self.pool.execute(move || client.order(fencing, &order));
            }
        }
    }

    fn command_service(&self, _command: ServiceCommand, _traceparent: String) {}

    fn has_inventory(&self) -> bool {
        true
    }
}

/// Outcome of an HTTP exchange.
enum Exchange {
    Responded(Response<Body>),
    ConnectFailed,
    Lost,
}

impl EngineClient {
    fn start(&self, start: Ticket, command: EngineCommand) {
        if self.sequences.wait_for_earlier_cancels(start) {
            self.execute_start(start, command);
        }
        self.sequences.end_start(start);
    }

    fn execute_start(&self, start: Ticket, command: EngineCommand) {
        match command {
            EngineCommand::Prefill {
                target,
                priority,
                prompt,
                ..
            } => {
                self.prefill(start, &target, priority, prompt);
            }
            EngineCommand::Decode {
                target,
                priority,
                kv,
                output_max_tokens,
                ..
            } => {
                self.decode(start, &target, priority, kv, output_max_tokens);
            }
            EngineCommand::ResumeDecode {
                id,
                received_tokens,
            } => {
                let body = ResumeBody {
                    id: id.to_string(),
                    received_tokens: received_tokens.0,
                };
                let exchange = self.post("/v1/resume", &body, SEQUENCE_TIMEOUT);
                self.read_decode(start, exchange);
            }
            EngineCommand::Cancel { .. }
            | EngineCommand::ReadInventory
            | EngineCommand::Order { .. } => {}
        }
    }

    /// Sends the cancel until no earlier start is in flight, because the engine may receive the
    /// start after the cancel.
    fn cancel(&self, cancel: Ticket) {
        let body = CancelBody {
            id: cancel.id.to_string(),
        };
        for _ in 0..CANCEL_ATTEMPTS_MAX_COUNT {
            // A lost cancel needs no handling: it is repeated after the next inventory.
            let _ = self.post("/v1/cancel", &body, COMMAND_TIMEOUT);
            if !self.sequences.has_earlier_start(cancel) {
                break;
            }
            thread::sleep(CANCEL_RETRY_INTERVAL);
        }
        self.sequences.end_cancel(cancel);
    }

    /// Reports an event of a sequence, unless the sequence was cancelled.
    fn emit_if_current(&self, start: Ticket, event: EngineEvent) {
        if self.sequences.is_current(start) {
            self.emit(event);
        }
    }

    fn emit(&self, event: EngineEvent) {
        (self.events)(BackendEvent::Engine(event));
    }

    fn post(&self, path: &str, body: &impl Serialize, timeout: Duration) -> Exchange {
        let request = self
            .http
            .post(format!("{}{path}", self.base))
            .config()
            .timeout_global(Some(timeout))
            .build();
        exchange(request.send_json(body))
    }

    fn prefill(&self, start: Ticket, target: &ModelTarget, priority: Priority, prompt: String) {
        let id = start.id;
        let target = TargetBody::new(target, priority);
        let body = PrefillBody {
            id: id.to_string(),
            target,
            prompt,
        };
        let result = match self.post("/v1/prefill", &body, SEQUENCE_TIMEOUT) {
            Exchange::Responded(mut response) if response.status().is_success() => {
                response.body_mut().read_json::<PrefillResponse>().ok()
            }
            _ => None,
        };
        self.emit_if_current(
            start,
            match result {
                Some(result) => EngineEvent::PrefillDone {
                    id,
                    kv: KvHandle {
                        address: self.address.clone(),
                        handle: result.handle,
                    },
                    prompt_tokens: Tokens(result.prompt_tokens),
                    cached_tokens: Tokens(result.cached_tokens),
                },
                None => EngineEvent::SequenceFailed { id },
            },
        );
    }

    fn decode(
        &self,
        start: Ticket,
        target: &ModelTarget,
        priority: Priority,
        kv: KvHandle,
        output_max_tokens: Tokens,
    ) {
        let body = DecodeBody {
            id: start.id.to_string(),
            target: TargetBody::new(target, priority),
            from_address: kv.address,
            handle: kv.handle,
            output_max_tokens: output_max_tokens.0,
        };
        let exchange = self.post("/v1/decode", &body, SEQUENCE_TIMEOUT);
        self.read_decode(start, exchange);
    }

    fn read_decode(&self, start: Ticket, exchange: Exchange) {
        let id = start.id;
        let response = match exchange {
            Exchange::Responded(response) if response.status().is_success() => response,
            // The engine returns 502 when it can't read the KV cache from the exporting engine.
            Exchange::Responded(response) if response.status().as_u16() == 502 => {
                return self.emit_if_current(start, EngineEvent::ImportFailed { id });
            }
            Exchange::Responded(_) | Exchange::ConnectFailed => {
                return self.emit_if_current(start, EngineEvent::SequenceFailed { id });
            }
            Exchange::Lost => return self.emit_if_current(start, EngineEvent::StreamLost { id }),
        };
        let reader = BufReader::new(response.into_body().into_reader());
        for line in reader.lines() {
            let parsed = line.ok().and_then(|line| serde_json::from_str(&line).ok());
            let Some(parsed) = parsed else { break };
            if self.emit_line(start, parsed) {
                return;
            }
        }
        self.emit_if_current(start, EngineEvent::StreamLost { id });
    }

    /// Reports a line of a decode stream. Returns whether it was the last one.
    fn emit_line(&self, start: Ticket, line: DecodeLine) -> bool {
        let id = start.id;
        match line {
            DecodeLine::Imported { imported: true } => {
                self.emit_if_current(start, EngineEvent::Imported { id });
                false
            }
            DecodeLine::Imported { imported: false } => {
                self.emit_if_current(start, EngineEvent::ImportFailed { id });
                true
            }
            DecodeLine::Generated {
                first_token,
                text,
                tokens,
                finish,
            } => {
                let finish = finish.as_deref().map(finish_reason);
                let tokens = Tokens(tokens);
                self.emit_if_current(
                    start,
                    EngineEvent::Generated {
                        id,
                        first_token,
                        text,
                        tokens,
                        finish,
                    },
                );
                finish.is_some()
            }
        }
    }

    fn read_inventory(&self) {
        let request = self
            .http
            .get(format!("{}/v1/inventory", self.base))
            .config()
            .timeout_global(Some(COMMAND_TIMEOUT))
            .build();
        let result = match exchange(request.call()) {
            Exchange::Responded(mut response) if response.status().is_success() => {
                response.body_mut().read_json::<InventoryResponse>().ok()
            }
            _ => None,
        };
        self.emit(match result {
            Some(result) => EngineEvent::Inventory(result.into_inventory()),
            None => EngineEvent::Unreachable,
        });
    }

    fn order(&self, fencing: FencingNumber, order: &EngineOrder) {
        let body = OrderBody {
            fencing: fencing.to_string(),
            order: order.into(),
        };
        let event = match self.post("/v1/orders", &body, ORDER_TIMEOUT) {
            Exchange::Responded(response) if response.status().is_success() => {
                EngineEvent::OrderDone { fencing }
            }
            Exchange::Responded(mut response) if response.status().as_u16() == 409 => {
                let result = response.body_mut().read_json::<FencedResponse>().ok();
                match result.and_then(|result| result.highest.parse().ok()) {
                    Some(highest) => EngineEvent::OrderFenced { fencing, highest },
                    None => EngineEvent::OrderFailed { fencing },
                }
            }
            _ => EngineEvent::OrderFailed { fencing },
        };
        self.emit(event);
    }
}

fn exchange(result: Result<Response<Body>, ureq::Error>) -> Exchange {
    match result {
        Ok(response) => match check(&Method::POST, response.status(), response.headers()) {
            Ok(_) => Exchange::Responded(response),
            Err(_) => Exchange::Lost,
        },
        Err(error) if is_connect_failure(&error) => Exchange::ConnectFailed,
        Err(_) => Exchange::Lost,
    }
}

/// Whether the connection could not be established, so that the request can't have arrived.
pub(super) fn is_connect_failure(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
