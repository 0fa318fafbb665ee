//! Queue model of servers and callers on virtual time, for comparisons of placement policies.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use cuminlead_direct_core::placement::{ClientLocality, PlacementError, PlacementRequest};
use cuminlead_direct_core::servers::FreeMemory;
use cuminlead_direct_core::{
    Action, CacheRef, Call, PlacementPolicy, RegistryUpdate, RequestKind, Reservation, RouteId,
    ServerKey, ServerTable, ServingState, Stage, StepOutcome, WorkId,
};
use cuminlead_types::{DurationUs, TimeUs, Tokens};
use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::support::{ENGINES, PLAIN, model_spec, plain_spec, record, serving_with};

/// Prompt tokens that an engine of speed 1 computes in a ms.
const PREFILL_TOKENS_PER_MS: f64 = 55.0;
/// Time of an output at an idle engine until its first event, and until its end.
const FIRST_EVENT_MS: f64 = 30.0;
const OUTPUT_MS: f64 = 1_750.0;
/// Memory of an engine for each of its slots.
const TOKENS_PER_SLOT: u64 = 6_000;

/// Trouble of one server from a second on until another.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    pub(crate) server: &'static str,
    pub(crate) seconds: (u64, u64),
    /// Speed during the fault; 0 if the server fails all requests within 2 ms.
    pub(crate) speed: f64,
}

/// What callers send, and the servers that they meet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Runs with different seeds; their figures are added or averaged.
    pub(crate) runs_count: u64,
    pub(crate) entries_count: usize,
    pub(crate) seconds: u64,
    /// Requests that arrive within 10 ms, and the mean time between such groups.
    pub(crate) group_count: usize,
    pub(crate) group_interval_ms: f64,
    /// Servers as `id zone stage`, with the slots and the speed.
    pub(crate) servers: &'static [(&'static str, usize, f64)],
    pub(crate) fault: Option<Fault>,
    /// Factors by which the stated length of a prompt may differ from the true one.
    pub(crate) estimate_factors: &'static [f64],
    /// Age of the reports of memory in replies to reservations; `None` if there are none.
    pub(crate) report_age_ms: Option<u64>,
}

/// What callers get.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Figures {
    pub(crate) count: usize,
    pub(crate) median_ms: u64,
    pub(crate) p99_ms: u64,
    /// Requests that failed, were refused or missed their latency target.
    pub(crate) late: usize,
    pub(crate) prompt_tokens: u64,
    /// Tokens of prompts that were computed without use.
    pub(crate) wasted_tokens: u64,
}

impl fmt::Display for Figures {
    #[allow(clippy::cast_precision_loss, reason = "figures of a short run")]
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let wasted = self.wasted_tokens as f64 / self.prompt_tokens.max(1) as f64;
        let (count, median, p99) = (self.count, self.median_ms, self.p99_ms);
        write!(
            f,
            "{count} requests, median {median} ms, p99 {p99} ms, late {}, wasted {:.2}%",
            self.late,
            wasted * 100.0
        )
    }
}

struct ModelServer {
    name: &'static str,
    key: ServerKey,
    stage: Option<Stage>,
    slots: usize,
    speed: f64,
    running: usize,
    /// Slots reserved for requests whose prompts are being computed.
    reserved: usize,
    queue: VecDeque<(usize, u64)>,
}

struct Request {
    entry: usize,
    call: Call,
    true_tokens: u64,
    plain_ms: f64,
    /// Number of the current step; events of earlier steps are ignored.
    step: u64,
    sent: Option<(usize, WorkId, TimeUs)>,
    has_cache: bool,
    reserved_at: Option<usize>,
    /// Whether an engine generates its output; the first event is then in time.
    has_begun: bool,
    is_done: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    Next(usize, u64),
    Finished(usize, usize, u64, TimeUs),
    Failed(usize, u64, StepOutcome),
    Deadline(usize),
}

