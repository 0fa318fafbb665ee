//! Reservations of decode slots on one engine, admitted by a forecast of its KV memory.
//!
//! Designed for long outputs on engines that are limited by memory: a running output grows until it
//! ends, so the memory that is free at present says little. A slot is reserved only if the highest
//! use until all known outputs have ended stays within the engine's memory. Reserving the final
//! size of each output would leave a quarter of the memory empty. Reserving the present size would
//! cause preemptions, which delay all other outputs on the engine while the preempted prompts are
//! computed again.
//!
//! The agent beside the engine owns the reservations. After a restart it rebuilds them from the
//! engine's report and treats unknown outputs as outputs of typical length.

use std::collections::HashMap;

use cuminlead_types::{
    BackendServerId, DurationUs, MillirequestsPerSecond, Slots, TimeUs, Tokens, UnixMs,
};

use crate::fair_share::{Claim, RoomRequest, TeamHoldings, WaitingRequests};
use crate::output_length::OutputLengthEstimator;

/// Share of the memory that reservations may use according to the forecast, in percent. The rest
/// absorbs what the forecast misses between two reports and wrong estimates.
const USABLE_PERCENT: u64 = 97;
/// Divisor of an output's estimated length that gives the spread of actual lengths.
const LENGTH_SPREAD_DIVISOR: u64 = 3;
/// Failed reports in a row after which an engine counts as unavailable. One may fail because the
/// engine closes an idle connection.
const FAILED_REPORTS_MAX_COUNT: u32 = 2;
/// Time after its expiry for which a reservation is kept that no report has shown in use.
const UNUSED_GRACE_PERIOD: DurationUs = DurationUs::from_ms(300);

/// Time after its refusal within which a request that can still meet its latency target retries;
/// entries poll every 60 ms.
const ON_TIME_PRIORITY_PERIOD: DurationUs = DurationUs::from_ms(150);
/// Rate at which a decode engine computes a prompt between the tokens of its outputs, in tokens per
/// millisecond; half of that of an idle prefill engine.
const PROMPT_TOKENS_PER_MS: u64 = 25;
/// Time between two prompts in which the outputs of an engine continue. Their events of about 70
/// tokens take 55 ms, so that no event waits for two prompts.
const PROMPT_INTERVAL: DurationUs = DurationUs::from_ms(60);
/// Longest time for which the reservation of a preempted output is kept.
const PREEMPTED_RETENTION: DurationUs = DurationUs::from_ms(3_000);

/// Output that an engine is generating.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutputReport {
    /// Id of the request.
    pub request: String,
    /// KV memory that it uses.
    pub memory_tokens: Tokens,
}

/// State that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// All KV memory of the engine, free or in use.
    pub total_tokens: Tokens,
    /// KV memory that cannot be evicted.
    pub used_tokens: Tokens,
    /// Outputs in progress.
    pub outputs: Vec<OutputReport>,
    /// Requests that are queued in the engine.
    pub waiting_count: u32,
    /// Start of the engine's incarnation.
    pub started_at_ms: UnixMs,
    /// Whether the engine is about to end and wants no further requests.
    pub is_leaving: bool,
}

/// Request for a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservationRequest {
    /// Id of the request.
    pub request: String,
    /// Length of its prompt.
    pub prompt_tokens: Tokens,
    /// The caller's estimate of the output's length, if it sent one.
    pub answer_tokens: Option<Tokens>,
    /// Time within which the reservation will be used.
    pub ttl: DurationUs,
    /// Number of outputs that the engine generates concurrently. The entry passes it on from the
    /// engine's published entry, because agents do not read the registry's entries of engines.
    pub slots: Slots,
    /// Whether the request misses its latency target in any case.
    pub is_late: bool,
    /// Whether the engine computes the prompt itself, because it gets no KV cache.
    pub computes_prompt: bool,
    /// Start of the incarnation that is to generate the output; zero if unknown.
    pub engine_started_at_ms: UnixMs,
    /// Engine, and the limit that it has named; `None` if it has named none.
    pub limit: Option<(BackendServerId, MillirequestsPerSecond)>,
    /// Whose request it is, and how urgent; `None` in deployments without teams.
    pub claim: Option<Claim>,
}

