//! The engines' JSON.

use basilbank_core::{event::Failure, ids::VmId};
use serde::{Deserialize, Serialize};

/// Whose stream or KV cache it is.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Owner {
    /// The VM, 16 hex digits.
    pub vm: String,
    /// Its incarnation.
    pub incarnation: u64,
}

impl Owner {
    /// The owner tag of one incarnation of a VM.
    #[must_use]
    pub fn new(vm: VmId, incarnation: u64) -> Owner {
        Owner { vm: vm.to_string(), incarnation }
    }

    /// As a query, without `?` or `&`.
    #[must_use]
    pub fn query(&self) -> String {
        format!("vm={}&incarnation={}", self.vm, self.incarnation)
    }
}

/// `POST /prefill`
#[derive(Serialize, Debug)]
pub struct PrefillBody<'a> {
    /// The request's id.
    pub request: String,
    /// The attempt's number.
    pub attempt: u32,
    /// Whose KV cache it becomes.
    pub owner: &'a Owner,
    /// The model's name.
    pub model: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// What the caller already has; it is part of the prompt now.
    pub continuation: &'a str,
    /// Higher goes first.
    pub priority: u8,
    /// Where the asking daemon is.
    pub source_dc: &'a str,
}

/// `POST /decode`
#[derive(Serialize, Debug)]
pub struct DecodeBody<'a> {
    /// The request's id.
    pub request: String,
    /// The attempt's number.
    pub attempt: u32,
    /// Whose stream it becomes.
    pub owner: &'a Owner,
    /// The model's name.
    pub model: &'a str,
    /// The prefill endpoint's address.
    pub source: &'a str,
    /// The KV cache there.
    pub handle: &'a str,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Higher goes first.
    pub priority: u8,
}

/// `POST /order`
#[derive(Serialize, Debug)]
pub struct OrderBody<'a> {
    /// The fencing number.
    pub fence: u64,
    /// The model's name.
    pub model: &'a str,
    /// The version.
    pub version: &'a str,
    /// The adapter.
    pub adapter: &'a str,
    /// `prefill` or `decode`.
    pub role: &'a str,
}

/// The answer to a prefill.
#[derive(Deserialize, Debug)]
pub struct Prefilled {
    /// The request's id.
    pub request: String,
    /// The attempt's number.
    pub attempt: u32,
    /// The KV cache's name.
    pub handle: String,
    /// Prompt tokens.
    pub tokens: u32,
    /// Prompt tokens that came from the prefix cache.
    #[serde(default)]
    pub cached: u32,
    /// Size of the KV cache.
    #[serde(default)]
    pub bytes: u64,
    /// How long it took.
    #[serde(default)]
    pub spent_ms: u64,
}

/// The proof that nothing was run.
#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub struct NotRun {
    /// It is one.
    pub not_run: bool,
    /// Why.
    pub reason: String,
}

impl NotRun {
    /// What a 503's body says; without a proof the call may have run.
    #[must_use]
    pub fn failure(text: &[u8]) -> Failure {
        let Ok(answer) = serde_json::from_slice::<NotRun>(text) else { return Failure::Broken };
        match (answer.not_run, answer.reason.as_str()) {
            (false, _) => Failure::Broken,
            (true, "full") => Failure::Full,
            (true, "leaving") => Failure::Leaving,
            (true, "evicted") => Failure::Evicted,
            (true, _) => Failure::Refused,
        }
    }
}

/// One line of a stream. Which fields there are says what kind of line it is.
#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub struct StreamLine {
    /// First line: the request's id.
    pub request: Option<String>,
    /// First line: the attempt's number.
    pub attempt: Option<u32>,
    /// First line: the stream's name.
    pub stream: Option<String>,
    /// Tokens: offset of the first one.
    pub offset: Option<u32>,
    /// Tokens: their texts.
    pub texts: Vec<String>,
    /// Last line: `stop` or `length`.
    pub done: Option<String>,
    /// Last line: all tokens of the stream.
    pub tokens: Option<u32>,
    /// Last line: another reader took the stream over.
    pub taken: bool,
}

/// `GET /load`
#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Age of the figures.
    pub age_ms: u64,
    /// No new work.
    pub leaving: bool,
    /// The model's name; empty when the endpoint does not say.
    pub model: String,
    /// Its role: `prefill` or `decode`; empty when the endpoint does not say.
    pub role: String,
    /// The version that it serves.
    pub version: String,
    /// The adapter that it has loaded.
    pub adapter: String,
    /// The highest fencing number taken.
    pub fence: u64,
}

/// `GET /cache`
#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub struct Cache {
    /// The number of the last event.
    pub seq: u64,
    /// Events were lost.
    pub gap: bool,
    /// Blocks that came, 16 hex digits each.
    pub added: Vec<String>,
    /// Blocks that went.
    pub evicted: Vec<String>,
}

/// `GET /streams`
#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub struct Streams {
    /// All that the endpoint holds.
    pub streams: Vec<StreamRow>,
}

/// One stream or KV cache.
#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub struct StreamRow {
    /// Its name.
    pub stream: String,
    /// It is a KV cache.
    pub kv: bool,
    /// The owner's VM.
    pub vm: String,
    /// The owner's incarnation.
    pub incarnation: u64,
    /// The request's id.
    pub request: String,
    /// Since a reader last took tokens.
    pub idle_ms: u64,
}

/// The answer to an order.
#[derive(Deserialize, Debug)]
pub struct Ordered {
    /// The fencing number that the endpoint has.
    pub fence: u64,
}

/// A number of 16 hex digits, as all ids are written.
#[must_use]
pub fn hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
