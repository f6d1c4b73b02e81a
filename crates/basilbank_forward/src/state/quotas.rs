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
const TELL_AFTER: Duration = Duration::from_millis(20);

/// Time after which it is told again if it isn't acknowledged.
const TELL_AGAIN: Duration = Duration::from_millis(70);

/// Words without an acknowledgement after which the daemon that counts is left.
const MOST_UNHEARD: u32 = 3;

/// How long it is left for.
const LEFT_FOR: Duration = Duration::from_secs(3);

/// A team that nobody has used for this long is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// Time between two looks at what is over.
const SWEEP: Duration = Duration::from_secs(10);

/// Part by which a daemon that can't ask may use more than an even share: callers don't come evenly.
pub const SHARE_MARGIN: f64 = 1.1;

/// Seconds of its share that it may save up.
const SHARE_BURST: f64 = 1.0;

/// All teams that were used lately, and requests that wait for an answer.
#[derive(Debug, Default)]
pub struct Quotas {
    used: HashMap<TeamId, Used>,
    /// Teams of which something may be untold: each turn looks at these, and not at all that were used lately.
    fresh: BTreeSet<TeamId>,
    /// Requests that have asked, by ticket.
    pub asking: HashMap<u64, Asking>,
    /// Tickets so far.
    tickets: u64,
    /// Daemons that did not acknowledge what they were told, and until when they are left.
    left: HashMap<SocketAddr, Duration>,
    /// When what is over was last forgotten.
    swept: Duration,
}

/// A request that has asked for its part.
#[derive(Clone, Copy, Debug)]
pub struct Asking {
    /// Which one. It may have ended meanwhile.
    pub request: RequestId,
    /// What it asked for.
    pub amount: u32,
    /// When.
    pub at: Duration,
}

/// What this daemon's callers have taken of one quota.
#[derive(Clone, Debug)]
pub struct Used {
    /// The daemon that counts for all; none while it is this one, or nothing was told.
    pub counter: Option<SocketAddr>,
    /// Rises with each other daemon that counts.
    pub epoch: u32,
    /// Taken since this epoch began, less what was given back.
    pub taken: i64,
    /// The part that is acknowledged.
    pub acknowledged: i64,
    /// When something was taken that isn't told yet.
    pub untold: Option<Duration>,
    /// When it was told last.
    pub told: Duration,
    /// Words since the last acknowledgement.
    pub unheard: u32,
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
    touched: Duration,
}

impl Used {
    fn new(now: Duration) -> Used {
        Used {
            counter: None,
            epoch: 0,
            taken: 0,
            acknowledged: 0,
            untold: None,
            told: Duration::ZERO,
            unheard: 0,
            ask_until: Duration::ZERO,
            full_until: Duration::ZERO,
            passed: 0,
            refused: 0,
            share: Bucket::full(0.0, now),
            touched: now,
        }
    }

    /// Something was taken, or given back.
    pub fn take(&mut self, amount: i64, now: Duration) {
        self.taken += amount;
        self.untold.get_or_insert(now);
    }

    /// A call passes, or is refused.
    pub fn judged(&mut self, amount: u32, passes: bool, now: Duration) {
        self.touched = now;
        self.passed += if passes { u64::from(amount) } else { 0 };
        self.refused += u64::from(!passes);
    }

    /// Takes from this daemon's own share of the quota; false when it is used up. It may be overdrawn once,
    /// or a large request would never pass a small share.
    #[must_use]
    pub fn take_share(&mut self, quota: &Quota, part: f64, amount: u32, now: Duration) -> bool {
        let rate = quota.rate * part;
        self.share.fill(rate, rate * SHARE_BURST, now);
        if self.share.level < 0.0 {
            return false;
        }
        self.share.level -= f64::from(amount);
        true
    }

    /// When this daemon's own share has room again.
    #[must_use]
    pub fn share_opens(&self, quota: &Quota, part: f64) -> Duration {
        let lacking = (-self.share.level).max(0.0) / (quota.rate * part).max(f64::EPSILON);
        Duration::try_from_secs_f64(lacking).unwrap_or(FORGET).min(FORGET)
    }

