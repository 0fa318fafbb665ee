//! Stand-in of the platform's metadata store, which can only be read.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
}

#[derive(Default)]
struct State {
    /// Number of times that the store came back from an older copy.
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes; a removal has no value.
    changes: Vec<(u64, String, Option<String>)>,
}

/// Copy of the store's content.
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
}

/// Store on a free loopback port.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let state = State { revision: 100, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut store = Self { address, shared };
        store.address = store.listen(Arc::default());
        store
    }

    /// The same store at another address, which turns its callers away while the flag is set.
    pub fn at_gate(&self, turns_away: &Arc<AtomicBool>) -> Self {
        let address = self.listen(Arc::clone(turns_away));
        Self { address, shared: Arc::clone(&self.shared) }
    }

    fn listen(&self, turns_away: Arc<AtomicBool>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        let served = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, turns_away) = (served.clone(), Arc::clone(&turns_away));
                thread::spawn(move || served.serve(stream, &turns_away));
            }
        });
        address
    }

    /// Writes an item, as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value));
    }

    /// Copies the present content.
    pub fn copy(&self) -> Copy {
        let state = self.shared.0.lock().expect("an intact lock");
        Copy { revision: state.revision, items: state.items.clone() }
    }

    /// Comes back from an older copy: what was written since is gone, and revisions go back.
    pub fn restore(&self, copy: &Copy) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("an intact lock");
        state.era += 1;
        state.revision = copy.revision;
        state.items.clone_from(&copy.items);
        state.changes.clear();
        changed.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// Writes an entry of which only the sequence number has changed: the entry counts as unchanged.
    pub fn renew(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().expect("an intact lock");
        if let Some(item) = state.items.get_mut(key) {
            item.value = base64(value.as_bytes());
        }
    }

    fn change(&self, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("an intact lock");
        state.revision += 1;
        let revision = state.revision;
        let value = value.map(|value| base64(value.as_bytes()));
        match &value {
            Some(value) => {
                let item = Item { value: value.clone(), revision };
                state.items.insert(key.to_string(), item);
            }
            None => {
                state.items.remove(key);
            }
        }
        state.changes.push((revision, key.to_string(), value));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, turns_away: &AtomicBool) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            http::read_body(&mut reader, &mut request);
            let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
            let parameter = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                let found = pairs.into_iter().find(|(key, _)| *key == name);
                found.map(|(_, value)| value.replace("%2F", "/")).unwrap_or_default()
            };
            let answer = match path {
                "/kv-range" => Some(self.range(&parameter("prefix"), &parameter("after"))),
                "/kv-watch" => {
                    let wait_ms = parameter("wait_ms").parse().unwrap_or(0);
                    let after = parameter("after").parse().unwrap_or(0);
                    self.watch(&parameter("prefix"), after, Duration::from_millis(wait_ms))
                }
                _ => Some("{}".to_string()),
            };
            let (status, answer) = match answer {
                _ if turns_away.load(Ordering::SeqCst) => (503, "{}".to_string()),
                Some(answer) => (200, answer),
                None => (410, "{}".to_string()),
            };
            let era = self.shared.0.lock().expect("an intact lock").era;
            let line = format!("Store-Era: {era}\r\n");
            if http::write_json_with(&mut writer, status, &line, &answer).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.shared.0.lock().expect("an intact lock");
        let found = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<_> = found.map(|(key, item)| item_json(key, item.revision, Some(&item.value))).collect();
        format!("{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}", items.join(","), state.revision)
    }

    /// Changes after a revision; `None` if the store doesn't have that revision.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<String> {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("an intact lock");
        let era = state.era;
        loop {
            if after > state.revision || state.era != era {
                return None;
            }
            let new = state.changes.iter().filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<_> = new.map(|(revision, key, value)| item_json(key, *revision, value.as_deref())).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return Some(format!("{{\"events\":[{events}],\"current_rev\":{}}}", state.revision));
            }
            state = changed.wait_timeout(state, left).expect("an intact lock").0;
        }
    }
}

fn item_json(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"create_rev\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= group.len() {
                text.push(char::from(DIGITS[(number >> (18 - 6 * index)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
