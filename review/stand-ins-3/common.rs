//! Stand-ins of the platform for the cases of the third review: its store, backend servers and
//! callers, and the launcher of the project's own programs. Uses the standard library only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;
const WAIT_MAX: Duration = Duration::from_secs(20);

/// Whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Writes `record.txt`: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|error| not_run(&format!("{path}: {error}")));
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} s  {text}", self.seconds());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

pub fn not_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    kill_all();
    std::process::exit(NOT_RUN);
}

// ---------------------------------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    if reader.take(65_536).read_until(b'\n', &mut bytes)? == 0 {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&bytes);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_string()))
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut head = Head { line, headers: Vec::new() };
    loop {
        match read_line(reader)? {
            None => return Err(io::ErrorKind::UnexpectedEof.into()),
            Some(line) if line.is_empty() => return Ok(Some(head)),
            Some(line) => {
                if let Some((name, value)) = line.split_once(':') {
                    head.headers.push((name.trim().to_string(), value.trim().to_string()));
                }
            }
        }
    }
}

/// Body of a message, and whether its framing says that it is complete.
#[derive(Clone, Debug, Default)]
pub struct Body {
    pub bytes: Vec<u8>,
    pub is_complete: bool,
}

/// Reads a body with a length or in chunks; without either, an empty one.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> Body {
    let mut body = Body::default();
    if head.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let Ok(Some(line)) = read_line(reader) else { return body };
            let size = line.split(';').next().unwrap_or_default().trim();
            let Ok(size) = usize::from_str_radix(size, 16) else { return body };
            if size == 0 {
                while let Ok(Some(line)) = read_line(reader) {
                    if line.is_empty() {
                        body.is_complete = true;
                        break;
                    }
                }
                return body;
            }
            let mut chunk = vec![0; size];
            if reader.read_exact(&mut chunk).is_err() {
                return body;
            }
            body.bytes.extend_from_slice(&chunk);
            let _ = read_line(reader);
        }
    }
    let length: usize = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    body.bytes = vec![0; length];
    body.is_complete = reader.read_exact(&mut body.bytes).is_ok();
    body
}

pub fn respond(stream: &TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    let mut stream = stream;
    stream.write_all(&bytes).is_ok()
}

/// Serves HTTP/1.1 at an address; a handler returns whether the connection stays open.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&TcpStream, &Head, &Body) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address)
        .unwrap_or_else(|error| not_run(&format!("binding {address}: {error}")));
    let bound = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(&stream);
                while let Ok(Some(head)) = read_head(&mut reader) {
                    let body = read_body(&mut reader, &head);
                    if !handle(&stream, &head, &body) {
                        break;
                    }
                }
            });
        }
    });
    bound
}

pub fn loopback(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, last))
}

/// Address with a port that is free now.
pub fn free_address(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| not_run(&format!("{ip}: {e}")));
    listener.local_addr().unwrap()
}

/// Port that is free at all of the addresses.
pub fn shared_port(ips: &[IpAddr]) -> u16 {
    for _ in 0..200 {
        let port = free_address(ips[0]).port();
        if ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok()) {
            return port;
        }
    }
    not_run("no port is free at all addresses")
}

