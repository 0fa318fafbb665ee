//! The state of one request.
//!
//! [`Call::next`] says what to do, the caller does it and reports the [`StepOutcome`], until the call
//! ends with an answer or a refusal. What may be repeated is looked up in the retry table. There is
//! no owner to ask about a run here, so the table's question to the owner means an unknown outcome.

use cuminlead_retry::{CallKind, Decision, Step, decide};
use cuminlead_types::{DurationUs, RegionName, TimeUs, Tokens};

use crate::action::{Action, CacheRef, CallSpec, Refusal, RefusalReason, Reservation};
use crate::operator_config::RequestKind;
use crate::outcome::{StepOutcome, evidence, is_proof_of_no_run, record_outcome};
use crate::placement::{PlacementError, PlacementRequest, choose, has_server, retry_after};
use crate::preparation::{PlaceState, Prompt};
use crate::server::Stage;
use crate::servers::ServerKey;
use crate::serving::ServingState;

/// Rate at which a loaded engine computes prompts, in tokens a millisecond; half of an idle one's.
const PREFILL_TOKENS_PER_MS: u64 = 25;
/// Part of the remaining time that one attempt of several may take, in percent.
const ATTEMPT_SHARE_PERCENT: u64 = 45;
/// Attempts of a stream may take this many times the goal until the first event.
const STREAM_ATTEMPT_GOALS: u64 = 2;
/// Time from a granted place until the first event, beyond the prefill.
const FIRST_EVENT_MARGIN: DurationUs = DurationUs::from_ms(120);
/// Pause between questions for a place while the goal can still be met. Places fall free every few
/// ten ms in a loaded pool, and each question is paid for.
const WAIT_PAUSE: DurationUs = DurationUs::from_ms(60);
/// Pause between questions of a request that is late anyway; it leaves places to the others.
const LATE_WAIT_PAUSE: DurationUs = DurationUs::from_ms(250);
/// Longest wait for a place in goals; callers leave a stream without events after four goals.
const WAIT_MAX_GOALS: u64 = 2;
/// Time after which a caller without a place may come back. Answers hold their places for three
/// seconds and more, and one that has missed its goal is of the same use then.
const PLACES_RETRY_AFTER: DurationUs = DurationUs::from_ms(3_000);
/// Most servers that may turn one request away before it is refused.
const REFUSALS_MAX: u32 = 3;

/// State of one request.
#[derive(Clone, Debug)]
pub struct Call {
    spec: CallSpec,
    place: PlaceState,
    /// Servers without room for this request since the last pause.
    full: Vec<ServerKey>,
    prompt: Prompt,
    /// Servers that may have run the request.
    runs_count: u32,
    turned_away_count: u32,
    sends_count: u32,
    waits_count: u32,
    excluded: Vec<ServerKey>,
    /// Decode server chosen before the prefill, so that a cache has a place to go.
    decode: Option<ServerKey>,
    /// Whether a server has answered with a failure that can be passed on.
    has_failure: bool,
    end: Option<Action>,
}

impl Call {
    /// Call that has not begun.
    pub fn new(spec: CallSpec) -> Self {
        let takes_reservations = spec
            .model
            .is_some_and(|model| model.reservation_max.is_some());
        let place = if takes_reservations {
            PlaceState::Needed
        } else {
            PlaceState::Skipped
        };
        let prompt = Prompt::new(spec.model.is_some());
        Self {
            spec,
            place,
            full: Vec::new(),
            prompt,
            runs_count: 0,
            turned_away_count: 0,
            sends_count: 0,
            waits_count: 0,
            excluded: Vec::new(),
            decode: None,
            has_failure: false,
            end: None,
        }
    }

    /// What the call needs.
    pub fn spec(&self) -> &CallSpec {
        &self.spec
    }

    /// Servers to which the request was sent to run.
    pub fn sends_count(&self) -> u32 {
        self.sends_count
    }

    /// Pauses in which it waited for a place.
    pub fn waits_count(&self) -> u32 {
        self.waits_count
    }

