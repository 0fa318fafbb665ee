//! Stand-in of the platform's store: range reads and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{message, read_head, write};

#[derive(Default)]
struct Items {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    events: Vec<Change>,
}

struct Change {
    revision: u64,
    made_at: Instant,
    event: String,
}

/// Time for which changes can be watched (`history_s`).
const HISTORY: Duration = Duration::from_secs(20);

struct Shared {
    items: Mutex<Items>,
    changed: Condvar,
    /// Whether the store turns entries away with 503.
    are_entries_turned_away: AtomicBool,
}

/// Store on two free loopback ports: one for entries and one for agents.
pub struct Store {
    pub entry_address: SocketAddr,
    pub agent_address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            items: Mutex::default(),
            changed: Condvar::new(),
            are_entries_turned_away: AtomicBool::new(false),
        });
        Ok(Self {
            entry_address: listen(&shared, true)?,
            agent_address: listen(&shared, false)?,
            shared,
        })
    }

    /// Begins or ends to turn entries away. Watches that wait are ended.
    pub fn turn_entries_away(&self, is_turned_away: bool) {
        let shared = &self.shared;
        shared
            .are_entries_turned_away
            .store(is_turned_away, Ordering::SeqCst);
        shared.changed.notify_all();
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.shared.items.lock().expect("store");
        items.revision += 1;
        let (revision, value) = (items.revision, base64(value.as_bytes()));
        let event = item(key, &value, revision);
        items
            .events
            .retain(|change| change.made_at.elapsed() < HISTORY);
        items.events.push(Change {
            revision,
            made_at: Instant::now(),
            event,
        });
        items.items.insert(key.to_string(), (value, revision));
        self.shared.changed.notify_all();
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"create_rev":{revision},"lease":0}}"#
    )
}

fn listen(shared: &Arc<Shared>, is_for_entries: bool) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = Arc::clone(&shared);
            thread::spawn(move || serve(&stream, &shared, is_for_entries));
        }
    });
    Ok(address)
}

fn serve(stream: &TcpStream, shared: &Shared, is_for_entries: bool) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = read_head(&mut reader) {
        let is_turned_away =
            || is_for_entries && shared.are_entries_turned_away.load(Ordering::SeqCst);
        let answered = if is_turned_away() {
            Err("503 Service Unavailable")
        } else {
            answer(head.path(), shared, is_turned_away)
        };
        let (status, body) = match answered {
            Ok(body) => ("200 OK", body),
            Err(status) => (status, String::new()),
        };
        let headers = "Content-Type: application/json\r\n";
        if write(
            stream,
            &message(&format!("HTTP/1.1 {status}"), headers, &body),
        )
        .is_err()
        {
            return;
        }
    }
}

/// Body of the answer; the error is another status.
fn answer(
    path: &str,
    shared: &Shared,
    is_turned_away: impl Fn() -> bool,
) -> Result<String, &'static str> {
    let (endpoint, query) = path.split_once('?').unwrap_or((path, ""));
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|pair| pair.0 == name).map(|pair| pair.1);
        value.unwrap_or_default().to_string()
    };
    let prefix = parameter("prefix");
    let mut items = shared.items.lock().expect("store");
    if endpoint == "/kv-range" {
        let found = items
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix));
        let found = found.map(|(key, (value, revision))| item(key, value, *revision));
        let found: Vec<_> = found.collect();
        return Ok(format!(
            r#"{{"items":[{}],"has_more":false,"current_rev":{}}}"#,
            found.join(","),
            items.revision
        ));
    }
    let after: u64 = parameter("after").parse().unwrap_or(0);
    items
        .events
        .retain(|change| change.made_at.elapsed() < HISTORY);
    let first_kept = items
        .events
        .first()
        .map_or(items.revision + 1, |change| change.revision);
    if after + 1 < first_kept {
        return Err("410 Gone");
    }
    let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
    let waited = shared.changed.wait_timeout_while(items, wait, |items| {
        items.revision <= after && !is_turned_away()
    });
    let (items, _) = waited.expect("store");
    if is_turned_away() {
        return Err("503 Service Unavailable");
    }
    let events = items.events.iter().filter(|change| change.revision > after);
    let events: Vec<_> = events.map(|change| change.event.clone()).collect();
    Ok(format!(
        r#"{{"events":[{}],"current_rev":{}}}"#,
        events.join(","),
        items.revision
    ))
}

/// Standard Base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position) & 63) as usize];
            let is_used = position <= group.len();
            text.push(if is_used { char::from(digit) } else { '=' });
        }
    }
    text
}
