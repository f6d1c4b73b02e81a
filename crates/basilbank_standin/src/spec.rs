//! What kind of engine a stand-in plays.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

/// What an engine does.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Turns prompts into KV caches.
    Prefill,
    /// Turns KV caches into tokens.
    Decode,
}

/// An engine's size and speed.
#[derive(Clone, PartialEq, Debug)]
pub struct EngineSpec {
    /// Where it listens; port 0 lets the system choose.
    pub address: SocketAddr,
    /// What it does.
    pub role: Role,
    /// The model that it has loaded.
    pub model: String,
    /// The model's version.
    pub version: String,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Prefills that may wait; decodes never do.
    pub queue: usize,
    /// Prompt tokens a second of one slot.
    pub prefill_rate: f64,
    /// KV cache bytes of one token.
    pub token_bytes: u64,
    /// Tokens of one block of the prefix cache.
    pub block_tokens: usize,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Bytes a second at which KV caches are imported, one after the other.
    pub link_rate: u64,
    /// Time between two tokens of a stream that runs alone.
    pub token_time: Duration,
    /// What each further stream of the batch adds to that.
    pub batch_time: Duration,
    /// After this long, a KV cache that no decode engine took is evicted.
    pub kv_life: Duration,
    /// How long a finished stream stays readable.
    pub stream_life: Duration,
    /// How old load reports are.
    pub load_lag: Duration,
    /// How late cache events are published.
    pub cache_lag: Duration,
    /// Cache events that are remembered; who asks for older ones meets a gap.
    pub cache_log: usize,
    /// How long an order takes to load a model.
    pub load_time: Duration,
}

impl Default for EngineSpec {
    fn default() -> EngineSpec {
        EngineSpec {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            role: Role::Decode,
            model: "writer".to_owned(),
            version: "1".to_owned(),
            slots: 20,
            queue: 64,
            prefill_rate: 20_000.0,
            token_bytes: 100_000,
            block_tokens: 16,
            cache_blocks: 4096,
            link_rate: 10_000_000_000,
            token_time: Duration::from_millis(5),
            batch_time: Duration::ZERO,
            kv_life: Duration::from_millis(800),
            stream_life: Duration::from_secs(30),
            load_lag: Duration::from_millis(200),
            cache_lag: Duration::from_millis(200),
            cache_log: 256,
            load_time: Duration::from_millis(50),
        }
    }
}

impl EngineSpec {
    /// Sets the role; a prefill engine runs one request at a time.
    #[must_use]
    pub fn with_role(mut self, role: Role) -> EngineSpec {
        self.role = role;
        if role == Role::Prefill {
            self.slots = 1;
        }
        self
    }

    /// Sets how many requests run at once.
    #[must_use]
    pub fn with_slots(mut self, slots: usize) -> EngineSpec {
        self.slots = slots;
        self
    }

    /// Sets the time between tokens.
    #[must_use]
    pub fn with_token_time(mut self, time: Duration) -> EngineSpec {
        self.token_time = time;
        self
    }
}
