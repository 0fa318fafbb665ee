//! Client of the agents' reservation service, used by entries.
//!
//! An agent that does not reply in time is not queried for a while. The next query uses a new
//! connection, because the old one may have become unresponsive for good.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cuminlead_direct_core::{
    PermitReply, ReservationReply, ReservationRequest, UsageCharge, UsageReply,
};
use cuminlead_quarantine::{CrashReport, QuarantineState, QuarantinedPart};
use cuminlead_types::{
    BackendServerId, DurationUs, MillirequestsPerSecond, PromptPartId, Revision, TimeUs, Tokens,
    UnixMs,
};
use cuminlead_wire::proto::places_client::PlacesClient;
use cuminlead_wire::proto::{
    self, ChargeUsageRequest, CheckEngineRequest, GiveBackRequest, HoldRequest,
    ReadConfigurationRequest, ReportCrashRequest, ReportSoundRequest, TakePermitsRequest,
};
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

/// Timeout for the reply of an agent. Covers the round trip to another region, a new connection,
/// and a slow turn of an agent that has a fifth of a core.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for a configuration, which the agent first reads from the registry. A slow registry takes
/// several hundred milliseconds to respond.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which an agent that did not reply is not queried.
const PAUSE_AFTER_NO_REPLY: DurationUs = DurationUs::from_ms(1_000);

/// Why an agent gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationError {
    /// The agent did not reply recently and was not queried.
    Paused,
    /// The agent refused what the query states. This says nothing about the agent, so that a caller
    /// cannot have it paused by what a request states.
    Refused,
    /// The agent's address is invalid, the query failed, or no reply arrived in time.
    NoReply,
}

impl From<Status> for ReservationError {
    fn from(status: Status) -> Self {
        match status.code() {
            Code::InvalidArgument => Self::Refused,
            _ => Self::NoReply,
        }
    }
}

#[derive(Debug)]
enum AgentState {
    Connected(PlacesClient<Channel>),
    PausedUntil(TimeUs),
}

/// Connections to agents, one for each.
#[derive(Debug, Default)]
pub struct ReservationClient {
    agents: HashMap<SocketAddr, AgentState>,
}

impl ReservationClient {
    /// Client for one query to an agent; creates a connection if there is none. Fails while the
    /// agent is paused.
    pub fn connection(
        &mut self,
        now: TimeUs,
        agent: SocketAddr,
    ) -> Result<PlacesClient<Channel>, ReservationError> {
        match self.agents.get(&agent) {
            Some(AgentState::Connected(client)) => return Ok(client.clone()),
            Some(AgentState::PausedUntil(until)) if now < *until => {
                return Err(ReservationError::Paused);
            }
            Some(AgentState::PausedUntil(_)) | None => {}
        }
        let endpoint = Endpoint::from_shared(format!("http://{agent}"));
        let endpoint = endpoint.map_err(|_| ReservationError::NoReply)?;
        let channel = endpoint
            .connect_timeout(REPLY_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        let client = PlacesClient::new(channel);
        self.agents
            .insert(agent, AgentState::Connected(client.clone()));
        Ok(client)
    }

    /// Records a query that failed. If the agent did not reply, its connection is closed and queries
    /// pause.
    pub fn record_failure(&mut self, now: TimeUs, agent: SocketAddr, error: ReservationError) {
        if error == ReservationError::NoReply {
            self.agents
                .insert(agent, AgentState::PausedUntil(now + PAUSE_AFTER_NO_REPLY));
        }
    }

    /// Removes the agents that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&SocketAddr) -> bool) {
        self.agents.retain(|agent, _| is_known(agent));
    }
}

