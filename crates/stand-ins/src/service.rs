//! Plain service that counts the effects of its calls by reference.
//!
//! Tests compare the counts with the responses of callers, to find calls that were executed more
//! than once.
//!
//! | request | response |
//! |---|---|
//! | `POST /charges`, `/reservations`, `/bookings` `{reference, ...}` | `{receipt}` |
//! | `GET /effects` | `{effects: {reference: count}}` |
//! | `GET /stock?item=` | `{item, stock}` |
//! | any other GET | `{path}` |

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;

use crate::behaviour::{Behaviour, ControlRequest, Mode};
use crate::http::{Answer, Call, Handler, serve};

const STOCK_AT_START: usize = 1_000;
const EFFECT_PATHS: [&str; 3] = ["/charges", "/reservations", "/bookings"];

/// Settings of a service stand-in.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Listen address; port 0 chooses a free port.
    pub address: String,
    /// Processing time of each call.
    pub work: Duration,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_string(),
            work: Duration::from_millis(2),
        }
    }
}

#[derive(Deserialize)]
struct Effect {
    reference: String,
}

#[derive(Default)]
struct State {
    counts: BTreeMap<String, u64>,
    receipts: usize,
    stale_receipts: usize,
}

/// Running service.
pub struct Service {
    behaviour: Arc<Behaviour>,
    work: Duration,
    state: Mutex<State>,
}

impl Service {
    /// Starts a service and returns the bound address.
    pub fn start(config: &ServiceConfig) -> io::Result<SocketAddr> {
        let behaviour = Arc::new(Behaviour::default());
        let service = Arc::new(Self {
            behaviour: Arc::clone(&behaviour),
            work: config.work,
            state: Mutex::default(),
        });
        serve(&config.address, behaviour, service)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_effect(&self, call: &Call) -> Answer {
        let effect: Effect = match call.json() {
            Ok(effect) => effect,
            Err(rejection) => return rejection,
        };
        let mut state = self.lock();
        *state.counts.entry(effect.reference).or_default() += 1;
        state.receipts += 1;
        Answer::ok(json!({ "receipt": state.receipts }))
    }

    fn stock(&self, call: &Call) -> Answer {
        let state = self.lock();
        let sold = match self.behaviour.mode() {
            Mode::Stale => state.stale_receipts,
            _ => state.receipts,
        };
        let stock = STOCK_AT_START.saturating_sub(sold);
        let item = call.parameter("item").unwrap_or_default();
        Answer::ok(json!({ "item": item, "stock": stock }))
    }
}

impl Handler for Service {
    fn handle(&self, call: &Call) -> Answer {
        if call.method == "GET" && call.path == "/effects" {
            return Answer::ok(json!({ "effects": self.lock().counts }));
        }
        std::thread::sleep(self.work);
        match call.method.as_str() {
            "GET" if call.path == "/stock" => self.stock(call),
            "GET" => Answer::ok(json!({ "path": call.path })),
            "POST" if EFFECT_PATHS.contains(&call.path.as_str()) => self.record_effect(call),
            _ => Answer::error(404, "unknown path"),
        }
    }

    fn before_mode_change(&self, request: ControlRequest) {
        let mut state = self.lock();
        if request.mode == Mode::Stale {
            state.stale_receipts = state.receipts;
        }
    }
}
