//! A caller of the daemon's API, as the demo and the tests need one.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    time::Duration,
};

use anyhow::{Context, bail, ensure};
use serde_json::{Value, json};
use ureq::{Agent, Body, BodyReader, http::Response};

use crate::site::{CALLER_KEY, ENTRY};

/// No piece of an answer takes longer.
const PER_READ: Duration = Duration::from_secs(30);

/// A caller with the site's key.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    base: String,
    headers: Vec<(&'static str, String)>,
}

/// A whole draft.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct WholeDraft {
    /// The text.
    pub text: String,
    /// Why it ended.
    pub reason: String,
    /// Prompt tokens used.
    pub prompt_tokens: u64,
    /// Generated tokens used.
    pub completion_tokens: u64,
}

/// A draft that comes token by token. It ends in `Ok` only after its last event; dropping it leaves.
pub struct DraftStream {
    /// The request's id.
    pub request: String,
    /// The cursor of the last token.
    pub cursor: Option<String>,
    reader: BufReader<BodyReader<'static>>,
    ended: bool,
}

/// One server-sent event.
#[derive(Default)]
struct ServerEvent {
    id: Option<String>,
    data: Option<String>,
}

/// What the engines are given for a chat of one message.
#[must_use]
pub fn chat_prompt(message: &str) -> String {
    format!("user: {message}\nassistant:")
}

impl Client {
    /// A caller of one daemon.
    #[must_use]
    pub fn new(callers: SocketAddr) -> Client {
        let config = Agent::config_builder().http_status_as_error(false);
        let agent = config.timeout_per_read(Some(PER_READ)).build().new_agent();
        let headers = vec![("authorization", format!("Bearer {CALLER_KEY}"))];
        Client { agent, base: format!("http://{callers}"), headers }
    }

    /// Adds a header to all calls.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Client {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Sends a call and returns the answer as it comes, whatever its status.
    ///
    /// # Errors
    /// No answer came.
    pub fn send(&self, method: &str, path: &str, body: &str) -> anyhow::Result<Response<Body>> {
        let mut request = ureq::http::Request::builder().method(method);
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let request = request.uri(format!("{}{path}", self.base)).body(body.to_owned())?;
        Ok(self.agent.run(request)?)
    }

    /// Sends a call and reads its JSON, whatever its status.
    ///
    /// # Errors
    /// No answer came, or no JSON.
    pub fn json(&self, method: &str, path: &str, body: &str) -> anyhow::Result<(u16, Value)> {
        let mut answer = self.send(method, path, body)?;
        let text = answer.body_mut().read_to_string()?;
        let value = serde_json::from_str(&text).with_context(|| format!("not JSON: {text}"))?;
        Ok((answer.status().as_u16(), value))
    }

    /// Streams the answer to a chat of one message.
    ///
    /// # Errors
    /// It was refused or failed before its first token.
    pub fn stream(&self, message: &str, max_tokens: u32) -> anyhow::Result<DraftStream> {
        let messages = json!([{ "role": "user", "content": message }]);
        let body = json!({
            "model": ENTRY, "messages": messages, "max_tokens": max_tokens, "stream": true,
        });
        let mut answer = self.send("POST", "/v1/chat/completions", &body.to_string())?;
        if answer.status() != 200 {
            bail!("{}: {}", answer.status(), answer.body_mut().read_to_string()?);
        }
        let request = answer.headers().get("x-request-id").and_then(|id| id.to_str().ok());
        let request = request.context("the answer has no request id")?.to_owned();
        let reader = BufReader::new(answer.into_body().into_reader());
        Ok(DraftStream { request, cursor: None, reader, ended: false })
    }

    /// Asks for the whole continuation of a prompt.
    ///
    /// # Errors
    /// It was refused or failed, or its shape is wrong.
    pub fn whole(&self, prompt: &str, max_tokens: u32) -> anyhow::Result<WholeDraft> {
        let body = json!({ "model": ENTRY, "prompt": prompt, "max_tokens": max_tokens });
        let (status, answer) = self.json("POST", "/v1/completions", &body.to_string())?;
        ensure!(status == 200, "{status}: {answer}");
        let text = |value: &Value| value.as_str().map(str::to_owned);
        let number = |name| answer["usage"][name].as_u64();
        let draft = || {
            Some(WholeDraft {
                text: text(&answer["choices"][0]["text"])?,
                reason: text(&answer["choices"][0]["finish_reason"])?,
                prompt_tokens: number("prompt_tokens")?,
                completion_tokens: number("completion_tokens")?,
            })
        };
        draft().with_context(|| format!("wrong shape: {answer}"))
    }
}

impl DraftStream {
    /// Reads to the end.
    ///
    /// # Errors
    /// The answer was cut off.
    pub fn rest(self) -> anyhow::Result<Vec<String>> {
        self.collect()
    }

    fn read(&mut self) -> anyhow::Result<Option<String>> {
        loop {
            let event = self.read_event()?;
            self.cursor = event.id.or(self.cursor.take());
            let Some(data) = event.data else { continue };
            if data == "[DONE]" {
                return Ok(None);
            }
            let chunk: Value = serde_json::from_str(&data)?;
            ensure!(chunk["error"].is_null(), "{chunk}");
            if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
                return Ok(Some(text.to_owned()));
            }
        }
    }

    /// Reads an event to its blank line. Without that it has been broken off, and nothing of it
    /// counts: the cursor of a token that did not come would skip it.
    fn read_event(&mut self) -> anyhow::Result<ServerEvent> {
        let mut event = ServerEvent::default();
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line)?;
            let line = line.strip_suffix('\n').context("cut off before the end")?;
            if line.is_empty() {
                return Ok(event);
            }
            if let Some(id) = line.strip_prefix("id: ") {
                event.id = Some(id.to_owned());
            }
            if let Some(data) = line.strip_prefix("data: ") {
                event.data = Some(data.to_owned());
            }
        }
    }
}

impl Iterator for DraftStream {
    type Item = anyhow::Result<String>;

    fn next(&mut self) -> Option<anyhow::Result<String>> {
        if self.ended {
            return None;
        }
        let token = self.read().transpose();
        self.ended = !matches!(token, Some(Ok(_)));
        token
    }
}