/// Requests the reservation of a decode slot from an agent, which also tells what it knows about
/// prompt parts that crash engines.
pub async fn reserve_slot(
    mut client: PlacesClient<Channel>,
    request: &ReservationRequest,
) -> Result<(ReservationReply, QuarantineState), ReservationError> {
    let limit = request.limit.as_ref();
    let claim = request.claim.as_ref();
    let message = HoldRequest {
        request: request.request.clone(),
        prompt_tokens: request.prompt_tokens.0,
        answer_tokens: request.answer_tokens.map_or(0, |tokens| tokens.0),
        ttl_us: request.ttl.0,
        slots: request.slots.0,
        is_late: request.is_late,
        computes_prompt: request.computes_prompt,
        engine_started_at_ms: request.engine_started_at_ms.0,
        server: limit.map_or_else(String::new, |(server, _)| server.to_string()),
        limit_millirequests_per_s: limit.map(|(_, rate)| rate.0),
        priority: claim.map(|claim| u32::from(claim.priority.number())),
        team: claim
            .and_then(|claim| claim.team.as_ref())
            .map_or_else(String::new, ToString::to_string),
    };
    let answered = timeout(REPLY_TIMEOUT, client.hold(message)).await;
    let reply = answered
        .map_err(|_| ReservationError::NoReply)?
        .map_err(ReservationError::from)?
        .into_inner();
    let quarantine = quarantine_state(&reply.quarantined, &reply.suspected);
    let reply = ReservationReply {
        is_held: reply.is_held,
        has_yielded: false,
        is_unavailable: reply.is_unavailable,
        is_other_incarnation: reply.is_other_incarnation,
        limited_for: reply.limited_for_us.map(DurationUs),
        free_tokens: Tokens(reply.free_tokens),
        total_tokens: Tokens(reply.total_tokens),
    };
    Ok((reply, quarantine))
}

/// Prompt parts of a reply; invalid ids are left out.
fn quarantine_state(
    quarantined: &[proto::QuarantinedPart],
    suspected: &[String],
) -> QuarantineState {
    let quarantined = quarantined.iter().filter_map(|quarantined| {
        Some(QuarantinedPart {
            part: quarantined.part.parse().ok()?,
            remaining: DurationUs(quarantined.remaining_us),
        })
    });
    QuarantineState {
        quarantined: quarantined.collect(),
        suspected: suspected
            .iter()
            .filter_map(|part| part.parse().ok())
            .collect(),
    }
}

/// Reply of an agent that is asked as the owner of a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerReply<T> {
    /// The agent owns the count and has decided.
    Decided(T),
    /// The agent owns no counts and has done nothing.
    NoOwner {
        /// When its engine started, if that is leaving.
        leaving_engine: Option<UnixMs>,
    },
}

impl<T> OwnerReply<T> {
    fn new(is_no_owner: bool, leaving_engine_started_at_ms: Option<u64>, decided: T) -> Self {
        if is_no_owner {
            let leaving_engine = leaving_engine_started_at_ms.map(UnixMs);
            Self::NoOwner { leaving_engine }
        } else {
            Self::Decided(decided)
        }
    }
}

/// Takes permits for requests to a server with a limit from the agent that owns them.
pub async fn take_permits(
    mut client: PlacesClient<Channel>,
    engine_started_at_ms: UnixMs,
    server: &BackendServerId,
    rate: MillirequestsPerSecond,
    count: u32,
) -> Result<OwnerReply<PermitReply>, ReservationError> {
    let message = TakePermitsRequest {
        server: server.to_string(),
        limit_millirequests_per_s: rate.0,
        count,
        engine_started_at_ms: engine_started_at_ms.0,
    };
    let answered = timeout(REPLY_TIMEOUT, client.take_permits(message)).await;
    let reply = answered
        .map_err(|_| ReservationError::NoReply)?
        .map_err(ReservationError::from)?
        .into_inner();
    let permits = PermitReply {
        granted_count: reply.granted_count,
        retry_after: DurationUs(reply.retry_after_us),
    };
    let leaving = reply.leaving_engine_started_at_ms;
    Ok(OwnerReply::new(reply.is_no_owner, leaving, permits))
}

