//! The client of the configuration service and host list.
//!
//! The platform can be read and watched; this client has no call that writes.

use std::thread;
use std::time::{Duration, Instant};

use cuminlead_distribution::Answer;
use cuminlead_lists::{HostList, Part, PartKey, Snapshot};
use cuminlead_types::Revision;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::http_client;

/// Interval between two readings of the host list, which cannot be watched.
const HOSTS_INTERVAL: Duration = Duration::from_secs(1);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const VALUE_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    base: String,
    http: Agent,
}

/// The platform gave no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformError;

#[derive(Debug, Deserialize)]
struct ConfigAnswer {
    revision: u64,
    parts: Vec<PartAnswer>,
}

/// Revision of an answer whose parts are not read.
#[derive(Debug, Deserialize)]
struct RevisionAnswer {
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct PartAnswer {
    key: String,
    revision: u64,
    text: String,
}

impl Platform {
    /// Client of the platform at an IP address and port.
    pub fn new(address: &str) -> Self {
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        Self {
            base: format!("http://{address}"),
            http: http_client::agent(config),
        }
    }

    /// Lists once they are newer than `after`, or what is published after `wait`.
    ///
    /// A watch answers with the changed parts only. They are no snapshot, so a change is read whole;
    /// this also covers parts that were removed or changed between the two calls.
    pub fn lists(&self, after: Revision, wait: Duration) -> Result<Answer, PlatformError> {
        if !wait.is_zero() {
            let path = format!("/v1/watch?since={after}&wait_ms={}", wait.as_millis());
            let seen: RevisionAnswer = self.get_json(&path, wait + ANSWER_TIMEOUT)?;
            let revision = Revision(seen.revision);
            if revision <= after {
                return Ok(Answer::Unchanged { revision });
            }
        }
        let snapshot = self.snapshot()?;
        let revision = snapshot.revision();
        Ok(if revision > after {
            Answer::Lists(snapshot)
        } else {
            Answer::Unchanged { revision }
        })
    }

    /// Host list once it is newer than `after`, or what is published after `wait`.
    pub fn hosts(&self, after: Revision, wait: Duration) -> Result<Answer, PlatformError> {
        let until = Instant::now() + wait;
        loop {
            let hosts: HostList = match self.get("/v1/hosts", ANSWER_TIMEOUT)?.parse() {
                Ok(hosts) => hosts,
                Err(findings) => return Ok(Answer::Unreadable(findings)),
            };
            if hosts.revision > after {
                return Ok(Answer::Hosts(hosts));
            }
            // A watch that returned before its end would be asked again at once, and each reading
            // carries the whole list.
            let left = until.saturating_duration_since(Instant::now());
            thread::sleep(left.min(HOSTS_INTERVAL));
            if Instant::now() >= until {
                return Ok(Answer::Unchanged {
                    revision: hosts.revision,
                });
            }
        }
    }

    fn snapshot(&self) -> Result<Snapshot, PlatformError> {
        let answer: ConfigAnswer = self.get_json("/v1/config?since=0", ANSWER_TIMEOUT)?;
        let parts = answer.parts.into_iter().map(|part| Part {
            key: PartKey::new(part.key),
            revision: Revision(part.revision),
            text: part.text,
        });
        Ok(Snapshot::new(Revision(answer.revision), parts))
    }

    fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, PlatformError> {
        let text = self.get(path, timeout)?;
        serde_json::from_str(&text).map_err(|_| PlatformError)
    }

    fn get(&self, path: &str, timeout: Duration) -> Result<String, PlatformError> {
        let request = self
            .http
            .get(format!("{}{path}", self.base))
            .config()
            .timeout_global(Some(timeout))
            .build();
        let mut response = request.call().map_err(|_| PlatformError)?;
        let body = response.body_mut().with_config().limit(VALUE_MAX_BYTES);
        body.read_to_string().map_err(|_| PlatformError)
    }
}
