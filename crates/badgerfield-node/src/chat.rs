//! Chat completions of the OpenAI API, as callers send them and engines receive them.
//!
//! Reference: <https://platform.openai.com/docs/api-reference/chat>. Requests to engines always
//! ask for a stream that reports the tokens used so far in every event, so that the rest of
//! the system handles complete and streamed answers alike.

use std::collections::BTreeMap;

use badgerfield_core::amount::Tokens;
use badgerfield_core::event::{Chat, Usage};
use badgerfield_core::ids::{Adapter, Model};
use badgerfield_core::vm_upstreams::prefix_digests;
use serde_json::{Map, Value, json};
use thiserror::Error;

/// Maximum number of tokens that an engine's chat template adds to the prompt.
const MAX_TEMPLATE_TOKENS: u64 = 64;
/// Maximum number of messages of a request. Nesting of the body needs no limit here: the parser
/// stops at 128 levels.
const MAX_MESSAGES: usize = 10_000;

/// Why a body is rejected as a chat completion.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum ChatError {
    #[error("expected a JSON object as the body")]
    NotObject,
    #[error("expected \"model\" to be the name of a model")]
    Model,
    #[error("expected \"adapter\" to be the name of an adapter")]
    Adapter,
    #[error("expected \"messages\" to be a list of 1 to {MAX_MESSAGES} messages")]
    Messages,
    #[error("expected \"max_tokens\" to be a whole number above 0")]
    Output,
    #[error("expected \"n\" to be 1 or absent; send more requests instead")]
    Choices,
    #[error("expected \"stream\" to be true, false or absent")]
    Stream,
}

/// A parsed chat completion.
#[derive(Debug, Clone)]
pub(crate) struct ChatBody {
    pub(crate) chat: Chat,
    pub(crate) stream: bool,
    /// Whether the caller receives the event with the tokens used.
    pub(crate) include_usage: bool,
    body: Map<String, Value>,
}

impl ChatBody {
    /// Parses the body of a request.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, ChatError> {
        let body: Value = serde_json::from_slice(bytes).map_err(|_| ChatError::NotObject)?;
        let Value::Object(body) = body else {
            return Err(ChatError::NotObject);
        };
        let model: Model =
            string_field(&body, "model").and_then(|m| m.parse().ok()).ok_or(ChatError::Model)?;
        let adapter = match body.get("adapter") {
            None | Some(Value::Null) => None,
            Some(Value::String(text)) => {
                Some(text.parse::<Adapter>().map_err(|_| ChatError::Adapter)?)
            }
            Some(_) => return Err(ChatError::Adapter),
        };
        let messages = body.get("messages").and_then(Value::as_array).ok_or(ChatError::Messages)?;
        if messages.is_empty() || messages.len() > MAX_MESSAGES {
            return Err(ChatError::Messages);
        }
        let output_limit = parse_output_limit(&body)?;
        if body.get("n").is_some_and(|n| n.as_u64() != Some(1) && !n.is_null()) {
            return Err(ChatError::Choices);
        }
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(value) => value.as_bool().ok_or(ChatError::Stream)?,
        };
        let include_usage =
            body.get("stream_options").is_some_and(|o| o["include_usage"] == json!(true));
        let prompt = prompt_text(&body);
        // A byte-level tokenizer never produces more tokens than the text has bytes.
        let max_tokens =
            u64::try_from(prompt.len()).unwrap_or(u64::MAX).saturating_add(MAX_TEMPLATE_TOKENS);
        let prefix_digests = prefix_digests(prompt.as_bytes());
        let chat = Chat {
            model,
            adapter,
            prompt_tokens: Tokens(max_tokens),
            output_limit,
            prefix_digests,
        };
        Ok(Self { chat, stream, include_usage, body })
    }

    /// Returns the body as JSON with its fields sorted by name, so that equal requests have equal
    /// digests whatever the order of their fields.
    pub(crate) fn canonical_json(&self) -> Vec<u8> {
        let fields: BTreeMap<_, _> = self.body.iter().collect();
        // Encoding cannot fail: the fields were parsed from JSON.
        serde_json::to_vec(&fields).unwrap_or_default()
    }

    /// Returns the body of the request to an engine.
    pub(crate) fn to_engine_body(&self, output_limit: Tokens, priority: u32) -> Vec<u8> {
        let mut body = self.body.clone();
        body.remove("max_completion_tokens");
        body.insert("max_tokens".into(), json!(output_limit.0));
        body.insert("stream".into(), json!(true));
        let options = json!({ "include_usage": true, "continuous_usage_stats": true });
        body.insert("stream_options".into(), options);
        body.insert("priority".into(), json!(priority));
        Value::Object(body).to_string().into_bytes()
    }
}

