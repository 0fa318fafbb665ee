//! Request and response bodies of model calls.

#![allow(clippy::unwrap_used, reason = "test data is valid")]

use cuminlead_entry::http::completion::{CompletionApi, CompletionFormat, ModelBody, Usage};
use cuminlead_protocol::FinishReason;
use cuminlead_types::{RequestId, Tokens};
use serde_json::Value;
use yare::parameterized;

/// Guards against a prompt that is lost, or that entries build differently from the same messages:
/// the prompts would then share no prefix and miss the prefix caches of engines.
#[parameterized(
    text = { CompletionApi::Text, r#"{"model":"m","prompt":"p"}"#, Ok("p") },
    chat = { CompletionApi::Chat, r#"{"model":"m","messages":[{"role":"system","content":"a"},
        {"role":"user","content":[{"type":"text","text":"b"},{"type":"text","text":"c"}]}]}"#,
        Ok("system: a\nuser: bc") },
    no_prompt = { CompletionApi::Text, r#"{"model":"m"}"#, Err("prompt is missing") },
    no_messages = { CompletionApi::Chat, r#"{"model":"m","prompt":"p"}"#, Err("messages is missing") },
    empty = { CompletionApi::Text, r#"{"model":"m","prompt":""}"#, Err("the prompt is empty") },
)]
fn prompt(api: CompletionApi, body: &str, expected: Result<&str, &'static str>) {
    let mut body: ModelBody = serde_json::from_str(body).unwrap();
    assert_eq!(body.take_prompt(api), expected.map(str::to_string));
}

/// Guards against an output limit of the caller that is ignored or exceeds what an agent reserves.
#[parameterized(
    default = { r#"{"model":"m"}"#, 256 },
    requested = { r#"{"model":"m","max_tokens":7}"#, 7 },
    newer_name = { r#"{"model":"m","max_tokens":7,"max_completion_tokens":9}"#, 9 },
    zero = { r#"{"model":"m","max_tokens":0}"#, 1 },
    too_many = { r#"{"model":"m","max_tokens":1000000}"#, 4_096 },
)]
fn output_limit(body: &str, expected: u64) {
    let body: ModelBody = serde_json::from_str(body).unwrap();
    assert_eq!(body.output_max_tokens(), Tokens(expected));
}

/// Guards against responses that clients of the common completion API can't parse.
#[parameterized(
    chat = { CompletionApi::Chat, "/choices/0/delta/content", "/choices/0/message/content" },
    text = { CompletionApi::Text, "/choices/0/text", "/choices/0/text" },
)]
fn response_format_of_each_api(api: CompletionApi, streamed: &str, complete: &str) {
    let response = CompletionFormat {
        api,
        request: RequestId(1),
        model: "m".to_string(),
        created_s: 5,
    };
    let chunk: Value = serde_json::from_str(&response.chunk("hi", None)).unwrap();
    assert_eq!(chunk.pointer(streamed), Some(&Value::from("hi")));
    assert_eq!(
        chunk.pointer("/choices/0/finish_reason"),
        Some(&Value::Null)
    );
    let usage = Usage {
        prompt_tokens: Tokens(3),
        output_tokens: Tokens(1),
    };
    let body: Value =
        serde_json::from_str(&response.complete("hi", FinishReason::Length, usage)).unwrap();
    assert_eq!(body.pointer(complete), Some(&Value::from("hi")));
    assert_eq!(
        body.pointer("/choices/0/finish_reason"),
        Some(&Value::from("length"))
    );
    assert_eq!(body.pointer("/usage/total_tokens"), Some(&Value::from(4)));
}
