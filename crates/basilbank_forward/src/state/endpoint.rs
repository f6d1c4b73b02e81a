//! One endpoint: its record in the list, its load, and what was measured of it.

use std::time::Duration;

use super::{
    statements::Statements,
    usage::{self, Growth, Usage},
};
use crate::{endpoint::EndpointInfo, tuning::Tuning};

/// Weight of a new measurement in the running mean of answer times: the mean covers some ten
/// answers.
const ANSWER_TIME_WEIGHT: f64 = 0.1;

/// Weight of a new measurement of slowness: a slow endpoint is recognized after some prompts.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// Base time that is assumed before the first prompt.
const INITIAL_BASE_SECONDS: f64 = 0.05;

/// Maximum base time; anything beyond it counts as slowness.
const MAX_BASE_SECONDS: f64 = 0.2;

/// Weight of a measurement that raises the base time. The base time follows the minimum, and
/// forgets it after some tens of prompts.
const BASE_INCREASE_WEIGHT: f64 = 0.03;

/// Minimum expected reading time by which a measured time is divided. Shorter readings say more
/// about round trips than about the endpoint.
const MIN_READ_SECONDS: f64 = 0.08;

/// Number of consecutive refusals, about a second, after which peers are told to avoid the
/// endpoint.
const REFUSALS_BEFORE_REPORT: u32 = 5;

/// Maximum slowness; a slower endpoint counts as failed anyway.
const MAX_SLOWNESS: f64 = 10.0;

/// Time for which an endpoint is avoided after an answer without end. It doubles with each call that
/// meets another one after that.
const MIN_FAULTY_TIME: Duration = Duration::from_secs(5);

/// Maximum time for which such an endpoint is avoided.
const MAX_FAULTY_TIME: Duration = Duration::from_secs(60);

/// Maximum number of tokens that counts at an endpoint. That of one more call can be added to it.
const MAX_TOTAL_TOKENS: u32 = 1 << 31;

/// The state of one endpoint, that is of one incarnation of an instance.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its record in the list.
    pub info: EndpointInfo,
    /// Whether it is off the list. Its calls in progress continue.
    pub unlisted: bool,
    /// What its answers have stated about it.
    pub statements: Statements,
    /// Whether the incarnation has ended and what it held is lost: its instance has restarted, or
    /// another one has its address. Its calls in progress end when their own connections do.
    pub ended: bool,
    /// Number of own calls in progress.
    pub calls: u32,
    /// Tokens of own calls: those to be read at a prefill endpoint, those in memory at a decode
    /// endpoint.
    pub tokens: u32,
    /// Tokens of peers' calls. The sum over all peers may need more bits than one peer's.
    pub peer_tokens: u64,
    /// Number of peers' calls in progress.
    pub peer_calls: u64,
    /// Usage of each own call that takes memory.
    pub own_usage: Vec<Usage>,
    /// Usage of each peer's calls that take memory.
    pub peer_usage: Vec<Usage>,
    /// Running mean of its answer times; `None` before the first answer.
    pub mean_answer_time: Option<Duration>,
    /// Minimum time in seconds that it takes to read a prompt, whatever the prompt's length.
    pub base_seconds: f64,
    /// Time that it takes to read prompts, as a multiple of the time expected from its rate.
    pub slowness: f64,
    /// It isn't used before this time, unless there is no other endpoint.
    pub avoided_until: Duration,
    /// Until when it isn't used because its answers had no end, whatever else it answers.
    faulty_until: Duration,
    /// Number of consecutive calls whose answers had no end.
    endless: u32,
    /// Until when this daemon knows that it refuses work, and tells its peers to avoid it.
    pub reported_until: Duration,
    /// Number of consecutive refusals.
    refusals: u32,
    /// Number of consecutive failures.
    failures: u32,
    /// When it is taken off the list, unless it is listed again before.
    pub(crate) expires_at: Option<Duration>,
}

impl Endpoint {
    pub(crate) fn new(info: EndpointInfo) -> Endpoint {
        Endpoint {
            info,
            unlisted: false,
            statements: Statements::default(),
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
            faulty_until: Duration::ZERO,
            endless: 0,
            reported_until: Duration::ZERO,
            refusals: 0,
            failures: 0,
            expires_at: None,
        }
    }

    /// Returns whether it is in service: new work may be sent to it, unless it wants a pause.
    #[must_use]
    pub fn is_in_service(&self) -> bool {
        !self.unlisted && !self.is_leaving()
    }

    /// Returns whether new work may be sent to it now.
    #[must_use]
    pub fn accepts_work(&self, now: Duration) -> bool {
        self.is_in_service() && !self.statements.is_paused(now)
    }

