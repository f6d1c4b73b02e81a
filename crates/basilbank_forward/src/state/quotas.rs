//! What this daemon's callers have taken of the teams' quotas.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use basilbank_core::state::Bucket;

use crate::{
    call::RequestId,
    team::{Quota, TeamId},
};

/// How long what was taken waits for company before it is told.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// Time after which it is told again if it isn't acknowledged.
const REPORT_REPEAT_DELAY: Duration = Duration::from_millis(70);

/// Words without an acknowledgement after which the daemon that counts is left.
const MAX_UNACKNOWLEDGED_REPORTS: u32 = 3;

/// How long it is left for.
const AVOID_OWNER_TIME: Duration = Duration::from_secs(3);

/// A team that nobody has used for this long is forgotten.
const IDLE_EXPIRY: Duration = Duration::from_secs(60);

/// Time between two looks at what is over.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Part by which a daemon that can't ask may use more than an even share: callers don't come evenly.
pub const SHARE_MARGIN: f64 = 1.1;

/// Seconds of its share that it may save up.
const SHARE_BURST_SECONDS: f64 = 1.0;

/// All teams that were used lately, and requests that wait for an answer.
#[derive(Debug, Default)]
pub struct Quotas {
    teams: HashMap<TeamId, TeamUsage>,
    /// Teams of which something may be untold: each turn looks at these, and not at all that were used lately.
    unreported: BTreeSet<TeamId>,
    /// Requests that have asked, by ticket.
    pub pending: HashMap<u64, PendingRequest>,
    /// Tickets so far.
    tickets: u64,
    /// Daemons that did not acknowledge what they were told, and until when they are left.
    avoided_owners: HashMap<SocketAddr, Duration>,
    /// When what is over was last forgotten.
    last_expiry: Duration,
}

/// A request that has asked for its part.
#[derive(Clone, Copy, Debug)]
pub struct PendingRequest {
    /// Which one. It may have ended meanwhile.
    pub request: RequestId,
    /// What it asked for.
    pub amount: u32,
    /// When.
    pub at: Duration,
}

/// What this daemon's callers have taken of one quota.
#[derive(Clone, Debug)]
pub struct TeamUsage {
    /// The daemon that counts for all; none while it is this one, or nothing was told.
    pub owner: Option<SocketAddr>,
    /// Rises with each other daemon that counts.
    pub epoch: u32,
    /// Taken since this epoch began, less what was given back.
    pub taken: i64,
    /// The part that is acknowledged.
    pub acknowledged: i64,
    /// When something was taken that isn't told yet.
    pub unreported_since: Option<Duration>,
    /// When it was told last.
    pub last_report: Duration,
    /// Words since the last acknowledgement.
    pub unacknowledged_reports: u32,
    /// Until then requests ask before they are taken.
    pub ask_until: Duration,
    /// Until then there is no room.
    pub full_until: Duration,
    /// Units that this daemon has let pass, for metrics.
    pub passed: u64,
    /// Calls that it has refused, for metrics.
    pub refused: u64,
    /// This daemon's own share, for the time in which nobody answers.
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

    /// Something was taken, or given back.
    pub fn take(&mut self, amount: i64, now: Duration) {
        self.taken += amount;
        self.unreported_since.get_or_insert(now);
    }

    /// A call passes, or is refused.
    pub fn record_decision(&mut self, amount: u32, passes: bool, now: Duration) {
        self.last_used = now;
        self.passed += if passes { u64::from(amount) } else { 0 };
        self.refused += u64::from(!passes);
    }

    /// Takes from this daemon's own share of the quota; false when it is used up. It may be overdrawn once,
    /// or a large request would never pass a small share.
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

    /// When this daemon's own share has room again.
    #[must_use]
    pub fn share_wait(&self, quota: &Quota, fraction: f64) -> Duration {
        let lacking = (-self.share.level).max(0.0) / (quota.rate * fraction).max(f64::EPSILON);
        Duration::try_from_secs_f64(lacking).unwrap_or(IDLE_EXPIRY).min(IDLE_EXPIRY)
    }

