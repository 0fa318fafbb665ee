//! Replacement of running agents and entries, and traffic that continues during it.
//!
//! [`Traffic`] sends requests through a [`Balancer`] while [`Fleet::replace`] replaces one process
//! after another; [`TrafficOutcome::check`] then verifies that no request was lost or misreported.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::Fleet;
use super::call_reports::{CallReport, ChargeClient, ReportedOutcome};
use super::process::Signal;
use super::requests::Question;
use crate::caller::Caller;

/// Longer than the leading blocks by which routers distinguish prompts, so that the prompts spread
/// over all servers.
const PROMPT_TOKENS: usize = 400;
const OUTPUT_MAX: u64 = 64;

/// Set of entries that receive requests, as in a load balancer. Clones share the set.
#[derive(Clone, Default)]
pub struct Balancer(Arc<Mutex<BTreeMap<String, EntryClients>>>);

#[derive(Clone)]
struct EntryClients {
    caller: Caller,
    charge_client: ChargeClient,
}

impl Balancer {
    /// Adds an entry to the set; `timeout` applies to each request to it.
    pub fn add(&self, fleet: &Fleet, entry: &str, timeout: Duration) -> io::Result<()> {
        let entry_clients = EntryClients {
            caller: fleet.caller(entry, timeout)?,
            charge_client: fleet.charge_client(entry, timeout)?,
        };
        self.lock().insert(entry.to_string(), entry_clients);
        Ok(())
    }

    /// Removes an entry from the set; requests in flight continue.
    pub fn remove(&self, entry: &str) {
        self.lock().remove(entry);
    }

    /// Round-robin choice for the request number `index`; `None` if the set is empty.
    fn choose(&self, index: usize) -> Option<EntryClients> {
        let entries = self.lock();
        entries.values().nth(index % entries.len().max(1)).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, EntryClients>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Outcomes of the requests that [`Traffic`] sent.
#[derive(Clone, Debug, Default)]
pub struct TrafficOutcome {
    /// Reported outcomes of the non-idempotent calls.
    pub call_reports: Vec<CallReport>,
    /// Number of model requests with a complete output.
    pub complete: usize,
    /// Error bodies of model requests that were reported as not run.
    pub not_run: Vec<String>,
    /// Model requests with any other outcome: name and error.
    pub unexpected: Vec<String>,
}

/// Background threads that send model requests and non-idempotent calls through a balancer until
/// [`Traffic::stop`].
pub struct Traffic {
    is_stopped: Arc<AtomicBool>,
    count: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<TrafficOutcome>>,
}

impl Traffic {
    /// Starts `threads_count` threads, each with one request in flight at a time.
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
                let mut outcome = TrafficOutcome::default();
                let mut index = number;
                while !is_stopped.load(Ordering::SeqCst) {
                    let name = format!("traffic-{number}-{index}");
                    if let Some(entry_clients) = balancer.choose(index) {
                        entry_clients.send(model, &name, &mut outcome);
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                    index += 1;
                }
                outcome
            });
            traffic.threads.push(thread);
        }
        traffic
    }

    /// Number of completed pairs of one model request and one call.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Stops the threads after their requests in flight have ended.
    pub fn stop(self) -> TrafficOutcome {
        self.is_stopped.store(true, Ordering::SeqCst);
        let mut all = TrafficOutcome::default();
        for thread in self.threads {
            let outcome = thread.join().unwrap_or_default();
            all.call_reports.extend(outcome.call_reports);
            all.complete += outcome.complete;
            all.not_run.extend(outcome.not_run);
            all.unexpected.extend(outcome.unexpected);
        }
        all
    }
}

impl EntryClients {
    /// Sends one non-idempotent call and one model request, and records their outcomes.
    fn send(&self, model: &str, name: &str, outcome: &mut TrafficOutcome) {
        outcome.call_reports.push(self.charge_client.charge(name));
        let question = Question::with_document(name, PROMPT_TOKENS, OUTPUT_MAX);
        let received = self
            .caller
            .ask(model, &question.prompt, question.output_max);
        let received = match received {
            Ok(received) => received,
            Err(error) => return outcome.unexpected.push(format!("{name}: {error}")),
        };
        match question.check(&received) {
            Ok(()) => outcome.complete += 1,
            Err(_) if received.status >= 400 && is_not_run(&received.text) => {
                outcome.not_run.push(received.text);
            }
            Err(error) => outcome.unexpected.push(format!("{name}: {error}")),
        }
    }
}

fn is_not_run(body: &str) -> bool {
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    body["error"]["outcome"] == "not_run"
}

impl TrafficOutcome {
    /// Error unless every request was answered completely, or was reported as not run and did not
    /// run according to `effects`.
    pub fn check(&self, effects: &BTreeMap<String, u64>) -> io::Result<()> {
        super::call_reports::check(&self.call_reports, effects)?;
        let unknown = self
            .call_reports
            .iter()
            .filter(|c| c.reported == ReportedOutcome::Unknown);
        let unknown: Vec<&CallReport> = unknown.collect();
        if unknown.is_empty() && self.unexpected.is_empty() {
            return Ok(());
        }
        let reason = format!(
            "calls with unknown outcome: {unknown:?}; unexpected model outcomes: {:?}",
            self.unexpected
        );
        Err(io::Error::other(reason))
    }
}

impl Fleet {
    /// Publishes an agent or entry as draining, shuts it down, starts its successor on another host
    /// and publishes that host as live.
    pub fn replace(&mut self, name: &str) -> io::Result<()> {
        self.publish_draining(name)?;
        self.shut_down_draining(name)?;
        *self.host_generations.entry(name.to_string()).or_insert(1) += 1;
        self.peer_addresses.remove(name);
        let servers = self.config.deployment.servers.clone();
        if let Some(spec) = servers.iter().find(|spec| spec.agent_name() == name) {
            self.spawn_agent(spec)?;
        }
        let entries = self.config.deployment.entries.clone();
        if let Some(spec) = entries.iter().find(|spec| spec.name == name) {
            self.spawn_entry(spec)?;
        }
        self.wait_until_listening()?;
        self.draining.retain(|draining| draining != name);
        self.publish_hosts()
    }

    /// Requests the shutdown of a draining process and waits until it exits with code 0. A draining
    /// agent without work may already have exited by itself.
    pub fn shut_down_draining(&mut self, name: &str) -> io::Result<()> {
        let deadline = Instant::now() + self.config.shutdown_max;
        let process = self.process(name)?;
        if process.check_running().is_ok() {
            // The process may exit between the check and the signal, which is no error.
            let _ = process.signal(Signal::Terminate);
        }
        process.wait_for_clean_end(deadline)
    }
}
