//! Decode places of one engine, given out by a forecast of its memory.
//!
//! Answers the load of long answers on engines that are bounded by memory: a running answer grows
//! until it ends, so the memory that is free now says little. A place is given only if the highest
//! use over the time until all known answers have ended stays within the engine's memory. Weighed
//! against it: reserving the final size of each answer leaves a quarter of the memory empty, and
//! reserving the present size has answers preempted, which delays all others on the engine while
//! their prompts are computed again.
//!
//! The agent beside the engine owns the ledger. It is rebuilt from the engine's report after a
//! restart, with unknown answers taken for typical ones.

use std::collections::HashMap;

use cuminlead_types::{DurationUs, Slots, TimeUs, Tokens, UnixMs};

/// Part of the memory that places may use by forecast, in percent. The rest takes up what the
/// forecast misses between two reports and by wrong estimates.
const USABLE_PERCENT: u64 = 97;
/// Spread of the lengths of answers, as a part of their estimate.
const SPREAD_DIVISOR: u64 = 3;
/// Weight of the newest ended answer in the typical length.
const TYPICAL_WEIGHT: f64 = 0.05;
/// Typical length of an answer before any has ended.
const TYPICAL_FIRST: f64 = 4_800.0;
/// Longest time for which a held place is kept without being seen in use after its time.
const UNSEEN_GRACE: DurationUs = DurationUs::from_ms(300);

/// Time after its refusal in which a request that can meet its goal has asked again; entries ask
/// every 60 ms.
const IN_TIME_WAITS_FOR: DurationUs = DurationUs::from_ms(150);
/// Rate at which a decode engine computes a prompt between the tokens of its answers, in tokens a
/// millisecond; half of that of an idle prefill engine.
const PROMPT_TOKENS_PER_MS: u64 = 25;
/// Time between two prompts in which the answers of an engine go on. Their events of about 70 tokens
/// take 55 ms, so that no event waits for two prompts.
const BETWEEN_PROMPTS: DurationUs = DurationUs::from_ms(60);
/// Longest time for which the place of a preempted answer is kept.
const PREEMPTED_MAX: DurationUs = DurationUs::from_ms(3_000);

/// Answer that an engine generates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// Request.
    pub request: String,
    /// Memory that it uses.
    pub memory_tokens: Tokens,
}

/// State of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Memory in all.
    pub total_tokens: Tokens,
    /// Memory that cannot be evicted.
    pub used_tokens: Tokens,
    /// Answers under way.
    pub runs: Vec<RunReport>,
    /// Requests that wait in the engine.
    pub waiting_count: u32,
    /// Start of the engine's incarnation.
    pub started_at_ms: UnixMs,
}

/// Request for a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservationRequest {
    /// Request.
    pub request: String,
    /// Tokens of its prompt.
    pub prompt_tokens: Tokens,
    /// The caller's estimate of its answer.
    pub answer_tokens: Option<Tokens>,
    /// Time within which it will be used.
    pub ttl: DurationUs,
    /// Answers that the engine generates at once. It is published, and agents do not read what is
    /// published.
    pub slots: Slots,
    /// Whether the request has missed its goal anyway.
    pub is_late: bool,
    /// Whether the engine computes the prompt itself, because no KV cache will be there.
    pub computes_prompt: bool,
}

/// Answer to a request for a place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservationReply {
    /// Whether the place is held.
    pub is_held: bool,
    /// Memory beyond the highest forecast use.
    pub free_tokens: Tokens,
    /// Memory in all.
    pub total_tokens: Tokens,
}

/// Use of an engine's memory, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerUse {
    /// Memory in all, as reported.
    pub total_tokens: Tokens,
    /// Memory that cannot be evicted, as reported.
    pub used_tokens: Tokens,
    /// Highest forecast use.
    pub forecast_tokens: Tokens,
    /// Places that are held or in use.
    pub held_count: usize,
}

#[derive(Clone, Debug)]
struct Held {
    prompt_tokens: Tokens,
    answer_tokens: Tokens,
    held_at: TimeUs,
    expires_at: TimeUs,
    is_running: bool,
}

/// Present and final use of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Growth {
    present: Tokens,
    rest: Tokens,
}

/// Decode places of one engine.
#[derive(Clone, Debug)]
pub struct ReservationTable {
    report: Option<EngineReport>,
    held: HashMap<String, Held>,
    typical_answer: f64,
    /// When a request that could still meet its goal was refused last.
    in_time_refused_at: Option<TimeUs>,
    /// Time until which the engine computes a prompt itself.
    computing_until: TimeUs,
}