    /// Another daemon counts from now on. It is told what the one before has not acknowledged.
    pub fn count_at(&mut self, counter: Option<SocketAddr>) {
        self.counter = counter;
        self.epoch = self.epoch.wrapping_add(1);
        self.taken -= self.acknowledged;
        self.acknowledged = 0;
        self.unheard = 0;
        self.told = Duration::ZERO;
        self.full_until = Duration::ZERO;
    }

    /// A sum was acknowledged.
    pub fn acknowledge(&mut self, epoch: u32, taken: i64, now: Duration) {
        if epoch != self.epoch {
            return;
        }
        self.unheard = 0;
        self.acknowledged = taken;
        self.untold = self.untold.filter(|_| taken != self.taken).map(|_| now);
    }

    /// A word goes out to the daemon that counts. Several at once count as one.
    pub fn tell(&mut self, now: Duration) {
        if self.unheard == 0 || self.told + TELL_AGAIN <= now {
            self.unheard += 1;
            self.told = now;
        }
    }

    /// When it is told next.
    fn due(&self) -> Option<Duration> {
        let first = self.untold? + TELL_AFTER;
        Some(if self.unheard == 0 { first } else { first.max(self.told + TELL_AGAIN) })
    }

    /// The daemon that counts may not hear, or not be heard: what is taken on trust now may never be counted.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        1 < self.unheard
    }

    /// The daemon that counts doesn't hear, or isn't heard.
    #[must_use]
    pub fn is_unheard(&self) -> bool {
        MOST_UNHEARD <= self.unheard
    }
}

impl Quotas {
    /// A team's use.
    pub fn used(&mut self, team: TeamId, now: Duration) -> &mut Used {
        self.fresh.insert(team);
        self.used.entry(team).or_insert_with(|| Used::new(now))
    }

    /// A ticket for a request that asks.
    pub fn ticket(&mut self, asking: Asking) -> u64 {
        self.tickets += 1;
        self.asking.insert(self.tickets, asking);
        self.tickets
    }

    /// Teams of which something is to be told now.
    pub fn to_tell(&mut self, now: Duration) -> Vec<TeamId> {
        let used = &self.used;
        self.fresh.retain(|team| used.get(team).is_some_and(|used| used.untold.is_some()));
        let due = |team: &&TeamId| used.get(team).and_then(Used::due).is_some_and(|at| at <= now);
        self.fresh.iter().filter(due).copied().collect()
    }

    /// When something is to be told next.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.fresh.iter().filter_map(|team| self.used.get(team)?.due()).min()
    }

    /// Leaves a daemon that doesn't answer.
    pub fn leave(&mut self, counter: SocketAddr, now: Duration) {
        self.left.insert(counter, now + LEFT_FOR);
    }

    /// A daemon is left for not answering.
    #[must_use]
    pub fn has_left(&self, counter: &SocketAddr, now: Duration) -> bool {
        self.left.get(counter).is_some_and(|until| now < *until)
    }

    /// Some daemon is left for not answering.
    #[must_use]
    pub fn leaves_any(&self, now: Duration) -> bool {
        self.left.values().any(|until| now < *until)
    }

    /// What teams use through this daemon, the most first.
    #[must_use]
    pub fn most_used(&self, count: usize) -> Vec<(TeamId, &Used)> {
        let mut all: Vec<_> = self.used.iter().map(|(team, used)| (*team, used)).collect();
        all.sort_unstable_by_key(|(team, used)| (std::cmp::Reverse(used.passed), *team));
        all.truncate(count);
        all
    }

    /// Forgets what is over, now and then; true if it did.
    pub fn forget(&mut self, now: Duration) -> bool {
        if now < self.swept + SWEEP {
            return false;
        }
        self.swept = now;
        self.left.retain(|_, until| now < *until);
        self.asking.retain(|_, asking| now < asking.at + FORGET);
        self.used.retain(|_, used| used.untold.is_some() || now < used.touched + FORGET);
        true
    }
}
