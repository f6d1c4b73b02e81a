//! The slots of one endpoint, as its owner accounts for them.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use crate::{
    ids::{EndpointId, EntryId, VmId},
    state::{SlotKey, WaitQueue, Waiter},
};

/// How long the ends of leases are kept, to be compared with load reports that arrive late.
const LEASE_END_RETENTION: Duration = Duration::from_secs(3);

/// If no late reservation came for this long, the time that one would wait is unknown.
const LATE_WINDOW: Duration = Duration::from_secs(5);

/// Number of leases that must end successfully before a withheld extra slot is granted again.
const LEASES_TO_REGAIN_SLOT: u32 = 200;

/// How long a stalled transfer counts against an endpoint.
const STALL_WINDOW: Duration = Duration::from_secs(5);

/// How long before a prefill endpoint finishes its work the next slot is granted: the grant and the
/// call take this long to reach it.
const PREFILL_GRANT_LEAD: Duration = Duration::from_millis(20);

/// Maximum time, approximately, that KV caches wait for the network link of a prefill endpoint.
const MAX_LINK_WAIT: Duration = Duration::from_millis(150);

/// A slot that is leased to a daemon.
#[derive(Clone, PartialEq, Debug)]
pub struct SlotLease {
    /// The daemon that holds the slot.
    pub vm: VmId,
    /// The entry whose share of the slots it uses.
    pub entry: EntryId,
    /// Number of tokens that the request is expected to hold.
    pub tokens: u32,
    /// Number of tokens whose KV cache is transferred from the endpoint afterwards.
    pub transfer_tokens: u32,
    /// When it was granted, or adopted from a former owner.
    pub granted_at: Duration,
    /// When it expires unless it is renewed.
    pub expires_at: Duration,
    /// Expected end of its prefill.
    pub done_at: Duration,
    /// Whether its entry held its owed share already when the slot was granted.
    pub lent: bool,
    /// When the holder was last asked to give the slot back.
    pub preempted_at: Option<Duration>,
}

/// Information that a new owner of an endpoint is still missing.
#[derive(Clone, PartialEq, Debug)]
pub struct Rebuild {
    /// Peers that have not reported what they hold.
    pub missing: BTreeSet<VmId>,
    /// Whether the endpoint's load report is missing.
    pub needs_report: bool,
    /// When the owner stops waiting for the rest.
    pub deadline: Duration,
}

/// Load that the endpoint itself reported.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// When the load was measured.
    pub measured_at: Duration,
}

/// The slots of one endpoint, as its owner accounts for them.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Ledger {
    /// Number of slots that may be leased, including extra slots.
    pub slots: u32,
    /// Number of slots in `slots` beyond those that the endpoint has. Calls that get one wait in
    /// the endpoint's own queue.
    pub extra_slots: u32,
    /// Number of extra slots that are not granted because the endpoint refused work as full.
    pub withheld: u32,
    /// Number of leases that ended successfully since the endpoint last refused work as full, or
    /// since the last withheld slot was released.
    pub served_leases: u32,
    /// Whether its work can be resumed at another endpoint, so that slots can be preempted: it is a
    /// decode endpoint.
    pub resumable: bool,
    /// Prefill rate in tokens a second; 0 for other endpoints.
    pub prefill_rate: f64,
    /// Until when the granted prefills keep the endpoint busy.
    pub busy_until: Duration,
    /// Tokens a second whose KV cache its network link transfers; 0 when that is unknown.
    pub link_rate: f64,
    /// Until when the KV caches of granted prefills keep the network link busy.
    pub link_busy_until: Duration,
    /// Latest moment for which a timer was set.
    pub timer_at: Duration,
    /// Leases by slot.
    pub leases: BTreeMap<SlotKey, SlotLease>,
    /// Reservations that wait for a slot.
    pub waiting: WaitQueue,
    /// Number of leases by entry.
    pub used_slots: BTreeMap<EntryId, u32>,
    /// Information that is still missing; set while this daemon is a new owner of the endpoint.
    pub rebuild: Option<Rebuild>,
    /// The endpoint's last load report.
    pub reported_load: Option<ReportedLoad>,
    /// Number of slots in use that no daemon is known to hold.
    pub unaccounted: u32,
    /// Transfers that stalled lately: when, for which daemon, and with which other endpoint.
    pub stalls: Vec<(Duration, VmId, EndpointId)>,
    /// When leases ended lately, oldest first.
    pub lease_ends: VecDeque<Duration>,
    /// Mean time between two slots that come free while reservations wait.
    pub slot_interval: Option<Duration>,
    /// When a late reservation was last granted, or when the first one came.
    pub late_granted: Duration,
    /// When a late reservation last waited or was denied.
    pub late_requested: Duration,
    /// When a slot last came free or a waiting reservation was last withdrawn.
    pub last_change: Duration,
}

