//! Hand-over between two versions while requests are in flight.
//!
//! Starts a fleet of earlier binaries, replaces its processes one by one with those of this build,
//! and then replaces them with the earlier ones again. After each replacement, requests must
//! continue and an edit of the lists must reach every process.

use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cuminlead_fleet::handover::{Balancer, Traffic};
use cuminlead_fleet::process::build_directory;
use cuminlead_fleet::requests::{Question, RawRequest};
use cuminlead_fleet::small_deployment::{ServerCounts, small_deployment};
use cuminlead_fleet::{Fleet, FleetConfig, PLANS_KEY, lists};
use gumdrop::Options;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit of the design for a graceful shutdown.
const SHUTDOWN_MAX: Duration = Duration::from_secs(120);
/// Lifetime of a permit: one that has not started by then is void.
const PERMIT_TTL: Duration = Duration::from_secs(2);
const CALLERS_COUNT: usize = 4;
/// Number of requests that must end after each replacement.
const REQUESTS_PER_STEP: usize = 8;
const SERVER_COUNTS: ServerCounts = ServerCounts {
    prefills: 2,
    decodes: 2,
    services: 2,
};

#[derive(Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "directory of the earlier binaries", required, no_short)]
    earlier: PathBuf,
}

/// Fleet whose processes are replaced, and its traffic.
struct Handover {
    fleet: Fleet,
    balancer: Balancer,
    /// Highest revision of the lists that was published; every process has had it.
    revision: u64,
    edits_count: usize,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let earlier = arguments.earlier.canonicalize()?;
    let mut config = FleetConfig::new(small_deployment(SERVER_COUNTS));
    config.shutdown_max = SHUTDOWN_MAX;
    config.binaries = Some(earlier.clone());
    let fleet = Fleet::start(config)?;
    let mut handover = Handover {
        revision: fleet.lists_revision("entry-1")?,
        fleet,
        balancer: Balancer::default(),
        edits_count: 0,
    };
    if let Err(error) = handover.run(&earlier) {
        eprintln!("{}", handover.fleet.explain(&error));
        return Err("the hand-over failed".into());
    }
    handover.fleet.stop()?;
    println!("handed over and back");
    Ok(())
}

impl Handover {
    fn run(&mut self, earlier: &Path) -> io::Result<()> {
        let expected_decisions = self.fleet.decisions("entry-1", REQUEST_TIMEOUT)?;
        self.check_version(earlier)?;
        for decision in &expected_decisions {
            println!("decided {decision}");
        }
        for entry in ["entry-1", "entry-2"] {
            self.balancer.add(&self.fleet, entry, REQUEST_TIMEOUT)?;
        }
        let model = self.fleet.config.deployment.model;
        let traffic = Traffic::start(&self.balancer, model, CALLERS_COUNT);
        let mut replaced = Ok(());
        for (to, directory) in [("present", build_directory()), ("earlier", earlier.into())] {
            replaced = self.replace_all(to, &directory, &traffic, &expected_decisions);
            if replaced.is_err() {
                break;
            }
        }
        let outcome = traffic.stop();
        println!(
            "requests whole={} not_run={} wrong={} calls={}",
            outcome.complete,
            outcome.not_run.len(),
            outcome.unexpected.len(),
            outcome.call_reports.len()
        );
        for refusal in &outcome.not_run {
            println!("not_run {refusal}");
        }
        replaced?;
        std::thread::sleep(PERMIT_TTL);
        outcome.check(&self.fleet.effects()?)
    }

    /// Replaces every process with one that runs a binary in `directory`, and checks that the new
    /// processes give the same responses as those at the start.
    fn replace_all(
        &mut self,
        to: &str,
        directory: &Path,
        traffic: &Traffic,
        expected_decisions: &[String],
    ) -> io::Result<()> {
        for name in self.fleet.agent_and_entry_names() {
            let before = traffic.count();
            self.replace(&name, directory)?;
            self.publish_edit()?;
            let count_min = traffic.count() + REQUESTS_PER_STEP;
            self.fleet
                .wait_for("requests continue", STEP_TIMEOUT, |_| {
                    Ok(traffic.count() >= count_min)
                })?;
            println!(
                "replaced process={name} by={to} lists_revision={} requests={}",
                self.revision,
                traffic.count() - before
            );
        }
        self.check_version(directory)?;
        for entry in ["entry-1", "entry-2"] {
            let now = self.fleet.decisions(entry, REQUEST_TIMEOUT)?;
            if now != expected_decisions {
                let reason =
                    format!("{entry} responds {now:#?}, at the start {expected_decisions:#?}");
                return Err(io::Error::other(reason));
            }
        }
        println!(
            "all processes by={to} decisions={} same",
            expected_decisions.len()
        );
        Ok(())
    }

