//! One start of an endpoint: what the list says of it, what it has to do, and what was measured.

use std::time::Duration;

use super::share::{self, Growth, Share};
use crate::{endpoint::EndpointInfo, tuning::Tuning};

/// Weight of a new measurement in the running mean of answer times: some ten answers.
const MEAN_WEIGHT: f64 = 0.1;

/// Weight of a new measurement of the prefill rate: a slow endpoint is seen after some prompts.
const READ_WEIGHT: f64 = 0.2;

/// Base time that is assumed before the first prompt, in seconds.
const FIRST_BASE: f64 = 0.05;

/// Most that counts as base time, in seconds; what is beyond is slowness.
const MOST_BASE: f64 = 0.2;

/// Weight of a measurement that raises the base time: it follows the least, and forgets it after
/// some tens of prompts.
const BASE_WEIGHT: f64 = 0.03;

/// Shorter readings say more about round trips than about the endpoint.
const SHORT_READ: f64 = 0.08;

/// Refusals in a row after which peers are told: about a second.
const REFUSALS: u32 = 5;

/// Bound of the measured slowness: beyond it an endpoint counts as failed anyway.
const SLOWEST: f64 = 10.0;

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What the list says.
    pub info: EndpointInfo,
    /// It is off the list; its calls in progress go on.
    pub gone: bool,
    /// It has ended, and what it held is lost: its instance started again, or another one has its
    /// address. Its calls in progress end by their own connections.
    pub over: bool,
    /// Own calls in progress.
    pub calls: u32,
    /// Tokens of own calls: to be read at a prefill endpoint, in memory at a decode endpoint.
    pub tokens: u32,
    /// Tokens of peers' calls.
    pub peer_tokens: u32,
    /// Peers' calls in progress.
    pub peer_calls: u32,
    /// What own calls take here, those that take memory.
    pub own: Vec<Share>,
    /// What peers' calls take here.
    pub others: Vec<Share>,
    /// Running mean of its answer times; `None` before the first one.
    pub mean: Option<Duration>,
    /// Seconds that reading a prompt takes at least, whatever its length.
    pub base: f64,
    /// How many times longer it takes to read prompts than its rate says.
    pub slowness: f64,
    /// Not used before this, unless there is nothing else.
    pub avoided: Duration,
    /// This daemon knows that it refuses work until then, and tells its peers.
    pub shunned: Duration,
    /// Refusals in a row.
    refusals: u32,
    /// Failures in a row.
    failures: u32,
    /// Removed at this time unless it is listed again.
    pub(crate) expires: Option<Duration>,
}

impl Endpoint {
    pub(crate) fn new(info: EndpointInfo) -> Endpoint {
        Endpoint {
            info,
            gone: false,
            over: false,
            calls: 0,
            tokens: 0,
            peer_tokens: 0,
            peer_calls: 0,
            own: Vec::new(),
            others: Vec::new(),
            mean: None,
            base: FIRST_BASE,
            slowness: 1.0,
            avoided: Duration::ZERO,
            shunned: Duration::ZERO,
            refusals: 0,
            failures: 0,
            expires: None,
        }
    }

    /// It may be sent new work.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        !self.gone && !self.info.draining
    }

    /// Its entry is missing, and it is kept for a while.
    #[must_use]
    pub fn lapses(&self) -> bool {
        self.expires.is_some()
    }

    /// Tokens of all daemons' calls, as far as they are known.
    #[must_use]
    pub fn all_tokens(&self) -> u32 {
        self.tokens.saturating_add(self.peer_tokens)
    }

    /// Calls of all daemons, as far as they are known.
    #[must_use]
    pub fn all_calls(&self) -> u32 {
        self.calls.saturating_add(self.peer_calls)
    }

    /// The most memory that the drafts here will take until `more` would have ended, and `more` too.
    #[must_use]
    pub fn peak(&self, more: Share, now: Duration, growth: Growth) -> f64 {
        let all = self.own.iter().chain(&self.others).copied();
        share::peak(all.chain([more]), more.left(now, growth.pace), now, growth)
    }

    /// It answered: it is there.
    pub fn answered(&mut self, took: Duration) {
        self.accepted();
        self.avoided = Duration::ZERO;
        let mean = self.mean.unwrap_or(took);
        self.mean = Some(mean.mul_f64(1.0 - MEAN_WEIGHT) + took.mul_f64(MEAN_WEIGHT));
    }

    /// It has read a prompt that it should have read in `expected` seconds.
    ///
    /// Part of that time passes also at an idle endpoint, whatever the prompt's length. It is not a
    /// queue: without telling the two apart, every endpoint would look slow, and prompts would go to
    /// decode endpoints for nothing.
    pub fn read(&mut self, took: Duration, expected: f64) {
        self.failures = 0;
        let took = took.as_secs_f64();
        let beyond = (took - expected).clamp(0.0, MOST_BASE);
        let weight = if beyond < self.base { 1.0 } else { BASE_WEIGHT };
        self.base += weight * (beyond - self.base);
        let measured = (took - self.base) / expected.max(SHORT_READ);
        let slowness = self.slowness + READ_WEIGHT * (measured - self.slowness);
        self.slowness = slowness.clamp(1.0, SLOWEST);
    }

    /// It took work.
    pub fn accepted(&mut self) {
        self.refusals = 0;
        self.failures = 0;
    }

    /// It refused work. One that is full has room again soon. One that goes on refusing leaves, or is
    /// ill, and while the list can't be read nothing else says so: having nothing to do, it would be
    /// the first choice for each draft. Others are told of it then.
    pub fn refused(&mut self, now: Duration, tuning: &Tuning) {
        let time = tuning.avoid_full.saturating_mul(1 << self.refusals.min(8));
        let until = now + time.min(tuning.avoid_refusing);
        self.refusals += 1;
        match self.refusals < REFUSALS {
            true => self.avoid(until),
            false => self.shun(until),
        }
    }

    /// It could not be reached, or did not answer in time. A dark endpoint stays listed for three
    /// heartbeats; without this each call in that time would wait for it anew.
    pub fn failed(&mut self, now: Duration, tuning: &Tuning) {
        let time = tuning.avoid.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.avoid(now + time.min(tuning.avoid_most));
    }

    /// It answers again.
    pub fn came_back(&mut self) {
        self.failures = 0;
        self.avoided = Duration::ZERO;
        self.shunned = Duration::ZERO;
    }

    /// It refuses work until then, whoever asks.
    pub fn shun(&mut self, until: Duration) {
        self.avoid(until);
        self.shunned = self.shunned.max(until);
    }

    /// It isn't used before `until`, unless there is nothing else.
    pub fn avoid(&mut self, until: Duration) {
        self.avoided = self.avoided.max(until);
    }
}
