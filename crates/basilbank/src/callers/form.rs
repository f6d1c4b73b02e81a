//! The JSON of `POST /v1/chat/completions` and `POST /v1/completions`.

use std::fmt::Write;

use basilbank_core::reason::Refusal;
use serde::Deserialize;
use serde_json::{Value, error::Category};

use super::{code::EdgeRefusal, error::ApiError};

/// Tokens to generate when the caller does not say.
const DEFAULT_TOKENS: u32 = 256;
/// Most tokens that a caller may ask for.
const MAX_TOKENS: u32 = 8192;
const ROLES: [&str; 4] = ["system", "developer", "user", "assistant"];

/// The two shapes of the API.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// How the answer is wanted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mode {
    /// In one piece.
    Whole,
    /// Token by token.
    Streamed(Tail),
}

/// What follows a stream's last chunk.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Tail {
    /// `[DONE]` only.
    Plain,
    /// A chunk with the usage, then `[DONE]`.
    Usage,
}

/// A checked body.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Form {
    /// Its shape, which the answer has too.
    pub shape: Shape,
    /// The entry's name.
    pub model: String,
    /// The prompt; a chat's messages are joined.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// How the answer is wanted.
    pub mode: Mode,
}

/// A body as it comes. Fields that are not here are ignored, as are sampling parameters: the engines
/// have none.
#[derive(Deserialize)]
struct Fields {
    model: String,
    messages: Option<Vec<ChatMessage>>,
    prompt: Option<Prompt>,
    stream: Option<bool>,
    stream_options: Option<StreamOptions>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    n: Option<u64>,
    best_of: Option<u64>,
    tools: Option<Value>,
    functions: Option<Value>,
    logprobs: Option<Value>,
    top_logprobs: Option<Value>,
    echo: Option<Value>,
    suffix: Option<Value>,
    stop: Option<Value>,
    audio: Option<Value>,
    response_format: Option<ResponseFormat>,
}

#[derive(Deserialize)]
struct StreamOptions {
    include_usage: Option<bool>,
}

#[derive(Deserialize)]
struct ResponseFormat {
    #[serde(rename = "type")]
    kind: String,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    #[serde(rename = "type")]
    kind: String,
    text: Option<String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    Several(Vec<Value>),
}

impl Form {
    /// Reads a body.
    ///
    /// # Errors
    /// It is not JSON, is not what the API asks for, or wants what is not supported.
    pub fn parse(shape: Shape, body: &[u8]) -> Result<Form, ApiError> {
        let fields: Fields = serde_json::from_slice(body).map_err(|e| json_error(&e))?;
        check_supported(&fields)?;
        let prompt = match shape {
            Shape::Chat => chat_prompt(fields.messages.as_deref().unwrap_or_default())?,
            Shape::Text => text_prompt(fields.prompt.as_ref())?,
        };
        Ok(Form {
            shape,
            prompt,
            max_tokens: max_tokens(&fields)?,
            mode: mode(&fields),
            model: fields.model,
        })
    }
}

fn json_error(error: &serde_json::Error) -> ApiError {
    let refusal = match error.classify() {
        Category::Data => ApiError::early(Refusal::BadRequest),
        Category::Io | Category::Syntax | Category::Eof => ApiError::edge(EdgeRefusal::BadJson),
    };
    refusal.with_message(error.to_string())
}

fn bad_request(param: &'static str, message: impl Into<String>) -> ApiError {
    ApiError::early(Refusal::BadRequest).with_param(param).with_message(message)
}

fn unsupported(param: &'static str, message: impl Into<String>) -> ApiError {
    ApiError::edge(EdgeRefusal::Unsupported).with_param(param).with_message(message)
}

