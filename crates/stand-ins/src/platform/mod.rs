//! Configuration service and host list of the platform.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/config?since=REVISION` | `{revision, since, parts: [{key, revision, text}], removed: [key]}`, parts after `since` |
//! | `GET /v1/watch?since=REVISION&wait_ms=N` | the same, as soon as there is a change or the wait ends |
//! | `GET /v1/hosts?since=REVISION` | `{revision, since, hosts: [{host, region, availability_zone, state, process, address, server}], removed: [host]}` |
//! | `GET /control/calls` | `{calls}`; a watch counts one call for each second begun |
//! | `POST /control/publish {key, text}` | `{revision}`; the operator's own tool |
//! | `POST /control/remove {key}` | `{revision}`; removes a part |
//! | `POST /control/hosts {hosts: [...]}` | `{revision}`; replaces the host list |
//! | `POST /control/forget {}` | `{}`; changes before the present revisions are not known any more |
//!
//! An answer without `since` has everything: `since` is 0 or missing, the changes are not known any
//! more, or the platform was started with `answers_whole`.

mod store;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::json;

use crate::behaviour::{Behaviour, ControlRequest, Mode};
use crate::http::{Answer, Call, Handler, serve};
use store::Store;
pub use store::{HostRecord, HostsDocument, Part, PartsDocument};

/// Largest value of one part.
const PART_MAX_BYTES: usize = 1_000_000;
const WATCH_MAX_MS: u64 = 60_000;

/// Settings of a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Address to listen on.
    pub address: String,
    /// Age of the host list that is served.
    pub hosts_lag: Duration,
    /// Whether each answer has everything, as that of a platform that keeps no changes.
    pub answers_whole: bool,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_string(),
            hosts_lag: Duration::ZERO,
            answers_whole: false,
        }
    }
}

#[derive(Deserialize)]
struct Publish {
    key: String,
    text: String,
}

#[derive(Deserialize)]
struct PublishHosts {
    hosts: Vec<HostRecord>,
}

#[derive(Deserialize)]
struct Remove {
    key: String,
}

#[derive(Default)]
struct State {
    store: Store,
    stale: Option<Store>,
}

/// Platform.
pub struct Platform {
    hosts_lag: Duration,
    answers_whole: bool,
    calls: AtomicU64,
    state: Mutex<State>,
    published: Condvar,
}

impl Platform {
    /// Starts a platform and returns its address.
    pub fn start(config: &PlatformConfig) -> io::Result<SocketAddr> {
        let behaviour = Arc::new(Behaviour::default());
        let platform = Arc::new(Self {
            hosts_lag: config.hosts_lag,
            answers_whole: config.answers_whole,
            calls: AtomicU64::new(0),
            state: Mutex::default(),
            published: Condvar::new(),
        });
        serve(&config.address, behaviour, platform)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    fn config(&self, since: u64) -> Answer {
        self.count_call();
        Answer::ok(self.lock().readable().parts_since(self.base(since)))
    }

    /// Revision that an answer starts from; zero for everything.
    fn base(&self, since: u64) -> u64 {
        if self.answers_whole { 0 } else { since }
    }

    fn watch(&self, since: u64, wait_ms: u64) -> Answer {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(WATCH_MAX_MS));
        loop {
            self.count_call();
            let state = self.lock();
            let left = deadline.saturating_duration_since(Instant::now());
            let slice = left.min(Duration::from_secs(1));
            let waited = self
                .published
                .wait_timeout_while(state, slice, |state| state.readable().revision() <= since)
                .unwrap_or_else(PoisonError::into_inner);
            let document = waited.0.readable().parts_since(self.base(since));
            if document.revision > since || Instant::now() >= deadline {
                return Answer::ok(document);
            }
        }
    }

    fn hosts(&self, since: u64) -> Answer {
        self.count_call();
        let shown_at = Instant::now().checked_sub(self.hosts_lag);
        let since = self.base(since);
        Answer::ok(self.lock().readable().hosts_since(shown_at, since))
    }

    fn publish(&self, call: &Call) -> Answer {
        let publish: Publish = match call.json() {
            Ok(publish) => publish,
            Err(refusal) => return refusal,
        };
        if publish.text.len() > PART_MAX_BYTES {
            return Answer::error(413, "part over 1 MB");
        }
        let revision = self.lock().store.publish(publish.key, publish.text);
        self.published.notify_all();
        Answer::ok(json!({ "revision": revision }))
    }

    fn remove(&self, call: &Call) -> Answer {
        let remove: Remove = match call.json() {
            Ok(remove) => remove,
            Err(refusal) => return refusal,
        };
        let revision = self.lock().store.remove(&remove.key);
        self.published.notify_all();
        Answer::ok(json!({ "revision": revision }))
    }

    fn forget(&self) -> Answer {
        self.lock().store.forget();
        Answer::ok(json!({}))
    }

    fn publish_hosts(&self, call: &Call) -> Answer {
        match call.json::<PublishHosts>() {
            Ok(publish) => {
                let revision = self.lock().store.replace_hosts(publish.hosts);
                Answer::ok(json!({ "revision": revision }))
            }
            Err(refusal) => refusal,
        }
    }
}

impl State {
    fn readable(&self) -> &Store {
        self.stale.as_ref().unwrap_or(&self.store)
    }
}

impl Handler for Platform {
    fn handle(&self, call: &Call) -> Answer {
        let since = call.number("since", 0);
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/config") => self.config(since),
            ("GET", "/v1/watch") => self.watch(since, call.number("wait_ms", 0)),
            ("GET", "/v1/hosts") => self.hosts(since),
            ("GET", "/control/calls") => {
                Answer::ok(json!({ "calls": self.calls.load(Ordering::Relaxed) }))
            }
            ("POST", "/control/publish") => self.publish(call),
            ("POST", "/control/remove") => self.remove(call),
            ("POST", "/control/forget") => self.forget(),
            ("POST", "/control/hosts") => self.publish_hosts(call),
            _ => Answer::error(404, "unknown path"),
        }
    }

    fn before_mode(&self, request: ControlRequest) {
        let mut state = self.lock();
        let is_stale = request.mode == Mode::Stale;
        state.stale = is_stale.then(|| state.store.clone());
        self.published.notify_all();
    }
}
