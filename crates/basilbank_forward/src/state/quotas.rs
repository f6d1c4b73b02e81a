//! What this daemon's callers have taken of the teams' quotas.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use basilbank_core::state::Bucket;

use crate::{
    call::RequestId,
    team::{Quota, TeamId},
};

/// Time that use of a quota waits before it is reported, so that one report covers several
/// requests.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// Time after which an unacknowledged report is repeated.
const REPORT_REPEAT_DELAY: Duration = Duration::from_millis(70);

/// Number of reports without an acknowledgement after which the quota owner is avoided.
const MAX_UNACKNOWLEDGED_REPORTS: u32 = 3;

/// Time for which an owner that doesn't acknowledge reports is avoided.
pub const AVOID_OWNER_TIME: Duration = Duration::from_secs(3);

/// Time without use after which a team is forgotten.
const IDLE_EXPIRY: Duration = Duration::from_secs(60);

/// Interval at which expired entries are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum unused amount of its own share that a daemon accumulates, in seconds of the share's
/// rate.
const SHARE_BURST_SECONDS: f64 = 1.0;

/// The teams that were used recently, and the requests that wait for an owner's answer.
#[derive(Debug, Default)]
pub struct Quotas {
    teams: BTreeMap<TeamId, TeamUsage>,
    /// Teams that may have unreported use. Each reducer step checks only these, and not all teams
    /// that were used recently.
    unreported: BTreeSet<TeamId>,
    /// Requests that have asked an owner, by ticket.
    pub pending: BTreeMap<u64, PendingRequest>,
    /// Number of tickets given out so far.
    tickets: u64,
    /// Owners that did not acknowledge reports, and until when they are avoided.
    avoided_owners: BTreeMap<SocketAddr, Duration>,
    /// Until when this daemon, after it heard no peer at all, assumes that peers take another one for
    /// the owner of what it owns.
    unsettled_until: Duration,
    /// When expired entries were last removed.
    last_expiry: Duration,
}

/// A request that has asked the quota owner for its part.
#[derive(Clone, Copy, Debug)]
pub struct PendingRequest {
    /// The request, which may have ended in the meantime.
    pub request: RequestId,
    /// The amount that it asked for.
    pub amount: u32,
    /// When it asked.
    pub at: Duration,
}

/// What this daemon's callers have taken of one quota.
#[derive(Clone, Debug)]
pub struct TeamUsage {
    /// The quota's owner; `None` while it is this daemon, or nothing has been reported.
    pub owner: Option<SocketAddr>,
    /// Increases with each change of the owner.
    pub epoch: u32,
    /// Amount taken since this epoch began, less what was returned.
    pub taken: i64,
    /// The part of it that the owner has acknowledged.
    pub acknowledged: i64,
    /// The least and the greatest sum that was reported in this epoch.
    reported: (i64, i64),
    /// Since when there is use that has not been reported.
    pub unreported_since: Option<Duration>,
    /// When the last report was sent.
    pub last_report: Duration,
    /// Number of reports since the last acknowledgement.
    pub unacknowledged_reports: u32,
    /// Until when requests ask the owner before they are let through.
    pub ask_until: Duration,
    /// Until when the quota is used up.
    pub full_until: Duration,
    /// Units that this daemon has let through, for metrics.
    pub passed: u64,
    /// Number of calls that this daemon has refused, for metrics.
    pub refused: u64,
    /// This daemon's own share of the quota, for times in which the owner doesn't answer.
    share: Bucket,
    last_used: Duration,
}

impl TeamUsage {
    fn new(now: Duration) -> TeamUsage {
        TeamUsage {
            owner: None,
            epoch: 0,
            taken: 0,
            acknowledged: 0,
            reported: (0, 0),
            unreported_since: None,
            last_report: Duration::ZERO,
            unacknowledged_reports: 0,
            ask_until: Duration::ZERO,
            full_until: Duration::ZERO,
            passed: 0,
            refused: 0,
            share: Bucket::full(0.0, now),
            last_used: now,
        }
    }

    /// Records that an amount was taken, or returned if it is negative.
    pub fn take(&mut self, amount: i64, now: Duration) {
        self.taken += amount;
        self.unreported_since.get_or_insert(now);
    }

    /// Records that a call was let through or refused.
    pub fn record_decision(&mut self, amount: u32, passes: bool, now: Duration) {
        self.last_used = now;
        self.passed += if passes { u64::from(amount) } else { 0 };
        self.refused += u64::from(!passes);
    }

    /// Takes an amount from this daemon's own share of the quota, and returns whether the share
    /// allowed it. The share may be overdrawn by one request, or a large request would never fit
    /// into a small share.
    #[must_use]
    pub fn take_share(&mut self, quota: &Quota, fraction: f64, amount: u32, now: Duration) -> bool {
        let rate = quota.rate * fraction;
        self.share.fill(rate, rate * SHARE_BURST_SECONDS, now);
        if self.share.level < 0.0 {
            return false;
        }
        self.share.level -= f64::from(amount);
        true
    }

    /// Returns the time until this daemon's own share allows requests again.
    #[must_use]
    pub fn share_wait(&self, quota: &Quota, fraction: f64) -> Duration {
        let lacking = (-self.share.level).max(0.0) / (quota.rate * fraction).max(f64::EPSILON);
        Duration::try_from_secs_f64(lacking).unwrap_or(IDLE_EXPIRY).min(IDLE_EXPIRY)
    }