impl Ledger {
    /// Returns the number of slots that can be granted now.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        let held = self.leases.len() as u32;
        if self.rebuild.is_none() {
            return self.slots.saturating_sub(held + self.unaccounted + self.withheld);
        }
        // It is unknown what other daemons hold. So only slots that the endpoint's own report shows
        // as free are granted, minus those granted since the report.
        let Some(seen) = self.reported_load else { return 0 };
        let since = self.leases.values().filter(|l| seen.measured_at < l.granted_at).count() as u32;
        self.slots.saturating_sub((seen.running + since).max(held))
    }

    /// Ends the rebuild when no information is missing.
    pub fn finish_rebuild(&mut self) {
        if self.rebuild.as_ref().is_some_and(|l| l.missing.is_empty() && !l.needs_report) {
            self.rebuild = None;
        }
    }

    /// Returns when a prefill endpoint with free slots may get its next prefill.
    ///
    /// The endpoint computes prompts one after the other, however many it accepts. A prompt that is
    /// sent early waits there while another endpoint may become free first. So the next prompt is
    /// sent just before the endpoint finishes its work. Neither is it sent before the network link
    /// can transfer its KV cache soon: prompts with a cached prefix are computed faster than they
    /// are transferred, and a KV cache that waits for the link is evicted.
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

    /// Records that a late reservation waits or was denied.
    pub fn record_late_wait(&mut self, now: Duration) {
        if self.late_requested + LATE_WINDOW < now {
            self.late_granted = now;
        }
        self.late_requested = now;
    }

    /// Returns for how long late reservations have come without one of them being granted.
    #[must_use]
    pub fn late_wait(&self, now: Duration) -> Duration {
        if self.late_requested + LATE_WINDOW < now {
            return Duration::ZERO;
        }
        now.saturating_sub(self.late_granted)
    }

    /// Returns how long a new reservation would wait behind all others.
    #[must_use]
    pub fn expected_wait(&self, now: Duration) -> Duration {
        let interval = self.slot_interval.unwrap_or_default();
        (interval * (1 + self.waiting.len() as u32)).max(self.late_wait(now))
    }

    /// Adds a waiting reservation.
    pub fn enqueue(&mut self, waiter: Waiter, now: Duration) {
        if self.waiting.is_empty() {
            self.last_change = now;
        }
        self.waiting.insert(waiter, now);
    }

    /// Ends a lease and returns it.
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

    /// Records that the endpoint refused work as full although a slot was granted for it.
    ///
    /// Either the endpoint's own queue has no space for extra work, or the endpoint runs something
    /// that no daemon is known to hold. In the second case its next load report says how much.
    pub fn record_full(&mut self) {
        if self.withheld < self.extra_slots {
            self.withheld += 1;
            self.served_leases = 0;
        } else if self.extra_slots == 0 {
            self.unaccounted += 1;
        }
    }

    /// Records that a lease ended successfully.
    pub fn record_served(&mut self) {
        self.served_leases += 1;
        if LEASES_TO_REGAIN_SLOT <= self.served_leases {
            self.withheld = self.withheld.saturating_sub(1);
            self.served_leases = 0;
        }
    }

    /// Records a stalled transfer with another endpoint. Returns whether the endpoint should be
    /// excluded: its transfers have stalled with several other endpoints and, unless the fleet is
    /// too small for that, for several daemons.
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

    /// Returns the time that computing a lease's prefill takes.
    fn prefill_time(&self, lease: &SlotLease) -> Duration {
        time_at_rate(lease.tokens, self.prefill_rate)
    }

    /// Returns the time that the transfer of a lease's KV cache takes.
    fn transfer_time(&self, lease: &SlotLease) -> Duration {
        time_at_rate(lease.transfer_tokens, self.link_rate)
    }

    /// Recomputes until when the remaining leases keep the endpoint and its link busy.
    ///
    /// A lease may end unused because its request got another slot first, or earlier than
    /// estimated. If its time were still counted, the endpoint would get no work for that time and
    /// be idle.
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

    /// Returns the number of leases that ended since a moment within `LEASE_END_RETENTION`.
    #[must_use]
    pub fn leases_ended_since(&self, at: Duration) -> u32 {
        self.lease_ends.iter().filter(|ended| at <= **ended).count() as u32
    }

    /// Returns the recent mean time between the ends of two leases.
    #[must_use]
    pub fn lease_end_interval(&self, now: Duration) -> Duration {
        LEASE_END_RETENTION
            / self.leases_ended_since(now.saturating_sub(LEASE_END_RETENTION)).max(1)
    }

    /// Returns the number of slots that an entry uses.
    #[must_use]
    pub fn slots_used_by(&self, entry: EntryId) -> u32 {
        self.used_slots.get(&entry).copied().unwrap_or_default()
    }

    /// Records that a slot came free or that a reservation was withdrawn, and updates
    /// `slot_interval`.
    pub fn record_change(&mut self, now: Duration) {
        const AVERAGE_WINDOW: u32 = 8;
        const MAX_GAP: Duration = Duration::from_secs(5);
        let gap = now.saturating_sub(self.last_change).min(MAX_GAP);
        self.last_change = now;
        self.slot_interval = Some(match self.slot_interval {
            Some(interval) => (interval * (AVERAGE_WINDOW - 1) + gap) / AVERAGE_WINDOW,
            None => gap,
        });
    }
}

/// Returns the time for a number of tokens at a rate; zero when the rate is unknown.
fn time_at_rate(tokens: u32, rate: f64) -> Duration {
    if 0.0 < rate { Duration::from_secs_f64(f64::from(tokens) / rate) } else { Duration::ZERO }
}