impl ReservationRequest {
    fn room_request(&self) -> Option<RoomRequest<'_>> {
        let claim = self.claim.as_ref()?;
        Some(RoomRequest {
            request: &self.request,
            claim,
            is_late: self.is_late,
        })
    }
}

/// Reply to a request for a reservation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservationReply {
    /// Whether the slot is reserved.
    pub is_held: bool,
    /// Whether the room was left to a request that comes first.
    pub has_yielded: bool,
    /// Whether the engine does not respond to its agent.
    pub is_unavailable: bool,
    /// Whether the engine has restarted since the incarnation that the request is for.
    pub is_other_incarnation: bool,
    /// Time until the engine's limit permits a request; `None` if it permits one now.
    pub limited_for: Option<DurationUs>,
    /// Usable memory beyond the highest forecast use.
    pub free_tokens: Tokens,
    /// All KV memory of the engine, free or in use.
    pub total_tokens: Tokens,
}

/// Use of an engine's memory, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// Total memory, as reported.
    pub total_tokens: Tokens,
    /// Memory that cannot be evicted, as reported.
    pub used_tokens: Tokens,
    /// Highest forecast use.
    pub forecast_tokens: Tokens,
    /// Slots that are reserved or in use.
    pub held_count: usize,
    /// Requests that lately wait for room while others may have to leave it to them.
    pub waiting_count: usize,
}

#[derive(Clone, Debug)]
struct SlotReservation {
    prompt_tokens: Tokens,
    answer_tokens: Tokens,
    /// Whether the caller estimated the output's length.
    has_estimate: bool,
    reserved_at: TimeUs,
    expires_at: TimeUs,
    is_running: bool,
    claim: Option<Claim>,
}

/// Memory of one output: current use and expected growth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OutputGrowth {
    current: Tokens,
    remaining: Tokens,
}

/// Reservations of decode slots on one engine.
#[derive(Clone, Debug)]
pub struct ReservationTable {
    report: Option<EngineReport>,
    failed_reports_count: u32,
    reservations: HashMap<String, SlotReservation>,
    output_lengths: OutputLengthEstimator,
    /// When a request that could still meet its latency target was last refused.
    on_time_refused_at: Option<TimeUs>,
    /// Requests of teams that were refused for lack of room.
    waiting: WaitingRequests,
    /// Time until which the engine computes a prompt itself.
    computing_until: TimeUs,
}

impl Default for ReservationTable {
    fn default() -> Self {
        Self::new()
    }
}

impl ReservationTable {
    /// Table of an engine that has sent no report; every request is refused until the first one.
    pub fn new() -> Self {
        Self {
            report: None,
            failed_reports_count: 0,
            reservations: HashMap::new(),
            output_lengths: OutputLengthEstimator::default(),
            on_time_refused_at: None,
            waiting: WaitingRequests::default(),
            computing_until: TimeUs::ZERO,
        }
    }

    /// Processes a report that was requested at `requested_at`; returns the requests whose outputs
    /// the engine has preempted since the previous report.
    pub fn apply_report(&mut self, requested_at: TimeUs, report: EngineReport) -> Vec<String> {
        let is_restarted = self
            .report
            .as_ref()
            .is_some_and(|known| known.started_at_ms != report.started_at_ms);
        if is_restarted {
            self.reservations.clear();
        }
        let mut ended = Vec::new();
        for (request, reservation) in &mut self.reservations {
            let run = report.outputs.iter().find(|run| run.request == *request);
            match run {
                Some(_) => reservation.is_running = true,
                // A reservation that was made after the report was requested may be missing from
                // it.
                None if reservation.is_running && reservation.reserved_at < requested_at => {
                    ended.push(request.clone())
                }
                None => {}
            }
        }
        let mut preempted = Vec::new();
        for request in ended {
            if report.waiting_count > 0 {
                self.keep_preempted(&request);
                preempted.push(request);
            } else {
                self.remove_ended(&request);
            }
        }
        self.reservations.retain(|_, reservation| {
            reservation.is_running || requested_at < reservation.expires_at + UNUSED_GRACE_PERIOD
        });
        self.report = Some(report);
        self.failed_reports_count = 0;
        preempted
    }

