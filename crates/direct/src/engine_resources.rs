//! Requests that this process makes on its own behalf: reserving and releasing decode slots, and
//! releasing KV caches that no decode has imported.
//!
//! The agent beside an engine reserves its slots. Without an agent, or if it does not reply, the
//! engine itself does.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cuminlead_direct_core::servers::FreeMemory;
use cuminlead_direct_core::{
    ModelRequirements, Reservation, ReservationReply, ReservationRequest, ServerKey, ServerRecord,
    StepOutcome, Work,
};
use cuminlead_places::{ReservationError, client};
use cuminlead_types::{DurationUs, Tokens};
use http::{Method, Request, StatusCode};
use tokio::time::timeout;

use crate::app::App;
use crate::crash_reports;
use crate::exchange::{
    BUFFERED_MAX_BYTES, CallerExchange, Collected, ConnectionChoice, collect, id_and_address, send,
};
use crate::permits::{hold_back, limit_of};

/// Output tokens for which an engine reserves memory if the request has no estimate, and the most
/// that it reserves for any request. A longer output uses memory that other requests release.
const RESERVED_OUTPUT_TOKENS: Tokens = Tokens(4_800);
/// Timeout for an engine's response to a request of this process, such as a reservation. Engines
/// respond to these in a few ms.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// Requirements of a slot reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRequirements {
    /// Prompt and output sizes.
    pub model: ModelRequirements,
    /// Time after which an unused reservation expires.
    pub ttl: DurationUs,
    /// Whether the request can no longer meet its latency target.
    pub is_late: bool,
    /// Whether the server computes the prompt itself.
    pub computes_prompt: bool,
}

/// Reserves a decode slot and KV memory, at the agent beside the engine or, without one, at the
/// engine.
pub async fn reserve_slot(
    app: &Rc<App>,
    exchange: &CallerExchange,
    server: ServerKey,
    requirements: SlotRequirements,
) -> Result<Reservation, StepOutcome> {
    let SlotRequirements {
        model,
        ttl,
        is_late,
        computes_prompt,
    } = requirements;
    let _span = app.tracing.hop("reserve", &exchange.traceparent);
    if let Some((agent, record)) = agent_of(app, server) {
        let request = ReservationRequest {
            request: exchange.request.id.clone(),
            prompt_tokens: model.prompt_tokens,
            answer_tokens: model.answer_tokens,
            ttl,
            slots: record.slots,
            is_late,
            computes_prompt,
            engine_started_at_ms: record.started_at_ms,
            limit: limit_of(app, server),
            claim: exchange.claim(),
        };
        if let Ok(reply) = query_agent(app, agent, &request).await {
            if reply.is_other_incarnation {
                return Err(StepOutcome::OtherIncarnation);
            }
            if reply.is_unavailable {
                return Err(StepOutcome::Unreachable);
            }
            record_free_memory(app, server, reply);
            if let Some(pause) = reply.limited_for {
                hold_back(app, server, pause);
                return Err(StepOutcome::Limited);
            }
            return if reply.is_held {
                Ok(Reservation::Agent)
            } else {
                Err(StepOutcome::Rejected)
            };
        }
    }
    let output_tokens = model
        .answer_tokens
        .unwrap_or(RESERVED_OUTPUT_TOKENS)
        .min(RESERVED_OUTPUT_TOKENS);
    let memory_tokens = model.prompt_tokens.saturating_add(output_tokens);
    reserve_at_engine(app, server, memory_tokens, ttl).await
}

async fn query_agent(
    app: &Rc<App>,
    agent: SocketAddr,
    request: &ReservationRequest,
) -> Result<ReservationReply, ReservationError> {
    let client = app
        .reservation_client
        .borrow_mut()
        .connection(app.now(), agent)?;
    let answered = client::reserve_slot(client, request).await;
    if let Err(error) = answered {
        let mut agents = app.reservation_client.borrow_mut();
        agents.record_failure(app.now(), agent, error);
    }
    let (reply, quarantine) = answered?;
    crash_reports::learn(app, quarantine);
    Ok(reply)
}

fn record_free_memory(app: &App, server: ServerKey, reply: ReservationReply) {
    let reported_at = app.now();
    if let Some(server) = app.serving.borrow_mut().servers.get_mut(server) {
        app.metrics
            .set_free_tokens(&server.record.id, reply.free_tokens);
        server.memory = Some(FreeMemory {
            free_tokens: reply.free_tokens,
            total_tokens: reply.total_tokens,
            reported_at,
        });
    }
}

