//! Chat completions: the OpenAI API as callers and engines speak it.
//!
//! Source: <https://platform.openai.com/docs/api-reference/chat>. Engines are asked to
//! stream in all cases, with the tokens used so far in every event, so that a whole
//! answer and a streamed one are the same to the rest of the system.

use std::collections::BTreeMap;

use badgerfield_core::amount::Tokens;
use badgerfield_core::event::{Chat, Usage};
use badgerfield_core::ids::{Adapter, Model};
use badgerfield_core::vm_upstreams::prefix_digests;
use serde_json::{Map, Value, json};
use thiserror::Error;

/// What the prompt may gain by the engine's own template, in tokens.
const TEMPLATE_ROOM: u64 = 64;
/// The deepest nesting of a body; the parser itself stops at 128.
const MAX_MESSAGES: usize = 10_000;

/// Why a body is not a chat completion that can be served.
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
    pub(crate) usage: bool,
    body: Map<String, Value>,
}

impl ChatBody {
    /// Parses a body.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, ChatError> {
        let body: Value = serde_json::from_slice(bytes).map_err(|_| ChatError::NotObject)?;
        let Value::Object(body) = body else {
            return Err(ChatError::NotObject);
        };
        let model: Model =
            name(&body, "model").and_then(|m| m.parse().ok()).ok_or(ChatError::Model)?;
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
        let output = output(&body)?;
        if body.get("n").is_some_and(|n| n.as_u64() != Some(1) && !n.is_null()) {
            return Err(ChatError::Choices);
        }
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(value) => value.as_bool().ok_or(ChatError::Stream)?,
        };
        let usage = body.get("stream_options").is_some_and(|o| o["include_usage"] == json!(true));
        let prompt = prompt_text(&body);
        // A byte-level tokenizer never yields more tokens than there are bytes.
        let bound = u64::try_from(prompt.len()).unwrap_or(u64::MAX).saturating_add(TEMPLATE_ROOM);
        let prefixes = prefix_digests(prompt.as_bytes());
        let chat = Chat {
            model,
            adapter,
            prompt_tokens: Tokens(bound),
            output_limit: output,
            prefix_digests: prefixes,
        };
        Ok(Self { chat, stream, usage, body })
    }

    /// Returns what the caller asks for, written alike whatever the order of its fields.
    pub(crate) fn digested(&self) -> Vec<u8> {
        let fields: BTreeMap<_, _> = self.body.iter().collect();
        // Fields of JSON always have a JSON form.
        serde_json::to_vec(&fields).unwrap_or_default()
    }

    /// Returns the body that an engine gets.
    pub(crate) fn for_engine(&self, output: Tokens, priority: u32) -> Vec<u8> {
        let mut body = self.body.clone();
        body.remove("max_completion_tokens");
        body.insert("max_tokens".into(), json!(output.0));
        body.insert("stream".into(), json!(true));
        let options = json!({ "include_usage": true, "continuous_usage_stats": true });
        body.insert("stream_options".into(), options);
        body.insert("priority".into(), json!(priority));
        Value::Object(body).to_string().into_bytes()
    }
}

fn name<'a>(body: &'a Map<String, Value>, key: &str) -> Option<&'a str> {
    body.get(key)?.as_str()
}

fn output(body: &Map<String, Value>) -> Result<Option<Tokens>, ChatError> {
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

/// Reads the tokens used so far from an event of an engine's stream.
pub(crate) fn usage(event: &Value) -> Option<Usage> {
    let usage = event.get("usage")?;
    let prompt = Tokens(usage.get("prompt_tokens")?.as_u64()?);
    let output = Tokens(usage.get("completion_tokens")?.as_u64()?);
    Some(Usage { prompt, output })
}

/// Makes the event that a caller gets of an engine's event; nothing if it gets none.
pub(crate) fn for_caller(data: &[u8], usage: bool) -> Option<Vec<u8>> {
    let Ok(Value::Object(mut event)) = serde_json::from_slice(data) else {
        return Some(data.to_vec());
    };
    let empty = event.get("choices").and_then(Value::as_array).is_some_and(Vec::is_empty);
    if empty {
        return usage.then(|| data.to_vec());
    }
    event.remove("usage");
    Some(Value::Object(event).to_string().into_bytes())
}

/// Puts a whole answer together from the events of a stream.
#[derive(Debug, Default)]
pub(crate) struct Whole {
    head: Option<Map<String, Value>>,
    role: Option<Value>,
    content: String,
    calls: Vec<Value>,
    finish: Value,
    usage: Value,
}

impl Whole {
    /// Adds an event.
    pub(crate) fn add(&mut self, data: &[u8]) {
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
            self.calls.extend(calls.iter().cloned());
        }
        if let Some(role) = delta.get("role") {
            self.role = Some(role.clone());
        }
        if !choice["finish_reason"].is_null() {
            self.finish = choice["finish_reason"].clone();
        }
    }

    /// Returns the whole answer.
    pub(crate) fn into_json(self) -> Value {
        let mut answer = self.head.unwrap_or_default();
        answer.insert("object".into(), json!("chat.completion"));
        let role = self.role.unwrap_or_else(|| json!("assistant"));
        let mut message = json!({ "role": role, "content": self.content });
        if !self.calls.is_empty() {
            message["tool_calls"] = json!(self.calls);
        }
        let choice = json!({ "index": 0, "message": message, "finish_reason": self.finish });
        answer.insert("choices".into(), json!([choice]));
        answer.insert("usage".into(), self.usage);
        Value::Object(answer)
    }
}
