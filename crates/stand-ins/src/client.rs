//! JSON client for stand-ins and processes.

use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use ureq::Agent;

/// Response with a JSON body.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Body; null when it is not JSON.
    pub body: Value,
}

/// HTTP client that returns every status as a response and fails a call after `limit`.
pub fn agent(limit: Duration) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(limit))
        .proxy(None)
        .build()
        .into()
}

/// Sends a GET request; fails when no complete response arrives.
pub fn get(agent: &Agent, url: &str) -> Result<JsonAnswer, ureq::Error> {
    read(agent.get(url).call()?)
}

/// Sends a POST request with a JSON body; fails when no complete response arrives.
pub fn post(agent: &Agent, url: &str, body: impl Serialize) -> Result<JsonAnswer, ureq::Error> {
    read(agent.post(url).send_json(body)?)
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> Result<JsonAnswer, ureq::Error> {
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::Null);
    Ok(JsonAnswer { status, body })
}