impl Default for ReservationTable {
    fn default() -> Self {
        Self::new()
    }
}

impl ReservationTable {
    /// Ledger of an engine of which nothing is known yet.
    pub fn new() -> Self {
        Self {
            report: None,
            held: HashMap::new(),
            typical_answer: TYPICAL_FIRST,
            in_time_refused_at: None,
            computing_until: TimeUs::ZERO,
        }
    }

    /// Takes a report that was asked for at `asked_at`; returns the requests whose answers the
    /// engine has preempted since the last one.
    pub fn observe(&mut self, asked_at: TimeUs, report: EngineReport) -> Vec<String> {
        let is_restarted = self
            .report
            .as_ref()
            .is_some_and(|known| known.started_at_ms != report.started_at_ms);
        if is_restarted {
            self.held.clear();
        }
        let mut ended = Vec::new();
        for (request, held) in &mut self.held {
            let run = report.runs.iter().find(|run| run.request == *request);
            match run {
                Some(_) => held.is_running = true,
                // A place that was taken after the question may be missing in the answer.
                None if held.is_running && held.held_at < asked_at => ended.push(request.clone()),
                None => {}
            }
        }
        let mut preempted = Vec::new();
        for request in ended {
            if report.waiting_count > 0 {
                self.note_preempted(&request);
                preempted.push(request);
            } else {
                self.end(&request);
            }
        }
        self.held
            .retain(|_, held| held.is_running || asked_at < held.expires_at + UNSEEN_GRACE);
        self.report = Some(report);
        preempted
    }

    /// Use of the engine's memory.
    pub fn use_now(&self) -> LedgerUse {
        let report = self.report.as_ref();
        LedgerUse {
            total_tokens: report.map_or(Tokens::ZERO, |report| report.total_tokens),
            used_tokens: report.map_or(Tokens::ZERO, |report| report.used_tokens),
            forecast_tokens: self.forecast(),
            held_count: self.held.len(),
        }
    }

    /// Keeps the place of an answer that the engine has preempted: it comes back with all that it
    /// had, so its memory is not free.
    fn note_preempted(&mut self, request: &str) {
        let last = self.report.iter().flat_map(|report| &report.runs);
        let last = last.into_iter().find(|run| run.request == request);
        let (Some(run), Some(held)) = (last, self.held.get_mut(request)) else {
            return;
        };
        let generated = run.memory_tokens.saturating_sub(held.prompt_tokens);
        held.answer_tokens = rest_of(held.answer_tokens, generated);
        held.prompt_tokens = run.memory_tokens;
        held.is_running = false;
        held.expires_at = held.expires_at.max(held.held_at) + PREEMPTED_MAX;
    }

    /// Learns from the last known size of an answer that has ended.
    fn end(&mut self, request: &str) {
        let Some(held) = self.held.remove(request) else {
            return;
        };
        let last = self.report.iter().flat_map(|report| &report.runs);
        let last = last.into_iter().find(|run| run.request == request);
        if let Some(run) = last {
            let answer = run.memory_tokens.saturating_sub(held.prompt_tokens);
            #[allow(clippy::cast_precision_loss, reason = "token counts are small")]
            let answer = answer.0.max(1) as f64;
            self.typical_answer =
                self.typical_answer.powf(1.0 - TYPICAL_WEIGHT) * answer.powf(TYPICAL_WEIGHT);
        }
    }

    /// Holds a place if the engine has room for the answer until its end. It replaces a place that
    /// the request had.
    ///
    /// An engine that computes prompts itself does so for one after the other: each of them delays
    /// all answers, and two at once make all of them late.
    pub fn reserve_slot(&mut self, now: TimeUs, request: &ReservationRequest) -> ReservationReply {
        self.held.remove(&request.request);
        let Some(total) = self.report.as_ref().map(|report| report.total_tokens) else {
            return ReservationReply::default();
        };
        let answer_tokens = self.expected_answer(request.answer_tokens);
        let growth = Growth {
            present: request.prompt_tokens,
            rest: rest_of(answer_tokens, Tokens::ZERO),
        };
        let usable = Tokens(total.0 / 100 * USABLE_PERCENT);
        let others = self.growths(&request.request);
        let has_slot = others.len() < request.slots.0 as usize;
        let mut with_it = others.clone();
        with_it.push(growth);
        let peak = peak(&mut with_it) + self.other_use();
        let has_room = has_slot && peak <= usable;
        // Under more load than the engine can carry, places go to answers that are of full use.
        // Those that could meet their goals ask again within the time looked back on.
        let must_yield = request.is_late
            && self
                .in_time_refused_at
                .is_some_and(|at| now.since(at) < IN_TIME_WAITS_FOR);
        let must_queue = request.computes_prompt && now < self.computing_until;
        let is_held = has_room && !must_yield && !must_queue;
        if !has_room && !request.is_late {
            self.in_time_refused_at = Some(now);
        }
        if is_held {
            let held = Held {
                prompt_tokens: request.prompt_tokens,
                answer_tokens,
                held_at: now,
                expires_at: now + request.ttl,
                is_running: false,
            };
            self.held.insert(request.request.clone(), held);
            if request.computes_prompt {
                let compute = DurationUs::from_ms(request.prompt_tokens.0 / PROMPT_TOKENS_PER_MS);
                self.computing_until = now + compute + BETWEEN_PROMPTS;
            }
        }
        let forecast = if is_held {
            peak
        } else {
            let mut others = others;
            self::peak(&mut others) + self.other_use()
        };
        ReservationReply {
            is_held,
            free_tokens: usable.saturating_sub(forecast),
            total_tokens: total,
        }
    }