    /// Changes the owner. The new one is sent what the former one has not acknowledged.
    pub fn change_owner(&mut self, owner: Option<SocketAddr>) {
        self.owner = owner;
        self.epoch = self.epoch.wrapping_add(1);
        self.taken -= self.acknowledged;
        self.acknowledged = 0;
        self.reported = (self.taken, self.taken);
        self.unacknowledged_reports = 0;
        self.last_report = Duration::ZERO;
        self.full_until = Duration::ZERO;
    }

    /// Applies the owner's acknowledgement of a sum. One that was never reported is ignored.
    pub fn acknowledge(&mut self, epoch: u32, taken: i64, now: Duration) {
        let (least, greatest) = self.reported;
        if epoch != self.epoch || !(least..=greatest).contains(&taken) {
            return;
        }
        self.unacknowledged_reports = 0;
        self.acknowledged = taken;
        self.unreported_since = self.unreported_since.filter(|_| taken != self.taken).map(|_| now);
    }

    /// Records that this daemon, as the owner, has counted all that was taken.
    pub fn acknowledge_all(&mut self, now: Duration) {
        self.note_reported();
        self.acknowledge(self.epoch, self.taken, now);
    }

    fn note_reported(&mut self) {
        let (least, greatest) = self.reported;
        self.reported = (least.min(self.taken), greatest.max(self.taken));
    }

    /// Records that a report is sent to the owner. Several at once count as one.
    pub fn record_report(&mut self, now: Duration) {
        self.note_reported();
        if self.unacknowledged_reports == 0 || self.last_report + REPORT_REPEAT_DELAY <= now {
            self.unacknowledged_reports += 1;
            self.last_report = now;
        }
    }

    /// Returns when the next report is due.
    fn report_due(&self) -> Option<Duration> {
        let first = self.unreported_since? + REPORT_DELAY;
        Some(if self.unacknowledged_reports == 0 {
            first
        } else {
            first.max(self.last_report + REPORT_REPEAT_DELAY)
        })
    }

    /// Returns whether contact with the owner may be lost. What is taken without asking may then
    /// never be counted.
    #[must_use]
    pub fn is_owner_doubtful(&self) -> bool {
        1 < self.unacknowledged_reports
    }

    /// Returns whether contact with the owner is lost.
    #[must_use]
    pub fn is_owner_lost(&self) -> bool {
        MAX_UNACKNOWLEDGED_REPORTS <= self.unacknowledged_reports
    }
}

impl Quotas {
    /// Returns a team's usage, to be changed.
    pub fn usage_mut(&mut self, team: TeamId, now: Duration) -> &mut TeamUsage {
        self.unreported.insert(team);
        self.teams.entry(team).or_insert_with(|| TeamUsage::new(now))
    }

    /// Adds a request that asks an owner, and returns its ticket.
    pub fn add_pending(&mut self, pending: PendingRequest) -> u64 {
        self.tickets += 1;
        self.pending.insert(self.tickets, pending);
        self.tickets
    }

    /// Returns the teams whose use has to be reported now.
    pub fn due_reports(&mut self, now: Duration) -> Vec<TeamId> {
        let teams = &self.teams;
        self.unreported
            .retain(|team| teams.get(team).is_some_and(|usage| usage.unreported_since.is_some()));
        let due = |team: &&TeamId| {
            teams.get(team).and_then(TeamUsage::report_due).is_some_and(|at| at <= now)
        };
        self.unreported.iter().filter(due).copied().collect()
    }

    /// Returns when the next report is due.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.unreported.iter().filter_map(|team| self.teams.get(team)?.report_due()).min()
    }

    /// Avoids an owner that doesn't answer.
    pub fn avoid_owner(&mut self, owner: SocketAddr, now: Duration) {
        self.avoided_owners.insert(owner, now + AVOID_OWNER_TIME);
    }

    /// Returns whether a daemon is avoided as an owner because it did not answer.
    #[must_use]
    pub fn avoids_owner(&self, owner: &SocketAddr, now: Duration) -> bool {
        self.avoided_owners.get(owner).is_some_and(|until| now < *until)
    }

    /// Records that this daemon hears no peer: it may be cut off, and its peers then avoid it as an
    /// owner for some time after they hear it again.
    pub fn record_isolation(&mut self, now: Duration) {
        self.unsettled_until = now + AVOID_OWNER_TIME;
    }

    /// Returns whether peers may avoid this daemon as an owner.
    #[must_use]
    pub fn is_unsettled(&self, now: Duration) -> bool {
        now < self.unsettled_until
    }

    /// Returns whether any daemon is avoided as an owner because it did not answer.
    #[must_use]
    pub fn avoids_any_owner(&self, now: Duration) -> bool {
        self.avoided_owners.values().any(|until| now < *until)
    }

    /// Returns the teams with the most use through this daemon, in descending order.
    #[must_use]
    pub fn most_used(&self, count: usize) -> Vec<(TeamId, &TeamUsage)> {
        let mut all: Vec<_> = self.teams.iter().map(|(team, usage)| (*team, usage)).collect();
        all.sort_unstable_by_key(|(team, usage)| (std::cmp::Reverse(usage.passed), *team));
        all.truncate(count);
        all
    }

    /// Removes expired entries if it is time, and returns whether it was.
    pub fn expire(&mut self, now: Duration) -> bool {
        if now < self.last_expiry + EXPIRY_INTERVAL {
            return false;
        }
        self.last_expiry = now;
        self.avoided_owners.retain(|_, until| now < *until);
        self.pending.retain(|_, pending| now < pending.at + IDLE_EXPIRY);
        self.teams.retain(|_, usage| {
            usage.unreported_since.is_some() || now < usage.last_used + IDLE_EXPIRY
        });
        true
    }
}
