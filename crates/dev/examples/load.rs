//! Open-loop load on running entries, measured at the caller.
//!
//! Requests start at their planned times whether or not earlier ones have ended, and every latency
//! counts from the planned time, so a slow answer cannot hide the requests behind it.
//!
//! With `--direct`, given once for a prefill engine and once for a decode engine, every tenth model
//! request goes to these engines without entry and agents. The last lines show the difference.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, BufRead, BufReader};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use cuminlead_dev::caller::{Caller, Received};
use cuminlead_dev::client;
use cuminlead_dev::engine::text;
use cuminlead_dev::fleet::requests::Question;
use gumdrop::Options;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

const REQUEST_LIMIT: Duration = Duration::from_secs(110);
/// One in so many model requests is direct, so that direct load stays small.
const DIRECT_EVERY: u64 = 10;
/// Three digits keep percentiles within 0.1%.
const DIGITS: u8 = 3;
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];
const US_PER_MS: f64 = 1_000.0;

#[derive(Clone, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address of an entry for callers; may be repeated", no_short)]
    entry: Vec<String>,
    #[options(help = "key of a customer", no_short)]
    key: String,
    #[options(help = "requests in a second", default = "10", no_short)]
    rate: f64,
    #[options(help = "time in which requests start", default = "10", no_short)]
    seconds: f64,
    #[options(help = "share of application calls", default = "0", no_short)]
    applications: f64,
    #[options(help = "engine to call directly; one of each role", no_short)]
    direct: Vec<String>,
    #[options(
        help = "name of the routing policy, for the table",
        default = "default",
        no_short
    )]
    policy: String,
    #[options(help = "model", default = "repair-notes", no_short)]
    model: String,
    #[options(help = "version of the model", default = "v1", no_short)]
    version: String,
    #[options(help = "service of application calls", default = "counter", no_short)]
    service: String,
    #[options(help = "path of application calls", default = "/charges", no_short)]
    path: String,
    #[options(help = "tokens of a prompt", default = "1000", no_short)]
    prompt_tokens: usize,
    #[options(help = "most tokens of an answer", default = "32", no_short)]
    output_tokens: u64,
    #[options(help = "first-token target", default = "360", no_short)]
    first_token_ms: u64,
    #[options(help = "between-tokens target", default = "30", no_short)]
    between_tokens_ms: u64,
}

/// Way that a request takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Way {
    Model,
    Direct,
    Application,
}

impl Way {
    fn row(self, policy: &str) -> String {
        match self {
            Self::Model => policy.to_string(),
            Self::Direct => "(direct)".to_string(),
            Self::Application => format!("{policy} (applications)"),
        }
    }
}

/// What came of one request.
struct Outcome {
    way: Way,
    /// Time from the planned start to each part of the answer.
    arrivals: Vec<Duration>,
    tokens_count: u64,
    error: Option<String>,
}

/// Engines that are called directly.
#[derive(Clone)]
struct Engines {
    prefill: String,
    decode: String,
}

/// Everything that requests share.
struct Load {
    arguments: Arguments,
    callers: Vec<Caller>,
    engines: Option<Engines>,
    run: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.entry.is_empty() || arguments.key.is_empty() {
        return Err("--entry and --key are needed".into());
    }
    let callers = arguments.entry.iter();
    let load = Arc::new(Load {
        callers: callers
            .map(|entry| Caller::new(entry, &arguments.key, REQUEST_LIMIT))
            .collect(),
        engines: find_engines(&arguments.direct)?,
        run: rand::random(),
        arguments,
    });
    let results = run(&load);
    print(&load.arguments, &results);
    Ok(())
}

/// Engine of each role among the addresses.
fn find_engines(addresses: &[String]) -> Result<Option<Engines>, Box<dyn Error>> {
    if addresses.is_empty() {
        return Ok(None);
    }
    let mut by_role = BTreeMap::new();
    for address in addresses {
        let url = format!("http://{address}/v1/inventory");
        let answer = client::get(&client::agent(REQUEST_LIMIT), &url)?;
        let role = answer.body["role"].as_str().unwrap_or_default();
        by_role.insert(role.to_string(), address.clone());
    }
    match (by_role.remove("prefill"), by_role.remove("decode")) {
        (Some(prefill), Some(decode)) => Ok(Some(Engines { prefill, decode })),
        _ => Err("--direct needs a prefill engine and a decode engine".into()),
    }
}

