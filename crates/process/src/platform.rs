//! Client of the configuration service and the host list.
//!
//! The client reads and watches the platform; it has no call that writes.

use std::time::Duration;

use cuminlead_distribution::PlatformResponse;
use cuminlead_lists::{Delta, HostDelta, HostList, Part, PartKey, Snapshot};
use cuminlead_types::Revision;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::http_client;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
const RESPONSE_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// HTTP client of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    base: String,
    http: Agent,
}

/// The platform did not respond, or its response is malformed or does not match the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformError;

/// Changes since the revision `since`, or all parts when `since` is absent.
#[derive(Debug, Deserialize)]
struct ConfigResponse {
    revision: u64,
    since: Option<u64>,
    parts: Vec<PartResponse>,
    #[serde(default)]
    removed: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct PartResponse {
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

    /// Watches the lists until they are newer than `after`, for at most `wait`; reads them at once
    /// when `wait` is zero. Changes are relative to `active_revision`, which is earlier than
    /// `after` after a newer revision was found invalid.
    pub fn lists(
        &self,
        after: Revision,
        active_revision: Revision,
        wait: Duration,
    ) -> Result<PlatformResponse, PlatformError> {
        let mut response = if wait.is_zero() {
            self.config(active_revision)?
        } else {
            let path = format!("/v1/watch?since={after}&wait_ms={}", wait.as_millis());
            self.get_json(&path, wait + RESPONSE_TIMEOUT)?
        };
        let is_newer = response.revision > after.get();
        if is_newer
            && response
                .since
                .is_some_and(|since| since != active_revision.get())
        {
            response = self.config(active_revision)?;
        }
        response.into_answer(after, active_revision)
    }

    fn config(&self, since: Revision) -> Result<ConfigResponse, PlatformError> {
        self.get_json(&format!("/v1/config?since={since}"), RESPONSE_TIMEOUT)
    }

    /// Reads the published host list; changes are relative to `active_revision`.
    pub fn hosts(&self, active_revision: Revision) -> Result<PlatformResponse, PlatformError> {
        let path = format!("/v1/hosts?since={active_revision}");
        let delta: HostDelta = match self.get(&path, RESPONSE_TIMEOUT)?.parse() {
            Ok(delta) => delta,
            Err(findings) => return Ok(PlatformResponse::Unreadable(findings)),
        };
        let HostDelta { revision, .. } = delta;
        if revision <= active_revision {
            return Ok(PlatformResponse::Unchanged { revision });
        }
        if delta.is_full {
            let hosts = delta.hosts;
            return Ok(PlatformResponse::Hosts(HostList { revision, hosts }));
        }
        if delta.from_revision != active_revision {
            return Err(PlatformError);
        }
        Ok(PlatformResponse::HostChanges(delta))
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
        let body = response.body_mut().with_config().limit(RESPONSE_MAX_BYTES);
        body.read_to_string().map_err(|_| PlatformError)
    }
}

impl ConfigResponse {
    fn into_answer(
        self,
        after: Revision,
        active_revision: Revision,
    ) -> Result<PlatformResponse, PlatformError> {
        let revision = Revision(self.revision);
        if revision <= after {
            return Ok(PlatformResponse::Unchanged { revision });
        }
        let parts = self.parts.into_iter().map(|part| Part {
            key: PartKey::new(part.key),
            revision: Revision(part.revision),
            text: part.text,
        });
        match self.since {
            None => Ok(PlatformResponse::Lists(Snapshot::new(revision, parts))),
            Some(since) if since == active_revision.get() => {
                Ok(PlatformResponse::ListChanges(Delta {
                    from_revision: active_revision,
                    revision,
                    is_full: false,
                    parts: parts.collect(),
                    removed: self.removed.into_iter().map(PartKey::new).collect(),
                }))
            }
            Some(_) => Err(PlatformError),
        }
    }
}
