//! Engine stand-in: answers are complete and resumable, and their memory is freed.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use cuminlead_stand_ins::client::{self, JsonAnswer};
use cuminlead_stand_ins::engine::{Engine, EngineConfig, text};
use serde_json::{Value, json};
use ureq::Agent;

const OUTPUT_MAX: u64 = 100;

struct Pair {
    agent: Agent,
    prefill: String,
    decode: String,
}

impl Pair {
    fn start() -> Self {
        let start = |role: &str| {
            let config = EngineConfig {
                role: role.to_string(),
                models: vec!["notes:v1".to_string()],
                weight_bytes: 0,
                ..EngineConfig::default()
            };
            Engine::start(&config).expect("start").to_string()
        };
        Self {
            agent: client::agent(Duration::from_secs(20)),
            prefill: start("prefill"),
            decode: start("decode"),
        }
    }

    fn post(&self, address: &str, path: &str, body: Value) -> JsonAnswer {
        client::post(&self.agent, &format!("http://{address}{path}"), body).expect("post")
    }

    fn get(&self, address: &str, path: &str) -> Value {
        let answer = client::get(&self.agent, &format!("http://{address}{path}")).expect("get");
        answer.body
    }

    fn compute(&self, id: &str, prompt: &str) -> Value {
        let body = json!({"id": id, "model": "notes", "version": "v1", "prompt": prompt});
        let answer = self.post(&self.prefill, "/v1/prefill", body);
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        answer.body
    }

    fn decode(&self, id: &str, handle: &Value) -> impl Iterator<Item = Value> + use<> {
        let body = json!({
            "id": id, "model": "notes", "version": "v1", "from_address": self.prefill,
            "handle": handle, "output_max_tokens": OUTPUT_MAX,
        });
        self.lines("/v1/decode", body)
    }

    fn lines(&self, path: &str, body: Value) -> impl Iterator<Item = Value> + use<> {
        let url = format!("http://{}{path}", self.decode);
        let response = self.agent.post(&url).send_json(body).expect("stream");
        assert_eq!(response.status(), 200);
        let reader = BufReader::new(response.into_body().into_reader());
        let lines = reader.lines().map_while(Result::ok);
        lines.map(|line| serde_json::from_str(&line).expect("line"))
    }
}

fn join(lines: impl Iterator<Item = Value>) -> String {
    let texts = lines.map(|line| line["text"].as_str().unwrap_or_default().to_string());
    texts.collect()
}

/// Guards against an incomplete answer, an answer to another prompt, and a listener that never
/// receives a prompt larger than one read.
#[test]
fn decode_returns_answer_to_prompt() {
    let pair = Pair::start();
    let prompt = "the pump leaks when cold ".repeat(400);
    let computed = pair.compute("a/1", &prompt);
    let mut lines = pair.decode("a/1", &computed["handle"]);
    assert_eq!(lines.next(), Some(json!({"imported": true})));
    let answer = join(lines);
    assert_eq!(answer, text::answer(&prompt, OUTPUT_MAX));
    assert!(text::is_whole(&answer, OUTPUT_MAX));
}

/// Guards against output lines that stay in a write buffer until the decode is complete.
#[test]
fn lines_arrive_before_stream_ends() {
    let pair = Pair::start();
    let computed = pair.compute("a/1", "short prompt");
    let mut lines = pair.decode("a/1", &computed["handle"]);
    lines.next();
    lines.next();
    let inventory = pair.get(&pair.decode, "/v1/inventory");
    assert_eq!(inventory["sequences"], json!(["a/1"]));
}

/// Guards against a decode that is aborted with its connection, and a resume from the wrong token.
#[test]
fn decode_continues_without_connection_and_resumes() {
    let pair = Pair::start();
    let computed = pair.compute("a/1", "a prompt that is read twice");
    let mut lines = pair.decode("a/1", &computed["handle"]);
    lines.next();
    let mut received = 0;
    let mut answer = String::new();
    while received < 5 {
        let line = lines.next().expect("line");
        received += line["tokens"].as_u64().expect("tokens");
        answer += line["text"].as_str().expect("text");
    }
    drop(lines);
    let resumed = pair.lines(
        "/v1/resume",
        json!({"id": "a/1", "received_tokens": received}),
    );
    answer += &join(resumed);
    assert_eq!(
        answer,
        text::answer("a prompt that is read twice", OUTPUT_MAX)
    );
}

