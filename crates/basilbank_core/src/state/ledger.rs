//! The slots of one endpoint, as its steward knows them.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use crate::{
    ids::{EndpointId, EntryId, VmId},
    state::{SlotKey, WaitQueue, Waiter},
};

/// How long the ends of leases are remembered, to be compared with late reports.
const LEASE_END_RETENTION: Duration = Duration::from_secs(3);

/// Without a late reservation for this long, it is not known any more how long one would wait.
const LATE_WINDOW: Duration = Duration::from_secs(5);

/// Leases that end well before one more extra slot is tried again.
const LEASES_TO_REGAIN_SLOT: u32 = 200;

/// How long a stalled transfer speaks against an endpoint.
const STALL_WINDOW: Duration = Duration::from_secs(5);

/// How long before a prefill endpoint has done its work it is given more: the grant and the call
/// take this long to reach it.
const PREFILL_GRANT_LEAD: Duration = Duration::from_millis(20);

/// KV caches that wait for the link of a prefill endpoint wait no longer than about this.
const MAX_LINK_WAIT: Duration = Duration::from_millis(150);

/// A slot that is leased to a daemon.
#[derive(Clone, PartialEq, Debug)]
pub struct SlotLease {
    /// The holder.
    pub vm: VmId,
    /// The entry whose share it uses.
    pub entry: EntryId,
    /// Tokens expected to be held.
    pub tokens: u32,
    /// Tokens whose KV cache leaves the endpoint afterwards.
    pub transfer_tokens: u32,
    /// When it was granted or adopted.
    pub granted_at: Duration,
    /// When it ends unless it is renewed.
    pub expires_at: Duration,
    /// When its prefill should be done.
    pub done_at: Duration,
    /// Its entry was above its owed share.
    pub lent: bool,
    /// When the holder was last told to give it back.
    pub preempted_at: Option<Duration>,
}

/// What a steward that is new to an endpoint still has to hear.
#[derive(Clone, PartialEq, Debug)]
pub struct Rebuild {
    /// Peers that have not told what they hold.
    pub missing: BTreeSet<VmId>,
    /// The endpoint has not reported yet.
    pub needs_report: bool,
    /// When it stops waiting for them.
    pub deadline: Duration,
}

/// What the endpoint itself reported.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ReportedLoad {
    /// Requests running.
    pub running: u32,
    /// When that was so.
    pub measured_at: Duration,
}

/// The slots of one endpoint.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Ledger {
    /// Slots that the endpoint has.
    pub slots: u32,
    /// Of these, slots that the endpoint does not have: what they are granted for waits at its door.
    pub extra_slots: u32,
    /// Of the extra slots, those that are not granted because it refused work as full.
    pub withheld: u32,
    /// Leases that ended since it last did, or since one was granted again.
    pub served_leases: u32,
    /// Its work can go on elsewhere, so that slots can be taken back: it is a decode endpoint.
    pub resumable: bool,
    /// Tokens a second of a prefill endpoint; 0 elsewhere.
    pub prefill_rate: f64,
    /// Until when the prefills that were granted keep the endpoint busy.
    pub busy_until: Duration,
    /// Tokens a second that its link carries; 0 when that is not known.
    pub link_rate: f64,
    /// Until when the KV caches of granted prefills keep its link busy.
    pub link_busy_until: Duration,
    /// The latest moment for which a timer is set.
    pub timer_at: Duration,
    /// Leases.
    pub leases: BTreeMap<SlotKey, SlotLease>,
    /// Reservations that wait.
    pub waiting: WaitQueue,
    /// Leases of each entry.
    pub used_slots: BTreeMap<EntryId, u32>,
    /// Set while this steward is new.
    pub rebuild: Option<Rebuild>,
    /// The endpoint's last report.
    pub reported_load: Option<ReportedLoad>,
    /// Slots in use that no daemon is known to hold.
    pub unaccounted: u32,
    /// Transfers that stalled lately: when, for whom, and with which other endpoint.
    pub stalls: Vec<(Duration, VmId, EndpointId)>,
    /// When leases ended lately, oldest first.
    pub lease_ends: VecDeque<Duration>,
    /// Mean time between two slots' coming free, while some wait.
    pub slot_interval: Option<Duration>,
    /// When a late reservation was last granted; or when the first one came.
    pub late_granted: Duration,
    /// When a late reservation last waited or was denied.
    pub late_requested: Duration,
    /// When a slot last came free or a reservation was last withdrawn.
    pub last_change: Duration,
}

