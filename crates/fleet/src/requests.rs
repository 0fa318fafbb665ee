//! Requests whose right answer is known, and raw HTTP requests.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::{Condvar, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::{Value, json};

use super::Fleet;
use super::deployment::ServerKind;
use crate::caller::Received;
use cuminlead_stand_ins::client::{self, JsonAnswer};
use cuminlead_stand_ins::engine::text;

/// Fleets that may run at once in one test executable; each has up to 15 processes.
const FLEETS_AT_ONCE: usize = 2;
/// What the entry puts before the text of a message.
pub const USER_PREFIX: &str = "user: ";
/// Longest answer that is asked for.
const OUTPUT_MAX: u64 = 64;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// Right to run a fleet; given back when dropped.
#[derive(Debug)]
pub struct FleetGuard(());

impl FleetGuard {
    /// Waits until few enough fleets run in this executable.
    pub fn wait() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = ENDED.wait_while(running, |running| *running >= FLEETS_AT_ONCE);
        *waited.unwrap_or_else(PoisonError::into_inner) += 1;
        Self(())
    }
}

impl Drop for FleetGuard {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// Model request whose answer is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// Text of the message.
    pub prompt: String,
    /// Most tokens of the answer.
    pub output_max: u64,
    /// Whole answer.
    pub answer: String,
}

impl Question {
    /// Request with a text of its own.
    pub fn new(prompt: &str, output_max: u64) -> Self {
        Self {
            prompt: prompt.to_string(),
            output_max,
            answer: text::answer(&format!("{USER_PREFIX}{prompt}"), output_max),
        }
    }

    /// Request with an answer of at least `tokens_min` tokens; `seed` tells requests apart.
    pub fn long(seed: &str, tokens_min: usize) -> Self {
        let tries = (0..).map(|number| format!("Repair note {seed}, try {number}."));
        let questions = tries.map(|prompt| Self::new(&prompt, OUTPUT_MAX));
        let is_long = |question: &Self| question.answer.matches(" w").count() >= tokens_min;
        let mut long = questions.filter(is_long);
        long.next().unwrap_or_else(|| Self::new(seed, OUTPUT_MAX))
    }

    /// Request with a prompt of about `tokens` tokens.
    pub fn with_document(seed: &str, tokens: usize, output_max: u64) -> Self {
        let line = format!("Line of the repair note {seed}.\n");
        let lines_count = (tokens * 4).div_ceil(line.len());
        let lines = (0..lines_count).map(|number| format!("{number} {line}"));
        Self::new(&lines.collect::<String>(), output_max)
    }

    /// Error unless `received` is exactly the whole answer.
    pub fn check(&self, received: &Received) -> io::Result<()> {
        let is_right = received.status == 200
            && received.error_code.is_none()
            && received.finish.is_some()
            && received.text == self.answer;
        if is_right {
            return Ok(());
        }
        let expected = &self.answer;
        let reason = format!("expected the whole answer {expected:?}, received {received:?}");
        Err(io::Error::other(reason))
    }
}

impl Fleet {
    /// Asks an entry and waits for the answer.
    pub fn ask(&self, entry: &str, question: &Question, limit: Duration) -> io::Result<Received> {
        let caller = self.caller(entry, limit)?;
        let model = self.config.deployment.model;
        caller.ask(model, &question.prompt, question.output_max)
    }

    /// Asks an entry on a thread of its own.
    pub fn ask_in_background(
        &self,
        entry: &str,
        question: &Question,
        limit: Duration,
    ) -> io::Result<JoinHandle<io::Result<Received>>> {
        let caller = self.caller(entry, limit)?;
        let model = self.config.deployment.model;
        let question = question.clone();
        Ok(std::thread::spawn(move || {
            caller.ask(model, &question.prompt, question.output_max)
        }))
    }

