//! Open-loop load: requests start at planned times, whether or not earlier ones have ended.
//!
//! Every latency counts from the planned time, so that a slow response cannot hide the delay of the
//! requests behind it (coordinated omission). Each request has a thread of its own. The delay
//! between the planned time and the sending is recorded.

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
const REQUEST_TIMEOUT: Duration = Duration::from_secs(110);
/// Time before the first request in which the tool prepares to send.
const START_DELAY: Duration = Duration::from_millis(100);

/// Parameters that vary between the runs of a table.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Routing policy as shown in the table; the fleet determines the policy in use.
    pub policy: String,
    /// Offered load as a share of the capacity of the site.
    pub load: f64,
    /// Seed of the requests.
    pub seed: u64,
    /// Time during which requests are sent.
    pub length: DurationUs,
    /// Whether the stand-in engines end every output at its token limit; determines the expected
    /// output.
    pub answers_to_limit: bool,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The caller received the complete expected output.
    Answered,
    /// The caller disconnected.
    Disconnected,
    /// Refused without having run.
    NotRun,
    /// The answer is incomplete or wrong, or the outcome is unknown.
    Incomplete,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// Model call; otherwise a call of the plain service.
    pub is_model: bool,
    /// Prompt length in tokens; 0 for service calls.
    pub prompt_tokens: u64,
    /// Region of the entry that received the request.
    pub region: String,
    /// How the request ended.
    pub ending: Ending,
    /// Error code of the response, `wrong_answer`, or the text of a connection error.
    pub error: Option<String>,
    /// Time from the planned start to the first part of the answer.
    pub first_token: Duration,
    /// Longest time between two parts of the answer.
    pub longest_gap: Duration,
    /// Time from the planned start until the request was sent.
    pub send_delay: Duration,
    /// Backend servers that processed the request.
    pub servers: Vec<String>,
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct LoadRun {
    /// Results of all requests, in the order in which they ended.
    pub outcomes: Vec<RequestOutcome>,
    /// Prefix of the references of the service calls, by which the effects of this run are found at
    /// the services.
    pub reference: String,
}

/// Request that is ready to be sent at its time.
struct Planned {
    after: Duration,
    address: String,
    region: String,
    timeout: Duration,
    is_cancelled: bool,
    payload: Payload,
}

enum Payload {
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

/// Sends all requests at their planned times and waits until they have ended. Fails if a region has
/// no entry or a thread cannot be started.
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
    let started_at = Instant::now() + START_DELAY;
    for planned in planned {
        let at = started_at + planned.after;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        spawn_request(&target, planned, at, &sender)?;
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
    let entry = entries.find(|entry| entry.spec.region == region);
    let entry =
        entry.ok_or_else(|| io::Error::other(format!("fleet has no entry in region {region}")))?;
    let mut cancel_after = None;
    let payload = match arrival.kind {
        RequestKind::Service => Payload::Service {
            reference: format!("{reference}{number}"),
        },
        RequestKind::Model {
            prompt,
            output_tokens,
            cancel_after_us,
        } => {
            cancel_after = cancel_after_us.map(|after| Duration::from_micros(after.get()));
            let prompt = prompt.render(number);
            let answer = answer(&prompt, output_tokens, plan.answers_to_limit);
            Payload::Model {
                prompt_tokens: Tokens::estimate(&prompt).get(),
                prompt,
                output_max: output_tokens.get(),
                answer,
            }
        }
    };
    Ok(Planned {
        after: Duration::from_micros(arrival.at.0),
        address: entry.caller_address.clone(),
        region,
        timeout: cancel_after
            .unwrap_or(REQUEST_TIMEOUT)
            .max(Duration::from_millis(1)),
        is_cancelled: cancel_after.is_some(),
        payload,
    })
}

fn answer(prompt: &str, output_max: Tokens, to_limit: bool) -> String {
    let prompt = format!("{USER_PREFIX}{prompt}");
    match to_limit {
        true => text::answer_to_limit(&prompt, output_max.get()),
        false => text::answer(&prompt, output_max.get()),
    }
}

fn spawn_request(
    target: &Arc<Target>,
    planned: Planned,
    at: Instant,
    sender: &Sender<RequestOutcome>,
) -> io::Result<()> {
    let target = Arc::clone(target);
    let sender = sender.clone();
    let run = move || {
        // The receiver reads until all senders are dropped, so sending cannot fail.
        let _ = sender.send(send_request(&target, &planned, at));
    };
    thread::Builder::new().spawn(run).map(drop)
}

fn send_request(target: &Target, planned: &Planned, at: Instant) -> RequestOutcome {
    let caller = Caller::new(&planned.address, &target.key, planned.timeout);
    let deployment = &target.deployment;
    let send_delay = at.elapsed();
    let mut outcome = RequestOutcome {
        is_model: matches!(planned.payload, Payload::Model { .. }),
        prompt_tokens: 0,
        region: planned.region.clone(),
        ending: Ending::Incomplete,
        error: None,
        first_token: Duration::ZERO,
        longest_gap: Duration::ZERO,
        send_delay,
        servers: Vec::new(),
    };
    let received = match &planned.payload {
        Payload::Model {
            prompt,
            prompt_tokens,
            output_max,
            ..
        } => {
            outcome.prompt_tokens = *prompt_tokens;
            caller.ask(deployment.model, prompt, *output_max)
        }
        Payload::Service { reference } => {
            let body = json!({ "reference": reference, "amount": 1 });
            caller.call(deployment.service, deployment.effect_path, body)
        }
    };
    match received {
        Ok(received) => record_response(&mut outcome, planned, &received),
        Err(_) if planned.is_cancelled => outcome.ending = Ending::Disconnected,
        Err(error) => outcome.error = Some(error.to_string()),
    }
    outcome
}

fn record_response(outcome: &mut RequestOutcome, planned: &Planned, received: &Received) {
    outcome.error.clone_from(&received.error_code);
    let servers = received.servers.split(',').map(str::trim);
    outcome.servers = servers
        .filter(|id| !id.is_empty())
        .map(str::to_string)
        .collect();
    let is_complete = match &planned.payload {
        Payload::Model { answer, .. } => received.finish.is_some() && received.text == *answer,
        Payload::Service { .. } => true,
    };
    if received.error_code.is_none() && received.finish.is_some() && !is_complete {
        outcome.error = Some("wrong_answer".to_string());
    }
    // An error after the head of a stream has status 200 and may still report that nothing ran.
    let is_not_run = received.outcome.as_deref() == Some("not_run");
    outcome.ending = match received.status {
        200 if received.error_code.is_none() && is_complete => Ending::Answered,
        _ if is_not_run => Ending::NotRun,
        _ => Ending::Incomplete,
    };
    let first = received.arrivals.first().copied().unwrap_or_default();
    outcome.first_token = outcome.send_delay + first;
    let gaps = received.arrivals.windows(2).map(|pair| pair[1] - pair[0]);
    outcome.longest_gap = gaps.max().unwrap_or_default();
}
