//! Measures the delay that entry and agent add: sends the same requests through them and directly
//! to the stand-ins.
//!
//! Requests are sent one after the other. Each round sends every kind of request on both paths, and
//! the order of the paths alternates, so that the noise of the machine affects both alike. A direct
//! model call performs the steps that entry and agents have the engines perform: prefill, transfer
//! and decode. The two prompts of a round differ in a word of equal length, so that no prefix cache
//! serves the second one.

use std::io::{self, BufRead, BufReader};
use std::time::{Duration, Instant};

use cuminlead_protocol::EngineRole;
use serde_json::{Value, json};
use ureq::Agent;

use super::table::micros;
use super::target::{RunningServer, Target};
use cuminlead_fleet::caller::{Caller, Received};
use cuminlead_fleet::requests::{Question, USER_PREFIX};
use cuminlead_measure::latency::DurationHistogram;
use cuminlead_stand_ins::client::{self, JsonAnswer};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(110);
const LOOK_UP_PATH: &str = "/stock?item=spring";
/// Output limit; every output of a stand-in would be longer, so all outputs are equally long.
const OUTPUT_TOKENS: u64 = 16;
/// Rounds that establish the connections and are not counted.
const WARM_UP_ROUNDS: u64 = 20;

/// Header line with the column names, in the order of [`AddedDelay::lines`].
pub const HEADER: &str = "path\trounds\tttft_p50_ms\tttft_p95_ms\tttft_p99_ms\ttbt_p50_ms\t\
    tbt_p95_ms\ttbt_p99_ms\tcall_p50_ms\tcall_p95_ms\tcall_p99_ms\tlookup_p50_ms\tlookup_p95_ms\t\
    lookup_p99_ms";

/// Arguments of the stand-in engines: short decode steps, so that the added delay is a visible part
/// of the latency.
pub const ENGINE_ARGUMENTS: [&str; 6] = [
    "--prefill-rate",
    "100000",
    "--step-us",
    "2000",
    "--step-per-sequence-us",
    "0",
];

/// Parameters of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct AddedPlan {
    /// Seed of the prompts.
    pub seed: u64,
    /// Time during which new rounds are started.
    pub length: Duration,
    /// Prompt length in tokens.
    pub prompt_tokens: usize,
}

#[derive(Clone, Debug, Default)]
struct PathTimes {
    first_token: DurationHistogram,
    between_tokens: DurationHistogram,
    call: DurationHistogram,
    look_up: DurationHistogram,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Path {
    Routed,
    Direct,
}

/// Latencies on both paths.
#[derive(Clone, Debug, Default)]
pub struct AddedDelay {
    routed: PathTimes,
    direct: PathTimes,
}

/// Sends requests on both paths over persistent connections.
struct Sender<'a> {
    target: &'a Target,
    callers: Vec<Caller>,
    agent: Agent,
    prefill: Vec<&'a RunningServer>,
    decode: Vec<&'a RunningServer>,
    services: Vec<&'a RunningServer>,
    plan: AddedPlan,
}

impl AddedDelay {
    /// Sends rounds until the time of the plan is over. Fails at the first request that fails or
    /// gets an unexpected response.
    pub fn measure(target: &Target, plan: AddedPlan) -> io::Result<Self> {
        let sender = Sender::new(target, plan);
        let mut warm_up = Self::default();
        for round in 0..WARM_UP_ROUNDS {
            sender.round(round, &mut warm_up)?;
        }
        let mut measured = Self::default();
        let started_at = Instant::now();
        for round in WARM_UP_ROUNDS.. {
            if started_at.elapsed() >= plan.length {
                break;
            }
            sender.round(round, &mut measured)?;
        }
        Ok(measured)
    }

    /// Table lines of both paths and of the difference of their percentiles, in milliseconds.
    pub fn lines(&self) -> [String; 3] {
        let (routed, direct) = (self.routed.percentiles(), self.direct.percentiles());
        let added = routed
            .iter()
            .zip(&direct)
            .map(|(routed, direct)| routed - direct);
        let added: Vec<f64> = added.collect();
        let rounds = self.routed.call.count();
        let line = |name: &str, cells: &[f64]| {
            let cells: Vec<String> = cells.iter().map(|ms| format!("{ms:.2}")).collect();
            format!("{name}\t{rounds}\t{}", cells.join("\t"))
        };
        [
            line("routed", &routed),
            line("direct", &direct),
            line("added", &added),
        ]
    }

    fn times(&mut self, path: Path) -> &mut PathTimes {
        match path {
            Path::Routed => &mut self.routed,
            Path::Direct => &mut self.direct,
        }
    }
}

impl PathTimes {
    fn percentiles(&self) -> Vec<f64> {
        let all = [
            &self.first_token,
            &self.between_tokens,
            &self.call,
            &self.look_up,
        ];
        all.iter()
            .flat_map(|times| times.percentiles_ms())
            .collect()
    }
}

impl<'a> Sender<'a> {
    fn new(target: &'a Target, plan: AddedPlan) -> Self {
        let entries = target.entries.iter();
        let callers =
            entries.map(|entry| Caller::new(&entry.caller_address, &target.key, REQUEST_TIMEOUT));
        Self {
            target,
            callers: callers.collect(),
            agent: client::agent(REQUEST_TIMEOUT),
            prefill: target.with_role(Some(EngineRole::Prefill)).collect(),
            decode: target.with_role(Some(EngineRole::Decode)).collect(),
            services: target.with_role(None).collect(),
            plan,
        }
    }