/// Starts all requests at their times and waits for them.
fn run(load: &Arc<Load>) -> Vec<Results> {
    let (sender, outcomes) = channel();
    let count = (load.arguments.rate * load.arguments.seconds).round();
    let started_at = Instant::now();
    let numbers = (0_u64..).take_while(|number| (*number as f64) < count);
    for number in numbers {
        let planned_after = Duration::from_secs_f64(number as f64 / load.arguments.rate);
        let planned_at = started_at + planned_after;
        thread::sleep(planned_at.saturating_duration_since(Instant::now()));
        start(load, number, planned_at, &sender);
    }
    drop(sender);
    let mut results = [Way::Model, Way::Direct, Way::Application].map(Results::new);
    for outcome in outcomes {
        let of_way = results.iter_mut().find(|r| r.way == outcome.way);
        if let Some(of_way) = of_way {
            of_way.add(&outcome, &load.arguments);
        }
    }
    Vec::from(results)
}

fn start(load: &Arc<Load>, number: u64, planned_at: Instant, sender: &Sender<Outcome>) {
    let load = Arc::clone(load);
    let sender = sender.clone();
    thread::spawn(move || {
        let way = load.way(number);
        let late = planned_at.elapsed();
        let ended = match way {
            Way::Model => load.ask(number),
            Way::Direct => load.ask_directly(number),
            Way::Application => load.call(number),
        };
        let mut outcome = Outcome {
            way,
            arrivals: Vec::new(),
            tokens_count: 0,
            error: None,
        };
        match ended {
            Ok(answered) => {
                outcome.arrivals = answered.arrivals.iter().map(|at| *at + late).collect();
                outcome.tokens_count = answered.tokens_count;
            }
            Err(code) => outcome.error = Some(code),
        }
        // The receiver waits for all senders.
        let _ = sender.send(outcome);
    });
}

/// Whole answer.
struct Answered {
    arrivals: Vec<Duration>,
    tokens_count: u64,
}

impl Load {
    /// Spreads application calls and direct requests evenly over the run.
    fn way(&self, number: u64) -> Way {
        let share = self.arguments.applications;
        let calls_up_to = |count: u64| (count as f64 * share).floor();
        if calls_up_to(number + 1) > calls_up_to(number) {
            Way::Application
        } else if self.engines.is_some() && number.is_multiple_of(DIRECT_EVERY) {
            Way::Direct
        } else {
            Way::Model
        }
    }

    fn question(&self, number: u64) -> Question {
        // A prompt of its own for each request, so that no prefix cache hides the prefill.
        let seed = format!("{:016x}-{number}", self.run);
        let arguments = &self.arguments;
        Question::with_document(&seed, arguments.prompt_tokens, arguments.output_tokens)
    }

    fn caller(&self, number: u64) -> &Caller {
        let count = self.callers.len() as u64;
        let index = usize::try_from(number % count).unwrap_or_default();
        &self.callers[index]
    }

    fn ask(&self, number: u64) -> Result<Answered, String> {
        let question = self.question(number);
        let caller = self.caller(number);
        let received = caller.ask(&self.arguments.model, &question.prompt, question.output_max);
        let received = check_status(received)?;
        check_answer(received.text, &question.answer, received.arrivals)
    }

    fn call(&self, number: u64) -> Result<Answered, String> {
        let started_at = Instant::now();
        let body = json!({ "reference": format!("load-{:016x}-{number}", self.run) });
        let arguments = &self.arguments;
        let caller = self.caller(number);
        check_status(caller.call(&arguments.service, &arguments.path, body))?;
        Ok(Answered {
            arrivals: vec![started_at.elapsed()],
            tokens_count: 1,
        })
    }

    fn ask_directly(&self, number: u64) -> Result<Answered, String> {
        let engines = self.engines.as_ref().ok_or("no_engine")?;
        let question = self.question(number);
        let id = format!("direct-{:016x}-{number}", self.run);
        let asked = self.ask_engines(engines, &id, &question);
        // The copy at the prefill engine is not needed any more, whatever came of the request.
        let url = format!("http://{}/v1/cancel", engines.prefill);
        let _ = client::post(&client::agent(REQUEST_LIMIT), &url, json!({ "id": id }));
        asked.map_err(|error| error.to_string())?
    }

    fn ask_engines(
        &self,
        engines: &Engines,
        id: &str,
        question: &Question,
    ) -> io::Result<Result<Answered, String>> {
        let started_at = Instant::now();
        let agent = client::agent(REQUEST_LIMIT);
        let mut body = json!({
            "id": id,
            "model": self.arguments.model,
            "version": self.arguments.version,
            "prompt": question.prompt,
        });
        let url = format!("http://{}/v1/prefill", engines.prefill);
        let prefilled = client::post(&agent, &url, &body).map_err(io::Error::other)?;
        body["prompt"] = Value::Null;
        body["from_address"] = json!(engines.prefill);
        body["handle"] = prefilled.body["handle"].clone();
        body["output_max_tokens"] = json!(question.output_max);
        let url = format!("http://{}/v1/decode", engines.decode);
        let response = agent
            .post(&url)
            .send_json(&body)
            .map_err(io::Error::other)?;
        let reader = BufReader::new(response.into_body().into_reader());
        let mut answer = String::new();
        let mut arrivals = Vec::new();
        for line in reader.lines() {
            let line: Value = serde_json::from_str(&line?)?;
            if let Some(part) = line["text"].as_str() {
                answer += part;
                arrivals.push(started_at.elapsed());
            }
        }
        let expected = text::answer(&question.prompt, question.output_max);
        Ok(check_answer(answer, &expected, arrivals))
    }
}

