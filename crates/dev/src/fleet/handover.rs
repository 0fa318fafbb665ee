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
    /// Model requests that were refused as not run.
    pub not_run: usize,
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
            all.not_run += seen.not_run;
            all.wrong.extend(seen.wrong);
        }
        all
    }
}

impl Target {
    /// Sends one request of each kind.
    fn send(&self, model: &str, name: &str, seen: &mut Seen) {
        seen.claims.push(self.charger.charge(name));
        let question = Question::new(name, 64);
        let received = self
            .caller
            .ask(model, &question.prompt, question.output_max);
        let checked = received
            .as_ref()
            .map_err(|error| io::Error::other(error.to_string()));
        match checked.and_then(|received| question.check(received)) {
            Ok(()) => seen.whole += 1,
            Err(_)
                if received
                    .as_ref()
                    .is_ok_and(|r| r.status >= 400 && is_not_run(&r.text)) =>
            {
                seen.not_run += 1;
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
    /// Publishes an agent or entry as leaving, shuts it down and starts its successor, which is
    /// published as live.
    pub fn replace(&mut self, name: &str) -> io::Result<()> {
        self.publish_leaving(name)?;
        self.process(name)?.signal(Signal::Terminate)?;
        let deadline = Instant::now() + self.config.shutdown_max;
        self.process(name)?.wait_for_clean_end(deadline)?;
        self.restart(name)?;
        self.leaving.retain(|leaving| leaving != name);
        self.publish_hosts()
    }
}
