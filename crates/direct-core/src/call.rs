//! State machine of one request.
//!
//! [`Call::next`] returns the next action; its caller carries the action out and reports how it
//! ended, until the call ends with a response or a refusal. The retry table decides what may be
//! retried. On the direct path no owner of a run can be queried, so where the table asks for such a
//! query, the outcome is unknown.

use cuminlead_retry::{CallKind, Decision, Step, decide};
use cuminlead_types::{DurationUs, RegionName, TimeUs, Tokens};
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::action::{Action, CacheRef, CallSpec, Refusal, RefusalReason, Reservation};
use crate::operator_config::RequestKind;
use crate::outcome::{StepOutcome, proves_not_run, record_outcome, retry_evidence};
use crate::placement::{PlacementError, PlacementRequest, has_server, retry_after};
use crate::preparation::{Prompt, SlotState, prefill_time};
use crate::server::Stage;
use crate::servers::ServerKey;
use crate::serving::ServingState;

/// Share of the remaining time that one attempt of several may take, in percent.
const ATTEMPT_TIMEOUT_PERCENT: u64 = 45;
/// Time until the first event that one attempt of a resumable stream may take, in latency targets.
const STREAM_ATTEMPT_TARGETS: u64 = 2;
/// Time from a granted reservation until the first event, beyond the prefill.
const FIRST_EVENT_MARGIN: DurationUs = DurationUs::from_ms(120);
/// Pause between requests for a slot while the latency target can still be met. In a loaded pool a
/// slot becomes free every few tens of milliseconds, and each request for one has a cost.
const SLOT_POLL_INTERVAL: DurationUs = DurationUs::from_ms(60);
/// Pause between requests for a slot once the call is late; it leaves the slots to others.
const LATE_SLOT_POLL_INTERVAL: DurationUs = DurationUs::from_ms(250);
/// Longest wait for a slot, in latency targets; callers abandon a stream without events after four
/// latency targets.
const SLOT_WAIT_TARGETS: u64 = 2;
/// Retry-after for a caller that got no slot. Outputs occupy their slots for three seconds and
/// more, and a response that has missed its latency target is as useful after that time.
const NO_SLOT_RETRY_AFTER: DurationUs = DurationUs::from_ms(3_000);
/// Most waits of one request for a permit of a server with a limit.
const PERMIT_WAITS_MAX: u32 = 2;
/// Most servers that may reject one request before it is refused.
const REJECTIONS_MAX: u32 = 3;

/// State of one request.
#[derive(Clone, Debug)]
pub struct Call {
    spec: CallSpec,
    slot: SlotState,
    /// Servers without a free slot for this request since the last pause.
    full_servers: Vec<ServerKey>,
    prompt: Prompt,
    /// Servers that may have run the request.
    runs_count: u32,
    rejections_count: u32,
    sends_count: u32,
    /// Whether the retry budget has counted the request.
    is_counted: bool,
    /// Whether the budget has granted a retry that was not sent for lack of a permit.
    has_unused_retry: bool,
    waits_count: u32,
    permit_waits_count: u32,
    excluded: Vec<ServerKey>,
    /// Server chosen before the prefill, so that the KV cache has a destination.
    chosen_server: Option<ServerKey>,
    /// Whether a server has responded with a failure that can be forwarded.
    has_failure_response: bool,
    final_action: Option<Action>,
}

impl Call {
    /// Call without any action yet.
    pub fn new(spec: CallSpec) -> Self {
        let takes_reservations = spec
            .model
            .is_some_and(|model| model.reservation_max.is_some());
        let slot = if takes_reservations {
            SlotState::Needed
        } else {
            SlotState::Skipped
        };
        let prompt = Prompt::new(spec.model.is_some());
        Self {
            spec,
            slot,
            full_servers: Vec::new(),
            prompt,
            runs_count: 0,
            rejections_count: 0,
            sends_count: 0,
            is_counted: false,
            has_unused_retry: false,
            waits_count: 0,
            permit_waits_count: 0,
            excluded: Vec::new(),
            chosen_server: None,
            has_failure_response: false,
            final_action: None,
        }
    }

    /// Requirements of the call.
    pub fn spec(&self) -> &CallSpec {
        &self.spec
    }

    /// Number of runs that were sent; those that reached no server are not counted.
    pub fn sends_count(&self) -> u32 {
        self.sends_count
    }