    /// Waits until a decode engine has generated tokens of a running sequence; names the engine.
    pub fn wait_until_decoding(&self, limit: Duration) -> io::Result<String> {
        let servers = self.config.deployment.servers.iter();
        let engines = servers.filter(|place| place.kind == ServerKind::Decode);
        let engines: Vec<String> = engines.map(|place| place.id.clone()).collect();
        let mut found = None;
        self.wait_for("an engine decodes", limit, |fleet| {
            for engine in &engines {
                let is_held = !fleet.sequences(engine)?.is_empty();
                if is_held && fleet.count(engine, "generated_tokens")? > 0 {
                    found = Some(engine.clone());
                }
            }
            Ok(found.is_some())
        })?;
        found.ok_or_else(|| io::Error::other("no engine decodes"))
    }

    /// Waits until no engine holds memory.
    pub fn wait_until_memory_is_free(&self, limit: Duration) -> io::Result<()> {
        let servers = self.config.deployment.servers.iter();
        let engines = servers.filter(|place| place.role().is_some());
        let engines: Vec<String> = engines.map(|place| place.id.clone()).collect();
        self.wait_for("the memory of all engines is free", limit, |fleet| {
            for engine in &engines {
                if !fleet.sequences(engine)?.is_empty() {
                    return Ok(false);
                }
            }
            Ok(true)
        })
    }

    /// Body of a streamed model request.
    pub fn body_of(&self, question: &Question) -> Value {
        json!({
            "model": self.config.deployment.model,
            "messages": [{ "role": "user", "content": question.prompt }],
            "max_tokens": question.output_max,
            "stream": true,
        })
    }

    /// Opens a streamed model request that can be abandoned.
    pub fn open_stream(&self, entry: &str, question: &Question) -> io::Result<OpenStream> {
        let address = self.address(entry, "callers")?;
        let body = self.body_of(question).to_string();
        let mut stream = TcpStream::connect(&address)?;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\n\
             authorization: Bearer {}\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n",
            self.key,
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body.as_bytes())?;
        Ok(OpenStream {
            stream,
            text: String::new(),
        })
    }

    /// Sends a raw request with the customer's key to an entry.
    pub fn send(
        &self,
        entry: &str,
        request: &RawRequest,
        limit: Duration,
    ) -> io::Result<JsonAnswer> {
        let mut request = request.clone();
        let key = format!("Bearer {}", self.key);
        request.headers.push(("authorization".to_string(), key));
        request.send(&self.address(entry, "callers")?, limit)
    }
}

/// Streamed request; dropping it closes the connection.
#[derive(Debug)]
pub struct OpenStream {
    stream: TcpStream,
    text: String,
}

impl OpenStream {
    /// Reads until the answer contains a text.
    pub fn read_until(&mut self, wanted: &str, limit: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(limit))?;
        let mut buffer = [0; 4_096];
        while !self.text.contains(wanted) {
            let size = match self.stream.read(&mut buffer) {
                Ok(size) => size,
                // A read with a timeout is not restarted by the system after a signal.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            if size == 0 {
                let reason = format!("ended without {wanted:?}: {}", self.text);
                return Err(io::Error::other(reason));
            }
            self.text += &String::from_utf8_lossy(&buffer[..size]);
        }
        Ok(())
    }
}

/// HTTP request with any body.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// Path.
    pub path: String,
    /// Names and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl RawRequest {
    /// POST of a JSON text.
    pub fn new(path: &str, body: impl ToString) -> Self {
        let json = ("content-type".to_string(), "application/json".to_string());
        Self {
            path: path.to_string(),
            headers: vec![json],
            body: body.to_string(),
        }
    }

    /// The same request with one more header.
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    /// Sends the request as it is.
    pub fn send(&self, address: &str, limit: Duration) -> io::Result<JsonAnswer> {
        let agent = client::agent(limit);
        let mut request = agent.post(format!("http://{address}{}", self.path));
        for header in &self.headers {
            request = request.header(&header.0, &header.1);
        }
        let mut response = request.send(&self.body).map_err(io::Error::other)?;
        let text = response.body_mut().read_to_string();
        let text = text.map_err(io::Error::other)?;
        Ok(JsonAnswer {
            status: response.status().as_u16(),
            body: serde_json::from_str(&text).unwrap_or(Value::String(text)),
        })
    }
}
