//! Driver of a model engine over HTTP.
//!
//! Every sequence is named after its attempt, so a repeated command joins the running sequence and
//! an agent that restarts recognises what the engine holds.

use std::io::{BufRead, BufReader};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cuminlead_kernel::{PluginInfo, PluginPoint, WorkerPool};
use cuminlead_process::http_client;
use cuminlead_protocol::{
    EngineCommand, EngineEvent, EngineOrder, KvHandle, ModelTarget, ServiceCommand,
};
use cuminlead_types::{FencingNumber, Priority, Tokens};
use serde::Serialize;
use ureq::http::Response;
use ureq::{Agent, Body};

use super::engine_wire::{
    CancelBody, DecodeBody, DecodeLine, FencedAnswer, InventoryAnswer, OrderBody, PrefillAnswer,
    PrefillBody, ResumeBody, TargetBody, finish_reason,
};
use super::sequences::{Sequences, Ticket};
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

/// Repeats of a cancel while the start before it may still be on its way to the engine.
const CANCELS_MAX_COUNT: u32 = 10;

/// Pause between two such repeats.
const CANCEL_PAUSE: Duration = Duration::from_millis(100);

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
    sequences: Sequences,
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
            http: http_client::agent(config),
            events: context.events,
            sequences: Sequences::default(),
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
        // Tickets are taken here, in the order in which the control thread commands.
        match command {
            EngineCommand::Prefill { id, .. }
            | EngineCommand::Decode { id, .. }
            | EngineCommand::ResumeDecode { id, .. } => {
                let start = client.sequences.begin(id);
                self.pool.execute(move || client.start(start, command));
            }
            EngineCommand::Cancel { id } => {
                let cancel = client.sequences.cancel(id);
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

/// What came of an HTTP exchange.
enum Exchange {
    Answered(Response<Body>),
    NoConnection,
    Lost,
}

impl EngineClient {
    fn start(&self, start: Ticket, command: EngineCommand) {
        if self.sequences.wait_for_turn(start) {
            self.run(start, command);
        }
        self.sequences.end_start(start);
    }

    fn run(&self, start: Ticket, command: EngineCommand) {
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

    /// Cancels until no start before it is under way, because the engine may read the start later.
    fn cancel(&self, cancel: Ticket) {
        let body = CancelBody {
            id: cancel.id.to_string(),
        };
        for _ in 0..CANCELS_MAX_COUNT {
            // A cancel that is lost is repeated after the next inventory.
            let _ = self.post("/v1/cancel", &body, SHORT_TIMEOUT);
            if !self.sequences.has_earlier_start(cancel) {
                break;
            }
            thread::sleep(CANCEL_PAUSE);
        }
        self.sequences.end_cancel(cancel);
    }

    /// Reports an event of a sequence unless it was cancelled.
    fn emit_of(&self, start: Ticket, event: EngineEvent) {
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
        let answer = match self.post("/v1/prefill", &body, SEQUENCE_TIMEOUT) {
            Exchange::Answered(mut response) if response.status().is_success() => {
                response.body_mut().read_json::<PrefillAnswer>().ok()
            }
            _ => None,
        };
        self.emit_of(
            start,
            match answer {
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
            Exchange::Answered(response) if response.status().is_success() => response,
            // The engine answers 502 when the exporting engine cannot be read.
            Exchange::Answered(response) if response.status().as_u16() == 502 => {
                return self.emit_of(start, EngineEvent::ImportFailed { id });
            }
            Exchange::Answered(_) | Exchange::NoConnection => {
                return self.emit_of(start, EngineEvent::SequenceFailed { id });
            }
            Exchange::Lost => return self.emit_of(start, EngineEvent::StreamLost { id }),
        };
        let reader = BufReader::new(response.into_body().into_reader());
        for line in reader.lines() {
            let parsed = line.ok().and_then(|line| serde_json::from_str(&line).ok());
            let Some(parsed) = parsed else { break };
            if self.emit_line(start, parsed) {
                return;
            }
        }
        self.emit_of(start, EngineEvent::StreamLost { id });
    }

    /// Reports a line; whether it was the last one.
    fn emit_line(&self, start: Ticket, line: DecodeLine) -> bool {
        let id = start.id;
        match line {
            DecodeLine::Imported { imported: true } => {
                self.emit_of(start, EngineEvent::Imported { id });
                false
            }
            DecodeLine::Imported { imported: false } => {
                self.emit_of(start, EngineEvent::ImportFailed { id });
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
                self.emit_of(
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
