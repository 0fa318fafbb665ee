//! The entry's side.
//!
//! An agent that does not answer in time is not asked again for a while, and a fresh connection is
//! made then, because the old one may be silent for good.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cuminlead_direct_core::{ReservationReply, ReservationRequest};
use cuminlead_types::{DurationUs, TimeUs, Tokens};
use cuminlead_wire::proto::places_client::PlacesClient;
use cuminlead_wire::proto::{GiveBackRequest, HoldRequest};
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};

/// Time for an agent to answer: a region apart and back, a new connection, and a slow turn of an
/// agent with a fifth of a core.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which an agent that did not answer is not asked.
const PAUSE: DurationUs = DurationUs::from_ms(1_000);

/// Why an agent gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationError {
    /// It did not answer lately and is not asked.
    Paused,
    /// It did not answer.
    NoAnswer,
}

#[derive(Debug)]
enum Agent {
    Connected(PlacesClient<Channel>),
    PausedUntil(TimeUs),
}

/// Asks agents for places; one connection for each.
#[derive(Debug, Default)]
pub struct ReservationClient {
    agents: HashMap<SocketAddr, Agent>,
}

impl ReservationClient {
    /// Client for one question to an agent.
    pub fn connection(
        &mut self,
        now: TimeUs,
        agent: SocketAddr,
    ) -> Result<PlacesClient<Channel>, ReservationError> {
        match self.agents.get(&agent) {
            Some(Agent::Connected(client)) => return Ok(client.clone()),
            Some(Agent::PausedUntil(until)) if now < *until => {
                return Err(ReservationError::Paused);
            }
            Some(Agent::PausedUntil(_)) | None => {}
        }
        let endpoint = Endpoint::from_shared(format!("http://{agent}"));
        let endpoint = endpoint.map_err(|_| ReservationError::NoAnswer)?;
        let channel = endpoint
            .connect_timeout(ANSWER_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        let client = PlacesClient::new(channel);
        self.agents.insert(agent, Agent::Connected(client.clone()));
        Ok(client)
    }

    /// Records that an agent did not answer.
    pub fn pause(&mut self, now: TimeUs, agent: SocketAddr) {
        self.agents.insert(agent, Agent::PausedUntil(now + PAUSE));
    }

    /// Forgets agents that are not asked any more.
    pub fn retain(&mut self, is_known: impl Fn(&SocketAddr) -> bool) {
        self.agents.retain(|agent, _| is_known(agent));
    }
}

/// Asks an agent for a place.
pub async fn reserve_slot(
    mut client: PlacesClient<Channel>,
    request: &ReservationRequest,
) -> Result<ReservationReply, ReservationError> {
    let message = HoldRequest {
        request: request.request.clone(),
        prompt_tokens: request.prompt_tokens.0,
        answer_tokens: request.answer_tokens.map_or(0, |tokens| tokens.0),
        ttl_us: request.ttl.0,
        slots: request.slots.0,
        is_late: request.is_late,
        computes_prompt: request.computes_prompt,
    };
    let answered = timeout(ANSWER_TIMEOUT, client.hold(message)).await;
    let reply = answered
        .map_err(|_| ReservationError::NoAnswer)?
        .map_err(|_| ReservationError::NoAnswer)?
        .into_inner();
    Ok(ReservationReply {
        is_held: reply.is_held,
        free_tokens: Tokens(reply.free_tokens),
        total_tokens: Tokens(reply.total_tokens),
    })
}

/// Gives a place back; one that cannot be given back expires.
pub async fn release_slot(mut client: PlacesClient<Channel>, request: String) {
    let message = GiveBackRequest { request };
    // Nothing is left to do when it fails.
    let _ = timeout(ANSWER_TIMEOUT, client.give_back(message)).await;
}
