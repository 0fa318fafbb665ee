//! Non-idempotent calls, what their callers were told, and whether that is true.

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

/// What a caller may conclude from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The call ran.
    Ran,
    /// The call did not run and will not.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl Claim {
    /// Conclusion from the answer; a lost connection tells nothing.
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

    fn allows(self, count: u64) -> bool {
        match self {
            Self::Ran => count == 1,
            Self::NotRun => count == 0,
            Self::Unknown => count <= 1,
        }
    }
}

/// Claim about the call with a reference.
#[derive(Clone, Debug)]
pub struct Claimed {
    /// Reference that the service counts.
    pub reference: String,
    /// What the caller was told.
    pub claim: Claim,
    /// Answer or reason of its absence.
    pub seen: String,
}

/// Error that names every claim which the counted effects contradict.
pub fn check(claims: &[Claimed], effects: &BTreeMap<String, u64>) -> io::Result<()> {
    let count_of = |reference: &String| effects.get(reference).copied().unwrap_or_default();
    let false_claims = claims
        .iter()
        .filter(|claimed| !claimed.claim.allows(count_of(&claimed.reference)));
    let lines = false_claims.map(|claimed| {
        let count = count_of(&claimed.reference);
        format!("\n{claimed:?}: ran {count} times")
    });
    let lines: String = lines.collect();
    if lines.is_empty() {
        return Ok(());
    }
    Err(io::Error::other(format!("claims are not true:{lines}")))
}

/// Sender of non-idempotent calls to one entry.
#[derive(Clone, Debug)]
pub struct Charger {
    entry: String,
    key: String,
    path: String,
    limit: Duration,
}

impl Charger {
    /// Sends one call, with further headers, and returns its answer.
    pub fn send(&self, reference: &str, headers: &[(String, String)]) -> io::Result<JsonAnswer> {
        let body = json!({ "reference": reference, "amount": 1 });
        let mut request = RawRequest::new(&self.path, body);
        request.headers.extend_from_slice(headers);
        request = request.with("authorization", format!("Bearer {}", self.key));
        request.send(&self.entry, self.limit)
    }

    /// Sends one call and notes what it was told.
    pub fn charge(&self, reference: &str) -> Claimed {
        let answer = self.send(reference, &[]);
        Claimed {
            reference: reference.to_string(),
            claim: Claim::of(&answer),
            seen: format!("{answer:?}"),
        }
    }
}

/// Calls that are sent one after the other until they are stopped.
pub struct Charges {
    is_stopped: Arc<AtomicBool>,
    count: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<Vec<Claimed>>>,
}

impl Charges {
    /// Number of calls that were answered.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Stops and waits for the open calls.
    pub fn stop(self) -> Vec<Claimed> {
        self.is_stopped.store(true, Ordering::SeqCst);
        let threads = self.threads.into_iter();
        let claims = threads.map(|thread| thread.join().unwrap_or_default());
        claims.flatten().collect()
    }
}

impl Fleet {
    /// Sender of non-idempotent calls to an entry.
    pub fn charger(&self, entry: &str, limit: Duration) -> io::Result<Charger> {
        let deployment = &self.config.deployment;
        Ok(Charger {
            entry: self.address(entry, "callers")?,
            key: self.key.clone(),
            path: format!(
                "/v1/services/{}{}",
                deployment.service, deployment.effect_path
            ),
            limit,
        })
    }

    /// Sends calls from several threads, each over one of the entries, until they are stopped.
    pub fn charge_until_stopped(
        &self,
        entries: &[&str],
        threads_each: usize,
        limit: Duration,
    ) -> io::Result<Charges> {
        let mut charges = Charges {
            is_stopped: Arc::default(),
            count: Arc::default(),
            threads: Vec::new(),
        };
        for entry in entries {
            for number in 0..threads_each {
                let charger = self.charger(entry, limit)?;
                let name = format!("{entry}-{number}");
                let thread = charger.charge_all(name, &charges);
                charges.threads.push(thread);
            }
        }
        Ok(charges)
    }
}

impl Charger {
    fn charge_all(self, name: String, charges: &Charges) -> JoinHandle<Vec<Claimed>> {
        let is_stopped = Arc::clone(&charges.is_stopped);
        let count = Arc::clone(&charges.count);
        std::thread::spawn(move || {
            let mut claims = Vec::new();
            while !is_stopped.load(Ordering::SeqCst) {
                claims.push(self.charge(&format!("{name}-{}", claims.len())));
                count.fetch_add(1, Ordering::SeqCst);
            }
            claims
        })
    }
}
