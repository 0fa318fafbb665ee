//! Driver of a model engine over HTTP.
//!
//! Every sequence is named after its attempt, so a repeated command joins the running sequence and
//! an agent that restarts recognises what the engine holds.

use std::io::{BufRead, BufReader};
use std::sync::Arc;
use std::time::Duration;

use cuminlead_kernel::{PluginInfo, PluginPoint, WorkerPool};
use cuminlead_protocol::{
    EngineCommand, EngineEvent, EngineOrder, KvHandle, ModelTarget, ServiceCommand,
};
use cuminlead_types::{AttemptId, FencingNumber, Priority, Tokens};
use serde::Serialize;
use ureq::http::Response;
use ureq::{Agent, Body};

use super::engine_wire::{
    CancelBody, DecodeBody, DecodeLine, FencedAnswer, InventoryAnswer, OrderBody, PrefillAnswer,
    PrefillBody, ResumeBody, TargetBody, finish_reason,
};
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

/// Short commands that take longer than this have failed.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Loads draw from the rate-limited weight store and may take this long.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);

/// A prefill or decode lasts no longer than a request may.
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
}

impl EngineBackend {
    fn build(context: BackendContext) -> Box<dyn Backend> {
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .build();
        let client = EngineClient {
            base: format!("http://{}", context.address),
            address: context.address,
            http: config.into(),
            events: context.events,
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
        self.pool.execute(move || client.run(command));
    }

    fn command_service(&self, _command: ServiceCommand) {}

    fn has_inventory(&self) -> bool {
        true
    }
}

/// What came of an HTTP exchange.
enum Exchange {
    Answered(Response<Body>),
    NoConnection,
    Lost,
}

impl EngineClient {
    fn run(&self, command: EngineCommand) {
        match command {
            EngineCommand::Prefill {
                id,
                target,
                priority,
                prompt,
            } => {
                self.prefill(id, &target, priority, prompt);
            }
            EngineCommand::Decode {
                id,
                target,
                priority,
                kv,
                output_max_tokens,
            } => {
                self.decode(id, &target, priority, kv, output_max_tokens);
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
                self.read_decode(id, exchange);
            }
            EngineCommand::Cancel { id } => {
                // A cancel that is lost is repeated after the next inventory.
                let body = CancelBody { id: id.to_string() };
                let _ = self.post("/v1/cancel", &body, SHORT_TIMEOUT);
            }
            EngineCommand::ReadInventory => self.read_inventory(),
            EngineCommand::Order { fencing, order } => self.order(fencing, &order),
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

    fn prefill(&self, id: AttemptId, target: &ModelTarget, priority: Priority, prompt: String) {
        let target = TargetBody::new(target, priority);
        let body = PrefillBody {
            id: id.to_string(),
            target,
            prompt,
        };
        let answer = match self.post("/v1/prefill", &body, SEQUENCE_TIMEOUT) {
            Exchange::Answered(mut response) if response.status().is_success() => {
                response.body_mut().read_json::<PrefillAnswer>().ok()
            }
            _ => None,
        };
        self.emit(match answer {
            Some(answer) => EngineEvent::PrefillDone {
                id,
                kv: KvHandle {
                    address: self.address.clone(),
                    handle: answer.handle,
                },
                prompt_tokens: Tokens(answer.prompt_tokens),
                cached_tokens: Tokens(answer.cached_tokens),
            },
            None => EngineEvent::SequenceFailed { id },
        });
    }

    fn decode(
        &self,
        id: AttemptId,
        target: &ModelTarget,
        priority: Priority,
        kv: KvHandle,
        output_max_tokens: Tokens,
    ) {
        let body = DecodeBody {
            id: id.to_string(),
            target: TargetBody::new(target, priority),
            from_address: kv.address,
            handle: kv.handle,
            output_max_tokens: output_max_tokens.0,
        };
        let exchange = self.post("/v1/decode", &body, SEQUENCE_TIMEOUT);
        self.read_decode(id, exchange);
    }

    fn read_decode(&self, id: AttemptId, exchange: Exchange) {
        let response = match exchange {
            Exchange::Answered(response) if response.status().is_success() => response,
            // The engine answers 502 when the exporting engine cannot be read.
            Exchange::Answered(response) if response.status().as_u16() == 502 => {
                return self.emit(EngineEvent::ImportFailed { id });
            }
            Exchange::Answered(_) | Exchange::NoConnection => {
                return self.emit(EngineEvent::SequenceFailed { id });
            }
            Exchange::Lost => return self.emit(EngineEvent::StreamLost { id }),
        };
        let reader = BufReader::new(response.into_body().into_reader());
        for line in reader.lines() {
            let parsed = line.ok().and_then(|line| serde_json::from_str(&line).ok());
            let Some(parsed) = parsed else { break };
            if self.emit_line(id, parsed) {
                return;
            }
        }
        self.emit(EngineEvent::StreamLost { id });
    }

    /// Reports a line; whether it was the last one.
    fn emit_line(&self, id: AttemptId, line: DecodeLine) -> bool {
        match line {
            DecodeLine::Imported { imported: true } => {
                self.emit(EngineEvent::Imported { id });
                false
            }
            DecodeLine::Imported { imported: false } => {
                self.emit(EngineEvent::ImportFailed { id });
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
                self.emit(EngineEvent::Generated {
                    id,
                    first_token,
                    text,
                    tokens,
                    finish,
                });
                finish.is_some()
            }
        }
    }

    fn read_inventory(&self) {
        let request = self
            .http
            .get(format!("{}/v1/inventory", self.base))
            .config()
            .timeout_global(Some(SHORT_TIMEOUT))
            .build();
        let answer = match exchange(request.call()) {
            Exchange::Answered(mut response) if response.status().is_success() => {
                response.body_mut().read_json::<InventoryAnswer>().ok()
            }
            _ => None,
        };
        self.emit(match answer {
            Some(answer) => EngineEvent::Inventory(answer.into_inventory()),
            None => EngineEvent::Unreachable,
        });
    }

    fn order(&self, fencing: FencingNumber, order: &EngineOrder) {
        let body = OrderBody {
            fencing: fencing.to_string(),
            order: order.into(),
        };
        let event = match self.post("/v1/orders", &body, ORDER_TIMEOUT) {
            Exchange::Answered(response) if response.status().is_success() => {
                EngineEvent::OrderDone { fencing }
            }
            Exchange::Answered(mut response) if response.status().as_u16() == 409 => {
                let answer = response.body_mut().read_json::<FencedAnswer>().ok();
                match answer.and_then(|answer| answer.highest.parse().ok()) {
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
        Ok(response) => Exchange::Answered(response),
        Err(error) if is_connect_failure(&error) => Exchange::NoConnection,
        Err(_) => Exchange::Lost,
    }
}

/// Whether no connection was made, so that the request cannot have arrived.
pub(super) fn is_connect_failure(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
