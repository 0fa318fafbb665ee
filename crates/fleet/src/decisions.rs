//! Responses of a fleet to a fixed table of valid and invalid requests.
//!
//! Two fleets, or two versions of the processes, with the same lists must give the same responses.

use std::io;
use std::time::Duration;

use serde_json::json;

use super::Fleet;
use super::requests::{Question, RawRequest};

const CHAT_PATH: &str = "/v1/chat/completions";

impl Fleet {
    /// One line per request of the table: its name and the status, error code and outcome of the
    /// response. Error if a request gets no response within `timeout`.
    pub fn decisions(&self, entry: &str, timeout: Duration) -> io::Result<Vec<String>> {
        let mut decisions = Vec::new();
        for (name, request) in self.decision_requests() {
            let answer = self.send(entry, &request, timeout)?;
            let error = &answer.body["error"];
            let decision = format!("{} {} {}", answer.status, error["code"], error["outcome"]);
            decisions.push(format!("{name}: {decision}"));
        }
        Ok(decisions)
    }

    fn decision_requests(&self) -> Vec<(&'static str, RawRequest)> {
        let body = self.request_body(&Question::new("of a decision", 2));
        let with_field = |key: &str, value: serde_json::Value| {
            let mut body = body.clone();
            body[key] = value;
            RawRequest::new(CHAT_PATH, body)
        };
        let service = self.config.deployment.service;
        let path = format!(
            "/v1/services/{service}{}",
            self.config.deployment.effect_path
        );
        let charge = |path: &str| RawRequest::new(path, json!({ "reference": "decision" }));
        let lookup = format!("/v1/services/{service}/no-such-path");
        vec![
            ("model", RawRequest::new(CHAT_PATH, &body)),
            ("unknown model", with_field("model", json!("no-such-model"))),
            (
                "adapter",
                with_field("adapter", json!(self.config.deployment.adapter)),
            ),
            (
                "unknown adapter",
                with_field("adapter", json!("no-such-adapter")),
            ),
            ("unknown version", with_field("version", json!("v9"))),
            ("no tokens", with_field("max_tokens", json!(0))),
            ("no JSON", RawRequest::new(CHAT_PATH, "{")),
            (
                "unknown service",
                charge("/v1/services/no-such-service/charges"),
            ),
            ("unknown path of the service", charge(&lookup)),
            (
                "key without record",
                charge(&path).with_header("idempotency-key", "decision"),
            ),
            (
                "malformed key",
                charge(&path).with_header("idempotency-key", ""),
            ),
        ]
    }
}
