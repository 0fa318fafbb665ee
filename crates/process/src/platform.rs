//! The client of the configuration service and host list.
//!
//! The platform can be read and watched; this client has no call that writes.

use std::time::Duration;

use cuminlead_distribution::Answer;
use cuminlead_lists::{Delta, HostDelta, HostList, Part, PartKey, Snapshot};
use cuminlead_types::Revision;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::http_client;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const VALUE_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Client of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    base: String,
    http: Agent,
}

/// The platform gave no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformError;

/// Changes since a revision, or all parts when `since` is missing.
#[derive(Debug, Deserialize)]
struct ConfigAnswer {
    revision: u64,
    since: Option<u64>,
    parts: Vec<PartAnswer>,
    #[serde(default)]
    removed: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct PartAnswer {
    key: String,
    revision: u64,
    text: String,
}

impl PlatformClient {
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

    /// Lists once they are newer than `after`, or what is published after `wait`; changes start from
    /// the revision `held`, which is earlier than `after` while a newer one is refused.
    pub fn lists(
        &self,
        after: Revision,
        held: Revision,
        wait: Duration,
    ) -> Result<Answer, PlatformError> {
        let mut answer = if wait.is_zero() {
            self.config(held)?
        } else {
            let path = format!("/v1/watch?since={after}&wait_ms={}", wait.as_millis());
            self.get_json(&path, wait + ANSWER_TIMEOUT)?
        };
        let is_newer = answer.revision > after.get();
        if is_newer && answer.since.is_some_and(|since| since != held.get()) {
            answer = self.config(held)?;
        }
        answer.into_answer(after, held)
    }

    fn config(&self, since: Revision) -> Result<ConfigAnswer, PlatformError> {
        self.get_json(&format!("/v1/config?since={since}"), ANSWER_TIMEOUT)
    }

    /// Host list as published; changes start from `held`.
    pub fn hosts(&self, held: Revision) -> Result<Answer, PlatformError> {
        let path = format!("/v1/hosts?since={held}");
        let delta: HostDelta = match self.get(&path, ANSWER_TIMEOUT)?.parse() {
            Ok(delta) => delta,
            Err(findings) => return Ok(Answer::Unreadable(findings)),
        };
        let HostDelta { revision, .. } = delta;
        if revision <= held {
            return Ok(Answer::Unchanged { revision });
        }
        if delta.is_full {
            let hosts = delta.hosts;
            return Ok(Answer::Hosts(HostList { revision, hosts }));
        }
        if delta.from_revision != held {
            return Err(PlatformError);
        }
        Ok(Answer::HostChanges(delta))
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

impl ConfigAnswer {
    fn into_answer(self, after: Revision, held: Revision) -> Result<Answer, PlatformError> {
        let revision = Revision(self.revision);
        if revision <= after {
            return Ok(Answer::Unchanged { revision });
        }
        let parts = self.parts.into_iter().map(|part| Part {
            key: PartKey::new(part.key),
            revision: Revision(part.revision),
            text: part.text,
        });
        match self.since {
            None => Ok(Answer::Lists(Snapshot::new(revision, parts))),
            Some(since) if since == held.get() => Ok(Answer::ListChanges(Delta {
                from_revision: held,
                revision,
                is_full: false,
                parts: parts.collect(),
                removed: self.removed.into_iter().map(PartKey::new).collect(),
            })),
            Some(_) => Err(PlatformError),
        }
    }
}
