//! gRPC service by which entries reserve decode slots and report crashes of engines.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlead_direct_core::{
    Claim, OwnedCounts, RequestPriority, ReservationReply, ReservationRequest, ReservationTable,
    UsageCharge, UsageLimit,
};
use cuminlead_kernel::Clock;
use cuminlead_quarantine::{CrashReport, PromptQuarantine, QuarantineState};
use cuminlead_types::{
    DurationUs, MillirequestsPerSecond, PromptPartId, Revision, Slots, TimeUs, Tokens, UnixMs,
};
use cuminlead_wire::proto::places_server::Places;
use cuminlead_wire::proto::{
    ChargeUsageReply, ChargeUsageRequest, CheckEngineReply, CheckEngineRequest, GiveBackReply,
    GiveBackRequest, HoldReply, HoldRequest, QuarantinedPart, ReadConfigurationReply,
    ReadConfigurationRequest, ReportCrashReply, ReportCrashRequest, ReportSoundReply,
    ReportSoundRequest, TakePermitsReply, TakePermitsRequest,
};
use slog::{Logger, info};
use tonic::{Request, Response, Status};

use crate::configuration::{ConfigurationReader, ReadError};

/// Longest lifetime of an unused reservation, whatever an entry requests: covers the prefill of the
/// largest prompt and its transfer.
const TTL_MAX: DurationUs = DurationUs::from_ms(3_000);
/// Most prompt parts of one report; further ones are ignored.
const PARTS_MAX_COUNT: usize = 16;
/// Longest accepted request id.
const REQUEST_ID_MAX_BYTES: usize = 128;

/// Reservation table shared by the service and the thread that reads reports.
#[derive(Clone, Debug)]
pub struct SharedReservationTable(Arc<Mutex<ReservationTable>>);

impl SharedReservationTable {
    /// Wraps a table for sharing.
    pub fn new(table: ReservationTable) -> Self {
        Self(Arc::new(Mutex::new(table)))
    }

    /// Locks the table for one decision.
    pub fn lock(&self) -> MutexGuard<'_, ReservationTable> {
        // The table is consistent after each call, including one that panicked.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reservation service of an agent.
#[derive(Clone, Debug)]
pub struct ReservationRpc {
    table: SharedReservationTable,
    quarantine: Arc<Mutex<PromptQuarantine>>,
    counts: Arc<Mutex<OwnedCounts>>,
    configuration: ConfigurationReader,
    clock: Clock,
    log: Logger,
    refusals: Arc<Mutex<Refusals>>,
}

impl ReservationRpc {
    /// Creates a service that decides by the given table.
    pub fn new(
        table: SharedReservationTable,
        configuration: ConfigurationReader,
        clock: Clock,
        log: Logger,
    ) -> Self {
        Self {
            table,
            quarantine: Arc::default(),
            counts: Arc::default(),
            configuration,
            clock,
            log,
            refusals: Arc::default(),
        }
    }

    /// Reserves a slot. If the engine has named a limit, the reservation includes a permit; one that
    /// replaces the request's earlier reservation has its permit already.
    fn reserve_slot(&self, now: TimeUs, reservation: &ReservationRequest) -> ReservationReply {
        let mut table = self.table.lock();
        let has_permit = table.has_reservation(&reservation.request);
        let reply = table.reserve_slot(now, reservation);
        let Some((server, rate)) = &reservation.limit else {
            return reply;
        };
        if !reply.is_held || has_permit {
            return reply;
        }
        let permit = self.counts().take_engine_permit(now, server, *rate);
        if permit.granted_count > 0 {
            return reply;
        }
        table.release_slot(&reservation.request);
        ReservationReply {
            is_held: false,
            limited_for: Some(permit.retry_after),
            ..reply
        }
    }

    fn counts(&self) -> MutexGuard<'_, OwnedCounts> {
        // The counts are consistent after each call, including one that panicked.
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this agent owns counts for an entry that knows the given start of the engine, and the
    /// engine's start if it is leaving.
    fn ownership(&self, engine_started_at_ms: u64) -> (bool, Option<u64>) {
        let table = self.table.lock();
        let is_owner = table.owns_counts(UnixMs(engine_started_at_ms));
        let leaving = table.leaving_engine();
        (is_owner, leaving.map(|started_at_ms| started_at_ms.0))
    }

