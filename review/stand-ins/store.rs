//! Stand-in of the platform's store: range reads and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{message, read_head, write};

#[derive(Default)]
struct Items {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    events: Vec<(u64, String)>,
}

struct Shared {
    items: Mutex<Items>,
    changed: Condvar,
}

/// Store on a free loopback port.
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            items: Mutex::default(),
            changed: Condvar::new(),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&accepting);
                thread::spawn(move || serve(&stream, &shared));
            }
        });
        Ok(Self { address, shared })
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.shared.items.lock().expect("store");
        items.revision += 1;
        let (revision, value) = (items.revision, base64(value.as_bytes()));
        items.events.push((revision, item(key, &value, revision)));
        items.items.insert(key.to_string(), (value, revision));
        self.shared.changed.notify_all();
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"create_rev":{revision},"lease":0}}"#
    )
}

fn serve(stream: &TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = read_head(&mut reader) {
        let body = answer(head.path(), shared);
        let headers = "Content-Type: application/json\r\n";
        if write(stream, &message("HTTP/1.1 200 OK", headers, &body)).is_err() {
            return;
        }
    }
}

fn answer(path: &str, shared: &Shared) -> String {
    let (endpoint, query) = path.split_once('?').unwrap_or((path, ""));
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|pair| pair.0 == name).map(|pair| pair.1);
        value.unwrap_or_default().to_string()
    };
    let prefix = parameter("prefix");
    let items = shared.items.lock().expect("store");
    if endpoint == "/kv-range" {
        let found = items
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix));
        let found = found.map(|(key, (value, revision))| item(key, value, *revision));
        let found: Vec<_> = found.collect();
        return format!(
            r#"{{"items":[{}],"has_more":false,"current_rev":{}}}"#,
            found.join(","),
            items.revision
        );
    }
    let after: u64 = parameter("after").parse().unwrap_or(0);
    let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
    let waited = shared
        .changed
        .wait_timeout_while(items, wait, |items| items.revision <= after);
    let (items, _) = waited.expect("store");
    let events = items
        .events
        .iter()
        .filter(|(revision, _)| *revision > after);
    let events: Vec<_> = events.map(|(_, event)| event.clone()).collect();
    format!(
        r#"{{"events":[{}],"current_rev":{}}}"#,
        events.join(","),
        items.revision
    )
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