impl Ledger {
    /// Slots that can be granted now.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        let held = self.leases.len() as u32;
        if self.rebuild.is_none() {
            return self.slots.saturating_sub(held + self.unaccounted + self.withheld);
        }
        // What others hold is not known yet: only what the endpoint's own report proves free is
        // granted, less what was granted since then.
        let Some(seen) = self.reported_load else { return 0 };
        let since = self.leases.values().filter(|l| seen.measured_at < l.granted_at).count() as u32;
        self.slots.saturating_sub((seen.running + since).max(held))
    }

    /// Ends the learning when all has been heard.
    pub fn finish_rebuild(&mut self) {
        if self.rebuild.as_ref().is_some_and(|l| l.missing.is_empty() && !l.needs_report) {
            self.rebuild = None;
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
        let work = if self.leases.is_empty() { Duration::ZERO } else { self.busy_until };
        work.saturating_sub(PREFILL_GRANT_LEAD)
            .max(self.link_busy_until.saturating_sub(MAX_LINK_WAIT))
    }

    /// Adds or renews a lease.
    pub fn add_lease(&mut self, key: SlotKey, mut lease: SlotLease) {
        let entry = lease.entry;
        self.busy_until = self.busy_until.max(lease.granted_at) + self.prefill_time(&lease);
        self.link_busy_until =
            self.link_busy_until.max(self.busy_until) + self.transfer_time(&lease);
        lease.done_at = self.busy_until;
        if self.leases.insert(key, lease).is_none() {
            *self.used_slots.entry(entry).or_default() += 1;
        }
    }

    /// Notes that a late reservation waits or was denied.
    pub fn record_late_wait(&mut self, now: Duration) {
        if self.late_requested + LATE_WINDOW < now {
            self.late_granted = now;
        }
        self.late_requested = now;
    }

    /// How long none of the late reservations that came was granted.
    #[must_use]
    pub fn late_wait(&self, now: Duration) -> Duration {
        if self.late_requested + LATE_WINDOW < now {
            return Duration::ZERO;
        }
        now.saturating_sub(self.late_granted)
    }

    /// How long a new reservation would wait behind all others.
    #[must_use]
    pub fn expected_wait(&self, now: Duration) -> Duration {
        let pace = self.slot_interval.unwrap_or_default();
        (pace * (1 + self.waiting.len() as u32)).max(self.late_wait(now))
    }

    /// Adds a reservation that waits.
    pub fn enqueue(&mut self, waiter: Waiter, now: Duration) {
        if self.waiting.is_empty() {
            self.last_change = now;
        }
        self.waiting.insert(waiter, now);
    }

    /// Ends a lease.
    pub fn end_lease(&mut self, key: SlotKey, now: Duration) -> Option<SlotLease> {
        let lease = self.leases.remove(&key)?;
        self.lease_ends.push_back(now);
        self.recompute_busy(now);
        while self.lease_ends.front().is_some_and(|at| *at + LEASE_END_RETENTION < now) {
            self.lease_ends.pop_front();
        }
        if let Some(used) = self.used_slots.get_mut(&lease.entry) {
            *used -= 1;
            if *used == 0 {
                self.used_slots.remove(&lease.entry);
            }
        }
        Some(lease)
    }

    /// The endpoint refused work as full for which a slot was granted.
    ///
    /// Either it has no place at its door for extra work, or it runs something that no daemon is known
    /// to hold: then the next report says how much.
    pub fn record_full(&mut self) {
        if self.withheld < self.extra_slots {
            self.withheld += 1;
            self.served_leases = 0;
        } else if self.extra_slots == 0 {
            self.unaccounted += 1;
        }
    }

    /// A lease ended well.
    pub fn record_served(&mut self) {
        self.served_leases += 1;
        if LEASES_TO_REGAIN_SLOT <= self.served_leases {
            self.withheld = self.withheld.saturating_sub(1);
            self.served_leases = 0;
        }
    }

    /// Notes a stalled transfer. Whether the endpoint should rest: transfers have stalled with several
    /// others, for several daemons unless there are few.
    pub fn record_stall(
        &mut self,
        now: Duration,
        vm: VmId,
        other: EndpointId,
        is_small_fleet: bool,
    ) -> bool {
        self.stalls.retain(|(at, _, _)| now < *at + STALL_WINDOW);
        self.stalls.push((now, vm, other));
        let should_exclude = self.stalls.iter().any(|(_, _, o)| *o != other)
            && (is_small_fleet || self.stalls.iter().any(|(_, v, _)| *v != vm));
        if should_exclude {
            self.stalls.clear();
        }
        should_exclude
    }

    /// Computing that a prefill takes.
    fn prefill_time(&self, lease: &SlotLease) -> Duration {
        time_at_rate(lease.tokens, self.prefill_rate)
    }

    /// Time that its KV cache takes on the link.
    fn transfer_time(&self, lease: &SlotLease) -> Duration {
        time_at_rate(lease.transfer_tokens, self.link_rate)
    }

    /// Works out anew what the leases that are left keep busy.
    ///
    /// A lease may end unused, as its request got another slot first, or earlier than was thought.
    /// Were its time still counted, the endpoint would be given nothing for as long and lie idle.
    fn recompute_busy(&mut self, now: Duration) {
        let mut remaining: Vec<_> =
            self.leases.values().map(|l| (l.granted_at, l.done_at, l)).collect();
        remaining.sort_unstable_by_key(|(since, done, _)| (*since, *done));
        let (mut busy, mut link_busy) = (now, now);
        for (_, done, lease) in remaining {
            busy += self.prefill_time(lease).min(done.saturating_sub(now));
            link_busy = link_busy.max(busy) + self.transfer_time(lease);
        }
        (self.busy_until, self.link_busy_until) = (busy, link_busy);
    }

    /// Leases that ended after a moment that is not long ago.
    #[must_use]
    pub fn leases_ended_since(&self, at: Duration) -> u32 {
        self.lease_ends.iter().filter(|ended| at <= **ended).count() as u32
    }

    /// Mean time between two ends of leases lately.
    #[must_use]
    pub fn lease_end_interval(&self, now: Duration) -> Duration {
        LEASE_END_RETENTION
            / self.leases_ended_since(now.saturating_sub(LEASE_END_RETENTION)).max(1)
    }

    /// Leases of an entry.
    #[must_use]
    pub fn slots_used_by(&self, entry: EntryId) -> u32 {
        self.used_slots.get(&entry).copied().unwrap_or_default()
    }

    /// Notes that a slot came free or that a reservation was withdrawn, for `pace`.
    pub fn record_change(&mut self, now: Duration) {
        const MEAN_WEIGHT: u32 = 8;
        const MAX_GAP: Duration = Duration::from_secs(5);
        let gap = now.saturating_sub(self.last_change).min(MAX_GAP);
        self.last_change = now;
        self.slot_interval = Some(match self.slot_interval {
            Some(pace) => (pace * (MEAN_WEIGHT - 1) + gap) / MEAN_WEIGHT,
            None => gap,
        });
    }
}

/// The time that tokens take at a rate; none where the rate is not known.
fn time_at_rate(tokens: u32, rate: f64) -> Duration {
    if 0.0 < rate { Duration::from_secs_f64(f64::from(tokens) / rate) } else { Duration::ZERO }
}
