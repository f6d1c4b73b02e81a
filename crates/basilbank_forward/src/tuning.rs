//! Constants of the decisions, in one place. Tests and experiments change them.

use std::time::Duration;

/// All constants. Durations are on the monotonic clock.
#[derive(Clone, PartialEq, Debug)]
pub struct Tuning {
    /// Extra calls to a service, per call of its callers; the operator's bound for the whole fleet.
    pub retry_ratio: f64,
    /// How old the proof may be that no key was taken away, for calls that need one; none where no bound is
    /// set.
    pub max_confirmation_age: Option<Duration>,
    /// The window of the retries' bound.
    pub retry_window: Duration,
    /// Extra calls in a window besides, for the whole fleet.
    pub retry_slack: f64,
    /// Shares of the slack when few daemons are known: twice a small site's.
    pub min_slack_shares: f64,
    /// The part of the ratio that is used. The rest covers calls that callers took back and windows
    /// that don't fall on the buckets' borders.
    pub retry_ratio_fraction: f64,
    /// How long an endpoint is avoided after no connection could be made; doubled each time.
    pub avoid_unreachable: Duration,
    /// The longest such time. A crashed endpoint is off the list after three missed heartbeats.
    pub max_avoid_unreachable: Duration,
    /// How long an instance is avoided after another one answered at its address: until the list
    /// has surely caught up.
    pub avoid_replaced: Duration,
    /// How long an endpoint that was full is avoided: about one draft's end at a full endpoint.
    pub avoid_full: Duration,
    /// The longest such time, for one that refuses again and again.
    pub max_avoid_full: Duration,
    /// Memory that is held with a slot. A slot with a token block is what makes the endpoint admit
    /// the call; holding the whole prompt keeps memory idle that running calls could use.
    pub hold_tokens: u32,
    /// Peers up to which the views of endpoints' room are true: each adds a millisecond to the time between two
    /// datagrams, and beyond some tens of them others place drafts in that time.
    pub max_accurate_view_peers: usize,
    /// Part of a decode endpoint's memory that is given to drafts, by the most that they are expected to
    /// need at one moment.
    pub memory_fraction: f64,
    /// The same for drafts that can't be on time any more. While drafts come faster than they end, all
    /// of them would wait equally long and all be late; with some of the memory kept from those that are
    /// late anyway, the others find room at once.
    pub late_memory_fraction: f64,
    /// Times the measured error of the callers' estimates that is kept free for drafts that grow longer:
    /// with two, one moment in forty finds the memory short if errors fall like the bell curve.
    pub growth_margin: f64,
    /// How long room is left to each draft of a peer that goes before: a datagram between data centres,
    /// and the turns of two daemons on a part of a core.
    pub queue_step: Duration,
    /// From a slot to the first token: a prompt's reading, and some wait for others'.
    pub first_token_delay: Duration,
    /// Decode endpoints that are asked for a slot before a draft waits.
    pub hold_tries: u32,
    /// Pause before decode endpoints are asked again.
    pub hold_pause: Duration,
    /// Limit of one call for a slot: some round trips between data centres.
    pub hold_timeout: Duration,
    /// Limit of one prefill, before the endpoint is asked whether it lives, besides twice what its
    /// work should take.
    pub prefill_timeout: Duration,
    /// Prompt tokens that a prefill endpoint reads in a second, until it has been measured.
    pub prefill_tokens_per_second: f64,
    /// Part of the prefill rate at which a decode endpoint reads prompts between its tokens.
    pub local_prefill_fraction: f64,
    /// How much sooner a decode endpoint must have read the prompt itself than the best prefill
    /// endpoint: its reading slows the drafts that it decodes.
    pub local_prefill_margin: Duration,
    /// How long a daemon that has started with all others knows nobody's load: a heartbeat or two until
    /// all have met, and the first prompts' reading.
    pub cold_start: Duration,
    /// Wait for a stream that may go on elsewhere, before the endpoint is asked whether it lives.
    pub stream_timeout: Duration,
    /// Silence of a stream that may go on elsewhere, before its endpoint is asked whether it lives. Callers leave a
    /// stream after two seconds and more, and reading the prompt again takes a quarter of one.
    pub stall_timeout: Duration,
    /// Added to a remote endpoint's expected time, so that equal ones in the own data centre win.
    pub remote_cost: Duration,
    /// The longer queue that is taken at a prefill endpoint in the decode endpoint's data centre: a
    /// KV cache between data centres takes the links twice as long.
    pub remote_kv_cost: Duration,
    /// Kept between a KV cache's end and its use elsewhere: a transfer's start and a round trip.
    pub kv_margin: Duration,
    /// A second endpoint is asked when the first has not answered an idempotent call for this part
    /// of its target.
    pub hedge_fraction: f64,
    /// The own answer is given this long before the caller stops waiting, so that it arrives.
    pub answer_margin: Duration,
    /// What a caller that was refused for want of room is told to wait: some drafts' ends.
    pub retry_after: Duration,
    /// Longest wait of a watch by a daemon that hears nobody: an endpoint's leaving has to be known
    /// within two seconds.
    pub solo_watch_wait: Duration,
    /// Added to the wait for each daemon that is heard: at six, half a second passes on average until
    /// one of them reads anew.
    pub watch_wait_per_peer: Duration,
    /// Longest wait of a watch of endpoints.
    pub max_watch_wait: Duration,
    /// How long entries that vanished while the store was away are kept after its return, so that
    /// endpoints can register again.
    pub return_grace: Duration,
    /// The store counts as having been away after this long without an answer.
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
            local_prefill_margin: Duration::from_millis(100),
            stream_timeout: Duration::from_millis(700),
            stall_timeout: Duration::from_millis(900),
            remote_cost: Duration::from_millis(4),
            remote_kv_cost: Duration::from_millis(60),
            kv_margin: Duration::from_millis(60),
            hedge_fraction: 0.8,
            answer_margin: Duration::from_millis(30),
            retry_after: Duration::from_millis(400),
            solo_watch_wait: Duration::from_millis(1500),
            watch_wait_per_peer: Duration::from_millis(500),
            max_watch_wait: Duration::from_millis(8000),
            return_grace: Duration::from_millis(2500),
            min_store_outage: Duration::from_millis(1500),
        }
    }
}
