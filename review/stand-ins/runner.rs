//! Stand-ins of runners: model engines with separate prefill and decode, and a plain service.

use std::collections::{HashMap, HashSet};
use std::io::BufReader;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Head, message, read_body, read_head, write};
use crate::record::Record;

/// Prompt tokens that a prefill engine reads per millisecond; a decode engine reads half as many.
const PROMPT_TOKENS_PER_MS: f64 = 55.5556;
/// Events of a stream.
const EVENTS_COUNT: u64 = 70;
/// Time for which a prefill engine keeps a KV cache that nobody takes (`kv_hold_s`).
const HANDLE_LIFETIME: Duration = Duration::from_millis(500);
/// Work of a plain request.
const PLAIN_WORK: Duration = Duration::from_millis(30);

/// What a runner answers with trouble.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    None,
    /// A share of the answers is sent a second time, when the next request arrives on the channel.
    LateSecondAnswers {
        share: f64,
    },
}

/// Run of a request, from its first output on.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub runner: String,
    /// Request whose handle it went on from.
    pub handle_of: Option<String>,
}

#[derive(Clone, Debug)]
struct Handle {
    request: String,
    expires_at: Instant,
}

/// State that all runners of a script share.
pub struct Fleet {
    pub record: Record,
    handles: Mutex<HashMap<String, Handle>>,
    runs: Mutex<Vec<Run>>,
    /// Requests whose prompts prefill engines have begun to read.
    prompts_read: Mutex<HashSet<String>>,
    next_handle: AtomicU64,
    seed: AtomicU64,
}

impl Fleet {
    pub fn new(record: Record) -> Arc<Self> {
        Arc::new(Self {
            record,
            handles: Mutex::default(),
            runs: Mutex::default(),
            prompts_read: Mutex::default(),
            next_handle: AtomicU64::new(0),
            seed: AtomicU64::new(0x9e37_79b9_7f4a_7c15),
        })
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("runs").clone()
    }

    pub fn prompts_read(&self) -> HashSet<String> {
        self.prompts_read.lock().expect("prompts").clone()
    }

    /// Pseudo-random number from 0 to 1.
    pub fn random(&self) -> f64 {
        let mut bits = self
            .seed
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn begin_run(&self, run: Run) {
        let from = run.handle_of.as_deref().unwrap_or("its own prompt");
        self.record.line(&format!(
            "run {} at {} from {from}",
            run.request, run.runner
        ));
        self.runs.lock().expect("runs").push(run);
    }

    /// Takes a handle; `None` if it was taken or has lapsed.
    fn take_handle(&self, source: &str) -> Option<String> {
        let handle = source.rsplit('/').next()?;
        let taken = self.handles.lock().expect("handles").remove(handle)?;
        (Instant::now() < taken.expires_at).then_some(taken.request)
    }
}

/// Runner at an address of its own.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    service: &'static str,
    stage: Option<&'static str>,
    born_ms: u64,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    fleet: Arc<Fleet>,
    trouble: Mutex<Trouble>,
    /// Whether KV caches lapse as soon as they are made.
    are_handles_short: Mutex<bool>,
    /// Held while a prompt is read; prompts are read one after the other.
    prompt_reader: Mutex<()>,
    /// Streams in progress, in the order in which they began.
    running: Mutex<Vec<RunningStream>>,
    born_ms: u64,
    slots: u32,
    /// Pause between two events of a stream.
    event_interval: Duration,
}

struct RunningStream {
    request: String,
    tokens: u64,
    /// End of the time in which the engine has preempted it.
    preempted_until: Option<Instant>,
}

impl RunningStream {
    fn is_preempted(&self) -> bool {
        self.preempted_until
            .is_some_and(|until| Instant::now() < until)
    }
}

/// Speed and size of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSize {
    pub slots: u32,
    pub event_interval: Duration,
}

impl Default for EngineSize {
    /// An engine of the small sites.
    fn default() -> Self {
        Self {
            slots: 64,
            event_interval: Duration::from_millis(20),
        }
    }
}