    /// Whether a server may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.runs_count > 0
    }

    /// Refusal at the end of the call's time.
    pub fn timed_out(&self) -> Refusal {
        self.refusal(RefusalReason::TimedOut, DurationUs::from_ms(1_000))
    }

    /// Next step.
    pub fn next(&mut self, now: TimeUs, serving: &mut ServingState) -> Action {
        if let Some(end) = &self.end {
            return end.clone();
        }
        if now >= self.spec.deadline {
            return Action::Refuse(self.timed_out());
        }
        self.prompt.expire_cache(now);
        let server = match self.choose_server(now, serving) {
            Ok(server) => server,
            // A place falls free sooner than a failing server comes back.
            Err(_) if !self.full.is_empty() => return self.wait(now),
            Err(no_server) => return self.refuse_no_server(now, no_server),
        };
        let computes_prompt = self.computes_prompt(now, serving, server);
        if !self.place.fits(server, computes_prompt) {
            self.place.give_up();
        }
        if self.place == PlaceState::Needed
            && let Some(action) = self.next_reserve(now, server, computes_prompt)
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
        if let Some(key) = self.decode
            && !self.excluded.contains(&key)
            && serving
                .servers
                .get(key)
                .is_some_and(|server| server.takes_prepared(now) && !server.health.is_paused(now))
        {
            return Ok(key);
        }
        let stage = self.spec.model.map(|_| Stage::Decode);
        let region = self.prompt.cache_region();
        let unusable: Vec<_> = self.excluded.iter().chain(&self.full).copied().collect();
        let mut need = PlacementRequest {
            service: &self.spec.service,
            stage,
            client_locality: &serving.config.client_locality,
            region: region.as_ref(),
            excluded: &unusable,
        };
        let mut chosen = choose(now, &serving.servers, need, &mut serving.rng);
        if chosen.is_err() && region.is_some() {
            if self.is_full_in(serving, region.as_ref()) {
                // A place there falls free while the cache waits.
                return Err(PlacementError::None);
            }
            // A cache does not cross regions, so it is given up.
            self.prompt.skip();
            need.region = None;
            chosen = choose(now, &serving.servers, need, &mut serving.rng);
        }
        self.decode = chosen.ok();
        chosen
    }

    /// Whether a server of a region has had no room since the last pause.
    fn is_full_in(&self, serving: &ServingState, region: Option<&RegionName>) -> bool {
        self.full.iter().any(|key| {
            let server = serving.servers.get(*key);
            server.is_some_and(|server| server.region.as_ref() == region)
        })
    }

    /// Whether the decode server has to compute the prompt.
    fn computes_prompt(&self, now: TimeUs, serving: &mut ServingState, decode: ServerKey) -> bool {
        let is_model_call = self.spec.model.is_some();
        is_model_call && !self.prompt.is_cached() && !self.may_prefill(now, serving, decode)
    }

    /// Whether a prefill server may be asked.
    fn may_prefill(&self, now: TimeUs, serving: &mut ServingState, decode: ServerKey) -> bool {
        let is_in_budget =
            !self.prompt.was_sent() || serving.budget(&self.spec.service).allows(now);
        let Some(server) = serving.servers.get(decode) else {
            return false;
        };
        let need = PlacementRequest {
            service: &self.spec.service,
            stage: Some(Stage::Prefill),
            client_locality: &serving.config.client_locality,
            region: server.region.as_ref(),
            excluded: &self.prompt.excluded,
        };
        self.prompt.is_open()
            && is_in_budget
            && server.region.is_some()
            && has_server(now, &serving.servers, need)
    }

    fn next_reserve(
        &self,
        now: TimeUs,
        server: ServerKey,
        computes_prompt: bool,
    ) -> Option<Action> {
        let model = self.spec.model?;
        Some(Action::Reserve {
            server,
            model,
            ttl: self
                .prefill_timeout(model.prompt_tokens)
                .min(model.reservation_max?)
                .min(self.spec.deadline.since(now)),
            is_late: self.is_late(now),
            computes_prompt,
        })
    }

    /// Waits for a place as long as an answer is of use, less often once it is late.
    fn wait(&mut self, now: TimeUs) -> Action {
        let waited = now.since(self.spec.arrived_at);
        if waited >= DurationUs(self.spec.latency_target.0.saturating_mul(WAIT_MAX_GOALS)) {
            return self.finish(RefusalReason::NoSlot, PLACES_RETRY_AFTER);
        }
        self.full.clear();
        self.decode = None;
        self.place.give_up();
        self.waits_count += 1;
        if self.is_late(now) {
            Action::Wait(LATE_WAIT_PAUSE)
        } else {
            Action::Wait(WAIT_PAUSE)
        }
    }

    /// Whether an answer that begins now misses the goal.
    fn is_late(&self, now: TimeUs) -> bool {
        let prompt = self
            .spec
            .model
            .map_or(Tokens::ZERO, |model| model.prompt_tokens);
        let rest = prefill_time(prompt).saturating_add(FIRST_EVENT_MARGIN);
        let waited = now.since(self.spec.arrived_at);
        self.spec.is_caller_retry || waited.saturating_add(rest) >= self.spec.latency_target
    }

    /// Records a place that a server holds; an earlier one is given up.
    pub fn reserved(&mut self, server: ServerKey, reservation: Reservation, computes_prompt: bool) {
        self.place = PlaceState::Held {
            server,
            reservation,
            computes_prompt,
        };
    }

    /// Records a server that holds no place for this request.
    pub fn reserve_failed(
        &mut self,
        now: TimeUs,
        serving: &mut ServingState,
        server: ServerKey,
        outcome: StepOutcome,
    ) {
        if outcome == StepOutcome::Rejected {
            // A full server is not a failing one.
            self.full.push(server);
            if let Some(server) = serving.servers.get_mut(server) {
                server.full_at = Some(now);
            }
        } else {
            record_outcome(now, serving, server, outcome);
            self.excluded.push(server);
        }
        self.decode = None;
    }

    fn next_prefill(
        &mut self,
        now: TimeUs,
        serving: &mut ServingState,
        decode: ServerKey,
    ) -> Option<Action> {
        let tokens = self.spec.model?.prompt_tokens;
        if !self.may_prefill(now, serving, decode) {
            return None;
        }
        let region = serving.servers.get(decode)?.region.clone()?;
        let need = PlacementRequest {
            service: &self.spec.service,
            stage: Some(Stage::Prefill),
            client_locality: &serving.config.client_locality,
            region: Some(&region),
            excluded: &self.prompt.excluded,
        };
        let server = choose(now, &serving.servers, need, &mut serving.rng).ok()?;
        self.prompt.count_prefill();
        Some(Action::Prefill {
            server,
            timeout: self
                .prefill_timeout(tokens)
                .min(self.spec.deadline.since(now)),
        })
    }

    /// Time until a prefill is given up.
    ///
    /// A prompt that waits behind others is worth waiting for until its answer has missed its goal:
    /// giving it up wastes what was computed, and the decode server then computes it at half the
    /// speed between the tokens of its answers, which makes all of them late.
    fn prefill_timeout(&self, prompt: Tokens) -> DurationUs {
        prefill_time(prompt).saturating_add(self.spec.latency_target)
    }

    fn next_run(&mut self, now: TimeUs, serving: &mut ServingState, server: ServerKey) -> Action {
        let budget = serving.budget(&self.spec.service);
        if self.sends_count == 0 {
            budget.count_request(now);
        } else if !budget.try_retry(now) {
            return self.finish(RefusalReason::RetryBudget, DurationUs::from_ms(1_000));
        }
        self.sends_count += 1;
        let cache = self.prompt.take_cache();
        let reservation = self.place.take();
        Action::Run {
            server,
            cache,
            reservation,
            timeout: self.attempt_timeout(now),
        }
    }

    /// Time for one attempt, if another may follow it.
    fn attempt_timeout(&self, now: TimeUs) -> Option<DurationUs> {
        if self.runs_count + 1 >= self.spec.attempts_max_count {
            return None;
        }
        let left = self.spec.deadline.since(now);
        match self.spec.kind {
            RequestKind::Idempotent => Some(DurationUs(left.0 / 100 * ATTEMPT_SHARE_PERCENT)),
            RequestKind::Stream { resumable: true } => {
                Some(DurationUs(self.spec.latency_target.0 * STREAM_ATTEMPT_GOALS).min(left))
            }
            RequestKind::NonIdempotent | RequestKind::Stream { resumable: false } => None,
        }
    }

    /// Records a finished prefill.
    pub fn prefill_done(&mut self, now: TimeUs, serving: &mut ServingState, cache: CacheRef) {
        if let Some(server) = serving.servers.get_mut(cache.server) {
            server.health.record_success(now);
        }
        let life = self.spec.model.and_then(|model| model.cache_ttl);
        self.prompt.cached(cache, life.map(|life| now + life));
    }

    /// Records a prefill that gave no cache.
    ///
    /// A prefill that may have been accepted is not tried at a second server if the route allows one
    /// server only: the second one would count as another. The decode server computes the prompt.
    pub fn prefill_failed(
        &mut self,
        now: TimeUs,
        serving: &mut ServingState,
        server: ServerKey,
        outcome: StepOutcome,
    ) {
        record_outcome(now, serving, server, outcome);
        self.prompt.excluded.push(server);
        // What reached a server counts as a repeat, because the run is yet to come.
        let is_counted = outcome != StepOutcome::Unreachable;
        if is_counted && !serving.budget(&self.spec.service).try_retry(now) {
            self.finish(RefusalReason::RetryBudget, DurationUs::from_ms(1_000));
        }
        let is_refused = matches!(
            outcome,
            StepOutcome::Unreachable | StepOutcome::Rejected | StepOutcome::OtherIncarnation
        );
        if !is_refused {
            self.prompt.skip();
        }
    }

    /// Records a run that was answered.
    pub fn run_answered(&mut self, now: TimeUs, serving: &mut ServingState, server: ServerKey) {
        if let Some(server) = serving.servers.get_mut(server) {
            server.health.record_success(now);
        }
        self.runs_count += 1;
    }

    /// Records a run without a usable answer.
    pub fn run_failed(
        &mut self,
        now: TimeUs,
        serving: &mut ServingState,
        server: ServerKey,
        outcome: StepOutcome,
    ) {
        record_outcome(now, serving, server, outcome);
        match outcome {
            // The decode server itself is fine, it can compute the prompt.
            StepOutcome::CacheGone => {}
            _ => self.excluded.push(server),
        }
        if !is_proof_of_no_run(outcome) {
            self.runs_count += 1;
        }
        // The next server needs a reservation of its own.
        if self
            .spec
            .model
            .is_some_and(|model| model.reservation_max.is_some())
        {
            self.place = PlaceState::Needed;
        }
        if outcome == StepOutcome::Unreachable {
            // Nothing reached a server, so nothing counts as a repeat.
            self.sends_count -= 1;
        }
        if outcome == StepOutcome::Rejected {
            self.turned_away_count += 1;
        }
        self.prompt.run_failed(outcome);
        self.has_failure |= outcome == StepOutcome::Failed;
        self.end = self.decide_end(outcome);
    }

    /// End of the call after a failed run, unless another server may be tried.
    fn decide_end(&self, outcome: StepOutcome) -> Option<Action> {
        let decision = decide(self.table_kind(), Step::Run, evidence(outcome));
        let may_repeat = decision == Decision::RetryElsewhere
            && self.runs_count < self.spec.attempts_max_count
            && self.turned_away_count < REFUSALS_MAX;
        if may_repeat {
            return None;
        }
        Some(match outcome {
            StepOutcome::Failed => Action::Deliver,
            StepOutcome::Rejected => {
                Action::Refuse(self.refusal(RefusalReason::Rejected, DurationUs::from_ms(500)))
            }
            StepOutcome::TimedOut => Action::Refuse(self.timed_out()),
            _ => Action::Refuse(
                self.refusal(RefusalReason::OutcomeUnknown, DurationUs::from_ms(500)),
            ),
        })
    }

    fn table_kind(&self) -> CallKind {
        match self.spec.kind {
            RequestKind::Idempotent | RequestKind::Stream { resumable: true } => {
                CallKind::Idempotent
            }
            RequestKind::NonIdempotent | RequestKind::Stream { resumable: false } => {
                CallKind::NonIdempotent
            }
        }
    }

    fn refuse_no_server(&mut self, now: TimeUs, no_server: PlacementError) -> Action {
        let reason = if self.turned_away_count > 0 {
            RefusalReason::Rejected
        } else {
            RefusalReason::NoServer
        };
        self.finish(reason, retry_after(now, no_server))
    }

    /// A failure that a server answered says more to the caller than a refusal.
    fn finish(&mut self, reason: RefusalReason, retry_after: DurationUs) -> Action {
        let end = if self.has_failure {
            Action::Deliver
        } else {
            Action::Refuse(self.refusal(reason, retry_after))
        };
        self.end = Some(end.clone());
        end
    }

    fn refusal(&self, reason: RefusalReason, retry_after: DurationUs) -> Refusal {
        Refusal {
            is_not_run: !self.may_have_run(),
            reason,
            retry_after,
        }
    }
}

/// Time of a prefill at a loaded engine.
fn prefill_time(prompt: Tokens) -> DurationUs {
    DurationUs::from_ms(prompt.0 / PREFILL_TOKENS_PER_MS)
}
