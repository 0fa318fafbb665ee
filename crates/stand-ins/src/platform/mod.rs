//! Configuration service of the platform: lists as parts with revisions, and the host list.
//!
//! | request | response |
//! |---|---|
//! | `GET /v1/config?since=REVISION` | `{revision, since, parts: [{key, revision, text}], removed: [key]}`, parts after `since` |
//! | `GET /v1/watch?since=REVISION&wait_ms=N` | the same, on the first change after `since` or after `wait_ms`, at most 60 s |
//! | `GET /v1/hosts?since=REVISION` | `{revision, since, hosts: [{host, region, availability_zone, state, process, address, server}], removed: [host]}` |
//! | `GET /control/calls` | `{calls}`: number of reads so far; a watch counts one call for each second begun |
//! | `POST /control/publish {key, text}` | `{revision}`; publishes a part, as an operator's tool does |
//! | `POST /control/remove {key}` | `{revision}`; removes a part |
//! | `POST /control/hosts {hosts: [...]}` | `{revision}`; replaces the host list |
//! | `POST /control/forget {}` | `{}`; discards the history before the current revisions |
//!
//! A response without `since` is full. It is sent when the request's `since` is 0 or absent, when
//! the history from `since` was discarded, or when the platform was started with
//! [`PlatformConfig::always_full`].

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

/// Largest text of a part.
const PART_MAX_BYTES: usize = 1_000_000;
const WATCH_MAX_MS: u64 = 60_000;

/// Settings of a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Listen address; port 0 chooses a free port.
    pub address: String,
    /// Time until a published host list becomes visible.
    pub hosts_lag: Duration,
    /// Whether every response is full, as from a platform that retains no history.
    pub always_full: bool,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_string(),
            hosts_lag: Duration::ZERO,
            always_full: false,
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
    /// Copy that reads see in mode `stale`.
    stale: Option<Store>,
}

/// Running platform.
pub struct Platform {
    hosts_lag: Duration,
    always_full: bool,
    calls: AtomicU64,
    state: Mutex<State>,
    published: Condvar,
}

impl Platform {
    /// Starts a platform and returns the bound address.
    pub fn start(config: &PlatformConfig) -> io::Result<SocketAddr> {
        let behaviour = Arc::new(Behaviour::default());
        let platform = Arc::new(Self {
            hosts_lag: config.hosts_lag,
            always_full: config.always_full,
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
        Answer::ok(
            self.lock()
                .visible_store()
                .parts_since(self.base_revision(since)),
        )
    }

    /// Revision that a response starts from; 0 for a full response.
    fn base_revision(&self, since: u64) -> u64 {
        if self.always_full { 0 } else { since }
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
                .wait_timeout_while(state, slice, |state| {
                    state.visible_store().revision() <= since
                })
                .unwrap_or_else(PoisonError::into_inner);
            let document = waited
                .0
                .visible_store()
                .parts_since(self.base_revision(since));
            if document.revision > since || Instant::now() >= deadline {
                return Answer::ok(document);
            }
        }
    }

    fn hosts(&self, since: u64) -> Answer {
        self.count_call();
        let visible_at = Instant::now().checked_sub(self.hosts_lag);
        let since = self.base_revision(since);
        Answer::ok(self.lock().visible_store().hosts_since(visible_at, since))
    }

    fn publish(&self, call: &Call) -> Answer {
        let publish: Publish = match call.json() {
            Ok(publish) => publish,
            Err(rejection) => return rejection,
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
            Err(rejection) => return rejection,
        };
        let revision = self.lock().store.remove(&remove.key);
        self.published.notify_all();
        Answer::ok(json!({ "revision": revision }))
    }

    fn discard_history(&self) -> Answer {
        self.lock().store.discard_history();
        Answer::ok(json!({}))
    }

    fn publish_hosts(&self, call: &Call) -> Answer {
        match call.json::<PublishHosts>() {
            Ok(publish) => {
                let revision = self.lock().store.replace_hosts(publish.hosts);
                Answer::ok(json!({ "revision": revision }))
            }
            Err(rejection) => rejection,
        }
    }
}

impl State {
    fn visible_store(&self) -> &Store {
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
            ("POST", "/control/forget") => self.discard_history(),
            ("POST", "/control/hosts") => self.publish_hosts(call),
            _ => Answer::error(404, "unknown path"),
        }
    }

    fn before_mode_change(&self, request: ControlRequest) {
        let mut state = self.lock();
        let is_stale = request.mode == Mode::Stale;
        state.stale = is_stale.then(|| state.store.clone());
        self.published.notify_all();
    }
}