impl Runner {
    pub fn start(
        fleet: &Arc<Fleet>,
        id: &str,
        service: &'static str,
        stage: Option<&'static str>,
        size: EngineSize,
        ip: IpAddr,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let born_ms = since_epoch.expect("a valid clock").as_millis() as u64;
        let shared = Arc::new(Shared {
            id: id.to_string(),
            fleet: Arc::clone(fleet),
            trouble: Mutex::new(Trouble::None),
            are_handles_short: Mutex::new(false),
            prompt_reader: Mutex::new(()),
            running: Mutex::default(),
            born_ms,
            slots: size.slots,
            event_interval: size.event_interval,
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&accepting);
                thread::spawn(move || shared.serve(&stream));
            }
        });
        let id = id.to_string();
        Self {
            id,
            address,
            service,
            stage,
            born_ms,
            shared,
        }
    }

    /// Value of the runner's entry in the store.
    pub fn entry(&self) -> String {
        let slots = if self.stage.is_some() {
            self.shared.slots
        } else {
            6
        };
        let stage = self.stage.map_or(String::new(), |stage| {
            format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
        });
        format!(
            r#"{{"service":"{}","address":"{}","zone":"a1","version":"v1","slots":{slots},"state":"ready","cold_left_ms":0,"sequence":1,"born":{}{stage}}}"#,
            self.service, self.address, self.born_ms
        )
    }

    pub fn set_trouble(&self, trouble: Trouble) {
        *self.shared.trouble.lock().expect("trouble") = trouble;
    }

    /// Preempts the newest stream, as an engine does that runs out of memory, and goes on with it
    /// after the given time.
    pub fn preempt_newest(&self, period: Duration) {
        let mut running = self.shared.running.lock().expect("running");
        let newest = running
            .iter_mut()
            .rev()
            .find(|stream| !stream.is_preempted());
        if let Some(stream) = newest {
            stream.preempted_until = Some(Instant::now() + period);
            let record = &self.shared.fleet.record;
            record.line(&format!(
                "{} preempts {} for {period:?}",
                self.id, stream.request
            ));
        }
    }

    pub fn set_short_handles(&self, are_short: bool) {
        *self.shared.are_handles_short.lock().expect("handles") = are_short;
    }
}

/// Answer on a channel, which may be sent a second time.
struct Channel<'a> {
    stream: &'a TcpStream,
    shared: &'a Shared,
    /// Second copy of the last answer, due when the next request arrives.
    second_copy: Option<String>,
}

impl Channel<'_> {
    /// Sends a complete answer.
    fn answer(&mut self, text: String) -> std::io::Result<()> {
        write(self.stream, &text)?;
        let trouble = *self.shared.trouble.lock().expect("trouble");
        if let Trouble::LateSecondAnswers { share } = trouble
            && self.shared.fleet.random() < share
        {
            self.second_copy = Some(text);
        }
        Ok(())
    }

    fn send_second_copy(&mut self, next: &str) -> std::io::Result<()> {
        let Some(text) = self.second_copy.take() else {
            return Ok(());
        };
        let first_lines = text.split("\r\n\r\n").next().unwrap_or_default();
        let record = &self.shared.fleet.record;
        record.line(&format!(
            "late second answer of {} as {next} arrives: {}",
            self.shared.id,
            first_lines.replace("\r\n", " | ")
        ));
        write(self.stream, &text)
    }
}

