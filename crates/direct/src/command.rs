//! Requests of this process itself: places for answers, and caches that nobody takes.
//!
//! Places are asked of the agent beside an engine, or of the engine when no agent answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cuminlead_direct_core::servers::FreeMemory;
use cuminlead_direct_core::{
    ModelRequirements, Reservation, ReservationReply, ReservationRequest, ServerKey, StepOutcome,
};
use cuminlead_places::{ReservationError, client};
use cuminlead_types::{DurationUs, Slots, Tokens};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use tokio::time::timeout;

use crate::app::App;
use crate::exchange::{CallerExchange, Collected, HELD_MAX_BYTES, collect, identity, send};
use crate::pool::idle_max;

/// Memory for an answer without an estimate, and the most that is reserved at an engine. Memory for
/// a longer answer falls free as others end.
const ANSWER_TOKENS: Tokens = Tokens(4_800);
/// Time for an engine to answer a request of this process, such as a reservation. Engines answer
/// these in a few ms.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// What a place is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceNeed {
    /// Prompt and answer.
    pub model: ModelRequirements,
    /// Time for which the place is held unused.
    pub ttl: DurationUs,
    /// Whether the request cannot meet its goal any more.
    pub is_late: bool,
    /// Whether the server computes the prompt itself.
    pub computes_prompt: bool,
}

/// Has a place and memory held, by the agent beside the engine or, without one, by the engine.
pub async fn reserve(
    app: &Rc<App>,
    exchange: &CallerExchange,
    server: ServerKey,
    need: PlaceNeed,
) -> Result<Reservation, StepOutcome> {
    let PlaceNeed {
        model,
        ttl,
        is_late,
        computes_prompt,
    } = need;
    let _span = app.tracing.hop("reserve", &exchange.traceparent);
    if let Some((agent, slots)) = agent_of(app, server) {
        let asked = ReservationRequest {
            request: exchange.request.id.clone(),
            prompt_tokens: model.prompt_tokens,
            answer_tokens: model.answer_tokens,
            ttl,
            slots,
            is_late,
            computes_prompt,
        };
        if let Ok(reply) = ask_agent(app, agent, &asked).await {
            note_memory(app, server, reply);
            return if reply.is_held {
                Ok(Reservation::Agent)
            } else {
                Err(StepOutcome::Rejected)
            };
        }
    }
    let answer = model
        .answer_tokens
        .unwrap_or(ANSWER_TOKENS)
        .min(ANSWER_TOKENS);
    let memory_tokens = model.prompt_tokens.saturating_add(answer);
    reserve_at_engine(app, server, memory_tokens, ttl).await
}

async fn ask_agent(
    app: &Rc<App>,
    agent: SocketAddr,
    asked: &ReservationRequest,
) -> Result<ReservationReply, ReservationError> {
    let client = app.places.borrow_mut().connection(app.now(), agent)?;
    let reply = client::reserve_slot(client, asked).await;
    if reply.is_err() {
        app.places.borrow_mut().pause(app.now(), agent);
    }
    reply
}

fn note_memory(app: &App, server: ServerKey, reply: ReservationReply) {
    let known_at = app.now();
    if let Some(server) = app.serving.borrow_mut().servers.get_mut(server) {
        app.metrics
            .note_free_tokens(&server.record.id, reply.free_tokens);
        server.memory = Some(FreeMemory {
            free_tokens: reply.free_tokens,
            total_tokens: reply.total_tokens,
            known_at,
        });
    }
}

/// Address of the agent beside an engine, and the engine's slots.
fn agent_of(app: &App, server: ServerKey) -> Option<(SocketAddr, Slots)> {
    let port = app.place_port?;
    let serving = app.serving.borrow();
    let record = &serving.servers.get(server)?.record;
    Some((SocketAddr::new(record.address.ip(), port), record.slots))
}

async fn reserve_at_engine(
    app: &Rc<App>,
    server: ServerKey,
    memory_tokens: Tokens,
    ttl: DurationUs,
) -> Result<Reservation, StepOutcome> {
    let (method, path, body) = app.dialect.reserve(memory_tokens, ttl);
    let (status, body) = command(app, server, method, path, body.into()).await?;
    match status {
        StatusCode::OK => app
            .dialect
            .read_reserved(&body)
            .map(Reservation::Engine)
            .map_err(|_| StepOutcome::Garbled),
        StatusCode::MISDIRECTED_REQUEST => Err(StepOutcome::OtherIncarnation),
        _ => Err(StepOutcome::Rejected),
    }
}

/// Frees a KV cache that no run has taken; a cache that cannot be freed lapses by itself.
pub async fn release(app: Rc<App>, server: ServerKey, handle: String) {
    let (method, path) = app.dialect.release(&handle);
    // Nothing is left to do when it fails.
    let _ = command(&app, server, method, path, Bytes::new()).await;
}

/// Gives a held place back; one that cannot be given back lapses by itself.
pub async fn unreserve(app: Rc<App>, request: String, server: ServerKey, reservation: Reservation) {
    match reservation {
        Reservation::Agent => {
            let Some((agent, _)) = agent_of(&app, server) else {
                return;
            };
            let client = app.places.borrow_mut().connection(app.now(), agent);
            if let Ok(client) = client {
                client::release_slot(client, request).await;
            }
        }
        Reservation::Engine(name) => {
            let (method, path) = app.dialect.unreserve(&name);
            // Nothing is left to do when it fails.
            let _ = command(&app, server, method, path, Bytes::new()).await;
        }
    }
}

/// Sends a request of this process itself.
async fn command(
    app: &Rc<App>,
    server: ServerKey,
    method: Method,
    path: String,
    body: Bytes,
) -> Result<(StatusCode, Bytes), StepOutcome> {
    let (_, address) = identity(app, server).ok_or(StepOutcome::Unreachable)?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|_| StepOutcome::Unreachable)?;
    let exchange = async {
        let (mut lease, response) = send(app, server, address, request, None).await?;
        let (parts, rest) = response.into_parts();
        lease.idle_max = idle_max(&parts.headers);
        match collect(&lease, rest, HELD_MAX_BYTES).await? {
            Collected::Whole(body) => {
                lease.finish();
                Ok((parts.status, body))
            }
            Collected::Partial(..) => Err(StepOutcome::Garbled),
        }
    };
    let ended = timeout(COMMAND_TIMEOUT, exchange).await;
    ended.unwrap_or(Err(StepOutcome::TimedOut))
}