    fn replace(&mut self, name: &str, directory: &Path) -> io::Result<()> {
        self.balancer.remove(name);
        self.fleet.use_binaries(name, directory);
        self.fleet.replace(name)?;
        self.fleet.wait_until_ready()?;
        if name.starts_with("entry") {
            self.balancer.add(&self.fleet, name, REQUEST_TIMEOUT)?;
        }
        let hosts = self.fleet.get_json("platform", "address", "/v1/hosts")?;
        let hosts_revision = &hosts["revision"];
        for process in self.fleet.agent_and_entry_names() {
            self.check_revision(&process)?;
            let what = format!("{process} has the host list with the new {name}");
            self.fleet.wait_for(&what, STEP_TIMEOUT, |fleet| {
                Ok(fleet.status(&process)?["hosts_revision"] == *hosts_revision)
            })?;
        }
        Ok(())
    }

    /// Error if the lists of a process are older than a revision that every process has had.
    fn check_revision(&self, process: &str) -> io::Result<()> {
        let revision = self.fleet.lists_revision(process)?;
        if revision >= self.revision {
            return Ok(());
        }
        let reason = format!(
            "{process} reverted to lists revision {revision} from {}",
            self.revision
        );
        Err(io::Error::other(reason))
    }

    /// Publishes one more customer and waits until every process has the revision, whichever version
    /// the readers that forward it run.
    fn publish_edit(&mut self) -> io::Result<()> {
        self.edits_count += 1;
        let key = format!("key-of-edit-{}", self.edits_count);
        let plans = lists::plans(&self.fleet.config, &self.fleet.key);
        let edited = plans + &lists::customer("of-edit", &key);
        self.fleet.publish(PLANS_KEY, &edited)?;
        let wanted = self.revision + 1;
        for process in self.fleet.agent_and_entry_names() {
            let what = format!("{process} has revision {wanted}");
            self.fleet.wait_for(&what, STEP_TIMEOUT, |fleet| {
                Ok(fleet.lists_revision(&process)? >= wanted)
            })?;
        }
        self.revision = wanted;
        self.check_customer(&key)
    }

    /// Error unless both entries, and the agents that they use, accept a request of the customer. If
    /// two versions interpret a message differently, a process can report a revision without having
    /// its text.
    fn check_customer(&self, key: &str) -> io::Result<()> {
        let body = self.fleet.request_body(&Question::new(key, 2));
        let request = RawRequest::new("/v1/chat/completions", body)
            .with_header("authorization", format!("Bearer {key}"));
        for entry in ["entry-1", "entry-2"] {
            let address = self.fleet.address(entry, "callers")?;
            let answer = request.send(&address, REQUEST_TIMEOUT)?;
            if answer.status != 200 {
                let reason = format!(
                    "{entry} returned status {} for the new customer: {}",
                    answer.status, answer.body
                );
                return Err(io::Error::other(reason));
            }
        }
        Ok(())
    }

    /// Error unless every agent and entry runs a binary in `directory`.
    fn check_version(&self, directory: &Path) -> io::Result<()> {
        let names = self.fleet.agent_and_entry_names();
        let own = self.fleet.processes();
        let own = own.filter(|process| names.iter().any(|name| name == process.name()));
        for process in own {
            let path = &process.program().path;
            if !path.starts_with(directory) {
                let reason = format!(
                    "{} runs the wrong binary {}",
                    process.name(),
                    path.display()
                );
                return Err(io::Error::other(reason));
            }
        }
        Ok(())
    }
}