    /// Another daemon counts from now on. It is told what the one before has not acknowledged.
    pub fn change_owner(&mut self, owner: Option<SocketAddr>) {
        self.owner = owner;
        self.epoch = self.epoch.wrapping_add(1);
        self.taken -= self.acknowledged;
        self.acknowledged = 0;
        self.unacknowledged_reports = 0;
        self.last_report = Duration::ZERO;
        self.full_until = Duration::ZERO;
    }

    /// A sum was acknowledged.
    pub fn acknowledge(&mut self, epoch: u32, taken: i64, now: Duration) {
        if epoch != self.epoch {
            return;
        }
        self.unacknowledged_reports = 0;
        self.acknowledged = taken;
        self.unreported_since = self.unreported_since.filter(|_| taken != self.taken).map(|_| now);
    }

    /// A word goes out to the daemon that counts. Several at once count as one.
    pub fn record_report(&mut self, now: Duration) {
        if self.unacknowledged_reports == 0 || self.last_report + REPORT_REPEAT_DELAY <= now {
            self.unacknowledged_reports += 1;
            self.last_report = now;
        }
    }

    /// When it is told next.
    fn report_due(&self) -> Option<Duration> {
        let first = self.unreported_since? + REPORT_DELAY;
        Some(if self.unacknowledged_reports == 0 {
            first
        } else {
            first.max(self.last_report + REPORT_REPEAT_DELAY)
        })
    }

    /// The daemon that counts may not hear, or not be heard: what is taken on trust now may never be counted.
    #[must_use]
    pub fn is_owner_doubtful(&self) -> bool {
        1 < self.unacknowledged_reports
    }

    /// The daemon that counts doesn't hear, or isn't heard.
    #[must_use]
    pub fn is_owner_lost(&self) -> bool {
        MAX_UNACKNOWLEDGED_REPORTS <= self.unacknowledged_reports
    }
}

impl Quotas {
    /// A team's use.
    pub fn usage_mut(&mut self, team: TeamId, now: Duration) -> &mut TeamUsage {
        self.unreported.insert(team);
        self.teams.entry(team).or_insert_with(|| TeamUsage::new(now))
    }

    /// A ticket for a request that asks.
    pub fn add_pending(&mut self, pending: PendingRequest) -> u64 {
        self.tickets += 1;
        self.pending.insert(self.tickets, pending);
        self.tickets
    }

    /// Teams of which something is to be told now.
    pub fn due_reports(&mut self, now: Duration) -> Vec<TeamId> {
        let teams = &self.teams;
        self.unreported
            .retain(|team| teams.get(team).is_some_and(|usage| usage.unreported_since.is_some()));
        let due = |team: &&TeamId| {
            teams.get(team).and_then(TeamUsage::report_due).is_some_and(|at| at <= now)
        };
        self.unreported.iter().filter(due).copied().collect()
    }

    /// When something is to be told next.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.unreported.iter().filter_map(|team| self.teams.get(team)?.report_due()).min()
    }

    /// Leaves a daemon that doesn't answer.
    pub fn avoid_owner(&mut self, owner: SocketAddr, now: Duration) {
        self.avoided_owners.insert(owner, now + AVOID_OWNER_TIME);
    }

    /// A daemon is left for not answering.
    #[must_use]
    pub fn avoids_owner(&self, owner: &SocketAddr, now: Duration) -> bool {
        self.avoided_owners.get(owner).is_some_and(|until| now < *until)
    }

    /// Some daemon is left for not answering.
    #[must_use]
    pub fn avoids_any_owner(&self, now: Duration) -> bool {
        self.avoided_owners.values().any(|until| now < *until)
    }

    /// What teams use through this daemon, the most first.
    #[must_use]
    pub fn most_used(&self, count: usize) -> Vec<(TeamId, &TeamUsage)> {
        let mut all: Vec<_> = self.teams.iter().map(|(team, usage)| (*team, usage)).collect();
        all.sort_unstable_by_key(|(team, usage)| (std::cmp::Reverse(usage.passed), *team));
        all.truncate(count);
        all
    }

    /// Forgets what is over, now and then; true if it did.
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
