//! Hand-over between two versions: a fleet of earlier binaries is replaced process by process by the
//! present ones while requests run, and back again.

use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cuminlead_fleet::handover::{Balancer, Traffic};
use cuminlead_fleet::process::build_directory;
use cuminlead_fleet::requests::{Question, RawRequest};
use cuminlead_fleet::small::{Sizes, small};
use cuminlead_fleet::{Fleet, FleetConfig, PLANS_KEY, lists};
use gumdrop::Options;

const REQUEST_LIMIT: Duration = Duration::from_secs(120);
const STEP_LIMIT: Duration = Duration::from_secs(30);
/// Longest graceful shutdown in the design.
const SHUTDOWN_MAX: Duration = Duration::from_secs(120);
/// A permit that was not used is void after this time.
const PERMIT_TTL: Duration = Duration::from_secs(2);
const CALLERS_COUNT: usize = 4;
/// Requests that must end after each replacement.
const REQUESTS_PER_STEP: usize = 8;
const SIZES: Sizes = Sizes {
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

/// State of one hand-over.
struct Handover {
    fleet: Fleet,
    balancer: Balancer,
    /// Highest revision of the lists that was published.
    revision: u64,
    edits_count: usize,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let earlier = arguments.earlier.canonicalize()?;
    let mut config = FleetConfig::new(small(SIZES));
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
        let decided = self.fleet.decisions("entry-1", REQUEST_LIMIT)?;
        self.check_version(earlier)?;
        for decision in &decided {
            println!("decided {decision}");
        }
        for entry in ["entry-1", "entry-2"] {
            self.balancer.add(&self.fleet, entry, REQUEST_LIMIT)?;
        }
        let model = self.fleet.config.deployment.model;
        let traffic = Traffic::start(&self.balancer, model, CALLERS_COUNT);
        let mut replaced = Ok(());
        for (to, directory) in [("present", build_directory()), ("earlier", earlier.into())] {
            replaced = self.replace_all(to, &directory, &traffic, &decided);
            if replaced.is_err() {
                break;
            }
        }
        let seen = traffic.stop();
        println!(
            "requests whole={} not_run={} wrong={} calls={}",
            seen.whole,
            seen.not_run.len(),
            seen.wrong.len(),
            seen.claims.len()
        );
        for refused in &seen.not_run {
            println!("not_run {refused}");
        }
        replaced?;
        std::thread::sleep(PERMIT_TTL);
        seen.check(&self.fleet.effects()?)
    }

    /// Replaces every process by one of the binaries in a directory.
    fn replace_all(
        &mut self,
        to: &str,
        directory: &Path,
        traffic: &Traffic,
        decided: &[String],
    ) -> io::Result<()> {
        for name in self.fleet.own_processes() {
            let before = traffic.count();
            self.replace(&name, directory)?;
            self.publish_edit()?;
            let enough = traffic.count() + REQUESTS_PER_STEP;
            self.fleet.wait_for("requests go on", STEP_LIMIT, |_| {
                Ok(traffic.count() >= enough)
            })?;
            println!(
                "replaced process={name} by={to} lists_revision={} requests={}",
                self.revision,
                traffic.count() - before
            );
        }
        self.check_version(directory)?;
        for entry in ["entry-1", "entry-2"] {
            let now = self.fleet.decisions(entry, REQUEST_LIMIT)?;
            if now != decided {
                let reason = format!("{entry} decides {now:#?}, before {decided:#?}");
                return Err(io::Error::other(reason));
            }
        }
        println!("all processes by={to} decisions={} same", decided.len());
        Ok(())
    }

    fn replace(&mut self, name: &str, directory: &Path) -> io::Result<()> {
        self.balancer.remove(name);
        self.fleet.use_binaries(name, directory);
        self.fleet.replace(name)?;
        self.fleet.wait_until_ready()?;
        if name.starts_with("entry") {
            self.balancer.add(&self.fleet, name, REQUEST_LIMIT)?;
        }
        let hosts = self.fleet.read("platform", "address", "/v1/hosts")?;
        let hosts_revision = &hosts["revision"];
        for process in self.fleet.own_processes() {
            self.check_revision(&process)?;
            let what = format!("{process} knows the new {name}");
            self.fleet.wait_for(&what, STEP_LIMIT, |fleet| {
                Ok(fleet.status(&process)?["hosts_revision"] == *hosts_revision)
            })?;
        }
        Ok(())
    }

    /// Error when the lists of a process are older than those that every process has had.
    fn check_revision(&self, process: &str) -> io::Result<()> {
        let revision = self.fleet.lists_revision(process)?;
        if revision >= self.revision {
            return Ok(());
        }
        let reason = format!("{process} is back at {revision} from {}", self.revision);
        Err(io::Error::other(reason))
    }

    /// Publishes a customer and waits until every process has it, whichever version sends it on.
    fn publish_edit(&mut self) -> io::Result<()> {
        self.edits_count += 1;
        let key = format!("key-of-edit-{}", self.edits_count);
        let plans = lists::plans(&self.fleet.config, &self.fleet.key);
        let edited = plans + &lists::customer("of-edit", &key);
        self.fleet.publish(PLANS_KEY, &edited)?;
        let wanted = self.revision + 1;
        for process in self.fleet.own_processes() {
            let what = format!("{process} has revision {wanted}");
            self.fleet.wait_for(&what, STEP_LIMIT, |fleet| {
                Ok(fleet.lists_revision(&process)? >= wanted)
            })?;
        }
        self.revision = wanted;
        self.check_customer(&key)
    }

    /// Error unless both entries and the agents of a request know the customer: a process can have a
    /// revision without its text when versions understand a message differently.
    fn check_customer(&self, key: &str) -> io::Result<()> {
        let body = self.fleet.body_of(&Question::new(key, 2));
        let request = RawRequest::new("/v1/chat/completions", body)
            .with("authorization", format!("Bearer {key}"));
        for entry in ["entry-1", "entry-2"] {
            let address = self.fleet.address(entry, "callers")?;
            let answer = request.send(&address, REQUEST_LIMIT)?;
            if answer.status != 200 {
                let reason = format!("{entry} answers {}: {}", answer.status, answer.body);
                return Err(io::Error::other(reason));
            }
        }
        Ok(())
    }

    /// Error unless every process runs a binary of the directory.
    fn check_version(&self, directory: &Path) -> io::Result<()> {
        let names = self.fleet.own_processes();
        let own = self.fleet.processes();
        let own = own.filter(|process| names.iter().any(|name| name == process.name()));
        for process in own {
            let path = &process.program().path;
            if !path.starts_with(directory) {
                let reason = format!("{} runs {}", process.name(), path.display());
                return Err(io::Error::other(reason));
            }
        }
        Ok(())
    }
}