    fn quarantine(&self) -> MutexGuard<'_, PromptQuarantine> {
        // The table is consistent after each call, including one that panicked.
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn quarantined_messages(state: QuarantineState) -> Vec<QuarantinedPart> {
    let quarantined = state.quarantined.into_iter();
    quarantined
        .map(|quarantined| QuarantinedPart {
            part: quarantined.part.to_string(),
            remaining_us: quarantined.remaining.0,
        })
        .collect()
}

/// Parses the prompt parts of a report; invalid ids are left out.
fn parse_parts(parts: &[String]) -> Vec<PromptPartId> {
    let parts = parts.iter().take(PARTS_MAX_COUNT);
    parts.filter_map(|part| part.parse().ok()).collect()
}

/// Least time between log lines about refused reservations; entries query a full engine every few
/// tens of ms.
const REFUSAL_LOG_INTERVAL: DurationUs = DurationUs::from_ms(200);

impl ReservationRpc {
    /// Counts a refused reservation. Logs one line for all refusals of an interval, with the
    /// details of the newest.
    fn record_refusal(&self, reservation: &ReservationRequest, reply: ReservationReply) {
        let now = self.clock.monotonic();
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        refusals.count += 1;
        if now.since(refusals.logged_at) < REFUSAL_LOG_INTERVAL && refusals.is_logged {
            return;
        }
        info!(self.log, "slot reservations refused"; "count" => refusals.count,
            "newest" => &reservation.request, "unavailable" => reply.is_unavailable,
            "other_incarnation" => reply.is_other_incarnation,
            "limited" => reply.limited_for.is_some(), "yielded" => reply.has_yielded, "prompt_tokens" => reservation.prompt_tokens.0,
            "free_tokens" => reply.free_tokens.0, "total_tokens" => reply.total_tokens.0);
        *refusals = Refusals {
            count: 0,
            logged_at: now,
            is_logged: true,
        };
    }
}

/// Reservations refused since the last log line about them.
#[derive(Debug, Default)]
struct Refusals {
    count: u64,
    logged_at: TimeUs,
    is_logged: bool,
}

#[tonic::async_trait]
impl Places for ReservationRpc {
    async fn hold(&self, request: Request<HoldRequest>) -> Result<Response<HoldReply>, Status> {
        let message = request.into_inner();
        if message.request.is_empty() || message.request.len() > REQUEST_ID_MAX_BYTES {
            return Err(Status::invalid_argument("request id"));
        }
        let limit = message.limit_millirequests_per_s.map(|rate| {
            let server = message.server.parse();
            server.map(|server| (server, MillirequestsPerSecond(rate)))
        });
        let reservation = ReservationRequest {
            limit: limit
                .transpose()
                .map_err(|_| Status::invalid_argument("server"))?,
            request: message.request,
            prompt_tokens: Tokens(message.prompt_tokens),
            answer_tokens: Some(Tokens(message.answer_tokens)).filter(|tokens| tokens.0 > 0),
            ttl: DurationUs(message.ttl_us).min(TTL_MAX),
            slots: Slots(message.slots),
            is_late: message.is_late,
            computes_prompt: message.computes_prompt,
            engine_started_at_ms: UnixMs(message.engine_started_at_ms),
            claim: message.priority.map(|priority| Claim {
                team: message.team.parse().ok(),
                priority: RequestPriority::new(priority.into()),
            }),
        };
        let now = self.clock.monotonic();
        let reply = self.reserve_slot(now, &reservation);
        if reply.is_held {
            info!(self.log, "decode slot reserved"; "request" => &reservation.request,
                "prompt_tokens" => reservation.prompt_tokens.0,
                "answer_tokens" => reservation.answer_tokens.map(|tokens| tokens.0),
                "computes_prompt" => reservation.computes_prompt,
                "free_tokens" => reply.free_tokens.0);
        } else {
            self.record_refusal(&reservation, reply);
        }
        let state = self.quarantine().state(now);
        Ok(Response::new(HoldReply {
            suspected: state.suspected.iter().map(ToString::to_string).collect(),
            quarantined: quarantined_messages(state),
            is_held: reply.is_held,
            free_tokens: reply.free_tokens.0,
            total_tokens: reply.total_tokens.0,
            is_unavailable: reply.is_unavailable,
            is_other_incarnation: reply.is_other_incarnation,
            limited_for_us: reply.limited_for.map(|pause| pause.0),
        }))
    }

    async fn give_back(
        &self,
        request: Request<GiveBackRequest>,
    ) -> Result<Response<GiveBackReply>, Status> {
        self.table
            .lock()
            .release_slot(&request.into_inner().request);
        Ok(Response::new(GiveBackReply {}))
    }

    async fn check_engine(
        &self,
        request: Request<CheckEngineRequest>,
    ) -> Result<Response<CheckEngineReply>, Status> {
        let started_at_ms = UnixMs(request.into_inner().engine_started_at_ms);
        let has_ended = self.table.lock().has_engine_ended(started_at_ms);
        Ok(Response::new(CheckEngineReply { has_ended }))
    }