pub(crate) struct Model<'a> {
    load: &'a Load,
    now: TimeUs,
    events: BTreeMap<(TimeUs, u64), Event>,
    events_count: u64,
    entries: Vec<ServingState>,
    servers: Vec<ModelServer>,
    requests: Vec<Request>,
    rng: SmallRng,
    latencies: Vec<u64>,
    figures: Figures,
}

/// Policy under comparison, for an entry at a locality.
pub(crate) type NewPolicy = fn(ClientLocality) -> Box<dyn PlacementPolicy>;

pub(crate) fn play(load: &Load, policy: NewPolicy, seed: u64) -> Figures {
    let zones = ["a1", "a2", "a3"];
    let entry = |index: usize| {
        let locality = ClientLocality {
            availability_zone: zones[index % 3].parse().expect("a valid fixture"),
            region: "a".parse().expect("a valid fixture"),
        };
        let policy = policy(locality.clone());
        let mut serving = serving_with(locality, seed * 1_000 + index as u64, policy);
        for (text, _, _) in load.servers {
            let parts: Vec<_> = text.split(' ').collect();
            let stage: Option<Stage> = parts[2].parse().ok();
            let service = stage.map_or(PLAIN, |_| ENGINES);
            let record = record(parts[0], service, parts[1], stage);
            serving.apply(TimeUs::ZERO, RegistryUpdate::Server(record));
        }
        serving
    };
    let entries: Vec<_> = (0..load.entries_count).map(entry).collect();
    let server = |&(text, slots, speed): &(&'static str, usize, f64)| {
        let name = text.split(' ').next().expect("a valid fixture");
        let id = name.parse().expect("a valid fixture");
        let key = entries[0].servers.key_of(&id).expect("a valid fixture");
        let stage = entries[0].servers.get(key).expect("a server").record.stage;
        ModelServer {
            name,
            key,
            stage,
            slots,
            speed,
            running: 0,
            reserved: 0,
            queue: VecDeque::new(),
        }
    };
    let mut model = Model {
        load,
        now: TimeUs::ZERO,
        events: BTreeMap::new(),
        events_count: 0,
        servers: load.servers.iter().map(server).collect(),
        entries,
        requests: Vec::new(),
        rng: SmallRng::seed_from_u64(seed),
        latencies: Vec::new(),
        figures: Figures::default(),
    };
    model.at(0.0, Event::Arrive);
    while let Some(((now, _), event)) = model.events.pop_first() {
        model.now = now;
        model.handle(event);
    }
    model.latencies.sort_by_key(|latency| Reverse(*latency));
    let of_share = |share: usize| model.latencies.get(model.latencies.len() / share);
    Figures {
        count: model.requests.len(),
        median_ms: of_share(2).map_or(0, |us| us / 1_000),
        p99_ms: of_share(100).map_or(0, |us| us / 1_000),
        ..model.figures
    }
}

