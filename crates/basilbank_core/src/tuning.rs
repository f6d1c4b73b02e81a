//! Constants of the decisions that a settings file may change.

use std::time::Duration;

/// How the decisions are tuned. All daemons of a fleet should have the same.
#[derive(Clone, PartialEq, Debug)]
pub struct Tuning {
    /// Time between a daemon's heartbeats.
    pub heartbeat: Duration,
    /// Peers that each heartbeat goes to.
    pub fan_out: usize,
    /// Without news for this long a member counts as dead.
    pub dead_after: Duration,
    /// A gap between ticks that counts as a pause of the process.
    pub pause: Duration,
    /// How long a slot is leased without renewal.
    pub slot_lease: Duration,
    /// How long to wait for a peer's answer before the message is sent again.
    pub peer_timeout: Duration,
    /// Attempts of one request, the first included.
    pub attempts: u32,
    /// Retries allowed for each success, over recent requests.
    pub retry_ratio: f64,
    /// First backoff; it doubles with each attempt and is jittered.
    pub backoff: Duration,
    /// Longest backoff.
    pub max_backoff: Duration,
    /// How long a prefill endpoint keeps a KV cache that no decode endpoint has taken.
    pub kv_life: Duration,
    /// A stream that gives no token for this long counts as broken.
    pub stall: Duration,
    /// Requests that wait in this daemon.
    pub queue: usize,
    /// How long an idempotency key is remembered.
    pub key_window: Duration,
    /// Idempotency keys remembered at once.
    pub keys: usize,
    /// Clock skew allowed between callers and daemons, for keys that carry their time.
    pub skew: Duration,
    /// Time between two reads of an endpoint's load.
    pub load_interval: Duration,
    /// Time between two lists of an endpoint's streams.
    pub reap_interval: Duration,
    /// How long the unread stream of a daemon that is gone is kept for a caller that resumes it.
    pub stream_grace: Duration,
    /// After this long a stream that nobody reads is cancelled, whoever owns it.
    pub unread_limit: Duration,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            heartbeat: Duration::from_millis(250),
            fan_out: 1,
            dead_after: Duration::from_secs(4),
            pause: Duration::from_secs(1),
            slot_lease: Duration::from_secs(6),
            peer_timeout: Duration::from_millis(50),
            attempts: 4,
            retry_ratio: 0.2,
            backoff: Duration::from_millis(10),
            max_backoff: Duration::from_millis(500),
            kv_life: Duration::from_millis(800),
            stall: Duration::from_secs(3),
            queue: 1000,
            key_window: Duration::from_secs(600),
            keys: 100_000,
            skew: Duration::from_secs(5),
            load_interval: Duration::from_millis(500),
            reap_interval: Duration::from_secs(2),
            stream_grace: Duration::from_secs(10),
            unread_limit: Duration::from_secs(60),
        }
    }
}