    /// Gives a place back that was not used.
    pub fn release_slot(&mut self, request: &str) {
        self.held.remove(request);
    }

    /// Whether anything is held or runs, so that reports are worth asking for often.
    pub fn is_busy(&self) -> bool {
        let runs = self
            .report
            .as_ref()
            .is_some_and(|report| !report.runs.is_empty());
        runs || !self.held.is_empty()
    }

    /// Highest forecast use of the engine's memory.
    pub fn forecast(&self) -> Tokens {
        peak(&mut self.growths("")) + self.other_use()
    }

    /// Expected tokens of an answer. A caller's estimate is often off by half, so it is drawn
    /// towards the typical length.
    fn expected_answer(&self, estimate: Option<Tokens>) -> Tokens {
        #[allow(clippy::cast_precision_loss, reason = "token counts are small")]
        let estimate = estimate.map_or(self.typical_answer, |tokens| tokens.0.max(1) as f64);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the mean of positive token counts"
        )]
        let expected = (estimate * self.typical_answer).sqrt() as u64;
        Tokens(expected)
    }

    fn growths(&self, except: &str) -> Vec<Growth> {
        let typical = self.expected_answer(None);
        let mut growths = Vec::new();
        let runs = self.report.iter().flat_map(|report| &report.runs);
        for run in runs.filter(|run| run.request != except) {
            let growth = match self.held.get(&run.request) {
                Some(held) => Growth {
                    present: run.memory_tokens,
                    rest: rest_of(
                        held.answer_tokens,
                        run.memory_tokens.saturating_sub(held.prompt_tokens),
                    ),
                },
                None => Growth {
                    present: run.memory_tokens,
                    rest: rest_of(typical, Tokens(typical.0 / 2)),
                },
            };
            growths.push(growth);
        }
        let waiting = self
            .held
            .iter()
            .filter(|(request, held)| !held.is_running && request.as_str() != except);
        growths.extend(waiting.map(|(_, held)| Growth {
            present: held.prompt_tokens,
            rest: rest_of(held.answer_tokens, Tokens::ZERO),
        }));
        growths
    }

    /// Memory in use by anything else than known answers, such as copies and pinned parts.
    fn other_use(&self) -> Tokens {
        let Some(report) = &self.report else {
            return Tokens::ZERO;
        };
        let runs: Tokens = report.runs.iter().map(|run| run.memory_tokens).sum();
        report.used_tokens.saturating_sub(runs)
    }
}

/// Expected rest of an answer that has generated a number of tokens.
///
/// Lengths of answers are spread by about a third around their estimate on a logarithmic scale.
/// An answer that has reached its estimate is then expected to go on for a third of it, not to end
/// at once; taking it for ended had whole batches grow past the memory together.
fn rest_of(expected: Tokens, generated: Tokens) -> Tokens {
    let left = expected.saturating_sub(generated).0;
    let spread = expected.0 / SPREAD_DIVISOR;
    Tokens((left * left + spread * spread).isqrt())
}

/// Highest use while all answers grow at one rate until they end.
///
/// The use is highest just before one of them ends, so only these moments are looked at.
fn peak(growths: &mut [Growth]) -> Tokens {
    growths.sort_by_key(|growth| growth.rest);
    let mut highest = Tokens::ZERO;
    let mut present: Tokens = growths.iter().map(|growth| growth.present).sum();
    for (index, growth) in growths.iter().enumerate() {
        let running = (growths.len() - index) as u64;
        highest = highest.max(present + Tokens(running * growth.rest.0));
        present = present.saturating_sub(growth.present);
    }
    highest
}
