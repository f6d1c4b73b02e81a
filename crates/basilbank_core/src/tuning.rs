//! The constants of the decisions. A settings file may override each of them.

use std::time::Duration;

/// The constants of the decisions. All daemons of a fleet should have the same values.
///
/// Each field is named like its settings key. The keys of durations also end in `_ms`.
#[derive(Clone, PartialEq, Debug)]
pub struct Tuning {
    /// Interval between a daemon's heartbeats.
    pub heartbeat: Duration,
    /// Number of peers to which a daemon sends each heartbeat.
    pub fan_out: usize,
    /// Time without news of a member after which the member counts as dead.
    pub dead_after: Duration,
    /// Maximum time between two events of a daemon. A longer gap counts as a pause of its process.
    pub pause: Duration,
    /// Time for which a slot is leased unless the lease is renewed.
    pub slot_lease: Duration,
    /// Time to wait for a peer's answer before the message is sent again.
    pub peer_timeout: Duration,
    /// Maximum number of attempts of one request, including the first.
    pub attempts: u32,
    /// Number of retries that are allowed per successful request, over recent requests.
    pub retry_ratio: f64,
    /// Backoff before the first retry. It doubles with each further attempt and is jittered.
    pub backoff: Duration,
    /// Maximum backoff.
    pub max_backoff: Duration,
    /// Time for which a prefill endpoint keeps a KV cache that no decode endpoint has imported.
    pub kv_life: Duration,
    /// Time without a token after which a stream counts as broken.
    pub stall: Duration,
    /// Maximum number of requests that wait in this daemon.
    pub queue: usize,
    /// Time for which an idempotency key is remembered.
    pub key_window: Duration,
    /// Maximum number of idempotency keys that a daemon remembers at once.
    pub keys: usize,
    /// Maximum clock skew allowed between callers and daemons, for idempotency keys that contain
    /// their creation time.
    pub skew: Duration,
    /// Interval between two reads of an endpoint's load.
    pub load_interval: Duration,
    /// Interval between two requests for the list of an endpoint's streams.
    pub reap_interval: Duration,
    /// Time for which the unread stream of a daemon that is gone is kept, so that its caller can
    /// resume it.
    pub stream_grace: Duration,
    /// Time after which a stream that nobody reads is cancelled, whichever daemon owns it.
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
