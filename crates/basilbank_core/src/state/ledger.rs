//! The slots of one endpoint, as its steward knows them.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use crate::{
    ids::{EndpointId, EntryId, VmId},
    state::{SlotKey, Waiter, Waiting},
};

/// How long the ends of leases are remembered, to be compared with late reports.
const REMEMBER: Duration = Duration::from_secs(3);

/// Without a late reservation for this long, it is not known any more how long one would wait.
const LATE_PAUSE: Duration = Duration::from_secs(5);

/// Leases that end well before one more extra slot is tried again.
const REGAIN: u32 = 200;

/// How long a stalled transfer speaks against an endpoint.
const STALL_MEMORY: Duration = Duration::from_secs(5);

/// How long before a prefill endpoint has done its work it is given more: the grant and the call
/// take this long to reach it.
const AHEAD: Duration = Duration::from_millis(20);

/// KV caches that wait for the link of a prefill endpoint wait no longer than about this.
const LINK_AHEAD: Duration = Duration::from_millis(150);

/// A slot that is leased to a daemon.
#[derive(Clone, PartialEq, Debug)]
pub struct Lease {
    /// The holder.
    pub vm: VmId,
    /// The entry whose share it uses.
    pub entry: EntryId,
    /// Tokens expected to be held.
    pub tokens: u32,
    /// Tokens whose KV cache leaves the endpoint afterwards.
    pub sent: u32,
    /// When it was granted or adopted.
    pub since: Duration,
    /// When it ends unless it is renewed.
    pub until: Duration,
    /// When its prefill should be done.
    pub done: Duration,
    /// Its entry was above its owed share.
    pub lent: bool,
    /// When the holder was last told to give it back.
    pub preempted: Option<Duration>,
}

/// What a steward that is new to an endpoint still has to hear.
#[derive(Clone, PartialEq, Debug)]
pub struct Learning {
    /// Peers that have not told what they hold.
    pub missing: BTreeSet<VmId>,
    /// The endpoint has not reported yet.
    pub unread: bool,
    /// When it stops waiting for them.
    pub until: Duration,
}

/// What the endpoint itself reported.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Seen {
    /// Requests running.
    pub running: u32,
    /// When that was so.
    pub at: Duration,
}

/// The slots of one endpoint.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Ledger {
    /// Slots that the endpoint has.
    pub slots: u32,
    /// Of these, slots that the endpoint does not have: what they are granted for waits at its door.
    pub extra: u32,
    /// Of the extra slots, those that are not granted because it refused work as full.
    pub cut: u32,
    /// Leases that ended since it last did, or since one was granted again.
    pub served: u32,
    /// Its work can go on elsewhere, so that slots can be taken back: it is a decode endpoint.
    pub resumable: bool,
    /// Tokens a second of a prefill endpoint; 0 elsewhere.
    pub rate: f64,
    /// Until when the prefills that were granted keep the endpoint busy.
    pub busy: Duration,
    /// Tokens a second that its link carries; 0 when that is not known.
    pub link_rate: f64,
    /// Until when the KV caches of granted prefills keep its link busy.
    pub link_busy: Duration,
    /// The latest moment for which a timer is set.
    pub alarm: Duration,
    /// Leases.
    pub leases: BTreeMap<SlotKey, Lease>,
    /// Reservations that wait.
    pub waiting: Waiting,
    /// Leases of each entry.
    pub used: BTreeMap<EntryId, u32>,
    /// Set while this steward is new.
    pub learning: Option<Learning>,
    /// The endpoint's last report.
    pub seen: Option<Seen>,
    /// Slots in use that no daemon is known to hold.
    pub foreign: u32,
    /// Transfers that stalled lately: when, for whom, and with which other endpoint.
    pub stalls: Vec<(Duration, VmId, EndpointId)>,
    /// When leases ended lately, oldest first.
    pub ended: VecDeque<Duration>,
    /// Mean time between two slots' coming free, while some wait.
    pub pace: Option<Duration>,
    /// When a late reservation was last granted; or when the first one came.
    pub late_served: Duration,
    /// When a late reservation last waited or was denied.
    pub late_asked: Duration,
    /// When a slot last came free or a reservation was last withdrawn.
    pub moved: Duration,
}

impl Ledger {
    /// Slots that can be granted now.
    #[must_use]
    pub fn free(&self) -> u32 {
        let held = self.leases.len() as u32;
        if self.learning.is_none() {
            return self.slots.saturating_sub(held + self.foreign + self.cut);
        }
        // What others hold is not known yet: only what the endpoint's own report proves free is
        // granted, less what was granted since then.
        let Some(seen) = self.seen else { return 0 };
        let since = self.leases.values().filter(|l| seen.at < l.since).count() as u32;
        self.slots.saturating_sub((seen.running + since).max(held))
    }

    /// Ends the learning when all has been heard.
    pub fn learned(&mut self) {
        if self.learning.as_ref().is_some_and(|l| l.missing.is_empty() && !l.unread) {
            self.learning = None;
        }
    }

    /// When a prefill endpoint that has free slots may get its next prefill.
    ///
    /// It computes one prompt after the other however many it takes, so what it is given early waits
    /// there, while another endpoint may come free first. It gets the next one just before it has
    /// done all others, and not before its link can carry the KV cache off soon: prompts whose prefix
    /// is cached are computed faster than they are sent, and what waits for the link is evicted.
    #[must_use]
    pub fn ready_at(&self) -> Duration {
        let work = if self.leases.is_empty() { Duration::ZERO } else { self.busy };
        work.saturating_sub(AHEAD).max(self.link_busy.saturating_sub(LINK_AHEAD))
    }