impl Shared {
    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut channel = Channel {
            stream,
            shared: self,
            second_copy: None,
        };
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_body(&mut reader, &head).is_err() {
                return;
            }
            let id = head.get("request-id").unwrap_or("a command").to_string();
            if channel.send_second_copy(&id).is_err()
                || self.handle(&mut channel, &head, &id).is_err()
            {
                return;
            }
        }
    }

    fn handle(&self, channel: &mut Channel<'_>, head: &Head, id: &str) -> std::io::Result<()> {
        if head.path() == "/report" {
            return write(
                channel.stream,
                &message("HTTP/1.1 200 OK", "", &self.report()),
            );
        }
        if head.method() == "DELETE" {
            if let Some(handle) = head.path().strip_prefix("/kv-handle/") {
                self.fleet.handles.lock().expect("handles").remove(handle);
            }
            return channel.answer(message("HTTP/1.1 200 OK", "", ""));
        }
        if head.path() == "/order" {
            return write(channel.stream, &message("HTTP/1.1 202 Accepted", "", ""));
        }
        if head.path() == "/hold-take" {
            return write(channel.stream, &message("HTTP/1.1 503 Full", "", ""));
        }
        if head.get("expect-instance") != Some(&self.id) {
            let headers = format!("Request-Id: {id}\r\nInstance-Id: {}\r\n", self.id);
            return channel.answer(message("HTTP/1.1 421 Misdirected Request", &headers, ""));
        }
        let Some(tokens) = head.get("token-counts").map(prompt_tokens) else {
            return self.run_plain(channel, id);
        };
        if head.get("serving-stage") == Some("prefill") {
            return self.prefill(channel, id, tokens);
        }
        self.decode(channel, head, id, tokens)
    }

    fn report(&self) -> String {
        let running = self.running.lock().expect("running");
        let (waiting, running): (Vec<_>, Vec<_>) =
            running.iter().partition(|stream| stream.is_preempted());
        let run =
            |stream: &&RunningStream| format!(r#"["{}",{},0,5]"#, stream.request, stream.tokens);
        let runs: Vec<_> = running.iter().map(run).collect();
        let used: u64 = running.iter().map(|stream| stream.tokens).sum();
        format!(
            r#"{{"stage":"decode","busy":false,"sequence":0,"waiting":{},"running":{},"kv_used":{used},"kv_total":108296,"kv_handles":0,"runs":[{}],"born":{}}}"#,
            waiting.len(),
            runs.len(),
            runs.join(","),
            self.born_ms
        )
    }

    fn run_plain(&self, channel: &mut Channel<'_>, id: &str) -> std::io::Result<()> {
        thread::sleep(PLAIN_WORK);
        self.fleet.begin_run(Run {
            request: id.to_string(),
            runner: self.id.clone(),
            handle_of: None,
        });
        let body = format!("{id} {}", "x".repeat(780));
        let headers = format!("Request-Id: {id}\r\nResponse-Signature: {id}\r\n");
        channel.answer(message("HTTP/1.1 200 OK", &headers, &body))
    }

    fn read_prompt(&self, tokens: u64, tokens_per_ms: f64) {
        let _reader = self.prompt_reader.lock().expect("prompt reader");
        thread::sleep(Duration::from_secs_f64(
            tokens as f64 / tokens_per_ms / 1_000.0,
        ));
    }

    fn prefill(&self, channel: &mut Channel<'_>, id: &str, tokens: u64) -> std::io::Result<()> {
        self.fleet
            .prompts_read
            .lock()
            .expect("prompts")
            .insert(id.to_string());
        self.read_prompt(tokens, PROMPT_TOKENS_PER_MS);
        let number = self.fleet.next_handle.fetch_add(1, Ordering::Relaxed);
        let name = format!("{:08x}{number:04x}", (self.fleet.random() * 4e9) as u64);
        let are_short = *self.are_handles_short.lock().expect("handles");
        let lifetime = if are_short {
            Duration::ZERO
        } else {
            HANDLE_LIFETIME
        };
        let handle = Handle {
            request: id.to_string(),
            expires_at: Instant::now() + lifetime,
        };
        self.fleet
            .handles
            .lock()
            .expect("handles")
            .insert(name.clone(), handle);
        self.fleet.record.line(&format!(
            "prompt of {id} read at {}: handle {name}",
            self.id
        ));
        let body = format!(r#"{{"kv_handle":"{name}","tokens":{tokens},"version":1}}"#);
        let headers = format!("Request-Id: {id}\r\nContent-Type: application/json\r\n");
        channel.answer(message("HTTP/1.1 200 OK", &headers, &body))
    }

    fn decode(
        &self,
        channel: &mut Channel<'_>,
        head: &Head,
        id: &str,
        tokens: u64,
    ) -> std::io::Result<()> {
        let mut handle_of = None;
        if let Some(source) = head.get("kv-source") {
            handle_of = self.fleet.take_handle(source);
            if handle_of.is_none() {
                self.fleet
                    .record
                    .line(&format!("{} rejects {id}: no handle {source}", self.id));
                let headers = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
                return channel.answer(message("HTTP/1.1 503 Unavailable", &headers, ""));
            }
        } else {
            self.read_prompt(tokens, PROMPT_TOKENS_PER_MS / 2.0);
        }
        self.running.lock().expect("running").push(RunningStream {
            request: id.to_string(),
            tokens,
            preempted_until: None,
        });
        self.fleet.begin_run(Run {
            request: id.to_string(),
            runner: self.id.clone(),
            handle_of,
        });
        let first = head
            .get("last-event-id")
            .and_then(|last| last.parse().ok())
            .unwrap_or(0)
            + 1;
        let streamed = self.stream(channel.stream, id, first);
        self.running
            .lock()
            .expect("running")
            .retain(|stream| stream.request != id);
        if streamed.is_err() {
            self.fleet
                .record
                .line(&format!("channel of {id} closed at {}", self.id));
        }
        streamed
    }

    fn is_preempted(&self, id: &str) -> bool {
        let running = self.running.lock().expect("running");
        running
            .iter()
            .any(|stream| stream.request == id && stream.is_preempted())
    }

    fn stream(&self, stream: &TcpStream, id: &str, first: u64) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {id}\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        write(stream, &head)?;
        for event in first..=EVENTS_COUNT {
            let text = format!("id: {event}\ndata: {id}-{event}\n\n");
            while self.is_preempted(id) {
                thread::sleep(Duration::from_millis(10));
            }
            write(stream, &format!("{:x}\r\n{text}\r\n", text.len()))?;
            thread::sleep(self.event_interval);
        }
        write(stream, "0\r\n\r\n")
    }
}

fn prompt_tokens(counts: &str) -> u64 {
    let prompt = counts.split(',').next().unwrap_or_default();
    prompt.trim().parse().unwrap_or(0)
}