// --------------------------------------------------------------------------------------- store

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= group.len() {
                text.push(char::from(BASE64[(number >> (18 - 6 * index)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

#[derive(Default)]
struct Items {
    revision: u64,
    items: BTreeMap<String, String>,
    /// Revision and JSON text of each change.
    events: Vec<(u64, String)>,
}

/// The platform's store. Reads are linearizable.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Items>, Condvar)>,
}

impl Store {
    pub fn new() -> Self {
        let store = Self::default();
        store.shared.0.lock().unwrap().revision = 100;
        store
    }

    /// Writes an item; returns once it is confirmed.
    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.shared.0.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        let text = format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"create_rev\":{revision},\"lease\":0}}",
            base64(value.as_bytes())
        );
        items.items.insert(key.to_string(), text.clone());
        items.events.push((revision, text));
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut items = self.shared.0.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        items.items.remove(key);
        let text = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}");
        items.events.push((revision, text));
        self.shared.1.notify_all();
    }

    /// Opens an address of the store; while `is_refused`, its callers get 503.
    pub fn listen(
        &self,
        address: SocketAddr,
        is_refused: impl Fn() -> bool + Send + Sync + 'static,
    ) -> SocketAddr {
        let store = self.clone();
        serve(address, move |stream, head, _| {
            if is_refused() {
                return respond(stream, 503, "", b"");
            }
            let reply = store.reply(head.path(), &is_refused);
            match reply {
                Some(body) => {
                    respond(stream, 200, "Content-Type: application/json\r\n", body.as_bytes())
                }
                None => respond(stream, 503, "", b""),
            }
        })
    }

    fn reply(&self, target: &str, is_refused: &impl Fn() -> bool) -> Option<String> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map(|(_, value)| value.replace("%2F", "/").replace("%3A", ":"))
        };
        let prefix = parameter("prefix").unwrap_or_default();
        let (lock, changed) = &*self.shared;
        let mut items = lock.lock().unwrap();
        match path {
            "/kv-range" => {
                let after = parameter("after").unwrap_or_default();
                let found = items.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let texts: Vec<_> = found.map(|(_, text)| text.as_str()).collect();
                Some(format!(
                    "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}",
                    texts.join(","),
                    items.revision
                ))
            }
            "/kv-watch" => {
                let after: u64 = parameter("after")?.parse().ok()?;
                let wait_ms: u64 = parameter("wait_ms")?.parse().ok()?;
                let end = Instant::now() + Duration::from_millis(wait_ms);
                loop {
                    // A store that turns its caller away cuts the watch that waits.
                    if is_refused() {
                        return None;
                    }
                    let rest = end.saturating_duration_since(Instant::now());
                    if items.revision > after || rest.is_zero() {
                        break;
                    }
                    let step = rest.min(Duration::from_millis(50));
                    items = changed.wait_timeout(items, step).unwrap().0;
                }
                let events = items.events.iter().filter(|(revision, _)| *revision > after);
                let texts: Vec<_> = events.map(|(_, text)| text.as_str()).collect();
                Some(format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    texts.join(","),
                    items.revision
                ))
            }
            _ => None,
        }
    }
}

/// Entry of a backend server as it publishes it.
pub fn server_entry(
    service: &str,
    address: SocketAddr,
    slots: u32,
    stage: Option<&str>,
    born: u64,
) -> String {
    let stage = stage.map_or(String::new(), |stage| {
        format!("\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],")
    });
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a1\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,{stage}\"sequence\":4,\"born\":{born}}}"
    )
}

// ----------------------------------------------------------------------------------- processes

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static DIRECTORY: Mutex<Option<PathBuf>> = Mutex::new(None);
static NEXT: AtomicU64 = AtomicU64::new(0);

/// Ends all processes that the case started, and removes its temporary folder.
pub fn kill_all() {
    for mut child in CHILDREN.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(directory) = DIRECTORY.lock().unwrap().take() {
        let _ = fs::remove_dir_all(directory);
    }
}

pub fn finish(code: i32) -> ! {
    kill_all();
    std::process::exit(code);
}

/// Ends the case if it takes too long.
pub fn start_watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        not_run("it took too long");
    });
}

fn directory() -> PathBuf {
    let mut directory = DIRECTORY.lock().unwrap();
    let path = directory.get_or_insert_with(|| {
        let path = std::env::temp_dir().join(format!("cuminlead-review-3-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|e| not_run(&e.to_string()));
        path
    });
    path.clone()
}

fn fill(template: &str, values: &[(&str, String)]) -> String {
    let path = format!("platform/{template}");
    let text = fs::read_to_string(&path).unwrap_or_else(|e| not_run(&format!("{path}: {e}")));
    let mut text = text.replace("{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", "a1=a,a2=a");
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    if text.contains("{{") {
        not_run(&format!("{path} has an unknown placeholder"));
    }
    text
}

fn start(program: &str, name: &str, settings: &str) -> u32 {
    let directory = directory();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let file = directory.join(format!("{name}-{number}.conf"));
    fs::write(&file, settings).unwrap_or_else(|e| not_run(&e.to_string()));
    let log = File::create(directory.join(format!("{name}-{number}.log"))).unwrap();
    let child = Command::new(format!("target/release/{program}"))
        .arg("--settings")
        .arg(&file)
        .arg("run")
        .env("CUMINLEAD_NODE_FILE", &file)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|error| not_run(&format!("starting {program}: {error}")));
    let id = child.id();
    CHILDREN.lock().unwrap().push(child);
    note_process(id);
    id
}

/// Notes a process in the file by which the script ends all of them if it is stopped early.
fn note_process(id: u32) {
    let Ok(path) = std::env::var("REVIEW_PROCESSES") else { return };
    if let Ok(mut file) = fs::OpenOptions::new().append(true).open(path) {
        let _ = writeln!(file, "{id}");
    }
}

/// Log of the processes whose names begin so.
pub fn logs(name: &str) -> String {
    let mut text = String::new();
    for file in fs::read_dir(directory()).into_iter().flatten().flatten() {
        let file_name = file.file_name().to_string_lossy().to_string();
        if file_name.starts_with(name) && file_name.ends_with(".log") {
            text.push_str(&fs::read_to_string(file.path()).unwrap_or_default());
        }
    }
    text
}

/// Running entry.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub id: u32,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
}

