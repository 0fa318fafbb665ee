//! Requests that start at planned times, whether or not earlier ones have ended.
//!
//! Every latency counts from the planned time, so a slow answer cannot hide the requests behind it.
//! Each request has a thread of its own; how late it was sent is recorded.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use cuminlead_types::{DurationUs, TimeUs, Tokens};
use serde_json::json;

use super::target::Target;
use cuminlead_fleet::caller::{Caller, Received};
use cuminlead_fleet::requests::USER_PREFIX;
use cuminlead_measure::Site;
use cuminlead_measure::workload::{Arrival, RequestKind, arrivals};
use cuminlead_stand_ins::engine::text;

/// Longer than any request lasts.
const REQUEST_LIMIT: Duration = Duration::from_secs(110);
/// Time until the first request, in which all threads of the tool are ready.
const LEAD: Duration = Duration::from_millis(100);

/// What varies between the runs of a table.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Policy, for the table.
    pub policy: String,
    /// Share of capacity.
    pub load: f64,
    /// Seed of the requests.
    pub seed: u64,
    /// Time in which requests are sent.
    pub length: DurationUs,
    /// Whether the engines end answers at their limit only.
    pub answers_to_limit: bool,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Exactly its own whole answer.
    Answered,
    /// The caller went away.
    Gone,
    /// Refused as not run.
    NotRun,
    /// The answer ended early, is wrong, or its outcome is unknown.
    Incomplete,
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Model call, or a call of the plain service.
    pub is_model: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Region of the entry that was called.
    pub region: String,
    /// Ending.
    pub ended: Ended,
    /// Code of an error.
    pub error: Option<String>,
    /// Time from the planned start to the first part of the answer.
    pub first: Duration,
    /// Longest time between two parts.
    pub longest_gap: Duration,
    /// Time from the planned start until the request was sent.
    pub late: Duration,
    /// Servers that worked on the request.
    pub servers: Vec<String>,
}

/// Requests of one run and their reference at the services.
#[derive(Clone, Debug)]
pub struct LoadRun {
    /// Requests.
    pub outcomes: Vec<Outcome>,
    /// Start of the references of the calls.
    pub reference: String,
}

/// Request that is ready to be sent.
struct Planned {
    after: Duration,
    address: String,
    region: String,
    limit: Duration,
    leaves: bool,
    ask: Ask,
}

enum Ask {
    Model {
        prompt: String,
        prompt_tokens: u64,
        output_max: u64,
        answer: String,
    },
    Service {
        reference: String,
    },
}

/// Starts all requests at their times and waits for them.
pub fn run(site: &Site, target: &Target, plan: &LoadPlan) -> io::Result<LoadRun> {
    let reference = format!("load-{:016x}-", rand::random::<u64>());
    let rate = site.capacity().rate() * plan.load;
    let arrivals = arrivals(&site.shape, plan.seed, rate, TimeUs::ZERO, plan.length);
    let numbered = (1..).zip(arrivals);
    let planned =
        numbered.map(|(number, arrival)| prepare(site, target, plan, &reference, number, arrival));
    let planned: Vec<Planned> = planned.collect::<io::Result<_>>()?;
    let target = Arc::new(target.clone());
    let (sender, outcomes) = channel();
    let started_at = Instant::now() + LEAD;
    for planned in planned {
        let at = started_at + planned.after;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        start(&target, planned, at, &sender)?;
    }
    drop(sender);
    let outcomes = outcomes.iter().collect();
    Ok(LoadRun {
        outcomes,
        reference,
    })
}

