//! The shape of chat and text completion, as callers of language-model servers know it.

use cuminlead_protocol::FinishReason;
use cuminlead_types::{RequestId, Tokens};
use serde::Deserialize;
use serde_json::{Value, json};

/// Tokens of an answer when the caller gives no limit.
const OUTPUT_DEFAULT_TOKENS: u64 = 256;

/// Most tokens of an answer.
const OUTPUT_MAX_TOKENS: u64 = 4_096;

/// Address that a model call came to; fixes the shape of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// Body of a model call.
#[derive(Clone, Debug, Deserialize)]
pub struct ModelBody {
    /// Model.
    pub model: String,
    /// Adapter; the plan's when missing.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Version; the plan's when missing.
    #[serde(default)]
    pub version: Option<String>,
    /// Prompt of a text completion.
    #[serde(default)]
    prompt: Option<String>,
    /// Messages of a chat completion.
    #[serde(default)]
    messages: Option<Vec<Message>>,
    /// Most tokens of the answer.
    #[serde(default)]
    max_tokens: Option<u64>,
    /// Newer name of `max_tokens`.
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

#[derive(Clone, Debug, Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Clone, Debug, Deserialize)]
struct Part {
    text: String,
}

impl Content {
    fn into_text(self) -> String {
        match self {
            Self::Text(text) => text,
            Self::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
        }
    }
}

impl ModelBody {
    /// Prompt in the shape of the address; an error message when it is missing.
    pub fn take_prompt(&mut self, shape: Shape) -> Result<String, &'static str> {
        let prompt = match shape {
            Shape::Text => self.prompt.take().ok_or("prompt is missing")?,
            Shape::Chat => {
                let messages = self.messages.take().ok_or("messages is missing")?;
                let lines = messages
                    .into_iter()
                    .map(|message| format!("{}: {}", message.role, message.content.into_text()));
                lines.collect::<Vec<_>>().join("\n")
            }
        };
        if prompt.is_empty() {
            Err("the prompt is empty")
        } else {
            Ok(prompt)
        }
    }

    /// Most tokens of the answer.
    pub fn output_max_tokens(&self) -> Tokens {
        let asked = self.max_completion_tokens.or(self.max_tokens);
        Tokens(
            asked
                .unwrap_or(OUTPUT_DEFAULT_TOKENS)
                .clamp(1, OUTPUT_MAX_TOKENS),
        )
    }
}

/// Identity of an answer in its JSON bodies.
#[derive(Clone, Debug)]
pub struct AnswerShape {
    /// Address that the call came to.
    pub shape: Shape,
    /// Request.
    pub request: RequestId,
    /// Model.
    pub model: String,
    /// Unix seconds at which the request came.
    pub created_s: u64,
}

impl AnswerShape {
    /// JSON of one streamed part.
    pub fn chunk(&self, text: &str, finish: Option<FinishReason>) -> String {
        let finish = finish.map(|finish| finish.to_string());
        let (object, choice) = match self.shape {
            Shape::Chat => (
                "chat.completion.chunk",
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
            ),
            Shape::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish}),
            ),
        };
        self.body(object, choice, None)
    }

    /// JSON of a whole answer.
    pub fn whole(&self, text: &str, finish: FinishReason, usage: Usage) -> String {
        let finish = finish.to_string();
        let (object, choice) = match self.shape {
            Shape::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": finish,
                }),
            ),
            Shape::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish}),
            ),
        };
        self.body(object, choice, Some(usage))
    }

    fn body(&self, object: &str, choice: Value, usage: Option<Usage>) -> String {
        let mut body = json!({
            "id": self.request.to_string(),
            "object": object,
            "created": self.created_s,
            "model": self.model,
            "choices": [choice],
        });
        if let Some(usage) = usage {
            body["usage"] = json!({
                "prompt_tokens": usage.prompt_tokens.0,
                "completion_tokens": usage.output_tokens.0,
                "total_tokens": usage.prompt_tokens.0 + usage.output_tokens.0,
            });
        }
        body.to_string()
    }
}

/// Tokens of a request.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Tokens of the prompt, as estimated by the entry.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer.
    pub output_tokens: Tokens,
}
