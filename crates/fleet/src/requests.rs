//! Model requests with a known output, and raw HTTP requests.
//!
//! The engines of the stand-ins derive their output from the prompt, so a request can state the
//! exact output that it must receive.

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

/// Number of fleets that may run at once in one test executable; each has up to 15 processes.
const CONCURRENT_FLEETS_MAX: usize = 2;
/// Prefix that the entry puts before the text of a user message when it builds the prompt.
pub const USER_PREFIX: &str = "user: ";
/// Maximum output of requests with a long answer, in tokens.
const OUTPUT_MAX: u64 = 64;

static RUNNING_FLEETS: Mutex<usize> = Mutex::new(0);
static FLEET_ENDED: Condvar = Condvar::new();

/// Permission to run a fleet, released on drop. Limits how many fleets run at once in a test
/// executable.
#[derive(Debug)]
pub struct FleetGuard(());

impl FleetGuard {
    /// Waits until the number of running fleets in this executable is below the limit.
    pub fn wait() -> Self {
        let running = RUNNING_FLEETS
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let waited = FLEET_ENDED.wait_while(running, |running| *running >= CONCURRENT_FLEETS_MAX);
        *waited.unwrap_or_else(PoisonError::into_inner) += 1;
        Self(())
    }
}

impl Drop for FleetGuard {
    fn drop(&mut self) {
        *RUNNING_FLEETS
            .lock()
            .unwrap_or_else(PoisonError::into_inner) -= 1;
        FLEET_ENDED.notify_one();
    }
}

/// Model request with the output that it must receive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// Text of the user message.
    pub prompt: String,
    /// Maximum number of output tokens.
    pub output_max: u64,
    /// Complete output of the model.
    pub answer: String,
}

impl Question {
    /// Request with the given text and maximum number of output tokens.
    pub fn new(prompt: &str, output_max: u64) -> Self {
        Self {
            prompt: prompt.to_string(),
            output_max,
            answer: text::answer(&format!("{USER_PREFIX}{prompt}"), output_max),
        }
    }

    /// Request with an output of at least `tokens_min` tokens, which must be at most 64; different
    /// seeds give different prompts.
    pub fn with_long_answer(seed: &str, tokens_min: usize) -> Self {
        let tries = (0..).map(|number| format!("Repair note {seed}, try {number}."));
        let questions = tries.map(|prompt| Self::new(&prompt, OUTPUT_MAX));
        let is_long = |question: &Self| question.answer.matches(" w").count() >= tokens_min;
        let mut long = questions.filter(is_long);
        long.next().unwrap_or_else(|| Self::new(seed, OUTPUT_MAX))
    }

    /// Request with a prompt of about `tokens` tokens; different seeds give different prompts.
    pub fn with_document(seed: &str, tokens: usize, output_max: u64) -> Self {
        let line = format!("Line of the repair note {seed}.\n");
        let lines_count = (tokens * 4).div_ceil(line.len());
        let lines = (0..lines_count).map(|number| format!("{number} {line}"));
        Self::new(&lines.collect::<String>(), output_max)
    }

    /// Error unless `received` has status 200, a finish reason, no error and exactly the expected
    /// output.
    pub fn check(&self, received: &Received) -> io::Result<()> {
        let is_expected = received.status == 200
            && received.error_code.is_none()
            && received.finish.is_some()
            && received.text == self.answer;
        if is_expected {
            return Ok(());
        }
        let expected = &self.answer;
        let reason = format!("expected the complete output {expected:?}, received {received:?}");
        Err(io::Error::other(reason))
    }
}

impl Fleet {
    /// Sends a model request to an entry and waits for the response.
    pub fn ask(&self, entry: &str, question: &Question, timeout: Duration) -> io::Result<Received> {
        let caller = self.caller(entry, timeout)?;
        let model = self.config.deployment.model;
        caller.ask(model, &question.prompt, question.output_max)
    }

    /// Sends a model request to an entry from a separate thread.
    pub fn ask_in_background(
        &self,
        entry: &str,
        question: &Question,
        timeout: Duration,
    ) -> io::Result<JoinHandle<io::Result<Received>>> {
        let caller = self.caller(entry, timeout)?;
        let model = self.config.deployment.model;
        let question = question.clone();
        Ok(std::thread::spawn(move || {
            caller.ask(model, &question.prompt, question.output_max)
        }))
    }

