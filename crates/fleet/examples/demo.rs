//! Runs a complete deployment on loopback and sends one model request and one service call.

use std::error::Error;
use std::io;
use std::time::Duration;

use cuminlead_fleet::caller::{Caller, Received};
use cuminlead_fleet::deployment::Deployment;
use cuminlead_fleet::lists::ListsSource;
use cuminlead_fleet::{Fleet, FleetConfig};
use cuminlead_stand_ins::engine::text;
use gumdrop::Options;
use serde_json::json;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(110);
const OUTPUT_MAX: u64 = 64;
/// Lines of the prompt; this many are about 5,000 tokens.
const DOCUMENT_LINES: u32 = 400;

#[derive(Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "relojeria or bucaramanga", default = "relojeria")]
    deployment: String,
    #[options(help = "leave all processes running at the end", no_short)]
    keep: bool,
    #[options(help = "number of an entry to kill before the requests", no_short)]
    without_entry: Option<usize>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let deployment: Deployment = arguments.deployment.parse()?;
    let lists = ListsSource::examples_of(&deployment);
    let config = FleetConfig {
        lists,
        ..FleetConfig::new(deployment)
    };
    let mut fleet = match Fleet::start(config) {
        Ok(fleet) => fleet,
        Err(error) => return fail(&error),
    };
    println!("started deployment={}", fleet.config.deployment.name);
    let sent = send_requests(&mut fleet, arguments.without_entry);
    if let Err(error) = sent {
        return fail(&fleet.explain(&error));
    }
    if arguments.keep {
        print_processes(&fleet);
        fleet.keep();
        return Ok(());
    }
    match fleet.stop() {
        Ok(()) => println!("stopped"),
        Err(error) => return fail(&error),
    }
    Ok(())
}

fn fail(error: &io::Error) -> Result<(), Box<dyn Error>> {
    eprintln!("{error}");
    Err("the demo failed".into())
}

fn send_requests(fleet: &mut Fleet, without_entry: Option<usize>) -> io::Result<()> {
    let mut entries = Vec::new();
    for spec in fleet.config.deployment.entries.clone() {
        entries.push(spec.name);
    }
    if let Some(number) = without_entry {
        let name = format!("entry-{number}");
        fleet.process(&name)?.kill();
        entries.retain(|entry| *entry != name);
        println!("killed process={name}");
    }
    let entry = entries
        .first()
        .ok_or_else(|| io::Error::other("the deployment has no running entry"))?;
    let address = fleet.address(entry, "callers")?;
    println!("using entry={entry} address={address}");
    let caller = Caller::new(&address, &fleet.key, REQUEST_TIMEOUT);
    ask_model(fleet, &caller)?;
    call_service(fleet, &caller)
}

fn ask_model(fleet: &Fleet, caller: &Caller) -> io::Result<()> {
    let lines = (0..DOCUMENT_LINES)
        .map(|n| format!("Line {n} of a long repair document, part {}.\n", n % 7));
    let document: String = lines.collect();
    let received = caller.ask(fleet.config.deployment.model, &document, OUTPUT_MAX)?;
    print("model", &received);
    if let Some(first) = received.arrivals.first() {
        println!("model first_token_ms={}", first.as_millis());
    }
    if received.status == 200 && text::is_whole(&received.text, OUTPUT_MAX) {
        return Ok(());
    }
    Err(io::Error::other(
        "the model request returned no complete output",
    ))
}

fn call_service(fleet: &Fleet, caller: &Caller) -> io::Result<()> {
    let deployment = &fleet.config.deployment;
    let body = json!({ "reference": "demo-1", "amount": 1 });
    let received = caller.call(deployment.service, deployment.effect_path, body)?;
    print("application", &received);
    if received.status == 200 {
        return Ok(());
    }
    Err(io::Error::other(
        "the service call did not return status 200",
    ))
}

fn print(kind: &str, received: &Received) {
    println!(
        "{kind} status={} request={} servers={}",
        received.status, received.request, received.servers
    );
    if let Some(code) = &received.error_code {
        println!("{kind} error={code}");
    }
    println!("{kind} answer: {}", received.text.trim());
}

fn print_processes(fleet: &Fleet) {
    let mut pids = Vec::new();
    for process in fleet.processes().filter(|process| !process.is_killed()) {
        let addresses = process.addresses().iter();
        let addresses: Vec<String> = addresses
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        println!(
            "process={} pid={} {}",
            process.name(),
            process.pid(),
            addresses.join(" ")
        );
        pids.push(process.pid().to_string());
    }
    println!("key={}", fleet.key);
    println!("directory={}", fleet.directory().display());
    println!("to stop: kill {}", pids.join(" "));
}