    /// Returns whether it is leaving, by its record or by its own answers.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.info.draining || self.statements.leaving
    }

    /// Returns whether its record is missing from the list and it is only kept for a grace period.
    #[must_use]
    pub fn is_expiring(&self) -> bool {
        self.expires_at.is_some()
    }

    /// Returns the number of tokens of all daemons' calls, as far as they are known. There is room for
    /// those of one more call.
    #[must_use]
    pub fn total_tokens(&self) -> u32 {
        saturating_sum(self.tokens, self.peer_tokens).min(MAX_TOTAL_TOKENS)
    }

    /// Returns the number of calls of all daemons, as far as they are known.
    #[must_use]
    pub fn total_calls(&self) -> u32 {
        saturating_sum(self.calls, self.peer_calls)
    }

    /// Returns the maximum memory, in tokens, that the completions here and an additional one,
    /// `more`, take until `more` ends.
    #[must_use]
    pub fn peak_tokens(&self, more: Usage, now: Duration, growth: Growth) -> f64 {
        let all = self.own_usage.iter().chain(&self.peer_usage).copied();
        usage::peak_tokens(all.chain([more]), more.tokens_left(now, growth.rate), now, growth)
    }

    /// Records an answer, which shows that it is reachable.
    pub fn record_answer(&mut self, took: Duration) {
        self.record_accepted();
        self.avoided_until = self.faulty_until;
        self.record_answer_time(took);
    }

    /// Records that an attempt was stopped after `waited` without an answer, as another endpoint
    /// answered first. Otherwise one that never answers would keep the mean of its last answers, or
    /// count as unmeasured.
    pub fn record_outpaced(&mut self, waited: Duration) {
        if self.mean_answer_time.is_none_or(|mean| mean < waited) {
            self.record_answer_time(waited);
        }
    }

    fn record_answer_time(&mut self, time: Duration) {
        let mean = self.mean_answer_time.unwrap_or(time);
        self.mean_answer_time =
            Some(mean.mul_f64(1.0 - ANSWER_TIME_WEIGHT) + time.mul_f64(ANSWER_TIME_WEIGHT));
    }

    /// Records that it has read a prompt, which should have taken `expected` seconds.
    ///
    /// Some of the time passes also at an idle endpoint, whatever the prompt's length. That base
    /// time is not queueing. If it were not kept apart, every endpoint would look slow, and prompts
    /// would be sent to decode endpoints needlessly.
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

    /// Returns whether it could not be reached lately and is avoided for that.
    #[must_use]
    pub fn is_failing(&self, now: Duration) -> bool {
        self.failures != 0 && now < self.avoided_until
    }

    /// Records that it has accepted work.
    pub fn record_accepted(&mut self) {
        self.refusals = 0;
        self.failures = 0;
    }

    /// Records that it has refused work, and avoids it for some time.
    ///
    /// A full endpoint has capacity again soon. An endpoint that continues to refuse is shutting
    /// down or faulty, and while the list can't be read nothing else shows that: since it has no
    /// load, it would be the first choice for every completion. So peers are told to avoid it after
    /// some refusals.
    pub fn record_refusal(&mut self, now: Duration, tuning: &Tuning) {
        let time = tuning.avoid_full.saturating_mul(1 << self.refusals.min(8));
        let until = now + time.min(tuning.max_avoid_full);
        self.refusals += 1;
        match self.refusals < REFUSALS_BEFORE_REPORT {
            true => self.avoid(until),
            false => self.avoid_and_report(until),
        }
    }

    /// Records that it could not be reached or did not answer in time, and avoids it for some time.
    /// An unreachable endpoint stays listed for three heartbeats; otherwise each call in that time
    /// would wait for it again.
    pub fn record_failure(&mut self, now: Duration, tuning: &Tuning) {
        let time = tuning.avoid_unreachable.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.avoid(now + time.min(tuning.max_avoid_unreachable));
    }

    /// Records that it answers again after it was unreachable.
    pub fn record_recovery(&mut self) {
        self.failures = 0;
        self.avoided_until = self.faulty_until;
        self.reported_until = self.faulty_until;
    }

    /// Records that an answer had no end, avoids it for some time, and tells peers. It may answer
    /// liveness requests and others meanwhile.
    pub fn record_endless(&mut self, now: Duration) {
        // Calls that were in progress together show one fault.
        if self.faulty_until <= now {
            let time = MIN_FAULTY_TIME.saturating_mul(1 << self.endless.min(8));
            self.faulty_until = now + time.min(MAX_FAULTY_TIME);
            self.endless += 1;
        }
        self.avoid_and_report(self.faulty_until);
    }

    /// Records that a call was served to its end.
    pub fn record_whole(&mut self, now: Duration) {
        if self.faulty_until <= now {
            self.endless = 0;
        }
    }

    /// Avoids it until `until`, and tells peers to do the same: it refuses work whoever sends it.
    pub fn avoid_and_report(&mut self, until: Duration) {
        self.avoid(until);
        self.reported_until = self.reported_until.max(until);
    }

    /// Doesn't use it before `until`, unless there is no other endpoint.
    pub fn avoid(&mut self, until: Duration) {
        self.avoided_until = self.avoided_until.max(until);
    }
}

fn saturating_sum(own: u32, peers: u64) -> u32 {
    u32::try_from(u64::from(own).saturating_add(peers)).unwrap_or(u32::MAX)
}
