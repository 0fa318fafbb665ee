//! What a fleet decides on a table of requests; the same lists must give the same decisions.

use std::io;
use std::time::Duration;

use serde_json::json;

use super::Fleet;
use super::requests::{Question, RawRequest};

const CHAT_PATH: &str = "/v1/chat/completions";

impl Fleet {
    /// Request, status, error code and outcome for each request of the table.
    pub fn decisions(&self, entry: &str, limit: Duration) -> io::Result<Vec<String>> {
        let mut decisions = Vec::new();
        for (name, request) in self.requests_to_decide() {
            let answer = self.send(entry, &request, limit)?;
            let error = &answer.body["error"];
            let decided = format!("{} {} {}", answer.status, error["code"], error["outcome"]);
            decisions.push(format!("{name}: {decided}"));
        }
        Ok(decisions)
    }

    fn requests_to_decide(&self) -> Vec<(&'static str, RawRequest)> {
        let body = self.body_of(&Question::new("of a decision", 2));
        let with = |key: &str, value: serde_json::Value| {
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
            ("unknown model", with("model", json!("no-such-model"))),
            (
                "adapter",
                with("adapter", json!(self.config.deployment.adapter)),
            ),
            ("unknown adapter", with("adapter", json!("no-such-adapter"))),
            ("unknown version", with("version", json!("v9"))),
            ("no tokens", with("max_tokens", json!(0))),
            ("no JSON", RawRequest::new(CHAT_PATH, "{")),
            (
                "unknown service",
                charge("/v1/services/no-such-service/charges"),
            ),
            ("unknown path of the service", charge(&lookup)),
            (
                "key without record",
                charge(&path).with("idempotency-key", "decision"),
            ),
            ("malformed key", charge(&path).with("idempotency-key", "")),
        ]
    }
}