fn string_field<'a>(body: &'a Map<String, Value>, key: &str) -> Option<&'a str> {
    body.get(key)?.as_str()
}

fn parse_output_limit(body: &Map<String, Value>) -> Result<Option<Tokens>, ChatError> {
    let value = body.get("max_completion_tokens").or_else(|| body.get("max_tokens"));
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(0) | None => Err(ChatError::Output),
            Some(number) => Ok(Some(Tokens(number))),
        },
    }
}

fn prompt_text(body: &Map<String, Value>) -> String {
    let mut text = String::new();
    for key in ["tools", "messages"] {
        if let Some(value) = body.get(key) {
            text.push_str(&value.to_string());
        }
    }
    text
}

/// Returns the tokens used so far, as an event of an engine's stream reports them.
pub(crate) fn parse_usage(event: &Value) -> Option<Usage> {
    let usage = event.get("usage")?;
    let prompt = Tokens(usage.get("prompt_tokens")?.as_u64()?);
    let output = Tokens(usage.get("completion_tokens")?.as_u64()?);
    Some(Usage { prompt, output })
}

/// Converts an event of an engine to the one that the caller receives; `None` for the event that
/// only reports the tokens used, unless the caller requested it.
pub(crate) fn to_caller_event(data: &[u8], include_usage: bool) -> Option<Vec<u8>> {
    let Ok(Value::Object(mut event)) = serde_json::from_slice(data) else {
        return Some(data.to_vec());
    };
    let is_usage_event = event.get("choices").and_then(Value::as_array).is_some_and(Vec::is_empty);
    if is_usage_event {
        return include_usage.then(|| data.to_vec());
    }
    event.remove("usage");
    Some(Value::Object(event).to_string().into_bytes())
}

/// Assembles a complete answer from the events of a stream.
#[derive(Debug, Default)]
pub(crate) struct AnswerBuilder {
    head: Option<Map<String, Value>>,
    role: Option<Value>,
    content: String,
    tool_calls: Vec<Value>,
    finish_reason: Value,
    usage: Value,
}

impl AnswerBuilder {
    /// Adds the data of an event; ignores data that is not a JSON object.
    pub(crate) fn add_event(&mut self, data: &[u8]) {
        let Ok(Value::Object(mut event)) = serde_json::from_slice(data) else {
            return;
        };
        let choices = event.remove("choices").unwrap_or_default();
        if let Some(usage) = event.remove("usage").filter(|u| !u.is_null()) {
            self.usage = usage;
        }
        self.head.get_or_insert(event);
        let Some(choice) = choices.get(0) else {
            return;
        };
        let delta = &choice["delta"];
        if let Some(text) = delta["content"].as_str() {
            self.content.push_str(text);
        }
        if let Some(calls) = delta["tool_calls"].as_array() {
            self.tool_calls.extend(calls.iter().cloned());
        }
        if let Some(role) = delta.get("role") {
            self.role = Some(role.clone());
        }
        if !choice["finish_reason"].is_null() {
            self.finish_reason = choice["finish_reason"].clone();
        }
    }

    /// Returns the complete answer as JSON.
    pub(crate) fn into_json(self) -> Value {
        let mut answer = self.head.unwrap_or_default();
        answer.insert("object".into(), json!("chat.completion"));
        let role = self.role.unwrap_or_else(|| json!("assistant"));
        let mut message = json!({ "role": role, "content": self.content });
        if !self.tool_calls.is_empty() {
            message["tool_calls"] = json!(self.tool_calls);
        }
        let choice = json!({ "index": 0, "message": message, "finish_reason": self.finish_reason });
        answer.insert("choices".into(), json!([choice]));
        answer.insert("usage".into(), self.usage);
        Value::Object(answer)
    }
}