/// Guards against an answer that restarts when the prompt ends with tokens delivered before. The
/// prompt also contains text that resembles such tokens.
#[test]
fn prompt_with_delivered_tokens_continues() {
    let prompt = "explain w12 and w00000000-0 again";
    let complete = text::answer(prompt, OUTPUT_MAX);
    let middle = complete.match_indices(" w").nth(7).expect("token").0;
    let (delivered, rest) = complete.split_at(middle);
    let continued = text::answer(&format!("{prompt}{delivered}"), OUTPUT_MAX);
    assert_eq!(continued, rest);
    assert_eq!(text::answer(&format!("{prompt}{complete}"), OUTPUT_MAX), "");
    assert!(!text::is_whole(delivered, OUTPUT_MAX));
}

/// Guards against KV memory that stays allocated after a cancel (P1), and against a repeated
/// prefill that is computed twice instead of attaching to the first.
#[test]
fn cancel_frees_memory() {
    let pair = Pair::start();
    let computed = pair.compute("a/1", "prompt");
    assert_eq!(pair.compute("a/1", "prompt")["handle"], computed["handle"]);
    let freed = pair.post(&pair.prefill, "/v1/cancel", json!({"id": "a/1"}));
    assert_eq!(freed.body, json!({"freed": true}));
    let again = pair.post(&pair.prefill, "/v1/cancel", json!({"id": "a/1"}));
    assert_eq!(again.body, json!({"freed": false}));
    let inventory = pair.get(&pair.prefill, "/v1/inventory");
    assert_eq!(inventory["sequences"], json!([]));
    assert_eq!(inventory["free_pieces"], inventory["total_pieces"]);
}

/// Guards against a prefix cache that is never hit, and one that covers the whole prompt: the last
/// token must be computed.
#[test]
fn repeated_prefix_is_cached() {
    let pair = Pair::start();
    let prompt = "x".repeat(4_096);
    assert_eq!(pair.compute("a/1", &prompt)["cached_tokens"], json!(0));
    let longer = format!("{prompt}and more");
    assert_eq!(pair.compute("b/1", &longer)["cached_tokens"], json!(1_024));
    assert_eq!(pair.compute("c/1", &prompt)["cached_tokens"], json!(1_023));
}

/// Guards against an engine that checks fencing numbers but executes an order of an earlier
/// incarnation.
#[test]
fn old_fencing_number_is_rejected() {
    let pair = Pair::start();
    let order = |fencing: &str, role: &str| {
        let order = json!({"kind": "set_role", "role": role});
        let body = json!({"fencing": fencing, "order": order});
        pair.post(&pair.decode, "/v1/orders", body)
    };
    assert_eq!(order("20.1", "prefill").status, 200);
    let rejected = order("19.7", "decode");
    assert_eq!(
        (rejected.status, rejected.body),
        (409, json!({"highest": "20.1"}))
    );
    assert_eq!(
        pair.get(&pair.decode, "/v1/inventory")["role"],
        json!("prefill")
    );
}

/// Guards against a stalled engine that still computes, and one that does not continue afterwards.
#[test]
fn stalled_engine_continues_in_normal_mode() {
    let pair = Pair::start();
    pair.post(&pair.prefill, "/control", json!({"mode": "stall"}));
    std::thread::scope(|scope| {
        let computing = scope.spawn(|| pair.compute("a/1", "prompt"));
        std::thread::sleep(Duration::from_millis(200));
        assert!(!computing.is_finished());
        pair.post(&pair.prefill, "/control", json!({"mode": "normal"}));
        let computed = computing.join().expect("prefill");
        assert_eq!(computed["prompt_tokens"], json!(2));
    });
}

/// Guards against a KV export faster than the transfer rate.
#[test]
fn export_is_paced() {
    let config = EngineConfig {
        models: vec!["notes:v1".to_string()],
        transfer_bytes_per_second: 1_000_000,
        ..EngineConfig::default()
    };
    let mut pair = Pair::start();
    pair.prefill = Engine::start(&config).expect("start").to_string();
    let computed = pair.compute("a/1", &"y".repeat(8_000));
    let started_at = Instant::now();
    let mut lines = pair.decode("a/1", &computed["handle"]);
    assert_eq!(lines.next(), Some(json!({"imported": true})));
    let expected_ms = 2_000 * config.kv_bytes_per_token / 1_000;
    assert!(started_at.elapsed() >= Duration::from_millis(expected_ms - 10));
}