/// Charges a team at the agent that owns its usage.
pub async fn charge_usage(
    mut client: PlacesClient<Channel>,
    engine_started_at_ms: UnixMs,
    charge: &UsageCharge,
) -> Result<OwnerReply<UsageReply>, ReservationError> {
    let message = ChargeUsageRequest {
        team: charge.team.to_string(),
        entry: charge.entry.to_string(),
        version: charge.version.0,
        rate_units_per_s: charge.limit.rate_units_per_s,
        burst_units: charge.limit.burst_units,
        admitted_units: charge.admitted_units,
        asked_units: charge.asked_units,
        is_late: charge.is_late,
        known_entries_count: charge.known_entries_count,
        is_substitute: charge.is_substitute,
        known_level_units: charge.known_level_units,
        engine_started_at_ms: engine_started_at_ms.0,
    };
    let answered = timeout(REPLY_TIMEOUT, client.charge_usage(message)).await;
    let reply = answered
        .map_err(|_| ReservationError::NoReply)?
        .map_err(ReservationError::from)?
        .into_inner();
    let usage = UsageReply {
        is_granted: reply.is_granted,
        level_units: reply.level_units,
        retry_after: DurationUs(reply.retry_after_us),
        entries_count: reply.entries_count,
    };
    let leaving = reply.leaving_engine_started_at_ms;
    Ok(OwnerReply::new(reply.is_no_owner, leaving, usage))
}

/// Asks an agent for the published configuration; `None` if it is not newer than the known version.
pub async fn read_configuration(
    mut client: PlacesClient<Channel>,
    known_version: Revision,
) -> Result<Option<Vec<u8>>, ReservationError> {
    let message = ReadConfigurationRequest {
        known_version: known_version.0,
    };
    let answered = timeout(CONFIGURATION_TIMEOUT, client.read_configuration(message)).await;
    let reply = answered
        .map_err(|_| ReservationError::NoReply)?
        .map_err(ReservationError::from)?
        .into_inner();
    Ok(Some(reply.published).filter(|_| reply.version > known_version.0))
}

/// Asks an agent whether its engine still is the incarnation that started at the given time.
pub async fn has_engine_ended(
    mut client: PlacesClient<Channel>,
    started_at_ms: UnixMs,
) -> Result<bool, ReservationError> {
    let message = CheckEngineRequest {
        engine_started_at_ms: started_at_ms.0,
    };
    let answered = timeout(REPLY_TIMEOUT, client.check_engine(message)).await;
    let reply = answered
        .map_err(|_| ReservationError::NoReply)?
        .map_err(ReservationError::from)?;
    Ok(reply.into_inner().has_ended)
}

/// Reports a crash to an agent, which tells the prompt parts in quarantine. An agent that is not
/// reached learns about the next crash.
pub async fn report_crash(
    mut client: PlacesClient<Channel>,
    report: &CrashReport,
) -> Result<QuarantineState, ReservationError> {
    let message = ReportCrashRequest {
        server: report.server.to_string(),
        parts: report.parts.iter().map(ToString::to_string).collect(),
    };
    let answered = timeout(REPLY_TIMEOUT, client.report_crash(message)).await;
    let reply = answered
        .map_err(|_| ReservationError::NoReply)?
        .map_err(ReservationError::from)?;
    Ok(quarantine_state(&reply.into_inner().quarantined, &[]))
}

/// Reports to an agent that output was generated for prompt parts. An agent that is not reached
/// learns it from a later request.
pub async fn report_sound(mut client: PlacesClient<Channel>, parts: &[PromptPartId]) {
    let message = ReportSoundRequest {
        parts: parts.iter().map(ToString::to_string).collect(),
    };
    let _ = timeout(REPLY_TIMEOUT, client.report_sound(message)).await;
}

/// Releases a slot reservation. If the request fails, the reservation expires.
pub async fn release_slot(mut client: PlacesClient<Channel>, request: String) {
    let message = GiveBackRequest { request };
    // A failure needs no handling.
    let _ = timeout(REPLY_TIMEOUT, client.give_back(message)).await;
}