fn check_status(received: io::Result<Received>) -> Result<Received, String> {
    let received = received.map_err(|_| "connection_lost".to_string())?;
    if let Some(code) = received.error_code {
        return Err(code);
    }
    if received.status == 200 {
        return Ok(received);
    }
    Err(format!("status_{}", received.status))
}

fn check_answer(
    answer: String,
    expected: &str,
    arrivals: Vec<Duration>,
) -> Result<Answered, String> {
    if answer != expected || arrivals.is_empty() {
        return Err("wrong_answer".to_string());
    }
    Ok(Answered {
        arrivals,
        tokens_count: answer.matches(" w").count() as u64,
    })
}

/// Results of one way.
struct Results {
    way: Way,
    offered: u64,
    completed: u64,
    good: u64,
    first_us: Histogram<u64>,
    between_us: Histogram<u64>,
    errors: BTreeMap<String, u64>,
}

impl Results {
    fn new(way: Way) -> Self {
        let longest_us = micros(REQUEST_LIMIT);
        let histogram = || Histogram::new_with_max(longest_us, DIGITS).expect("digits in 0..=5");
        Self {
            way,
            offered: 0,
            completed: 0,
            good: 0,
            first_us: histogram(),
            between_us: histogram(),
            errors: BTreeMap::new(),
        }
    }

    fn add(&mut self, outcome: &Outcome, arguments: &Arguments) {
        self.offered += 1;
        if let Some(code) = &outcome.error {
            *self.errors.entry(code.clone()).or_default() += 1;
            return;
        }
        self.completed += 1;
        let first = outcome.arrivals.first().copied().unwrap_or_default();
        let last = outcome.arrivals.last().copied().unwrap_or_default();
        self.first_us.saturating_record(micros(first));
        for pair in outcome.arrivals.windows(2) {
            self.between_us.saturating_record(micros(pair[1] - pair[0]));
        }
        let gaps = outcome.tokens_count.saturating_sub(1).max(1);
        let mean_us = micros(last - first) / gaps;
        let is_good = micros(first) <= arguments.first_token_ms * 1_000
            && mean_us <= arguments.between_tokens_ms * 1_000;
        self.good += u64::from(is_good);
    }

    fn line(&self, arguments: &Arguments) -> String {
        let errors = self.errors.iter();
        let errors: Vec<String> = errors
            .map(|pair| format!("{}={}", pair.0, pair.1))
            .collect();
        let mut cells = vec![
            self.way.row(&arguments.policy),
            arguments.rate.to_string(),
            self.offered.to_string(),
            self.completed.to_string(),
            self.good.to_string(),
        ];
        cells.extend(quantiles_ms(&self.first_us).map(|ms| format!("{ms:.2}")));
        cells.extend(quantiles_ms(&self.between_us).map(|ms| format!("{ms:.2}")));
        cells.push(errors.join(","));
        cells.join("\t")
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn quantiles_ms(histogram: &Histogram<u64>) -> [f64; 3] {
    QUANTILES.map(|quantile| histogram.value_at_quantile(quantile) as f64 / US_PER_MS)
}

fn print(arguments: &Arguments, results: &[Results]) {
    let columns = [
        "policy",
        "load",
        "offered",
        "completed",
        "goodput",
        "ttft_p50_ms",
        "ttft_p95_ms",
        "ttft_p99_ms",
        "tbt_p50_ms",
        "tbt_p95_ms",
        "tbt_p99_ms",
        "errors",
    ];
    println!("{}", columns.join("\t"));
    for of_way in results.iter().filter(|results| results.offered > 0) {
        println!("{}", of_way.line(arguments));
    }
    let of = |way: Way| results.iter().find(|r| r.way == way && r.completed > 0);
    if let (Some(routed), Some(direct)) = (of(Way::Model), of(Way::Direct)) {
        print_added("added_ttft_ms", &routed.first_us, &direct.first_us);
        print_added("added_tbt_ms", &routed.between_us, &direct.between_us);
    }
}

/// Delay that entry and agents add at each quantile.
fn print_added(name: &str, routed: &Histogram<u64>, direct: &Histogram<u64>) {
    let routed = quantiles_ms(routed);
    let direct = quantiles_ms(direct);
    let added = [0, 1, 2].map(|index| format!("{:.2}", routed[index] - direct[index]));
    println!(
        "{name}\tp50={}\tp95={}\tp99={}",
        added[0], added[1], added[2]
    );
}