    /// Records that the engine sent no report. Its agent outlives it, and a slot at an engine that
    /// has crashed costs the request its prefill and the time until the run fails.
    pub fn report_failed(&mut self) {
        self.failed_reports_count = self.failed_reports_count.saturating_add(1);
    }

    /// Whether the engine does not respond to its agent.
    pub fn is_unavailable(&self) -> bool {
        self.failed_reports_count >= FAILED_REPORTS_MAX_COUNT
    }

    /// Reported and forecast use of the engine's memory.
    pub fn memory_use(&self) -> MemoryUse {
        let report = self.report.as_ref();
        MemoryUse {
            total_tokens: report.map_or(Tokens::ZERO, |report| report.total_tokens),
            used_tokens: report.map_or(Tokens::ZERO, |report| report.used_tokens),
            forecast_tokens: self.forecast(),
            held_count: self.reservations.len(),
            waiting_count: self.waiting.count(),
        }
    }

    /// Keeps the reservation of an output that the engine has preempted: the engine resumes it with
    /// all its tokens, so its memory is not free.
    fn keep_preempted(&mut self, request: &str) {
        let last = self.report.iter().flat_map(|report| &report.outputs);
        let last = last.into_iter().find(|run| run.request == request);
        let (Some(run), Some(reservation)) = (last, self.reservations.get_mut(request)) else {
            return;
        };
        let generated = run.memory_tokens.saturating_sub(reservation.prompt_tokens);
        reservation.answer_tokens = expected_remaining(reservation.answer_tokens, generated);
        reservation.prompt_tokens = run.memory_tokens;
        reservation.is_running = false;
        reservation.expires_at =
            reservation.expires_at.max(reservation.reserved_at) + PREEMPTED_RETENTION;
    }

    /// Removes an ended output and includes its last reported size in the typical length.
    fn remove_ended(&mut self, request: &str) {
        let Some(reservation) = self.reservations.remove(request) else {
            return;
        };
        let last = self.report.iter().flat_map(|report| &report.outputs);
        let last = last.into_iter().find(|run| run.request == request);
        if let Some(run) = last {
            let output = run.memory_tokens.saturating_sub(reservation.prompt_tokens);
            if !reservation.has_estimate {
                self.output_lengths.observe(output);
            }
        }
    }