    /// Waits until a decode engine has generated tokens and still has a sequence; returns the id of
    /// that engine.
    pub fn wait_until_decoding(&self, timeout: Duration) -> io::Result<String> {
        let servers = self.config.deployment.servers.iter();
        let engines = servers.filter(|spec| spec.kind == ServerKind::Decode);
        let engines: Vec<String> = engines.map(|spec| spec.id.clone()).collect();
        let mut found = None;
        self.wait_for("a decode engine generates tokens", timeout, |fleet| {
            for engine in &engines {
                let has_sequences = !fleet.sequences(engine)?.is_empty();
                if has_sequences && fleet.count(engine, "generated_tokens")? > 0 {
                    found = Some(engine.clone());
                }
            }
            Ok(found.is_some())
        })?;
        found.ok_or_else(|| io::Error::other("no decode engine generates tokens"))
    }

    /// Waits until no engine retains KV memory for any sequence.
    pub fn wait_until_memory_is_free(&self, timeout: Duration) -> io::Result<()> {
        let servers = self.config.deployment.servers.iter();
        let engines = servers.filter(|spec| spec.role().is_some());
        let engines: Vec<String> = engines.map(|spec| spec.id.clone()).collect();
        self.wait_for("the memory of all engines is free", timeout, |fleet| {
            for engine in &engines {
                if !fleet.sequences(engine)?.is_empty() {
                    return Ok(false);
                }
            }
            Ok(true)
        })
    }

    /// JSON body of a streamed model request.
    pub fn request_body(&self, question: &Question) -> Value {
        json!({
            "model": self.config.deployment.model,
            "messages": [{ "role": "user", "content": question.prompt }],
            "max_tokens": question.output_max,
            "stream": true,
        })
    }

    /// Sends a streamed model request over a connection that the caller can close at any time.
    pub fn open_stream(&self, entry: &str, question: &Question) -> io::Result<OpenStream> {
        let address = self.address(entry, "callers")?;
        let body = self.request_body(question).to_string();
        let mut stream = TcpStream::connect(&address)?;
        let response_head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\n\
             authorization: Bearer {}\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n",
            self.key,
            body.len()
        );
        stream.write_all(response_head.as_bytes())?;
        stream.write_all(body.as_bytes())?;
        Ok(OpenStream {
            stream,
            text: String::new(),
        })
    }

    /// Sends a raw request to an entry, with the customer's key added.
    pub fn send(
        &self,
        entry: &str,
        request: &RawRequest,
        timeout: Duration,
    ) -> io::Result<JsonAnswer> {
        let mut request = request.clone();
        let key = format!("Bearer {}", self.key);
        request.headers.push(("authorization".to_string(), key));
        request.send(&self.address(entry, "callers")?, timeout)
    }
}

/// Streamed model request; dropping it closes the connection.
#[derive(Debug)]
pub struct OpenStream {
    stream: TcpStream,
    text: String,
}

impl OpenStream {
    /// Reads until the response contains `wanted`. Error if the stream ends first, or if one read
    /// takes longer than `timeout`.
    pub fn read_until(&mut self, wanted: &str, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))?;
        let mut buffer = [0; 4_096];
        while !self.text.contains(wanted) {
            let size = match self.stream.read(&mut buffer) {
                Ok(size) => size,
                // The system does not restart a read with a timeout after a signal.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            if size == 0 {
                let reason = format!("stream ended without {wanted:?}; received: {}", self.text);
                return Err(io::Error::other(reason));
            }
            self.text += &String::from_utf8_lossy(&buffer[..size]);
        }
        Ok(())
    }
}

/// POST request with arbitrary path, headers and body, which need not be valid.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// Path with query, such as `/v1/chat/completions`.
    pub path: String,
    /// Names and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Body, sent unchanged.
    pub body: String,
}

impl RawRequest {
    /// Request with a JSON body.
    pub fn new(path: &str, body: impl ToString) -> Self {
        let json = ("content-type".to_string(), "application/json".to_string());
        Self {
            path: path.to_string(),
            headers: vec![json],
            body: body.to_string(),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    /// Sends the request without changes to `address`. A response body that is not JSON is returned
    /// as a JSON string.
    pub fn send(&self, address: &str, timeout: Duration) -> io::Result<JsonAnswer> {
        let agent = client::agent(timeout);
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
