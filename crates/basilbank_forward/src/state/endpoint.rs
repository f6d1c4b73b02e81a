//! One start of an endpoint: what the list says of it, what it has to do, and what was measured.

use std::time::Duration;

use super::usage::{self, Growth, Usage};
use crate::{endpoint::EndpointInfo, tuning::Tuning};

/// Weight of a new measurement in the running mean of answer times: some ten answers.
const ANSWER_TIME_WEIGHT: f64 = 0.1;

/// Weight of a new measurement of the prefill rate: a slow endpoint is seen after some prompts.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// Base time that is assumed before the first prompt, in seconds.
const INITIAL_BASE_SECONDS: f64 = 0.05;

/// Most that counts as base time, in seconds; what is beyond is slowness.
const MAX_BASE_SECONDS: f64 = 0.2;

/// Weight of a measurement that raises the base time: it follows the least, and forgets it after
/// some tens of prompts.
const BASE_INCREASE_WEIGHT: f64 = 0.03;

/// Shorter readings say more about round trips than about the endpoint.
const MIN_READ_SECONDS: f64 = 0.08;

/// Refusals in a row after which peers are told: about a second.
const REFUSALS_BEFORE_REPORT: u32 = 5;

/// Bound of the measured slowness: beyond it an endpoint counts as failed anyway.
const MAX_SLOWNESS: f64 = 10.0;

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What the list says.
    pub info: EndpointInfo,
    /// It is off the list; its calls in progress go on.
    pub unlisted: bool,
    /// It has ended, and what it held is lost: its instance started again, or another one has its
    /// address. Its calls in progress end by their own connections.
    pub ended: bool,
    /// Own calls in progress.
    pub calls: u32,
    /// Tokens of own calls: to be read at a prefill endpoint, in memory at a decode endpoint.
    pub tokens: u32,
    /// Tokens of peers' calls.
    pub peer_tokens: u32,
    /// Peers' calls in progress.
    pub peer_calls: u32,
    /// What own calls take here, those that take memory.
    pub own_usage: Vec<Usage>,
    /// What peers' calls take here.
    pub peer_usage: Vec<Usage>,
    /// Running mean of its answer times; `None` before the first one.
    pub mean_answer_time: Option<Duration>,
    /// Seconds that reading a prompt takes at least, whatever its length.
    pub base_seconds: f64,
    /// How many times longer it takes to read prompts than its rate says.
    pub slowness: f64,
    /// Not used before this, unless there is nothing else.
    pub avoided_until: Duration,
    /// This daemon knows that it refuses work until then, and tells its peers.
    pub reported_until: Duration,
    /// Refusals in a row.
    refusals: u32,
    /// Failures in a row.
    failures: u32,
    /// Removed at this time unless it is listed again.
    pub(crate) expires_at: Option<Duration>,
}

impl Endpoint {
    pub(crate) fn new(info: EndpointInfo) -> Endpoint {
        Endpoint {
            info,
            unlisted: false,
            ended: false,
            calls: 0,
            tokens: 0,
            peer_tokens: 0,
            peer_calls: 0,
            own_usage: Vec::new(),
            peer_usage: Vec::new(),
            mean_answer_time: None,
            base_seconds: INITIAL_BASE_SECONDS,
            slowness: 1.0,
            avoided_until: Duration::ZERO,
            reported_until: Duration::ZERO,
            refusals: 0,
            failures: 0,
            expires_at: None,
        }
    }

    /// It may be sent new work.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        !self.unlisted && !self.info.draining
    }

    /// Its entry is missing, and it is kept for a while.
    #[must_use]
    pub fn is_expiring(&self) -> bool {
        self.expires_at.is_some()
    }

    /// Tokens of all daemons' calls, as far as they are known.
    #[must_use]
    pub fn total_tokens(&self) -> u32 {
        self.tokens.saturating_add(self.peer_tokens)
    }

    /// Calls of all daemons, as far as they are known.
    #[must_use]
    pub fn total_calls(&self) -> u32 {
        self.calls.saturating_add(self.peer_calls)
    }

    /// The most memory that the drafts here will take until `more` would have ended, and `more` too.
    #[must_use]
    pub fn peak_tokens(&self, more: Usage, now: Duration, growth: Growth) -> f64 {
        let all = self.own_usage.iter().chain(&self.peer_usage).copied();
        usage::peak_tokens(all.chain([more]), more.tokens_left(now, growth.rate), now, growth)
    }

    /// It answered: it is there.
    pub fn record_answer(&mut self, took: Duration) {
        self.record_accepted();
        self.avoided_until = Duration::ZERO;
        let mean = self.mean_answer_time.unwrap_or(took);
        self.mean_answer_time =
            Some(mean.mul_f64(1.0 - ANSWER_TIME_WEIGHT) + took.mul_f64(ANSWER_TIME_WEIGHT));
    }

    /// It has read a prompt that it should have read in `expected` seconds.
    ///
    /// Part of that time passes also at an idle endpoint, whatever the prompt's length. It is not a
    /// queue: without telling the two apart, every endpoint would look slow, and prompts would go to
    /// decode endpoints for nothing.
    pub fn record_prefill(&mut self, took: Duration, expected: f64) {
        self.failures = 0;
        let took = took.as_secs_f64();
        let beyond = (took - expected).clamp(0.0, MAX_BASE_SECONDS);
        let weight = if beyond < self.base_seconds { 1.0 } else { BASE_INCREASE_WEIGHT };
        self.base_seconds += weight * (beyond - self.base_seconds);
        let measured = (took - self.base_seconds) / expected.max(MIN_READ_SECONDS);
        let slowness = self.slowness + SLOWNESS_WEIGHT * (measured - self.slowness);
        self.slowness = slowness.clamp(1.0, MAX_SLOWNESS);
    }

    /// It took work.
    pub fn record_accepted(&mut self) {
        self.refusals = 0;
        self.failures = 0;
    }

    /// It refused work. One that is full has room again soon. One that goes on refusing leaves, or is
    /// ill, and while the list can't be read nothing else says so: having nothing to do, it would be
    /// the first choice for each draft. Others are told of it then.
    pub fn record_refusal(&mut self, now: Duration, tuning: &Tuning) {
        let time = tuning.avoid_full.saturating_mul(1 << self.refusals.min(8));
        let until = now + time.min(tuning.max_avoid_full);
        self.refusals += 1;
        match self.refusals < REFUSALS_BEFORE_REPORT {
            true => self.avoid(until),
            false => self.avoid_and_report(until),
        }
    }

    /// It could not be reached, or did not answer in time. A dark endpoint stays listed for three
    /// heartbeats; without this each call in that time would wait for it anew.
    pub fn record_failure(&mut self, now: Duration, tuning: &Tuning) {
        let time = tuning.avoid_unreachable.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.avoid(now + time.min(tuning.max_avoid_unreachable));
    }

    /// It answers again.
    pub fn record_recovery(&mut self) {
        self.failures = 0;
        self.avoided_until = Duration::ZERO;
        self.reported_until = Duration::ZERO;
    }

    /// It refuses work until then, whoever asks.
    pub fn avoid_and_report(&mut self, until: Duration) {
        self.avoid(until);
        self.reported_until = self.reported_until.max(until);
    }

    /// It isn't used before `until`, unless there is nothing else.
    pub fn avoid(&mut self, until: Duration) {
        self.avoided_until = self.avoided_until.max(until);
    }
}