    /// Reserves a slot if the engine has memory for the output until its end. Replaces an earlier
    /// reservation of the same request.
    ///
    /// An engine that computes prompts itself computes one after the other: each of them delays all
    /// outputs, and two at once make all of them late.
    pub fn reserve_slot(&mut self, now: TimeUs, request: &ReservationRequest) -> ReservationReply {
        self.reservations.remove(&request.request);
        if self.has_restarted_since(request.engine_started_at_ms) {
            return ReservationReply {
                is_other_incarnation: true,
                ..ReservationReply::default()
            };
        }
        let Some(total) = self.report.as_ref().map(|report| report.total_tokens) else {
            return ReservationReply {
                is_unavailable: self.is_unavailable(),
                ..ReservationReply::default()
            };
        };
        if self.is_unavailable() {
            return ReservationReply {
                is_unavailable: true,
                total_tokens: total,
                ..ReservationReply::default()
            };
        }
        let answer_tokens = self.output_lengths.expected(request.answer_tokens);
        let growth = OutputGrowth {
            current: request.prompt_tokens,
            remaining: expected_remaining(answer_tokens, Tokens::ZERO),
        };
        let usable = Tokens(total.0 / 100 * USABLE_PERCENT);
        let others = self.output_growths(&request.request);
        let has_slot = others.len() < request.slots.0 as usize;
        let mut with_request = others.clone();
        with_request.push(growth);
        let peak_use = peak_use(&mut with_request) + self.other_use();
        // A wrong estimate must not exclude a request that an idle engine can hold.
        let fits_idle = others.is_empty() && request.prompt_tokens + self.other_use() <= usable;
        let has_room = has_slot && (peak_use <= usable || fits_idle);
        // In overload, slots go to requests that can still meet their latency targets; these retry
        // within the priority period.
        let must_yield = request.is_late
            && self
                .on_time_refused_at
                .is_some_and(|at| now.since(at) < ON_TIME_PRIORITY_PERIOD);
        let must_yield = must_yield || self.must_yield_to_waiting(now, request);
        let must_wait = request.computes_prompt && now < self.computing_until;
        let is_held = has_room && !must_yield && !must_wait;
        if !has_room && !request.is_late {
            self.on_time_refused_at = Some(now);
        }
        if let Some(room) = request.room_request() {
            if !has_room {
                self.waiting.record_refused(now, room);
            } else if is_held {
                self.waiting.forget(now, room.request);
            }
        }
        if is_held {
            if let Some(estimate) = request.answer_tokens {
                self.output_lengths.observe(estimate);
            }
            let reservation = SlotReservation {
                prompt_tokens: request.prompt_tokens,
                answer_tokens,
                has_estimate: request.answer_tokens.is_some(),
                reserved_at: now,
                expires_at: now + request.ttl,
                is_running: false,
                claim: request.claim.clone(),
            };
            self.reservations
                .insert(request.request.clone(), reservation);
            if request.computes_prompt {
                let compute = DurationUs::from_ms(request.prompt_tokens.0 / PROMPT_TOKENS_PER_MS);
                self.computing_until = now + compute + PROMPT_INTERVAL;
            }
        }
        let forecast = if is_held {
            peak_use
        } else {
            let mut others = others;
            self::peak_use(&mut others) + self.other_use()
        };
        ReservationReply {
            is_held,
            has_yielded: has_room && must_yield,
            is_unavailable: false,
            is_other_incarnation: false,
            limited_for: None,
            free_tokens: usable.saturating_sub(forecast),
            total_tokens: total,
        }
    }

    /// Whether a request leaves the room to one of another team or priority that waits for it.
    fn must_yield_to_waiting(&self, now: TimeUs, request: &ReservationRequest) -> bool {
        let Some(room) = request.room_request() else {
            return false;
        };
        let mut holdings = TeamHoldings::default();
        for reservation in self.reservations.values() {
            let team = reservation
                .claim
                .as_ref()
                .and_then(|claim| claim.team.as_ref());
            let tokens = reservation.prompt_tokens + reservation.answer_tokens;
            holdings.add(team, tokens);
        }
        self.waiting.must_yield(now, room, holdings)
    }

    /// Start of the engine as it reported last; `None` if it has sent no report.
    pub fn engine_started_at_ms(&self) -> Option<UnixMs> {
        self.report.as_ref().map(|report| report.started_at_ms)
    }

    /// Start of the engine if it reports that it is leaving.
    pub fn leaving_engine(&self) -> Option<UnixMs> {
        let report = self.report.as_ref().filter(|report| report.is_leaving);
        report.map(|report| report.started_at_ms)
    }

    /// Whether the agent owns counts for an entry that knows the given start of the engine. It does not
    /// while entries with a newer view choose another owner: the engine is leaving, does not respond,
    /// or has started again since.
    pub fn owns_counts(&self, known_started_at_ms: UnixMs) -> bool {
        let is_steady = self.leaving_engine().is_none() && !self.is_unavailable();
        is_steady && !self.has_restarted_since(known_started_at_ms)
    }

