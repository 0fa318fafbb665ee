//! Non-idempotent calls and a check of the outcomes that were reported for them.
//!
//! Each call carries a unique reference, and the service counts its effects by reference. [`check`]
//! compares these counts with the outcome that the caller was told.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::json;

use super::Fleet;
use super::requests::RawRequest;
use cuminlead_stand_ins::client::JsonAnswer;

/// Outcome of a call as the response reports it to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// The call ran.
    Ran,
    /// The call did not run and will not.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl ReportedOutcome {
    /// Outcome that the response reports; unknown if the connection failed.
    pub fn of(answer: &io::Result<JsonAnswer>) -> Self {
        let Ok(answer) = answer else {
            return Self::Unknown;
        };
        match answer.body["error"]["outcome"].as_str() {
            _ if answer.status == 200 => Self::Ran,
            Some("not_run") => Self::NotRun,
            _ => Self::Unknown,
        }
    }

    fn is_consistent_with(self, count: u64) -> bool {
        match self {
            Self::Ran => count == 1,
            Self::NotRun => count == 0,
            Self::Unknown => count <= 1,
        }
    }
}

/// Call with its reported outcome.
#[derive(Clone, Debug)]
pub struct CallReport {
    /// Reference under which the service counts the effects.
    pub reference: String,
    /// Outcome that the caller was told.
    pub reported: ReportedOutcome,
    /// Debug text of the response, or of the error if there was none.
    pub response: String,
}

/// Compares reported outcomes with the counted effects. The error lists every report that the
/// effects contradict.
pub fn check(call_reports: &[CallReport], effects: &BTreeMap<String, u64>) -> io::Result<()> {
    let count_of = |reference: &String| effects.get(reference).copied().unwrap_or_default();
    let contradicted = call_reports.iter().filter(|report| {
        !report
            .reported
            .is_consistent_with(count_of(&report.reference))
    });
    let lines = contradicted.map(|report| {
        let count = count_of(&report.reference);
        format!("\n{report:?}: ran {count} times")
    });
    let lines: String = lines.collect();
    if lines.is_empty() {
        return Ok(());
    }
    Err(io::Error::other(format!(
        "reported outcomes contradict the effects:{lines}"
    )))
}

/// Client that sends non-idempotent calls to one entry.
#[derive(Clone, Debug)]
pub struct ChargeClient {
    entry: String,
    key: String,
    path: String,
    timeout: Duration,
}

impl ChargeClient {
    /// Sends one call with additional headers and returns the response.
    pub fn send(&self, reference: &str, headers: &[(String, String)]) -> io::Result<JsonAnswer> {
        let body = json!({ "reference": reference, "amount": 1 });
        let mut request = RawRequest::new(&self.path, body);
        request.headers.extend_from_slice(headers);
        request = request.with_header("authorization", format!("Bearer {}", self.key));
        request.send(&self.entry, self.timeout)
    }

    /// Sends one call and records its reported outcome.
    pub fn charge(&self, reference: &str) -> CallReport {
        let answer = self.send(reference, &[]);
        CallReport {
            reference: reference.to_string(),
            reported: ReportedOutcome::of(&answer),
            response: format!("{answer:?}"),
        }
    }
}

/// Background threads that send non-idempotent calls until [`ChargeTraffic::stop`].
pub struct ChargeTraffic {
    is_stopped: Arc<AtomicBool>,
    count: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<Vec<CallReport>>>,
}

impl ChargeTraffic {
    /// Number of calls that have ended, with a response or an error.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Stops the threads after their calls in flight have ended.
    pub fn stop(self) -> Vec<CallReport> {
        self.is_stopped.store(true, Ordering::SeqCst);
        let threads = self.threads.into_iter();
        let call_reports = threads.map(|thread| thread.join().unwrap_or_default());
        call_reports.flatten().collect()
    }
}

impl Fleet {
    /// Client that sends non-idempotent calls to an entry; each call fails after `timeout`.
    pub fn charge_client(&self, entry: &str, timeout: Duration) -> io::Result<ChargeClient> {
        let deployment = &self.config.deployment;
        Ok(ChargeClient {
            entry: self.address(entry, "callers")?,
            key: self.key.clone(),
            path: format!(
                "/v1/services/{}{}",
                deployment.service, deployment.effect_path
            ),
            timeout,
        })
    }

    /// Starts `threads_per_entry` threads for each entry, which send one call after the other until
    /// they are stopped.
    pub fn start_charges(
        &self,
        entries: &[&str],
        threads_per_entry: usize,
        timeout: Duration,
    ) -> io::Result<ChargeTraffic> {
        let mut charges = ChargeTraffic {
            is_stopped: Arc::default(),
            count: Arc::default(),
            threads: Vec::new(),
        };
        for entry in entries {
            for number in 0..threads_per_entry {
                let charge_client = self.charge_client(entry, timeout)?;
                let name = format!("{entry}-{number}");
                let thread = charge_client.charge_in_background(name, &charges);
                charges.threads.push(thread);
            }
        }
        Ok(charges)
    }
}

impl ChargeClient {
    fn charge_in_background(
        self,
        name: String,
        charges: &ChargeTraffic,
    ) -> JoinHandle<Vec<CallReport>> {
        let is_stopped = Arc::clone(&charges.is_stopped);
        let count = Arc::clone(&charges.count);
        std::thread::spawn(move || {
            let mut call_reports = Vec::new();
            while !is_stopped.load(Ordering::SeqCst) {
                call_reports.push(self.charge(&format!("{name}-{}", call_reports.len())));
                count.fetch_add(1, Ordering::SeqCst);
            }
            call_reports
        })
    }
}