/// Starts an entry with the settings of the deploy file's template.
pub fn start_entry(number: u8, store: SocketAddr, agent_port: u16) -> Entry {
    let ip = loopback(100 + number);
    let (callers, control, admin) = (free_address(ip), free_address(ip), free_address(ip));
    let name = format!("front-a1-{number}");
    let settings = fill(
        "entry.toml.template",
        &[
            ("node", name.clone()),
            ("region", "a".to_string()),
            ("zone", "a1".to_string()),
            ("bounds.retry_slack", "84".to_string()),
            ("listen.front", callers.to_string()),
            ("listen.control", control.to_string()),
            ("listen.ready", admin.to_string()),
            ("platform.address", store.to_string()),
            ("internal_ports.0", agent_port.to_string()),
        ],
    );
    let id = start("cuminlead-entry", &name, &settings);
    Entry { id, callers, admin }
}

/// Starts the agent beside an engine.
pub fn start_agent(number: u8, store: SocketAddr, engine: SocketAddr, agent_port: u16) -> u32 {
    let name = format!("side-a1-{number}");
    let settings = fill(
        "agent.toml.template",
        &[
            ("node", name.clone()),
            ("region", "a".to_string()),
            ("zone", "a1".to_string()),
            ("app", engine.to_string()),
            ("ip", engine.ip().to_string()),
            ("internal_ports.0", agent_port.to_string()),
            ("internal_ports.1", free_address(engine.ip()).port().to_string()),
            ("platform.address", store.to_string()),
        ],
    );
    start("cuminlead-agent", &name, &settings)
}

pub fn wait_until_ready(entry: &Entry) {
    let end = Instant::now() + WAIT_MAX;
    while Instant::now() < end {
        let response = send(entry.admin, "GET", "/ready", "Host: x\r\n", b"", Duration::from_secs(2));
        if response.is_ok_and(|response| response.status == 200) {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    not_run("an entry is not ready");
}

// ------------------------------------------------------------------------------------- callers

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the framing of the response says that it is complete.
    pub is_complete: bool,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).to_string()
    }
}

/// Sends a request on a new channel and reads the answer, for `wait` at most without a byte.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    wait: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let length = if method == "GET" && body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n{headers}{length}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(&stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head);
    Ok(Response {
        status: head.status(),
        head,
        body: body.bytes,
        is_complete: body.is_complete,
    })
}

// ------------------------------------------------------------------------------------- engines

/// What an engine says of itself.
#[derive(Clone, Debug)]
pub struct EngineState {
    pub stage: &'static str,
    pub born: u64,
    /// Header lines of all its answers.
    pub notice: &'static str,
}

/// Answers what is not a run: reports, leases, handles, orders and prefills. `None` for a run.
pub fn answer_command(stream: &TcpStream, head: &Head, state: &EngineState) -> Option<bool> {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let id = head.get("request-id").unwrap_or_default();
    let mut headers = format!("Content-Type: application/json\r\n{}", state.notice);
    if !id.is_empty() {
        headers.push_str(&format!("Request-Id: {id}\r\n"));
    }
    let answer = |body: String| Some(respond(stream, 200, &headers, body.as_bytes()));
    match (head.method(), head.path()) {
        ("GET", "/report") => answer(format!(
            "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\"kv_used\":0,\
             \"kv_total\":72189,\"kv_handles\":0,\"state\":\"ready\",\"runs\":[],\"born\":{}}}",
            state.stage, state.born
        )),
        ("POST", "/hold-take") => answer(format!("{{\"hold\":\"hold{number:x}\"}}")),
        ("POST", "/order") => Some(respond(stream, 400, "Not-Executed: 1\r\n", b"")),
        ("DELETE", _) => answer(String::new()),
        _ if head.get("serving-stage") == Some("prefill") => {
            thread::sleep(Duration::from_millis(40));
            answer(format!("{{\"kv_handle\":\"kv{number:x}\",\"tokens\":500,\"version\":1}}"))
        }
        _ => None,
    }
}