    /// Whether the engine reports a later start. An entry may know of a restart before the agent, so
    /// an earlier start in the report proves nothing.
    fn has_restarted_since(&self, started_at_ms: UnixMs) -> bool {
        let reported = self.report.as_ref().map(|report| report.started_at_ms);
        started_at_ms != UnixMs(0) && reported.is_some_and(|reported| reported > started_at_ms)
    }

    /// Whether the incarnation of the engine that started at the given time does not respond or has
    /// been replaced by a later one.
    pub fn has_engine_ended(&self, started_at_ms: UnixMs) -> bool {
        self.is_unavailable() || self.has_restarted_since(started_at_ms)
    }

    /// Whether a request has a reservation.
    pub fn has_reservation(&self, request: &str) -> bool {
        self.reservations.contains_key(request)
    }

    /// Releases a reservation that was not used.
    pub fn release_slot(&mut self, request: &str) {
        self.reservations.remove(request);
    }

    /// Whether a slot is reserved or an output is in progress, so that frequent reports are useful.
    pub fn is_busy(&self) -> bool {
        let runs = self
            .report
            .as_ref()
            .is_some_and(|report| !report.outputs.is_empty());
        runs || !self.reservations.is_empty()
    }

    /// Highest forecast use of the engine's memory.
    pub fn forecast(&self) -> Tokens {
        peak_use(&mut self.output_growths("")) + self.other_use()
    }

    fn output_growths(&self, except: &str) -> Vec<OutputGrowth> {
        let typical = self.output_lengths.expected(None);
        let mut output_growths = Vec::new();
        let runs = self.report.iter().flat_map(|report| &report.outputs);
        for run in runs.filter(|run| run.request != except) {
            let growth = match self.reservations.get(&run.request) {
                Some(reservation) => OutputGrowth {
                    current: run.memory_tokens,
                    remaining: expected_remaining(
                        reservation.answer_tokens,
                        run.memory_tokens.saturating_sub(reservation.prompt_tokens),
                    ),
                },
                None => OutputGrowth {
                    current: run.memory_tokens,
                    remaining: expected_remaining(typical, Tokens(typical.0 / 2)),
                },
            };
            output_growths.push(growth);
        }
        let not_running = self
            .reservations
            .iter()
            .filter(|(request, reservation)| !reservation.is_running && request.as_str() != except);
        output_growths.extend(not_running.map(|(_, reservation)| OutputGrowth {
            current: reservation.prompt_tokens,
            remaining: expected_remaining(reservation.answer_tokens, Tokens::ZERO),
        }));
        output_growths
    }

    /// Memory in use by anything other than known outputs, such as copies and pinned parts.
    fn other_use(&self) -> Tokens {
        let Some(report) = &self.report else {
            return Tokens::ZERO;
        };
        let runs: Tokens = report.outputs.iter().map(|run| run.memory_tokens).sum();
        report.used_tokens.saturating_sub(runs)
    }
}

/// Expected remaining length of an output that has generated a number of tokens.
///
/// Lengths of outputs are spread by about a third around their estimate on a logarithmic scale. An
/// output that has reached its estimate is expected to continue for a third of it, not to end at
/// once; assuming that such outputs end made entire batches outgrow the memory together.
fn expected_remaining(expected: Tokens, generated: Tokens) -> Tokens {
    let left = expected.saturating_sub(generated).0;
    let spread = expected.0 / LENGTH_SPREAD_DIVISOR;
    Tokens((left * left + spread * spread).isqrt())
}

/// Highest use while all outputs grow at the same rate until they end.
///
/// The use is highest just before an output ends, so only these times are evaluated.
fn peak_use(output_growths: &mut [OutputGrowth]) -> Tokens {
    output_growths.sort_by_key(|growth| growth.remaining);
    let mut highest = Tokens::ZERO;
    let mut current: Tokens = output_growths.iter().map(|growth| growth.current).sum();
    for (index, growth) in output_growths.iter().enumerate() {
        let running = (output_growths.len() - index) as u64;
        highest = highest.max(current + Tokens(running * growth.remaining.0));
        current = current.saturating_sub(growth.current);
    }
    highest
}