    fn round(&self, round: u64, delay: &mut AddedDelay) -> io::Result<()> {
        let paths = match round.is_multiple_of(2) {
            true => [Path::Routed, Path::Direct],
            false => [Path::Direct, Path::Routed],
        };
        for path in paths {
            self.model_call(round, path, delay.times(path))?;
        }
        for path in paths {
            self.service_call(round, path, delay.times(path))?;
        }
        for path in paths {
            self.look_up(round, path, delay.times(path))?;
        }
        Ok(())
    }

    fn model_call(&self, round: u64, path: Path, times: &mut PathTimes) -> io::Result<()> {
        let word = match path {
            Path::Routed => "r",
            Path::Direct => "d",
        };
        let seed = format!("{:016x}-{round:08}-{word}", self.plan.seed);
        let question = Question::with_document(&seed, self.plan.prompt_tokens, OUTPUT_TOKENS);
        let arrivals = match path {
            Path::Routed => {
                let model = self.target.deployment.model;
                let caller = round_robin(&self.callers, round);
                let received = caller.ask(model, &question.prompt, OUTPUT_TOKENS)?;
                question.check(&received)?;
                received.arrivals
            }
            Path::Direct => self.direct_model_call(round, &question)?,
        };
        times.first_token.record(micros(arrivals[0]));
        for pair in arrivals.windows(2) {
            times.between_tokens.record(micros(pair[1] - pair[0]));
        }
        Ok(())
    }

    fn direct_model_call(&self, round: u64, question: &Question) -> io::Result<Vec<Duration>> {
        let (prefill, decode) = (
            round_robin(&self.prefill, round),
            round_robin(&self.decode, round),
        );
        let id = format!("direct-{:016x}-{round}", rand::random::<u64>());
        let started_at = Instant::now();
        let mut body = json!({
            "id": id,
            "model": self.target.deployment.model,
            "version": self.target.deployment.version,
            "prompt": format!("{USER_PREFIX}{}", question.prompt),
        });
        let prefilled = self.post(prefill, "/v1/prefill", &body)?;
        body["prompt"] = Value::Null;
        body["from_address"] = json!(prefill.address);
        body["handle"] = prefilled.body["handle"].clone();
        body["output_max_tokens"] = json!(OUTPUT_TOKENS);
        let url = format!("http://{}/v1/decode", decode.address);
        let response = self.agent.post(&url).send_json(&body);
        let response = response.map_err(io::Error::other)?;
        let reader = BufReader::new(response.into_body().into_reader());
        let (mut answer, mut arrivals) = (String::new(), Vec::new());
        for line in reader.lines() {
            let line: Value = serde_json::from_str(&line?)?;
            if let Some(part) = line["text"].as_str() {
                answer += part;
                arrivals.push(started_at.elapsed());
            }
        }
        self.post(prefill, "/v1/cancel", &json!({ "id": id }))?;
        if answer == question.answer {
            return Ok(arrivals);
        }
        Err(io::Error::other(format!(
            "unexpected output on the direct path: {answer:?}"
        )))
    }

    fn service_call(&self, round: u64, path: Path, times: &mut PathTimes) -> io::Result<()> {
        let deployment = &self.target.deployment;
        let body = json!({ "reference": format!("added-{}", rand::random::<u64>()) });
        let started_at = Instant::now();
        match path {
            Path::Routed => {
                let caller = round_robin(&self.callers, round);
                check(&caller.call(deployment.service, deployment.effect_path, body)?)?;
            }
            Path::Direct => {
                let service = round_robin(&self.services, round);
                self.post(service, deployment.effect_path, &body)?;
            }
        }
        times.call.record(micros(started_at.elapsed()));
        Ok(())
    }

    fn look_up(&self, round: u64, path: Path, times: &mut PathTimes) -> io::Result<()> {
        let started_at = Instant::now();
        match path {
            Path::Routed => {
                let caller = round_robin(&self.callers, round);
                check(&caller.look_up(self.target.deployment.service, LOOK_UP_PATH)?)?;
            }
            Path::Direct => {
                let service = round_robin(&self.services, round);
                let url = format!("http://{}{LOOK_UP_PATH}", service.address);
                let answer = client::get(&self.agent, &url).map_err(io::Error::other)?;
                check_direct(&url, &answer)?;
            }
        }
        times.look_up.record(micros(started_at.elapsed()));
        Ok(())
    }

    fn post(&self, server: &RunningServer, path: &str, body: &Value) -> io::Result<JsonAnswer> {
        let url = format!("http://{}{path}", server.address);
        let answer = client::post(&self.agent, &url, body).map_err(io::Error::other)?;
        check_direct(&url, &answer)?;
        Ok(answer)
    }
}

/// Selects a server in round-robin order.
fn round_robin<T>(all: &[T], round: u64) -> &T {
    // Each server gets two consecutive rounds, so that it serves both orders of the paths.
    let number = usize::try_from(round / 2).unwrap_or_default();
    &all[number % all.len()]
}

fn check(received: &Received) -> io::Result<()> {
    match received.status {
        200 => Ok(()),
        _ => Err(io::Error::other(format!(
            "request through the entry failed: {received:?}"
        ))),
    }
}

fn check_direct(url: &str, answer: &JsonAnswer) -> io::Result<()> {
    match answer.status {
        200 => Ok(()),
        _ => Err(io::Error::other(format!(
            "request to {url} failed: {answer:?}"
        ))),
    }
}