/// Address of the agent beside an engine, and the engine's published entry.
pub(crate) fn agent_of(app: &App, server: ServerKey) -> Option<(SocketAddr, ServerRecord)> {
    let serving = app.serving.borrow();
    let record = serving.servers.get(server)?.record.clone();
    Some((agent_address(app, record.address)?, record))
}

/// Address of the agent on the host of an engine; `None` in deployments without agents.
pub(crate) fn agent_address(app: &App, engine: SocketAddr) -> Option<SocketAddr> {
    Some(SocketAddr::new(engine.ip(), app.place_port?))
}

async fn reserve_at_engine(
    app: &Rc<App>,
    server: ServerKey,
    memory_tokens: Tokens,
    ttl: DurationUs,
) -> Result<Reservation, StepOutcome> {
    let (method, path, body) = app.protocol_mapping.reserve(memory_tokens, ttl);
    let (status, body) = send_command(app, server, method, path, body.into()).await?;
    match status {
        StatusCode::OK => app
            .protocol_mapping
            .read_reserved(&body)
            .map(Reservation::Engine)
            .map_err(|_| StepOutcome::Malformed),
        StatusCode::MISDIRECTED_REQUEST => Err(StepOutcome::OtherIncarnation),
        _ => Err(StepOutcome::Rejected),
    }
}

/// Releases a KV cache that no run has imported. If the request fails, the cache expires.
pub async fn release_cache(app: Rc<App>, server: ServerKey, handle: String) {
    let (method, path) = app.protocol_mapping.release(&handle);
    // A failure needs no handling.
    let _ = send_command(&app, server, method, path, Bytes::new()).await;
}

/// Releases a slot reservation. If the request fails, the reservation expires.
pub async fn release_slot(
    app: Rc<App>,
    request: String,
    server: ServerKey,
    reservation: Reservation,
) {
    match reservation {
        Reservation::Agent => {
            let Some((agent, _)) = agent_of(&app, server) else {
                return;
            };
            let client = app
                .reservation_client
                .borrow_mut()
                .connection(app.now(), agent);
            if let Ok(client) = client {
                client::release_slot(client, request).await;
            }
        }
        Reservation::Engine(name) => {
            let (method, path) = app.protocol_mapping.unreserve(&name);
            // A failure needs no handling.
            let _ = send_command(&app, server, method, path, Bytes::new()).await;
        }
    }
}

/// Whether a server gets no command: it has asked for a pause, or another one is believed to have its
/// address and may have given the same name to a cache of its own. What would be released expires.
fn gets_no_commands(app: &App, server: ServerKey) -> bool {
    let (now, serving) = (app.now(), app.serving.borrow());
    let server = serving.servers.get(server);
    server.is_some_and(|server| now < server.pause_until || server.is_displaced(now))
}

/// Sends a request of this process to a server, on a connection of its own, and reads the complete
/// response if it is successful; the body of any other is empty.
async fn send_command(
    app: &Rc<App>,
    server: ServerKey,
    method: Method,
    path: String,
    body: Bytes,
) -> Result<(StatusCode, Bytes), StepOutcome> {
    let (_, address) = id_and_address(app, server).ok_or(StepOutcome::Unreachable)?;
    if gets_no_commands(app, server) {
        return Err(StepOutcome::Limited);
    }
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|_| StepOutcome::Unreachable)?;
    let exchange = async {
        // The lease is dropped without being finished, which closes the connection.
        let connection = ConnectionChoice::New;
        let (lease, response) = send(
            app,
            None,
            server,
            address,
            request,
            connection,
            Work::Command,
        )
        .await?;
        let (parts, rest) = response.into_parts();
        if !parts.status.is_success() {
            // The status alone decides, whatever the size and the end of the body.
            return Ok((parts.status, Bytes::new()));
        }
        match collect(&lease, rest, BUFFERED_MAX_BYTES).await? {
            Collected::Complete(body) => Ok((parts.status, body)),
            Collected::OverLimit(..) => Err(StepOutcome::Malformed),
        }
    };
    let ended = timeout(COMMAND_TIMEOUT, exchange).await;
    ended.unwrap_or(Err(StepOutcome::TimedOut))
}