fn prepare(
    site: &Site,
    target: &Target,
    plan: &LoadPlan,
    reference: &str,
    number: u64,
    arrival: Arrival,
) -> io::Result<Planned> {
    let region = site.regions()[usize::from(!arrival.is_in_first_region)].clone();
    let mut entries = target.entries.iter();
    let entry = entries.find(|entry| entry.place.region == region);
    let entry = entry.ok_or_else(|| io::Error::other(format!("no entry in region {region}")))?;
    let mut leaves_after = None;
    let ask = match arrival.kind {
        RequestKind::Service => Ask::Service {
            reference: format!("{reference}{number}"),
        },
        RequestKind::Model {
            prompt,
            output_tokens,
            cancel_after_us,
        } => {
            leaves_after = cancel_after_us.map(|after| Duration::from_micros(after.get()));
            let prompt = prompt.render(number);
            let answer = answer(&prompt, output_tokens, plan.answers_to_limit);
            Ask::Model {
                prompt_tokens: Tokens::estimate(&prompt).get(),
                prompt,
                output_max: output_tokens.get(),
                answer,
            }
        }
    };
    Ok(Planned {
        after: Duration::from_micros(arrival.at.0),
        address: entry.callers.clone(),
        region,
        limit: leaves_after
            .unwrap_or(REQUEST_LIMIT)
            .max(Duration::from_millis(1)),
        leaves: leaves_after.is_some(),
        ask,
    })
}

fn answer(prompt: &str, output_max: Tokens, to_limit: bool) -> String {
    let prompt = format!("{USER_PREFIX}{prompt}");
    match to_limit {
        true => text::answer_to_limit(&prompt, output_max.get()),
        false => text::answer(&prompt, output_max.get()),
    }
}

fn start(
    target: &Arc<Target>,
    planned: Planned,
    at: Instant,
    sender: &Sender<Outcome>,
) -> io::Result<()> {
    let target = Arc::clone(target);
    let sender = sender.clone();
    let run = move || {
        // The receiver waits for all senders.
        let _ = sender.send(send(&target, &planned, at));
    };
    thread::Builder::new().spawn(run).map(drop)
}

fn send(target: &Target, planned: &Planned, at: Instant) -> Outcome {
    let caller = Caller::new(&planned.address, &target.key, planned.limit);
    let deployment = &target.deployment;
    let late = at.elapsed();
    let mut outcome = Outcome {
        is_model: matches!(planned.ask, Ask::Model { .. }),
        prompt_tokens: 0,
        region: planned.region.clone(),
        ended: Ended::Incomplete,
        error: None,
        first: Duration::ZERO,
        longest_gap: Duration::ZERO,
        late,
        servers: Vec::new(),
    };
    let received = match &planned.ask {
        Ask::Model {
            prompt,
            prompt_tokens,
            output_max,
            ..
        } => {
            outcome.prompt_tokens = *prompt_tokens;
            caller.ask(deployment.model, prompt, *output_max)
        }
        Ask::Service { reference } => {
            let body = json!({ "reference": reference, "amount": 1 });
            caller.call(deployment.service, deployment.effect_path, body)
        }
    };
    match received {
        Ok(received) => take(&mut outcome, planned, &received),
        Err(_) if planned.leaves => outcome.ended = Ended::Gone,
        Err(error) => outcome.error = Some(error.to_string()),
    }
    outcome
}

fn take(outcome: &mut Outcome, planned: &Planned, received: &Received) {
    outcome.error.clone_from(&received.error_code);
    let servers = received.servers.split(',').map(str::trim);
    outcome.servers = servers
        .filter(|id| !id.is_empty())
        .map(str::to_string)
        .collect();
    let is_whole = match &planned.ask {
        Ask::Model { answer, .. } => received.finish.is_some() && received.text == *answer,
        Ask::Service { .. } => true,
    };
    if received.error_code.is_none() && received.finish.is_some() && !is_whole {
        outcome.error = Some("wrong_answer".to_string());
    }
    // An error after the head of a stream has status 200 and may still say that nothing ran.
    let is_not_run = received.outcome.as_deref() == Some("not_run");
    outcome.ended = match received.status {
        200 if received.error_code.is_none() && is_whole => Ended::Answered,
        _ if is_not_run => Ended::NotRun,
        _ => Ended::Incomplete,
    };
    let first = received.arrivals.first().copied().unwrap_or_default();
    outcome.first = outcome.late + first;
    let gaps = received.arrivals.windows(2).map(|pair| pair[1] - pair[0]);
    outcome.longest_gap = gaps.max().unwrap_or_default();
}