    /// Adds or renews a lease.
    pub fn lease(&mut self, key: SlotKey, mut lease: Lease) {
        let entry = lease.entry;
        self.busy = self.busy.max(lease.since) + self.work(&lease);
        self.link_busy = self.link_busy.max(self.busy) + self.sending(&lease);
        lease.done = self.busy;
        if self.leases.insert(key, lease).is_none() {
            *self.used.entry(entry).or_default() += 1;
        }
    }

    /// Notes that a late reservation waits or was denied.
    pub fn note_late(&mut self, now: Duration) {
        if self.late_asked + LATE_PAUSE < now {
            self.late_served = now;
        }
        self.late_asked = now;
    }

    /// How long none of the late reservations that came was granted.
    #[must_use]
    pub fn drought(&self, now: Duration) -> Duration {
        if self.late_asked + LATE_PAUSE < now {
            return Duration::ZERO;
        }
        now.saturating_sub(self.late_served)
    }

    /// How long a new reservation would wait behind all others.
    #[must_use]
    pub fn behind(&self, now: Duration) -> Duration {
        let pace = self.pace.unwrap_or_default();
        (pace * (1 + self.waiting.len() as u32)).max(self.drought(now))
    }

    /// Adds a reservation that waits.
    pub fn wait(&mut self, waiter: Waiter, now: Duration) {
        if self.waiting.is_empty() {
            self.moved = now;
        }
        self.waiting.insert(waiter, now);
    }

    /// Ends a lease.
    pub fn end(&mut self, key: SlotKey, now: Duration) -> Option<Lease> {
        let lease = self.leases.remove(&key)?;
        self.ended.push_back(now);
        self.recount(now);
        while self.ended.front().is_some_and(|at| *at + REMEMBER < now) {
            self.ended.pop_front();
        }
        if let Some(used) = self.used.get_mut(&lease.entry) {
            *used -= 1;
            if *used == 0 {
                self.used.remove(&lease.entry);
            }
        }
        Some(lease)
    }

    /// The endpoint refused work as full for which a slot was granted.
    ///
    /// Either it has no place at its door for extra work, or it runs something that no daemon is known
    /// to hold: then the next report says how much.
    pub fn note_full(&mut self) {
        if self.cut < self.extra {
            self.cut += 1;
            self.served = 0;
        } else if self.extra == 0 {
            self.foreign += 1;
        }
    }

    /// A lease ended well.
    pub fn note_served(&mut self) {
        self.served += 1;
        if REGAIN <= self.served {
            self.cut = self.cut.saturating_sub(1);
            self.served = 0;
        }
    }

    /// Notes a stalled transfer. Whether the endpoint should rest: transfers have stalled with several
    /// others, for several daemons unless there are few.
    pub fn note_stall(&mut self, now: Duration, vm: VmId, other: EndpointId, few: bool) -> bool {
        self.stalls.retain(|(at, _, _)| now < *at + STALL_MEMORY);
        self.stalls.push((now, vm, other));
        let rests = self.stalls.iter().any(|(_, _, o)| *o != other)
            && (few || self.stalls.iter().any(|(_, v, _)| *v != vm));
        if rests {
            self.stalls.clear();
        }
        rests
    }

    /// Computing that a prefill takes.
    fn work(&self, lease: &Lease) -> Duration {
        over(lease.tokens, self.rate)
    }

    /// Time that its KV cache takes on the link.
    fn sending(&self, lease: &Lease) -> Duration {
        over(lease.sent, self.link_rate)
    }

    /// Works out anew what the leases that are left keep busy.
    ///
    /// A lease may end unused, as its request got another slot first, or earlier than was thought.
    /// Were its time still counted, the endpoint would be given nothing for as long and lie idle.
    fn recount(&mut self, now: Duration) {
        let mut left: Vec<_> = self.leases.values().map(|l| (l.since, l.done, l)).collect();
        left.sort_unstable_by_key(|(since, done, _)| (*since, *done));
        let (mut busy, mut link_busy) = (now, now);
        for (_, done, lease) in left {
            busy += self.work(lease).min(done.saturating_sub(now));
            link_busy = link_busy.max(busy) + self.sending(lease);
        }
        (self.busy, self.link_busy) = (busy, link_busy);
    }

    /// Leases that ended after a moment that is not long ago.
    #[must_use]
    pub fn ended_since(&self, at: Duration) -> u32 {
        self.ended.iter().filter(|ended| at <= **ended).count() as u32
    }

    /// Mean time between two ends of leases lately.
    #[must_use]
    pub fn interval(&self, now: Duration) -> Duration {
        REMEMBER / self.ended_since(now.saturating_sub(REMEMBER)).max(1)
    }

    /// Leases of an entry.
    #[must_use]
    pub fn used_by(&self, entry: EntryId) -> u32 {
        self.used.get(&entry).copied().unwrap_or_default()
    }

    /// Notes that a slot came free or that a reservation was withdrawn, for `pace`.
    pub fn note_move(&mut self, now: Duration) {
        const WEIGHT: u32 = 8;
        const LONGEST: Duration = Duration::from_secs(5);
        let gap = now.saturating_sub(self.moved).min(LONGEST);
        self.moved = now;
        self.pace = Some(match self.pace {
            Some(pace) => (pace * (WEIGHT - 1) + gap) / WEIGHT,
            None => gap,
        });
    }
}

/// The time that tokens take at a rate; none where the rate is not known.
fn over(tokens: u32, rate: f64) -> Duration {
    if 0.0 < rate { Duration::from_secs_f64(f64::from(tokens) / rate) } else { Duration::ZERO }
}
