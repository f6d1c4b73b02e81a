//! Quotas that this daemon counts for all.
//!
//! One daemon, the same for all who hear each other, counts a team's quota: a token bucket from which the
//! others take by telling what they took. While there is plenty requests are taken first and told within
//! milliseconds; when the bucket runs low all daemons are told to ask before.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use basilbank_core::state::Bucket;
use basilbank_wire::{QuotaCounted, QuotaRequest, QuotaUse};

use crate::team::{Quota, TeamId};

/// Seconds of a quota's rate by which the bucket may be overdrawn before a request is refused. Requests come
/// in clumps; the next moment's rate pays for them.
const OVERDRAFT_SECONDS: f64 = 0.15;

/// Part of a full bucket below which requests have to ask: more than a surge takes until all have heard.
const LOW_FRACTION: f64 = 0.3;

/// Part above which they needn't any more.
const PLENTY_FRACTION: f64 = 0.5;

/// How long a word to all holds that they have to ask.
pub const ASK_PERIOD: Duration = Duration::from_millis(2500);

/// When it is said again.
const ASK_REPEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// What is in the bucket of a quota that this daemon begins to count, as a part of a full one: another one
/// counted before, and part of the burst is used.
const INITIAL_FRACTION: f64 = 0.25;

/// How long a daemon that told counts as one that uses the quota.
const ACTIVE_PERIOD: Duration = Duration::from_secs(2);

/// A quota of which nobody told anything for this long is forgotten.
const IDLE_EXPIRY: Duration = Duration::from_secs(60);

/// All of them.
#[derive(Debug, Default)]
pub struct OwnedQuotas {
    quotas: HashMap<TeamId, OwnedQuota>,
}

/// One team's quota.
#[derive(Debug)]
struct OwnedQuota {
    bucket: Bucket,
    /// What was counted of each daemon.
    reports: HashMap<SocketAddr, Report>,
    /// Requests have to ask.
    is_low: bool,
    /// When all were told so.
    ask_sent: Duration,
    last_used: Duration,
}

/// What a daemon has told.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Its process's start.
    incarnation: u64,
    sum: QuotaCounted,
    at: Duration,
}

/// What this daemon may give of a quota: all of it, or a part while it doesn't hear all daemons.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// The whole.
    pub quota: Quota,
    /// The part.
    pub fraction: f64,
}

impl Allowance {
    fn rate(&self) -> f64 {
        self.quota.rate * self.fraction
    }

    /// A full bucket: one that holds less than the overdraft would be low all the time.
    fn bucket_size(&self) -> f64 {
        (self.quota.burst * self.fraction).max(self.rate() * OVERDRAFT_SECONDS)
    }
}

/// What a daemon that told of its use, or asked, is answered.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Answer {
    /// There is room, and what was asked for is taken.
    Granted,
    /// There is room after this time.
    Full(Duration),
}

impl OwnedQuotas {
    /// Takes in what a daemon's callers have taken. Its incarnation tells a sum from that of the process
    /// before.
    pub fn apply_report(
        &mut self,
        team: TeamId,
        allowance: &Allowance,
        from: (SocketAddr, u64),
        report: &QuotaUse,
        now: Duration,
    ) {
        let owned = self.owned_quota(team, allowance, now);
        owned.last_used = now;
        let (address, incarnation) = from;
        let known = owned.reports.get(&address);
        let known = known.filter(|known| known.incarnation == incarnation);
        let sum = known.map(|known| known.sum).filter(|sum| sum.epoch == report.epoch);
        let before = sum.map_or(report.acknowledged, |sum| sum.taken);
        owned.bucket.level -= (report.taken - before) as f64;
        let sum = QuotaCounted { epoch: report.epoch, taken: report.taken };
        owned.reports.insert(address, Report { incarnation, sum, at: now });
    }

    /// Takes what this daemon's own callers have taken.
    pub fn take(&mut self, team: TeamId, allowance: &Allowance, amount: i64, now: Duration) {
        let owned = self.owned_quota(team, allowance, now);
        owned.last_used = now;
        owned.bucket.level -= amount as f64;
    }

    /// A request asks for its part.
    pub fn request(
        &mut self,
        team: TeamId,
        allowance: &Allowance,
        request: &QuotaRequest,
        now: Duration,
    ) -> Answer {
        let owned = self.owned_quota(team, allowance, now);
        owned.last_used = now;
        let min_level = -allowance.rate() * OVERDRAFT_SECONDS;
        if min_level < owned.bucket.level {
            owned.bucket.level -= f64::from(request.amount);
            return Answer::Granted;
        }
        let lacking = (min_level - owned.bucket.level) / allowance.rate();
        Answer::Full(Duration::try_from_secs_f64(lacking).unwrap_or(IDLE_EXPIRY).min(IDLE_EXPIRY))
    }

    /// Requests of a team have to ask before they are taken.
    pub fn check_low(&mut self, team: TeamId, allowance: &Allowance, now: Duration) -> bool {
        let owned = self.owned_quota(team, allowance, now);
        let fraction = owned.bucket.level / allowance.bucket_size();
        owned.is_low = fraction < if owned.is_low { PLENTY_FRACTION } else { LOW_FRACTION };
        owned.is_low
    }

    /// All daemons are to be told now that requests of a team whose bucket is low have to ask.
    pub fn take_ask_due(&mut self, team: TeamId, now: Duration) -> bool {
        let Some(owned) = self.quotas.get_mut(&team) else { return false };
        let due = owned.ask_sent + ASK_REPEAT_INTERVAL <= now;
        if due {
            owned.ask_sent = now;
        }
        due
    }

    /// Daemons that have told of a team's quota lately.
    #[must_use]
    pub fn active_daemons(&self, team: TeamId, now: Duration) -> usize {
        let Some(owned) = self.quotas.get(&team) else { return 0 };
        owned.reports.values().filter(|report| now < report.at + ACTIVE_PERIOD).count()
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Duration) {
        self.quotas.retain(|_, owned| now < owned.last_used + IDLE_EXPIRY);
    }

    fn owned_quota(
        &mut self,
        team: TeamId,
        allowance: &Allowance,
        now: Duration,
    ) -> &mut OwnedQuota {
        let owned = self.quotas.entry(team).or_insert_with(|| OwnedQuota {
            bucket: Bucket::full(allowance.bucket_size() * INITIAL_FRACTION, now),
            reports: HashMap::new(),
            is_low: false,
            ask_sent: Duration::ZERO,
            last_used: now,
        });
        owned.bucket.fill(allowance.rate(), allowance.bucket_size(), now);
        owned
    }
}
