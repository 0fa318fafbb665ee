//! Request and response formats of chat and text completion.
//!
//! The formats follow the completion API that language-model servers commonly offer, so that
//! existing client libraries work.

use cuminlead_protocol::FinishReason;
use cuminlead_types::{RequestId, Tokens};
use serde::Deserialize;
use serde_json::{Value, json};

/// Output limit when the caller sets none.
const OUTPUT_DEFAULT_TOKENS: u64 = 256;

/// Upper bound of the output limit that a caller can set.
const OUTPUT_MAX_TOKENS: u64 = 4_096;

/// Path of a model call, which determines the format of its request and response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionApi {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// Request body of a model call.
#[derive(Clone, Debug, Deserialize)]
pub struct ModelBody {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; the plan's if absent.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Version of the model; the plan's if absent.
    #[serde(default)]
    pub version: Option<String>,
    /// Prompt of a text completion.
    #[serde(default)]
    prompt: Option<String>,
    /// Messages of a chat completion.
    #[serde(default)]
    messages: Option<Vec<Message>>,
    /// Output limit in tokens.
    #[serde(default)]
    max_tokens: Option<u64>,
    /// Newer name of `max_tokens`, which it overrides.
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    /// Whether the output is streamed as server-sent events.
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
    /// Takes the prompt out of the body; messages of a chat are joined as `role: content` lines.
    /// Returns a text for the caller if the prompt is missing or empty.
    pub fn take_prompt(&mut self, api: CompletionApi) -> Result<String, &'static str> {
        let prompt = match api {
            CompletionApi::Text => self.prompt.take().ok_or("prompt is missing")?,
            CompletionApi::Chat => {
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

    /// Output limit of the caller, or the default. At least 1 token, and no more than an agent
    /// reserves KV memory for.
    pub fn output_max_tokens(&self) -> Tokens {
        let requested = self.max_completion_tokens.or(self.max_tokens);
        Tokens(
            requested
                .unwrap_or(OUTPUT_DEFAULT_TOKENS)
                .clamp(1, OUTPUT_MAX_TOKENS),
        )
    }
}

/// Builds the JSON bodies of the response to one model call.
#[derive(Clone, Debug)]
pub struct CompletionFormat {
    /// Path that the call came to.
    pub api: CompletionApi,
    /// Request id, sent as `id`.
    pub request: RequestId,
    /// Name of the model as the caller sent it.
    pub model: String,
    /// Time at which the request arrived, in Unix seconds.
    pub created_s: u64,
}

impl CompletionFormat {
    /// Body of one streamed part; `finish` is set on the last one.
    pub fn chunk(&self, text: &str, finish: Option<FinishReason>) -> String {
        let finish = finish.map(|finish| finish.to_string());
        let (object, choice) = match self.api {
            CompletionApi::Chat => (
                "chat.completion.chunk",
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
            ),
            CompletionApi::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish}),
            ),
        };
        self.body(object, choice, None)
    }

    /// Body of a response that is not streamed.
    pub fn complete(&self, text: &str, finish: FinishReason, usage: Usage) -> String {
        let finish = finish.to_string();
        let (object, choice) = match self.api {
            CompletionApi::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": finish,
                }),
            ),
            CompletionApi::Text => (
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

/// Token counts that a caller gets with a complete response.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Tokens of the prompt, estimated by the entry.
    pub prompt_tokens: Tokens,
    /// Tokens of the output.
    pub output_tokens: Tokens,
}
