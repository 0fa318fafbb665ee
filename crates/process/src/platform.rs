//! The client of the configuration service and host list.
//!
//! The platform can be read and watched; this client has no call that writes.

use std::time::Duration;

use cuminlead_lists::{HostList, Part, PartKey, Snapshot};
use cuminlead_types::Revision;
use serde::Deserialize;
use ureq::Agent;

/// Longest wait of one watch; short enough to notice a service that went silent.
pub const WATCH_WAIT: Duration = Duration::from_secs(5);

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
            http: config.into(),
        }
    }

    /// Present value of the lists.
    pub fn config(&self) -> Result<Snapshot, PlatformError> {
        self.snapshot("/v1/config?since=0", ANSWER_TIMEOUT)
    }

    /// Value of the lists once it is newer than `since`, or the present one after [`WATCH_WAIT`].
    pub fn watch(&self, since: Revision) -> Result<Snapshot, PlatformError> {
        let path = format!("/v1/watch?since={since}&wait_ms={}", WATCH_WAIT.as_millis());
        self.snapshot(&path, WATCH_WAIT + ANSWER_TIMEOUT)
    }

    /// Present host list.
    pub fn hosts(&self) -> Result<HostList, PlatformError> {
        self.get("/v1/hosts", ANSWER_TIMEOUT)?
            .parse()
            .map_err(|_| PlatformError)
    }

    fn snapshot(&self, path: &str, timeout: Duration) -> Result<Snapshot, PlatformError> {
        let text = self.get(path, timeout)?;
        let answer: ConfigAnswer = serde_json::from_str(&text).map_err(|_| PlatformError)?;
        let parts = answer.parts.into_iter().map(|part| Part {
            key: PartKey::new(part.key),
            revision: Revision(part.revision),
            text: part.text,
        });
        Ok(Snapshot::new(Revision(answer.revision), parts))
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
