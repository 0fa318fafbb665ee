//! Short JSON calls to stand-ins and processes.

use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use ureq::Agent;

/// Status and JSON body of an answer; the body is null when it is not JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonAnswer {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Value,
}

/// Client that reports every status as an answer and ends a call after `limit`.
pub fn agent(limit: Duration) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(limit))
        .proxy(None)
        .build()
        .into()
}

/// Sends a GET.
pub fn get(agent: &Agent, url: &str) -> Result<JsonAnswer, ureq::Error> {
    read(agent.get(url).call()?)
}

/// Sends a POST with a JSON body.
pub fn post(agent: &Agent, url: &str, body: impl Serialize) -> Result<JsonAnswer, ureq::Error> {
    read(agent.post(url).send_json(body)?)
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> Result<JsonAnswer, ureq::Error> {
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::Null);
    Ok(JsonAnswer { status, body })
}