/// Refuses what would change the answer and can't be had. To ignore it would give the caller, and
/// charge its team for, something else than was asked for.
fn check_supported(fields: &Fields) -> Result<(), ApiError> {
    let numbers = [("n", fields.n), ("best_of", fields.best_of)];
    for (name, value) in numbers {
        if value.is_some_and(|v| v != 1) {
            return Err(unsupported(name, format!("{name} can only be 1")));
        }
    }
    let values = [
        ("tools", &fields.tools),
        ("functions", &fields.functions),
        ("logprobs", &fields.logprobs),
        ("top_logprobs", &fields.top_logprobs),
        ("echo", &fields.echo),
        ("suffix", &fields.suffix),
        ("stop", &fields.stop),
        ("audio", &fields.audio),
    ];
    for (name, value) in values {
        if value.as_ref().is_some_and(is_set) {
            return Err(unsupported(name, format!("{name} is not supported")));
        }
    }
    if fields.response_format.as_ref().is_some_and(|f| f.kind != "text") {
        return Err(unsupported("response_format", "response_format can only be text"));
    }
    Ok(())
}

/// Whether a field asks for anything: clients write out defaults such as `false` and `[]`.
fn is_set(value: &Value) -> bool {
    match value {
        Value::Null => false,
        Value::Bool(on) => *on,
        Value::Number(number) => number.as_f64() != Some(0.0),
        Value::String(text) => !text.is_empty(),
        Value::Array(items) => !items.is_empty(),
        Value::Object(fields) => !fields.is_empty(),
    }
}

fn max_tokens(fields: &Fields) -> Result<u32, ApiError> {
    let Some(wanted) = fields.max_completion_tokens.or(fields.max_tokens) else {
        return Ok(DEFAULT_TOKENS);
    };
    let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
    if wanted == 0 || MAX_TOKENS < wanted {
        let message = format!("max_tokens is a number from 1 to {MAX_TOKENS}");
        return Err(bad_request("max_tokens", message));
    }
    Ok(wanted)
}

fn mode(fields: &Fields) -> Mode {
    if !fields.stream.unwrap_or(false) {
        return Mode::Whole;
    }
    let usage = fields.stream_options.as_ref().and_then(|o| o.include_usage);
    Mode::Streamed(if usage.unwrap_or(false) { Tail::Usage } else { Tail::Plain })
}

/// Joins a chat's messages: one `role: text` line each, then the assistant's turn. The next call of
/// the same chat begins with the same text, so the prefix cache serves it.
fn chat_prompt(messages: &[ChatMessage]) -> Result<String, ApiError> {
    if messages.is_empty() {
        return Err(bad_request("messages", "messages needs at least one message"));
    }
    let mut prompt = String::new();
    for message in messages {
        if !ROLES.contains(&message.role.as_str()) {
            let message = format!("a message's role is one of {}", ROLES.join(", "));
            return Err(unsupported("messages", message));
        }
        let _ = write!(prompt, "{}: ", message.role);
        push_content(&mut prompt, message.content.as_ref())?;
        prompt.push('\n');
    }
    prompt.push_str("assistant:");
    Ok(prompt)
}

fn push_content(prompt: &mut String, content: Option<&Content>) -> Result<(), ApiError> {
    let parts = match content {
        None => return Ok(()),
        Some(Content::Text(text)) => {
            prompt.push_str(text);
            return Ok(());
        }
        Some(Content::Parts(parts)) => parts,
    };
    for part in parts {
        let (true, Some(text)) = (part.kind == "text", &part.text) else {
            return Err(unsupported("messages", "only text parts are supported"));
        };
        prompt.push_str(text);
    }
    Ok(())
}

fn text_prompt(prompt: Option<&Prompt>) -> Result<String, ApiError> {
    let several = match prompt {
        None => return Err(bad_request("prompt", "prompt is missing")),
        Some(Prompt::Text(text)) => return Ok(text.clone()),
        Some(Prompt::Several(several)) => several,
    };
    match several.as_slice() {
        [Value::String(text)] => Ok(text.clone()),
        _ => Err(unsupported("prompt", "prompt can only be one text")),
    }
}