impl Model<'_> {
    fn at(&mut self, delay_ms: f64, event: Event) {
        self.events_count += 1;
        let at = self.now + duration(delay_ms);
        self.events.insert((at, self.events_count), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                for _ in 0..self.load.group_count {
                    let spread_ms = self.rng.random_range(0.0..10.0);
                    self.arrive(spread_ms);
                }
                let gap_ms = -self.load.group_interval_ms * (1.0 - self.rng.random::<f64>()).ln();
                if self.now < TimeUs(self.load.seconds * 1_000_000) {
                    self.at(gap_ms, Event::Arrive);
                }
            }
            Event::Next(request, step) if self.requests[request].step == step => {
                self.advance(request);
            }
            Event::Failed(request, step, outcome) if self.requests[request].step == step => {
                self.fail(request, outcome);
            }
            Event::Next(..) | Event::Failed(..) => {}
            Event::Finished(server, request, step, started_at) => {
                self.servers[server].running -= 1;
                self.start_queued(server);
                if self.requests[request].step == step {
                    self.succeed(request, server, started_at);
                } else if self.servers[server].stage == Some(Stage::Prefill) {
                    self.figures.wasted_tokens += self.requests[request].true_tokens;
                }
            }
            Event::Deadline(request) => {
                if !self.requests[request].is_done {
                    self.abandon_step(request, true);
                    self.finish(request, None);
                }
            }
        }
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "token counts"
    )]
    fn arrive(&mut self, delay_ms: f64) {
        let is_plain = self.servers[0].stage.is_none();
        let size = self.heavy_tailed();
        let tokens = (3_500.0 * size).clamp(200.0, 11_000.0);
        let factors = self.load.estimate_factors;
        let factor = factors[self.rng.random_range(0..factors.len())];
        let mut spec = if is_plain {
            plain_spec(RequestKind::Idempotent, 2)
        } else {
            model_spec(RequestKind::Stream { resumable: true }, 2)
        };
        if let Some(model) = &mut spec.model {
            model.prompt_tokens = Tokens((tokens * factor) as u64);
            model.answer_tokens = Some(Tokens(70));
            spec.latency_target = DurationUs::from_ms(800);
            self.figures.prompt_tokens += tokens as u64;
        }
        spec.route = RouteId::of("r");
        let arrived_at = self.now + duration(delay_ms);
        let timeout = spec.deadline.since(TimeUs::ZERO);
        spec.arrived_at = arrived_at;
        spec.deadline = arrived_at + timeout;
        let index = self.requests.len();
        self.requests.push(Request {
            entry: self.rng.random_range(0..self.load.entries_count),
            call: Call::new(spec),
            true_tokens: tokens as u64,
            plain_ms: 15.0 * size.min(30.0),
            step: 0,
            sent: None,
            has_cache: false,
            reserved_at: None,
            has_begun: false,
            is_done: false,
        });
        self.at(delay_ms, Event::Next(index, 0));
        self.at(delay_ms + timeout.as_ms() as f64, Event::Deadline(index));
    }

    /// Log-normal size of median 1, with a standard deviation of 0.9.
    fn heavy_tailed(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.rng.random::<f64>();
        (0.9 * radius * angle.cos()).exp()
    }

    fn speed(&self, server: usize) -> f64 {
        let server = &self.servers[server];
        let second = self.now.0 / 1_000_000;
        let fault = self.load.fault.filter(|fault| {
            fault.server == server.name && (fault.seconds.0..fault.seconds.1).contains(&second)
        });
        fault.map_or(server.speed, |fault| fault.speed)
    }

    fn advance(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.step += 1;
        let (step, now) = (request.step, self.now);
        let serving = &mut self.entries[request.entry];
        match request.call.next(now, serving) {
            Action::Reserve {
                server,
                computes_prompt,
                ..
            } => {
                if let Some(earlier) = request.reserved_at.take() {
                    self.servers[earlier].reserved -= 1;
                }
                let position = self.servers.iter().position(|engine| engine.key == server);
                let position = position.expect("a server");
                let engine = &mut self.servers[position];
                let used = engine.running + engine.reserved + engine.queue.len();
                if let Some(age_ms) = self.load.report_age_ms {
                    let free = engine.slots.saturating_sub(used) as u64;
                    let known = serving.servers.get_mut(server).expect("a server");
                    known.memory = Some(FreeMemory {
                        free_tokens: Tokens(free * TOKENS_PER_SLOT),
                        total_tokens: Tokens(engine.slots as u64 * TOKENS_PER_SLOT),
                        reported_at: TimeUs(now.0.saturating_sub(age_ms * 1_000)),
                    });
                }
                if used < engine.slots {
                    engine.reserved += 1;
                    request.reserved_at = Some(position);
                    request
                        .call
                        .reserved(server, Reservation::Agent, computes_prompt);
                } else {
                    let outcome = StepOutcome::Rejected;
                    request.call.reserve_failed(now, serving, server, outcome);
                }
                self.at(1.0, Event::Next(index, step));
            }
            Action::Wait(pause) => {
                self.release_slot(index);
                self.at(pause.as_ms() as f64, Event::Next(index, step));
            }
            Action::Prefill { server, timeout } => {
                let work = request.call.spec().prefill_work();
                let id = serving.begin_work(now, server, work);
                self.send(index, server, id, Some(timeout));
            }
            Action::Run {
                server,
                cache,
                timeout,
                ..
            } => {
                if request.has_cache && cache.is_none() {
                    self.figures.wasted_tokens += request.true_tokens;
                }
                request.has_cache = cache.is_some();
                let work = request.call.spec().run_work(cache.is_some());
                let id = serving.begin_work(now, server, work);
                self.release_slot(index);
                self.send(index, server, id, timeout);
            }
            Action::ForwardFailure | Action::Refuse(_) => self.finish(index, None),
        }
    }

    fn release_slot(&mut self, index: usize) {
        if let Some(server) = self.requests[index].reserved_at.take() {
            self.servers[server].reserved -= 1;
        }
    }

    fn send(&mut self, index: usize, key: ServerKey, id: WorkId, timeout: Option<DurationUs>) {
        let entry = self.requests[index].entry;
        self.entries[entry].begin_request(key);
        let server = self.servers.iter().position(|server| server.key == key);
        let server = server.expect("a server");
        self.requests[index].sent = Some((server, id, self.now));
        let step = self.requests[index].step;
        if let Some(timeout) = timeout {
            let event = Event::Failed(index, step, StepOutcome::TimedOut);
            self.at(timeout.as_ms() as f64, event);
        }
        let is_failing = self.speed(server) == 0.0;
        let is_full =
            self.servers[server].stage.is_none() && self.servers[server].queue.len() >= 24;
        if is_failing || is_full {
            let outcome = if is_full {
                StepOutcome::Rejected
            } else {
                StepOutcome::Failed
            };
            return self.at(2.0, Event::Failed(index, step, outcome));
        }
        self.servers[server].queue.push_back((index, step));
        self.start_queued(server);
    }

    fn start_queued(&mut self, server: usize) {
        while self.servers[server].running < self.servers[server].slots {
            let Some((index, step)) = self.servers[server].queue.pop_front() else {
                return;
            };
            let request = &self.requests[index];
            if request.step != step {
                continue;
            }
            let prefill_ms = request.true_tokens as f64 / PREFILL_TOKENS_PER_MS;
            let ms = match self.servers[server].stage {
                None => request.plain_ms,
                Some(Stage::Prefill) => prefill_ms,
                Some(Stage::Decode) if request.has_cache => OUTPUT_MS,
                Some(Stage::Decode) => OUTPUT_MS + 2.0 * prefill_ms,
            };
            self.requests[index].has_begun = self.servers[server].stage == Some(Stage::Decode);
            self.servers[server].running += 1;
            let event = Event::Finished(server, index, step, self.now);
            self.at(ms / self.speed(server).max(0.05), event);
        }
    }

    fn succeed(&mut self, index: usize, server: usize, started_at: TimeUs) {
        let (now, key) = (self.now, self.servers[server].key);
        let stage = self.servers[server].stage;
        let duration_ms = now.since(started_at).0 as f64 / 1_000.0;
        let request = &mut self.requests[index];
        let (_, work, sent_at) = request.sent.take().expect("a step that was sent");
        let responded_at = if stage == Some(Stage::Decode) {
            let output_ms = duration_ms * (1.0 - FIRST_EVENT_MS / OUTPUT_MS);
            let prefill_ms = request.true_tokens as f64 / PREFILL_TOKENS_PER_MS;
            let share = OUTPUT_MS / (OUTPUT_MS + 2.0 * prefill_ms);
            let output_ms = output_ms * if request.has_cache { 1.0 } else { share };
            started_at + duration(duration_ms - output_ms)
        } else {
            now
        };
        let serving = &mut self.entries[request.entry];
        serving.end_request(key);
        serving.end_work(now, key, work, Some(responded_at.since(sent_at)));
        if stage == Some(Stage::Prefill) {
            request.has_cache = true;
            let cache = CacheRef {
                server: key,
                region: serving
                    .servers
                    .get(key)
                    .and_then(|server| server.region.clone()),
                handle: format!("{index}"),
            };
            request.call.prefill_done(now, serving, cache);
            let step = request.step;
            self.at(1.0, Event::Next(index, step));
        } else {
            request.call.run_answered(now, serving, key);
            self.finish(index, Some(responded_at));
        }
    }

    /// Ends the current step without a response. A prompt that is being computed is completed.
    fn abandon_step(&mut self, index: usize, was_accepted: bool) -> Option<(ServerKey, bool)> {
        let request = &mut self.requests[index];
        request.step += 1;
        let (server, work, _) = request.sent.take()?;
        let server = &self.servers[server];
        let serving = &mut self.entries[request.entry];
        serving.end_request(server.key);
        serving.end_work(self.now, server.key, work, None);
        let is_prefill = server.stage == Some(Stage::Prefill);
        if was_accepted && !is_prefill && request.has_cache {
            self.figures.wasted_tokens += request.true_tokens;
        }
        Some((server.key, is_prefill))
    }

    fn fail(&mut self, index: usize, outcome: StepOutcome) {
        let was_accepted = outcome == StepOutcome::TimedOut;
        if was_accepted && self.requests[index].has_begun {
            return;
        }
        let Some((key, is_prefill)) = self.abandon_step(index, was_accepted) else {
            return;
        };
        let request = &mut self.requests[index];
        let serving = &mut self.entries[request.entry];
        if is_prefill {
            request.call.prefill_failed(self.now, serving, key, outcome);
        } else {
            request.has_cache &= outcome == StepOutcome::Rejected;
            request.call.run_failed(self.now, serving, key, outcome);
        }
        let step = request.step;
        self.at(1.0, Event::Next(index, step));
    }

    fn finish(&mut self, index: usize, responded_at: Option<TimeUs>) {
        self.release_slot(index);
        let request = &mut self.requests[index];
        request.is_done = true;
        request.step += 1;
        let spec = request.call.spec();
        let latency = responded_at.map(|at| at.since(spec.arrived_at));
        let is_late = latency.is_none_or(|latency| latency > spec.latency_target);
        self.figures.late += usize::from(is_late);
        // A request without a response counts with its whole timeout.
        let lost = spec.deadline.since(spec.arrived_at);
        self.latencies.push(latency.unwrap_or(lost).0);
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times of a few minutes, not negative"
)]
fn duration(ms: f64) -> DurationUs {
    DurationUs((ms * 1_000.0) as u64)
}

/// Alternative under comparison: the least loaded of two servers that are drawn at random, by the
/// requests in flight of this entry.
#[derive(Debug)]
pub(crate) struct LeastOfTwo;

impl PlacementPolicy for LeastOfTwo {
    fn choose(
        &self,
        now: TimeUs,
        servers: &ServerTable,
        request: PlacementRequest<'_>,
        rng: &mut dyn Rng,
    ) -> Result<ServerKey, PlacementError> {
        let usable: Vec<_> = servers
            .of_service(request.service)
            .filter(|(key, server)| {
                server.record.stage == request.stage
                    && !request.excluded.contains(key)
                    && server.held_back_until(now).is_none()
            })
            .collect();
        let drawn = |rng: &mut dyn Rng| usable.get(rng.random_range(0..usable.len().max(1)));
        let two = [drawn(rng), drawn(rng)];
        let least = two.into_iter().flatten();
        let least = least.min_by_key(|(_, server)| server.in_flight_count);
        least.map(|(key, _)| *key).ok_or(PlacementError::None)
    }
}
