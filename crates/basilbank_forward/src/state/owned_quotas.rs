//! Quotas that this daemon owns, and so counts for all daemons.
//!
//! Daemons that are in contact agree on one owner for each team's quota. The owner keeps a token
//! bucket, and the other daemons take from it by reporting what they took. While the bucket is well
//! filled, requests are let through first and reported within milliseconds. When it runs low, the
//! owner tells all daemons to ask before they let requests through.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use basilbank_core::state::Bucket;
use basilbank_wire::{QuotaCounted, QuotaRequest, QuotaUse};

use crate::team::{Quota, TeamId};

/// Amount by which the bucket may be overdrawn before requests are refused, in seconds of the
/// quota's rate. Requests arrive in bursts; the rate of the following moments makes up for them.
const OVERDRAFT_SECONDS: f64 = 0.15;

/// Fraction of a full bucket below which requests have to ask: more than a surge takes until all
/// daemons have been told.
const LOW_FRACTION: f64 = 0.3;

/// Fraction of a full bucket above which requests needn't ask any more.
const PLENTY_FRACTION: f64 = 0.5;

/// Time for which daemons ask after the owner has told them to.
pub const ASK_PERIOD: Duration = Duration::from_millis(2500);

/// Interval at which the owner of a low bucket tells all daemons again to ask.
const ASK_REPEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// Level at which the bucket of a newly owned quota starts, as a fraction of a full one: another
/// daemon owned the quota before, and part of the burst is used.
const INITIAL_FRACTION: f64 = 0.25;

/// Time after its last report for which a daemon counts as using a quota.
const ACTIVE_PERIOD: Duration = Duration::from_secs(2);

/// Time without reports after which a quota is forgotten.
const IDLE_EXPIRY: Duration = Duration::from_secs(60);

/// Maximum amount that one report can add to a sum, or take off it: that of the largest call. A
/// report covers the calls of some milliseconds.
const MAX_REPORTED_AMOUNT: u64 = u32::MAX as u64;

/// The quotas that this daemon owns.
#[derive(Debug, Default)]
pub struct OwnedQuotas {
    quotas: BTreeMap<TeamId, OwnedQuota>,
}

/// One team's quota.
#[derive(Debug)]
struct OwnedQuota {
    bucket: Bucket,
    /// The last sum that was counted for each daemon.
    reports: BTreeMap<SocketAddr, Report>,
    /// Whether requests have to ask.
    is_low: bool,
    /// When all daemons were last told to ask.
    ask_sent: Duration,
    last_used: Duration,
}

/// The last sum that a daemon has reported.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// The incarnation of the daemon.
    incarnation: u64,
    sum: QuotaCounted,
    /// When it came; `None` if this daemon has heard no peer since.
    at: Option<Duration>,
}

/// The amount that this daemon may give out of a quota: all of it, or a fraction while it isn't in
/// contact with all daemons.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// The whole quota.
    pub quota: Quota,
    /// The fraction of it.
    pub fraction: f64,
}

impl Allowance {
    fn rate(&self) -> f64 {
        self.quota.rate * self.fraction
    }

    /// Returns the level of a full bucket. One that holds less than the overdraft would be low all
    /// the time.
    fn bucket_size(&self) -> f64 {
        (self.quota.burst * self.fraction).max(self.rate() * OVERDRAFT_SECONDS)
    }
}

/// The answer to a request for a part of a quota.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Answer {
    /// The quota has room, and the requested amount is counted.
    Granted,
    /// The quota has room after this time.
    Full(Duration),
}

impl OwnedQuotas {
    /// Counts the sum that a daemon reports for its callers. `from` is the daemon's address and
    /// incarnation; the incarnation distinguishes its sum from that of the process before. An impossible
    /// amount counts as none.
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
        let amount = report.taken.saturating_sub(before);
        if amount.unsigned_abs() <= MAX_REPORTED_AMOUNT {
            owned.bucket.level -= amount as f64;
        }
        let sum = QuotaCounted { epoch: report.epoch, taken: report.taken };
        owned.reports.insert(address, Report { incarnation, sum, at: Some(now) });
    }

    /// Counts what this daemon's own callers have taken.
    pub fn take(&mut self, team: TeamId, allowance: &Allowance, amount: i64, now: Duration) {
        let owned = self.owned_quota(team, allowance, now);
        owned.last_used = now;
        owned.bucket.level -= amount as f64;
    }

    /// Answers a request for a part of the quota, and counts the amount if it is granted.
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

    /// Updates and returns whether the bucket is low, so that requests of the team have to ask.
    pub fn check_low(&mut self, team: TeamId, allowance: &Allowance, now: Duration) -> bool {
        let owned = self.owned_quota(team, allowance, now);
        let fraction = owned.bucket.level / allowance.bucket_size();
        owned.is_low = fraction < if owned.is_low { PLENTY_FRACTION } else { LOW_FRACTION };
        owned.is_low
    }

    /// Returns whether all daemons have to be told now that requests of a team with a low bucket
    /// have to ask, and counts this as done.
    pub fn take_ask_due(&mut self, team: TeamId, now: Duration) -> bool {
        let Some(owned) = self.quotas.get_mut(&team) else { return false };
        let due = owned.ask_sent + ASK_REPEAT_INTERVAL <= now;
        if due {
            owned.ask_sent = now;
        }
        due
    }

    /// Returns the number of daemons that have recently reported use of a team's quota.
    #[must_use]
    pub fn active_daemons(&self, team: TeamId, now: Duration) -> usize {
        let Some(owned) = self.quotas.get(&team) else { return 0 };
        let is_recent = |report: &&Report| report.at.is_some_and(|at| now < at + ACTIVE_PERIOD);
        owned.reports.values().filter(is_recent).count()
    }

    /// Counts no daemon as using a quota until it reports again.
    pub fn forget_reporters(&mut self) {
        for owned in self.quotas.values_mut() {
            for report in owned.reports.values_mut() {
                report.at = None;
            }
        }
    }

    /// Forgets quotas that are no longer used.
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
            reports: BTreeMap::new(),
            is_low: false,
            ask_sent: Duration::ZERO,
            last_used: now,
        });
        owned.bucket.fill(allowance.rate(), allowance.bucket_size(), now);
        owned
    }
}