    async fn report_crash(
        &self,
        request: Request<ReportCrashRequest>,
    ) -> Result<Response<ReportCrashReply>, Status> {
        let message = request.into_inner();
        let server = message.server.parse();
        let report = CrashReport {
            server: server.map_err(|_| Status::invalid_argument("server"))?,
            request: None,
            parts: parse_parts(&message.parts),
        };
        let now = self.clock.monotonic();
        let (quarantined, state) = {
            let mut quarantine = self.quarantine();
            let quarantined = quarantine.record_crash(now, &report);
            (quarantined, quarantine.state(now))
        };
        if let Some(part) = quarantined {
            info!(self.log, "prompt part quarantined"; "part" => %part, "crashed" => %report.server);
        }
        Ok(Response::new(ReportCrashReply {
            quarantined: quarantined_messages(state),
        }))
    }

    async fn take_permits(
        &self,
        request: Request<TakePermitsRequest>,
    ) -> Result<Response<TakePermitsReply>, Status> {
        let message = request.into_inner();
        let server = message.server.parse();
        let server = server.map_err(|_| Status::invalid_argument("server"))?;
        let rate = MillirequestsPerSecond(message.limit_millirequests_per_s);
        let now = self.clock.monotonic();
        let (is_owner, leaving) = self.ownership(message.engine_started_at_ms);
        let reply = self
            .counts()
            .take_permits(now, is_owner, &server, rate, message.count);
        let reply = reply.unwrap_or_default();
        Ok(Response::new(TakePermitsReply {
            granted_count: reply.granted_count,
            retry_after_us: reply.retry_after.0,
            is_no_owner: !is_owner,
            leaving_engine_started_at_ms: leaving,
        }))
    }

    async fn charge_usage(
        &self,
        request: Request<ChargeUsageRequest>,
    ) -> Result<Response<ChargeUsageReply>, Status> {
        let message = request.into_inner();
        let charge = UsageCharge {
            team: message
                .team
                .parse()
                .map_err(|_| Status::invalid_argument("team"))?,
            entry: message
                .entry
                .parse()
                .map_err(|_| Status::invalid_argument("entry"))?,
            version: Revision(message.version),
            limit: UsageLimit {
                rate_units_per_s: message.rate_units_per_s,
                burst_units: message.burst_units,
                ..UsageLimit::default()
            },
            admitted_units: message.admitted_units,
            asked_units: message.asked_units,
            is_late: message.is_late,
            known_entries_count: message.known_entries_count,
            is_substitute: message.is_substitute,
            known_level_units: message.known_level_units,
        };
        let now = self.clock.monotonic();
        let (is_owner, leaving) = self.ownership(message.engine_started_at_ms);
        let reply = self.counts().charge(now, is_owner, &charge);
        let Some(reply) = reply else {
            return Ok(Response::new(ChargeUsageReply {
                is_no_owner: true,
                leaving_engine_started_at_ms: leaving,
                ..ChargeUsageReply::default()
            }));
        };
        if !reply.is_granted {
            info!(self.log, "team has reached its limit"; "team" => %charge.team,
                "entry" => %charge.entry, "level_units" => reply.level_units,
                "rate_units_per_s" => charge.limit.rate_units_per_s,
                "entries" => reply.entries_count, "retry_after_ms" => reply.retry_after.as_ms());
        }
        Ok(Response::new(ChargeUsageReply {
            is_granted: reply.is_granted,
            level_units: reply.level_units,
            retry_after_us: reply.retry_after.0,
            entries_count: reply.entries_count,
            is_no_owner: false,
            leaving_engine_started_at_ms: None,
        }))
    }

    async fn read_configuration(
        &self,
        request: Request<ReadConfigurationRequest>,
    ) -> Result<Response<ReadConfigurationReply>, Status> {
        let known_version = request.into_inner().known_version;
        let published = match self.configuration.read().await {
            Ok(published) => published,
            Err(ReadError::Busy) => return Err(Status::resource_exhausted("requests")),
            Err(ReadError::Unavailable) => return Err(Status::unavailable("registry")),
        };
        let Some(published) = published else {
            return Ok(Response::new(ReadConfigurationReply::default()));
        };
        let mut reply = ReadConfigurationReply {
            version: published.version.0,
            published: Vec::new(),
        };
        if reply.version > known_version {
            info!(self.log, "configuration passed on to an entry"; "config_version" => reply.version,
                "known_version" => known_version);
            reply.published.clone_from(&published.bytes);
        }
        Ok(Response::new(reply))
    }

    async fn report_sound(
        &self,
        request: Request<ReportSoundRequest>,
    ) -> Result<Response<ReportSoundReply>, Status> {
        let parts = parse_parts(&request.into_inner().parts);
        let now = self.clock.monotonic();
        for part in self.quarantine().record_sound(now, &parts) {
            info!(self.log, "prompt part cleared"; "part" => %part);
        }
        Ok(Response::new(ReportSoundReply {}))
    }
}