    /// Number of pauses in which the call waited for a slot.
    pub fn waits_count(&self) -> u32 {
        self.waits_count
    }

    /// Whether a server may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.runs_count > 0
    }

    /// Refusal of a call whose deadline is exceeded.
    pub fn timed_out(&self) -> Refusal {
        self.refusal(RefusalReason::TimedOut, DurationUs::from_ms(1_000))
    }

    /// Refusal of a call that a server may have run, without a response that can be forwarded.
    pub fn outcome_unknown(&self) -> Refusal {
        self.refusal(RefusalReason::OutcomeUnknown, DurationUs::from_ms(500))
    }

    /// Next action; the caller reports how it ended before it calls this again.
    pub fn next(&mut self, now: TimeUs, serving: &mut ServingState) -> Action {
        if let Some(final_action) = &self.final_action {
            return final_action.clone();
        }
        if now >= self.spec.deadline {
            return Action::Refuse(self.timed_out());
        }
        let quarantined = serving
            .quarantine
            .find_quarantined(now, &self.spec.prompt_parts);
        if let Some(quarantined) = quarantined {
            return self.finish(RefusalReason::Quarantined, quarantined.remaining);
        }
        self.prompt.discard_unusable_cache(now, &serving.servers);
        let server = match self.choose_server(now, serving) {
            Ok(server) => server,
            // A slot becomes free sooner than a failing server recovers.
            Err(_) if !self.full_servers.is_empty() => return self.wait_for_slot(now, serving),
            Err(PlacementError::LimitedUntil(until)) if self.may_wait_for_permit(until) => {
                self.permit_waits_count += 1;
                return Action::Wait(until.since(now));
            }
            Err(error) => return self.refuse_without_server(now, error),
        };
        let computes_prompt = self.computes_prompt(now, serving, server);
        if !self.slot.covers(server, computes_prompt) {
            self.slot.discard_reservation();
        }
        if self.slot == SlotState::Needed
            && let Some(action) = self.next_reserve(now, serving, server, computes_prompt)
        {
            return action;
        }
        if let Some(action) = self.next_prefill(now, serving, server) {
            return action;
        }
        self.next_run(now, serving, server)
    }

    fn choose_server(
        &mut self,
        now: TimeUs,
        serving: &mut ServingState,
    ) -> Result<ServerKey, PlacementError> {
        if let Some(key) = self.chosen_server
            && !self.excluded.contains(&key)
            && serving
                .servers
                .get(key)
                .is_some_and(|server| server.accepts_prepared(now) && !server.is_paused(now))
        {
            return Ok(key);
        }
        let stage = self.spec.model.map(|_| Stage::Decode);
        let region = self.prompt.cache_region();
        let unusable: Vec<_> = self
            .excluded
            .iter()
            .chain(&self.full_servers)
            .copied()
            .collect();
        let mut placement = PlacementRequest {
            service: &self.spec.service,
            stage,
            client_locality: &serving.config.locality,
            region: region.as_ref(),
            excluded: &unusable,
            demand: self.spec.demand(),
        };
        let mut chosen =
            serving
                .placement
                .choose(now, &serving.servers, placement, &mut serving.rng);
        if chosen.is_err() && region.is_some() {
            if self.has_full_server_in(serving, region.as_ref()) {
                // A slot becomes free there while the cache is retained.
                return Err(PlacementError::None);
            }
            // A cache does not cross regions, so it is discarded.
            self.prompt.skip_prefill();
            placement.region = None;
            chosen = serving
                .placement
                .choose(now, &serving.servers, placement, &mut serving.rng);
        }
        self.chosen_server = chosen.ok();
        chosen
    }

    /// Whether a server of the region has had no free slot since the last pause.
    fn has_full_server_in(&self, serving: &ServingState, region: Option<&RegionName>) -> bool {
        self.full_servers.iter().any(|key| {
            let server = serving.servers.get(*key);
            server.is_some_and(|server| server.region.as_ref() == region)
        })
    }

    /// Whether the decode server has to compute the prompt.
    fn computes_prompt(
        &self,
        now: TimeUs,
        serving: &mut ServingState,
        decode_server: ServerKey,
    ) -> bool {
        let is_model_call = self.spec.model.is_some();
        is_model_call && !self.prompt.is_cached() && !self.may_prefill(now, serving, decode_server)
    }

    /// Whether a prefill server may compute the prompt.
    fn may_prefill(
        &self,
        now: TimeUs,
        serving: &mut ServingState,
        decode_server: ServerKey,
    ) -> bool {
        let is_in_budget =
            !self.prompt.was_prefill_sent() || serving.budget(&self.spec.service).allows(now);
        let Some(server) = serving.servers.get(decode_server) else {
            return false;
        };
        let placement = PlacementRequest {
            service: &self.spec.service,
            stage: Some(Stage::Prefill),
            client_locality: &serving.config.locality,
            region: server.region.as_ref(),
            excluded: &self.prompt.excluded,
            demand: self.spec.demand(),
        };
        self.prompt.allows_prefill()
            && is_in_budget
            && server.region.is_some()
            && has_server(now, &serving.servers, placement)
    }

    fn next_reserve(
        &self,
        now: TimeUs,
        serving: &ServingState,
        server: ServerKey,
        computes_prompt: bool,
    ) -> Option<Action> {
        let model = self.spec.model?;
        Some(Action::Reserve {
            server,
            model,
            ttl: self
                .prefill_timeout(serving, model.prompt_tokens)
                .min(model.reservation_max?)
                .min(self.spec.deadline.since(now)),
            is_late: self.is_late(now),
            computes_prompt,
        })
    }

    /// Waits for a slot as long as a response is of use, with longer pauses once the call is late.
    fn wait_for_slot(&mut self, now: TimeUs, serving: &mut ServingState) -> Action {
        let waited = now.since(self.spec.arrived_at);
        if waited >= DurationUs(self.spec.latency_target.0.saturating_mul(SLOT_WAIT_TARGETS)) {
            let retry_after = if self.spec.spreads_retries {
                spread(NO_SLOT_RETRY_AFTER, &mut serving.rng)
            } else {
                NO_SLOT_RETRY_AFTER
            };
            return self.finish(RefusalReason::NoSlot, retry_after);
        }
        self.full_servers.clear();
        self.chosen_server = None;
        self.slot.discard_reservation();
        self.waits_count += 1;
        if self.is_late(now) {
            Action::Wait(LATE_SLOT_POLL_INTERVAL)
        } else {
            Action::Wait(SLOT_POLL_INTERVAL)
        }
    }

    /// Whether the call waits until a server's limit permits a request. It does if the response can
    /// still meet the latency target; others that wait may take the permit first, so it does not
    /// wait again and again.
    fn may_wait_for_permit(&self, until: TimeUs) -> bool {
        let waited = until.since(self.spec.arrived_at);
        self.permit_waits_count < PERMIT_WAITS_MAX
            && waited.saturating_add(self.response_time()) < self.spec.latency_target
    }

    /// Whether a response that begins now misses the latency target.
    fn is_late(&self, now: TimeUs) -> bool {
        let waited = now.since(self.spec.arrived_at);
        self.spec.is_caller_retry
            || waited.saturating_add(self.response_time()) >= self.spec.latency_target
    }

    /// Time from the choice of a server until the response begins.
    fn response_time(&self) -> DurationUs {
        let prompt = self
            .spec
            .model
            .map_or(Tokens::ZERO, |model| model.prompt_tokens);
        prefill_time(prompt).saturating_add(FIRST_EVENT_MARGIN)
    }

    /// Records a reservation; it replaces an earlier one.
    pub fn reserved(&mut self, server: ServerKey, reservation: Reservation, computes_prompt: bool) {
        self.slot = SlotState::Reserved {
            server,
            reservation,
            computes_prompt,
        };
    }

    /// Records a server that made no reservation for this request.
    pub fn reserve_failed(
        &mut self,
        now: TimeUs,
        serving: &mut ServingState,
        server: ServerKey,
        outcome: StepOutcome,
    ) {
        if outcome == StepOutcome::Rejected {
            // A full server has not failed.
            self.full_servers.push(server);
            if let Some(server) = serving.servers.get_mut(server) {
                server.full_at = Some(now);
            }
        } else {
            record_outcome(now, serving, server, outcome);
            if outcome != StepOutcome::Limited {
                self.excluded.push(server);
            }
        }
        self.chosen_server = None;
    }

    fn next_prefill(
        &mut self,
        now: TimeUs,
        serving: &mut ServingState,
        decode_server: ServerKey,
    ) -> Option<Action> {
        let tokens = self.spec.model?.prompt_tokens;
        if !self.may_prefill(now, serving, decode_server) {
            return None;
        }
        let region = serving.servers.get(decode_server)?.region.clone()?;
        let placement = PlacementRequest {
            service: &self.spec.service,
            stage: Some(Stage::Prefill),
            client_locality: &serving.config.locality,
            region: Some(&region),
            excluded: &self.prompt.excluded,
            demand: self.spec.demand(),
        };
        let server = serving
            .placement
            .choose(now, &serving.servers, placement, &mut serving.rng)
            .ok()?;
        self.prompt.count_prefill_attempt();
        Some(Action::Prefill {
            server,
            timeout: self
                .prefill_timeout(serving, tokens)
                .min(self.spec.deadline.since(now)),
        })
    }

    /// Timeout of a prefill.
    ///
    /// A prompt that is queued behind others is worth waiting for until its response has missed the
    /// latency target, or for as long as the placement policy says. Abandoning it wastes the work done, and the decode server then computes
    /// the prompt at half the speed between the tokens of its outputs, which makes all of them
    /// late.
    fn prefill_timeout(&self, serving: &ServingState, prompt: Tokens) -> DurationUs {
        let targets = serving.placement.prefill_wait_targets();
        let wait = self.spec.latency_target.0.saturating_mul(targets);
        prefill_time(prompt).saturating_add(DurationUs(wait))
    }

    fn next_run(&mut self, now: TimeUs, serving: &mut ServingState, server: ServerKey) -> Action {
        let budget = serving.budget(&self.spec.service);
        if self.sends_count == 0 {
            if !self.is_counted {
                budget.count_request(now);
                self.is_counted = true;
            }
        } else if !std::mem::take(&mut self.has_unused_retry) && !budget.try_retry(now) {
            return self.finish(RefusalReason::RetryBudget, DurationUs::from_ms(1_000));
        }
        self.sends_count += 1;
        let cache = self.prompt.take_cache();
        let reservation = self.slot.take_reservation();
        Action::Run {
            server,
            cache,
            reservation,
            timeout: self.attempt_timeout(now),
        }
    }

    /// Timeout of one attempt; `None` if no other may follow.
    fn attempt_timeout(&self, now: TimeUs) -> Option<DurationUs> {
        if self.runs_count + 1 >= self.spec.attempts_max_count {
            return None;
        }
        let left = self.spec.deadline.since(now);
        match self.spec.kind {
            RequestKind::Idempotent => Some(DurationUs(left.0 / 100 * ATTEMPT_TIMEOUT_PERCENT)),
            RequestKind::Stream { resumable: true } => {
                Some(DurationUs(self.spec.latency_target.0 * STREAM_ATTEMPT_TARGETS).min(left))
            }
            RequestKind::NonIdempotent | RequestKind::Stream { resumable: false } => None,
        }
    }

    /// Records a prefill that returned a cache.
    pub fn prefill_done(&mut self, now: TimeUs, serving: &mut ServingState, cache: CacheRef) {
        serving.servers.record_response(now, cache.server);
        if let Some(server) = serving.servers.get_mut(cache.server) {
            server.health.record_success(now);
        }
        let ttl = self.spec.model.and_then(|model| model.cache_ttl);
        self.prompt.set_cache(cache, ttl.map(|ttl| now + ttl));
    }

    /// Records a prefill that returned no cache.
    ///
    /// A prefill that may have been accepted is not tried at a second server, because the second
    /// one would count as another on a route that allows one server only. The decode server
    /// computes the prompt instead.
    pub fn prefill_failed(
        &mut self,
        now: TimeUs,
        serving: &mut ServingState,
        server: ServerKey,
        outcome: StepOutcome,
    ) {
        if outcome == StepOutcome::Limited {
            // Nothing was sent. The limit keeps the server from being chosen for a while.
            self.prompt.uncount_prefill_attempt();
            return;
        }
        record_outcome(now, serving, server, outcome);
        self.prompt.excluded.push(server);
        // A prefill that reached a server counts as a retry, because the run is still to come.
        let is_counted = outcome != StepOutcome::Unreachable;
        if is_counted && !serving.budget(&self.spec.service).try_retry(now) {
            self.finish(RefusalReason::RetryBudget, DurationUs::from_ms(1_000));
        }
        let is_rejected = matches!(
            outcome,
            StepOutcome::Unreachable | StepOutcome::Rejected | StepOutcome::OtherIncarnation
        );
        if !is_rejected {
            self.prompt.skip_prefill();
        }
    }

    /// Records a run with a usable response.
    pub fn run_answered(&mut self, now: TimeUs, serving: &mut ServingState, server: ServerKey) {
        serving.servers.record_response(now, server);
        if let Some(server) = serving.servers.get_mut(server) {
            server.health.record_success(now);
        }
        self.runs_count += 1;
    }

    /// Records a run without a usable response.
    pub fn run_failed(
        &mut self,
        now: TimeUs,
        serving: &mut ServingState,
        server: ServerKey,
        outcome: StepOutcome,
    ) {
        record_outcome(now, serving, server, outcome);
        match outcome {
            // The decode server is not at fault and can compute the prompt.
            StepOutcome::CacheUnavailable => {}
            // The limit keeps the server from being chosen for a while.
            StepOutcome::Limited => self.chosen_server = None,
            _ => self.excluded.push(server),
        }
        if !proves_not_run(outcome) {
            self.runs_count += 1;
        }
        // The next server needs a reservation of its own.
        if self
            .spec
            .model
            .is_some_and(|model| model.reservation_max.is_some())
        {
            self.slot = SlotState::Needed;
        }
        if matches!(outcome, StepOutcome::Unreachable | StepOutcome::Limited) {
            // Nothing reached a server, so nothing counts as a retry.
            self.sends_count -= 1;
            self.has_unused_retry = outcome == StepOutcome::Limited && self.sends_count > 0;
        }
        if outcome == StepOutcome::Rejected {
            self.rejections_count += 1;
        }
        self.prompt.restore_cache(outcome);
        self.has_failure_response |= outcome == StepOutcome::Failed;
        self.final_action = self.decide_final_action(outcome);
    }

    /// Final action after a failed run; `None` if another server may be tried.
    fn decide_final_action(&self, outcome: StepOutcome) -> Option<Action> {
        let decision = decide(self.retry_kind(), Step::Run, retry_evidence(outcome));
        let may_retry = decision == Decision::RetryElsewhere
            && self.runs_count < self.spec.attempts_max_count
            && self.rejections_count < REJECTIONS_MAX;
        if may_retry {
            return None;
        }
        Some(match outcome {
            StepOutcome::Failed => Action::ForwardFailure,
            StepOutcome::Rejected => {
                Action::Refuse(self.refusal(RefusalReason::Rejected, DurationUs::from_ms(500)))
            }
            StepOutcome::TimedOut => Action::Refuse(self.timed_out()),
            _ => Action::Refuse(self.outcome_unknown()),
        })
    }

    fn retry_kind(&self) -> CallKind {
        match self.spec.kind {
            RequestKind::Idempotent | RequestKind::Stream { resumable: true } => {
                CallKind::Idempotent
            }
            RequestKind::NonIdempotent | RequestKind::Stream { resumable: false } => {
                CallKind::NonIdempotent
            }
        }
    }

    fn refuse_without_server(&mut self, now: TimeUs, error: PlacementError) -> Action {
        let reason = match error {
            _ if self.rejections_count > 0 => RefusalReason::Rejected,
            PlacementError::LimitedUntil(_) => RefusalReason::Limited,
            PlacementError::PausedUntil(_) | PlacementError::None => RefusalReason::NoServer,
        };
        self.finish(reason, retry_after(now, error))
    }

    /// Ends the call. A server's failure response tells the caller more than a refusal.
    fn finish(&mut self, reason: RefusalReason, retry_after: DurationUs) -> Action {
        let final_action = if self.has_failure_response {
            Action::ForwardFailure
        } else {
            Action::Refuse(self.refusal(reason, retry_after))
        };
        self.final_action = Some(final_action.clone());
        final_action
    }

    fn refusal(&self, reason: RefusalReason, retry_after: DurationUs) -> Refusal {
        Refusal {
            is_not_run: !self.may_have_run(),
            reason,
            retry_after,
        }
    }
}

/// Two thirds to four thirds of a time, so that callers refused together do not return together.
fn spread(time: DurationUs, rng: &mut SmallRng) -> DurationUs {
    let third_us = time.0 / 3;
    DurationUs(rng.random_range(2 * third_us..=4 * third_us))
}
