//! HTTP client that sends requests to an entry and reads streamed responses.

use std::io::{self, BufRead, BufReader};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use ureq::http::Response;
use ureq::{Agent, Body};

const SERVERS_HEADER: &str = "x-cuminlead-servers";
const REQUEST_HEADER: &str = "x-cuminlead-request";

/// HTTP client of one entry.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: Agent,
    address: String,
    key: String,
}

/// Response to one request.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// HTTP status code.
    pub status: u16,
    /// Model output received so far, or the response body of a service call or an error.
    pub text: String,
    /// Backend servers that handled the request, as the entry lists them; updated at the end of a
    /// stream that changed servers.
    pub servers: String,
    /// Request id that the entry assigned.
    pub request: String,
    /// Finish reason of the model output; `None` if the output is incomplete.
    pub finish: Option<String>,
    /// Error code in the response body or in the stream; `None` without an error.
    pub error_code: Option<String>,
    /// Outcome that an error reports, such as `not_run`; `None` without an error.
    pub outcome: Option<String>,
    /// Time from the request to the arrival of each part of the output.
    pub arrivals: Vec<Duration>,
}

impl Caller {
    /// Client with a customer's API key; each request fails after `timeout`.
    pub fn new(address: &str, key: &str, timeout: Duration) -> Self {
        Self {
            agent: cuminlead_stand_ins::client::agent(timeout),
            address: address.to_string(),
            key: key.to_string(),
        }
    }

    /// Sends a model request and reads the streamed output. HTTP errors are not an `Err` but are
    /// reported in [`Received`].
    pub fn ask(&self, model: &str, prompt: &str, output_max: u64) -> io::Result<Received> {
        let started_at = Instant::now();
        let body = json!({
            "model": model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": output_max,
            "stream": true,
        });
        let response = self.post("/v1/chat/completions", body)?;
        let mut received = response_head(&response);
        if received.status != 200 {
            return read_body(received, response);
        }
        read_stream(&mut received, response, started_at)?;
        Ok(received)
    }

    /// Sends a POST with a JSON body to a service.
    pub fn call(&self, service: &str, path: &str, body: Value) -> io::Result<Received> {
        let response = self.post(&format!("/v1/services/{service}{path}"), body)?;
        read_body(response_head(&response), response)
    }

    /// Sends a GET to a service.
    pub fn look_up(&self, service: &str, path: &str) -> io::Result<Received> {
        let url = format!("http://{}/v1/services/{service}{path}", self.address);
        let request = self.agent.get(&url);
        let request = request.header("authorization", self.authorization());
        let response = request.call().map_err(io::Error::other)?;
        read_body(response_head(&response), response)
    }

    fn post(&self, path: &str, body: Value) -> io::Result<Response<Body>> {
        let url = format!("http://{}{path}", self.address);
        let request = self.agent.post(&url);
        let request = request.header("authorization", self.authorization());
        request.send_json(body).map_err(io::Error::other)
    }

    fn authorization(&self) -> String {
        format!("Bearer {}", self.key)
    }
}

fn response_head(response: &Response<Body>) -> Received {
    let header = |name: &str| {
        let value = response.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_string()
    };
    Received {
        status: response.status().as_u16(),
        servers: header(SERVERS_HEADER),
        request: header(REQUEST_HEADER),
        ..Received::default()
    }
}

fn read_body(mut received: Received, mut response: Response<Body>) -> io::Result<Received> {
    let text = response.body_mut().read_to_string();
    received.text = text.map_err(io::Error::other)?;
    if received.status >= 400 {
        let body: Value = serde_json::from_str(&received.text).unwrap_or_default();
        received.error_code = error_code(&body);
        received.outcome = outcome(&body);
    }
    Ok(received)
}

fn read_stream(
    received: &mut Received,
    response: Response<Body>,
    started_at: Instant,
) -> io::Result<()> {
    let reader = BufReader::new(response.into_body().into_reader());
    for line in reader.lines() {
        let line = line?;
        if let Some(comment) = line.strip_prefix(':') {
            read_comment(received, comment);
        }
        let Some(data) = line.strip_prefix("data:").map(str::trim) else {
            continue;
        };
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        read_event(received, &event, started_at.elapsed());
    }
    Ok(())
}

fn read_event(received: &mut Received, event: &Value, elapsed: Duration) {
    if let Some(code) = error_code(event) {
        received.error_code = Some(code);
        received.outcome = outcome(event);
    }
    let choice = &event["choices"][0];
    let text = choice["delta"]["content"].as_str().unwrap_or_default();
    if !text.is_empty() {
        received.text += text;
        received.arrivals.push(elapsed);
    }
    if let Some(finish) = choice["finish_reason"].as_str() {
        received.finish = Some(finish.to_string());
    }
}

/// Reads `servers` and `request` from an event-stream comment. A stream that changed servers ends
/// with such a comment.
fn read_comment(received: &mut Received, comment: &str) {
    for word in comment.split_whitespace() {
        let Some((name, value)) = word.split_once(['=', ':']) else {
            continue;
        };
        match name {
            "servers" | SERVERS_HEADER => received.servers = value.to_string(),
            "request" | REQUEST_HEADER => received.request = value.to_string(),
            _ => {}
        }
    }
}

fn error_code(body: &Value) -> Option<String> {
    body["error"]["code"].as_str().map(str::to_string)
}

fn outcome(body: &Value) -> Option<String> {
    body["error"]["outcome"].as_str().map(str::to_string)
}
