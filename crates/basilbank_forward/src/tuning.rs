//! The constants of the decisions. Tests and experiments change them.

use std::time::Duration;

/// Time for which a stream brings events until it counts as being written: a call that crashes its
/// endpoint does so sooner.
pub const WRITING_TIME: Duration = Duration::from_millis(250);

/// The constants of the decisions. Durations are measured on the monotonic clock.
#[derive(Clone, PartialEq, Debug)]
pub struct Tuning {
    /// Maximum number of extra calls to a service per call of its callers; the operator's bound for
    /// the whole fleet. Retries and hedges are extra calls.
    pub retry_ratio: f64,
    /// Maximum age of the confirmation that the configuration in force is the newest, for calls
    /// that need a key: a newer one may have revoked the key. `None` where no bound is set.
    pub max_confirmation_age: Option<Duration>,
    /// Window over which the bound on extra calls applies.
    pub retry_window: Duration,
    /// Number of extra calls in a window that the whole fleet may make on top of the ratio.
    pub retry_slack: f64,
    /// Minimum number of shares into which the slack is divided when few daemons are known: twice
    /// the number of daemons of a small site.
    pub min_slack_shares: f64,
    /// Fraction of the ratio that is used. The rest covers calls that callers cancelled, and
    /// windows that don't align with the buckets.
    pub retry_ratio_fraction: f64,
    /// Time for which an endpoint is avoided after a failed connection; doubled for each further
    /// failure.
    pub avoid_unreachable: Duration,
    /// Maximum time for which an unreachable endpoint is avoided. A crashed endpoint is removed
    /// from the list after three missed heartbeats.
    pub max_avoid_unreachable: Duration,
    /// Interval of endpoints' heartbeats to the store.
    pub endpoint_heartbeat: Duration,
    /// Time for which an instance is avoided after another one answered at its address. The list
    /// has certainly caught up by then.
    pub avoid_replaced: Duration,
    /// Time for which an endpoint that was full is avoided: about the time until a completion ends
    /// at a full endpoint.
    pub avoid_full: Duration,
    /// Maximum time for which an endpoint that refuses again and again is avoided.
    pub max_avoid_full: Duration,
    /// Tokens of memory that are held with a slot. A slot with one token block is enough for the
    /// endpoint to admit the call; holding memory for the whole prompt would keep it from running
    /// calls that could use it.
    pub hold_tokens: u32,
    /// Maximum number of peers with which a daemon's view of the endpoints' capacity is accurate.
    /// Each peer adds a millisecond to the time between two datagrams, and with more than some tens
    /// of peers other daemons place completions in that time.
    pub max_accurate_view_peers: usize,
    /// Fraction of a decode endpoint's memory that is given to completions, measured at the maximum
    /// that they are expected to need at one moment.
    pub memory_fraction: f64,
    /// Fraction of a decode endpoint's memory that is given to completions that can't be on time
    /// any more. While completions arrive faster than they end, all of them would otherwise wait
    /// equally long and all would be late. With some memory withheld from those that are late
    /// anyway, the others find capacity at once.
    pub late_memory_fraction: f64,
    /// Memory that is kept free for completions that grow longer than estimated, as a multiple of
    /// the measured error of the callers' estimates. With two, one moment in forty runs out of
    /// memory if errors are normally distributed.
    pub growth_margin: f64,
    /// Time for which free capacity is left to each peer's completion that is ahead in the queue.
    /// It covers a datagram between data centres, and the processing of two daemons on a fraction
    /// of a core.
    pub queue_step: Duration,
    /// Expected time from a granted slot to the first token: reading a prompt, and some waiting for
    /// the prompts of others.
    pub first_token_delay: Duration,
    /// Maximum number of decode endpoints that are asked for a slot before a completion waits.
    pub hold_tries: u32,
    /// Pause before decode endpoints are asked for a slot again.
    pub hold_pause: Duration,
    /// Maximum time of one call for a slot: some round trips between data centres.
    pub hold_timeout: Duration,
    /// Time to wait for a prefill before the endpoint is probed, in addition to twice the time that
    /// its work should take.
    pub prefill_timeout: Duration,
    /// Prompt tokens that a prefill endpoint reads per second, assumed until measurements show
    /// otherwise.
    pub prefill_tokens_per_second: f64,
    /// Speed at which a decode endpoint reads prompts between the tokens that it generates, as a
    /// fraction of the speed of a prefill endpoint.
    pub local_prefill_fraction: f64,
    /// Minimum time by which a decode endpoint must finish reading a prompt earlier than the best
    /// prefill endpoint to read it itself: reading slows the completions that it decodes.
    pub local_prefill_margin: Duration,
    /// Time for which a daemon that has started together with all others doesn't know anyone's
    /// load: one or two heartbeats until all daemons have met, and the time to read the first
    /// prompts.
    pub cold_start: Duration,
    /// Time to wait for the start of a stream that may continue elsewhere, before the endpoint is
    /// probed.
    pub stream_timeout: Duration,
    /// Time for which a stream that may continue elsewhere may be silent before its endpoint is
    /// probed. Callers abandon a stream after two seconds or more, and reading the prompt again
    /// takes a quarter of a second.
    pub stall_timeout: Duration,
    /// Added to the expected time of a remote endpoint, so that an equally good one in the own data
    /// centre is preferred.
    pub remote_cost: Duration,
    /// Additional queueing time that is accepted at a prefill endpoint in the decode endpoint's
    /// data centre: a KV cache that crosses data centres takes twice as long on the links.
    pub remote_kv_cost: Duration,
    /// Safety margin between the use of a KV cache elsewhere and its expiry: the start of a
    /// transfer and a round trip.
    pub kv_margin: Duration,
    /// Fraction of a route's target time after which an unanswered idempotent call is sent to a
    /// second endpoint.
    pub hedge_fraction: f64,
    /// Time before the caller's deadline at which the router sends its own answer, so that it
    /// arrives in time.
    pub answer_margin: Duration,
    /// Time that a caller refused for lack of capacity is told to wait: the time in which some
    /// completions end.
    pub retry_after: Duration,
    /// Whether completions that can't be served in time are refused early and told when to return.
    pub refuse_early: bool,
    /// Maximum wait of a watch by a daemon without peers: the removal of an endpoint has to be
    /// known within two seconds.
    pub solo_watch_wait: Duration,
    /// Time by which each peer extends the wait of a watch. With six peers, half a second passes on
    /// average until one of the daemons reads again.
    pub watch_wait_per_peer: Duration,
    /// Maximum wait of a watch of the endpoints.
    pub max_watch_wait: Duration,
    /// Time for which endpoint records that disappeared during an outage of the store are kept
    /// after its return, so that the endpoints can register again.
    pub return_grace: Duration,
    /// Time without an answer after which the store counts as having been unavailable.
    pub min_store_outage: Duration,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            retry_ratio: 0.2,
            max_confirmation_age: None,
            retry_window: Duration::from_secs(10),
            retry_slack: 50.0,
            min_slack_shares: 12.0,
            retry_ratio_fraction: 0.9,
            avoid_unreachable: Duration::from_millis(500),
            max_avoid_unreachable: Duration::from_secs(4),
            avoid_replaced: Duration::from_secs(3),
            avoid_full: Duration::from_millis(60),
            max_avoid_full: Duration::from_secs(2),
            hold_tokens: 16,
            max_accurate_view_peers: 40,
            memory_fraction: 1.0,
            late_memory_fraction: 0.85,
            growth_margin: 2.0,
            queue_step: Duration::from_millis(6),
            first_token_delay: Duration::from_millis(350),
            hold_tries: 4,
            hold_pause: Duration::from_millis(40),
            hold_timeout: Duration::from_millis(250),
            prefill_timeout: Duration::from_millis(250),
            prefill_tokens_per_second: 33_000.0,
            local_prefill_fraction: 0.4,
            cold_start: Duration::from_millis(2500),
            endpoint_heartbeat: Duration::from_millis(1200),
            local_prefill_margin: Duration::from_millis(100),
            stream_timeout: Duration::from_millis(700),
            stall_timeout: Duration::from_millis(900),
            remote_cost: Duration::from_millis(4),
            remote_kv_cost: Duration::from_millis(60),
            kv_margin: Duration::from_millis(60),
            hedge_fraction: 0.8,
            answer_margin: Duration::from_millis(30),
            retry_after: Duration::from_millis(400),
            refuse_early: true,
            solo_watch_wait: Duration::from_millis(1500),
            watch_wait_per_peer: Duration::from_millis(500),
            max_watch_wait: Duration::from_millis(8000),
            return_grace: Duration::from_millis(2500),
            min_store_outage: Duration::from_millis(1500),
        }
    }
}
