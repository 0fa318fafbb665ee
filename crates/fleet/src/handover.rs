//! Replacement of running processes, and callers that go on meanwhile.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::Fleet;
use super::claims::{Charger, Claim, Claimed};
use super::process::Signal;
use super::requests::Question;
use crate::caller::Caller;

/// More than the leading blocks by which routers tell prompts apart, so that all servers are used.
const PROMPT_TOKENS: usize = 400;
const OUTPUT_MAX: u64 = 64;

/// Entries that callers may use, as a balancer keeps them.
#[derive(Clone, Default)]
pub struct Balancer(Arc<Mutex<BTreeMap<String, Target>>>);

#[derive(Clone)]
struct Target {
    caller: Caller,
    charger: Charger,
}

impl Balancer {
    /// Sends later requests to an entry as well.
    pub fn add(&self, fleet: &Fleet, entry: &str, limit: Duration) -> io::Result<()> {
        let target = Target {
            caller: fleet.caller(entry, limit)?,
            charger: fleet.charger(entry, limit)?,
        };
        self.lock().insert(entry.to_string(), target);
        Ok(())
    }

    /// Sends no later request to an entry.
    pub fn remove(&self, entry: &str) {
        self.lock().remove(entry);
    }

    /// One of the entries, in turn.
    fn choose(&self, turn: usize) -> Option<Target> {
        let targets = self.lock();
        targets.values().nth(turn % targets.len().max(1)).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Target>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What callers saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Claims about non-idempotent calls.
    pub claims: Vec<Claimed>,
    /// Model requests that were answered whole.
    pub whole: usize,
    /// Errors of model requests that were refused as not run.
    pub not_run: Vec<String>,
    /// Model requests with any other end.
    pub wrong: Vec<String>,
}

/// Requests of both kinds that are sent over a balancer until they are stopped.
pub struct Traffic {
    is_stopped: Arc<AtomicBool>,
    count: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<Seen>>,
}

impl Traffic {
    /// Starts `threads_count` callers.
    pub fn start(balancer: &Balancer, model: &'static str, threads_count: usize) -> Self {
        let mut traffic = Self {
            is_stopped: Arc::default(),
            count: Arc::default(),
            threads: Vec::new(),
        };
        for number in 0..threads_count {
            let balancer = balancer.clone();
            let is_stopped = Arc::clone(&traffic.is_stopped);
            let count = Arc::clone(&traffic.count);
            let thread = std::thread::spawn(move || {
                let mut seen = Seen::default();
                let mut turn = number;
                while !is_stopped.load(Ordering::SeqCst) {
                    let name = format!("traffic-{number}-{turn}");
                    if let Some(target) = balancer.choose(turn) {
                        target.send(model, &name, &mut seen);
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                    turn += 1;
                }
                seen
            });
            traffic.threads.push(thread);
        }
        traffic
    }

    /// Requests that have ended.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Stops and waits for the open requests.
    pub fn stop(self) -> Seen {
        self.is_stopped.store(true, Ordering::SeqCst);
        let mut all = Seen::default();
        for thread in self.threads {
            let seen = thread.join().unwrap_or_default();
            all.claims.extend(seen.claims);
            all.whole += seen.whole;
            all.not_run.extend(seen.not_run);
            all.wrong.extend(seen.wrong);
        }
        all
    }
}

impl Target {
    /// Sends one request of each kind.
    fn send(&self, model: &str, name: &str, seen: &mut Seen) {
        seen.claims.push(self.charger.charge(name));
        let question = Question::with_document(name, PROMPT_TOKENS, OUTPUT_MAX);
        let received = self
            .caller
            .ask(model, &question.prompt, question.output_max);
        let received = match received {
            Ok(received) => received,
            Err(error) => return seen.wrong.push(format!("{name}: {error}")),
        };
        match question.check(&received) {
            Ok(()) => seen.whole += 1,
            Err(_) if received.status >= 400 && is_not_run(&received.text) => {
                seen.not_run.push(received.text);
            }
            Err(error) => seen.wrong.push(format!("{name}: {error}")),
        }
    }
}

fn is_not_run(body: &str) -> bool {
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    body["error"]["outcome"] == "not_run"
}

impl Seen {
    /// Error unless every request was answered or truly not run.
    pub fn check(&self, effects: &BTreeMap<String, u64>) -> io::Result<()> {
        super::claims::check(&self.claims, effects)?;
        let unknown = self.claims.iter().filter(|c| c.claim == Claim::Unknown);
        let unknown: Vec<&Claimed> = unknown.collect();
        if unknown.is_empty() && self.wrong.is_empty() {
            return Ok(());
        }
        let reason = format!("unknown outcomes: {unknown:?}; wrong: {:?}", self.wrong);
        Err(io::Error::other(reason))
    }
}

impl Fleet {
    /// Publishes an agent or entry as leaving, shuts it down and starts its successor on another
    /// host, which is published as live.
    pub fn replace(&mut self, name: &str) -> io::Result<()> {
        self.publish_leaving(name)?;
        self.end_leaving(name)?;
        *self.generations.entry(name.to_string()).or_insert(1) += 1;
        self.peer_addresses.remove(name);
        let servers = self.config.deployment.servers.clone();
        if let Some(place) = servers.iter().find(|place| place.agent_name() == name) {
            self.spawn_agent(place)?;
        }
        let entries = self.config.deployment.entries.clone();
        if let Some(place) = entries.iter().find(|place| place.name == name) {
            self.spawn_entry(place)?;
        }
        self.wait_until_listening()?;
        self.leaving.retain(|leaving| leaving != name);
        self.publish_hosts()
    }

    /// Asks a leaving process to shut down and waits for its clean end; an agent that holds nothing
    /// may have ended by itself.
    pub fn end_leaving(&mut self, name: &str) -> io::Result<()> {
        let deadline = Instant::now() + self.config.shutdown_max;
        let process = self.process(name)?;
        if process.check_running().is_ok() {
            // The process may end in between, which is no error.
            let _ = process.signal(Signal::Terminate);
        }
        process.wait_for_clean_end(deadline)
    }
}
