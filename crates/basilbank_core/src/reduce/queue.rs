//! The order in which reservations that wait at one endpoint are served.
//!
//! Entries that hold less than the share they are owed come first. The remaining slots are lent:
//! first to requests that can still meet their target, and among these to the entry that holds the
//! least relative to its share.

use std::time::Duration;

use crate::{
    ids::{EntryId, VmId},
    state::{Ledger, PriorityGroup, SlotKey, SlotLease, View, WaitQueue, Waiter},
    time::Now,
};

/// Minimum share by which an entry is weighted, including an entry that is owed nothing.
const MIN_SHARE: f64 = 0.02;

/// A reservation becomes urgent, so that a slot is taken back for it, after it has waited for this
/// fraction of its time: 1 / `URGENT_WAIT_DIVISOR`.
const URGENT_WAIT_DIVISOR: u32 = 4;
/// Number of mean intervals between the ends of leases within which a lease very likely ends.
const LIKELY_FREE_FACTOR: u32 = 2;
/// Time after which a holder that has not returned a preempted slot is assumed to be unable to, and
/// another holder is asked.
const PREEMPTION_TIMEOUT: Duration = Duration::from_secs(1);

/// The reservation to serve next.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Choice {
    /// Key of the slot.
    pub key: SlotKey,
    /// Whether its entry already holds the share that it is owed, so that the slot is lent.
    pub lent: bool,
    /// Group that the reservation is in.
    pub group: PriorityGroup,
}

/// Sort key of reservations; lower ranks are served first.
#[derive(Clone, Copy, PartialEq, PartialOrd, Debug)]
struct Rank {
    lent: bool,
    group: PriorityGroup,
    /// Used slots relative to the weight of the entry; 0 if the entry holds less than it is owed.
    usage_ratio: f64,
    /// Time at which it is due, or at which it arrived if it is late.
    at: Duration,
}

/// Share of an endpoint's slots that an entry is owed, and how much of it is used.
#[derive(Clone, Copy, PartialEq, Debug)]
struct FairShare {
    /// Number of slots that the entry is owed.
    owed: f64,
    /// Number of slots by which the entry is weighted against others.
    weight: f64,
    /// Number of slots that the entry holds.
    used: f64,
}

impl FairShare {
    fn of(ledger: &Ledger, view: &View, entry: EntryId) -> FairShare {
        let share = view.entry(entry).map_or(0.0, |e| e.limits.owed);
        let slots = f64::from(ledger.slots);
        let weight = share.max(MIN_SHARE) * slots;
        FairShare { owed: share * slots, weight, used: f64::from(ledger.slots_used_by(entry)) }
    }
}

/// Returns the reservation that gets the next free slot.
#[must_use]
pub fn next_reservation(ledger: &mut Ledger, view: &View, now: Now) -> Option<Choice> {
    if ledger.waiting.is_empty() || ledger.free_slots() == 0 || now.mono < ledger.ready_at() {
        return None;
    }
    ledger.waiting.demote_late(now.mono);
    let mut best: Option<(Rank, SlotKey)> = None;
    for (entry, queue) in ledger.waiting.queues() {
        let Some((group, at, waiter)) = queue.first() else { continue };
        let share = FairShare::of(ledger, view, entry);
        let lent = share.owed <= share.used;
        let usage_ratio = if lent { share.used / share.weight } else { 0.0 };
        let rank = Rank { lent, group, usage_ratio, at };
        if best.is_none_or(|(other, _)| rank < other) {
            best = Some((rank, waiter.key));
        }
    }
    best.map(|(rank, key)| Choice { key, lent: rank.lent, group: rank.group })
}

/// Estimates how long a reservation will wait; `None` if there is too little information.
#[must_use]
pub fn estimate_wait(ledger: &Ledger, view: &View, key: SlotKey, now: Now) -> Option<Duration> {
    let waiter = ledger.waiting.get(key)?;
    let (group, ahead) = ledger.waiting.position(key)?;
    let served_before =
        count_served_before(ledger, &ledger.waiting, view, waiter.entry, group, ahead);
    let wait = ledger.slot_interval? * (1 + served_before);
    let late_wait = ledger.late_wait(now.mono);
    Some(if group == PriorityGroup::Late { wait.max(late_wait) } else { wait })
}

/// Removes the reservations that can't be served before their deadlines. Also returns how long a
/// new reservation would wait behind all others.
#[must_use]
pub fn remove_infeasible(ledger: &mut Ledger, view: &View, now: Now) -> (Vec<Waiter>, Duration) {
    let Some(slot_interval) = ledger.slot_interval else { return Default::default() };
    let mut waiting = std::mem::take(&mut ledger.waiting);
    if waiting.queues().any(|(_, queue)| queue.has_group(PriorityGroup::Late)) {
        ledger.record_late_wait(now.mono);
    }
    // Reservations that are in time are served before late ones and keep arriving, so their current
    // number says little about when a late one is served. The time since a late one was last served
    // says more.
    let late_wait = ledger.late_wait(now.mono);
    let infeasible = waiting.remove_matching(|waiting, waiter, group, ahead| {
        let served_before = count_served_before(ledger, waiting, view, waiter.entry, group, ahead);
        let wait = slot_interval * (1 + served_before);
        let wait = if group == PriorityGroup::Late { wait.max(late_wait) } else { wait };
        waiter.deadline < now.mono + wait
    });
    ledger.waiting = waiting;
    (infeasible, ledger.expected_wait(now.mono))
}

/// Returns the leases to take back, with their holders.
///
/// Slots become free all the time, and an entry below its owed share gets the next one. Slots are
/// taken back only if that takes too long because others hold them for long answers. They are taken
/// from the entry that holds the most relative to its share, and from its most recent leases, which
/// lose the least work.
#[must_use]
pub fn select_preemptions(ledger: &mut Ledger, view: &View, now: Now) -> Vec<(SlotKey, VmId)> {
    if !ledger.resumable || 0 < ledger.free_slots() {
        return Vec::new();
    }
    let likely_free_by = now.mono + ledger.lease_end_interval(now.mono) * LIKELY_FREE_FACTOR;
    let urgent: usize = ledger
        .waiting
        .queues()
        .map(|(e, queue)| {
            let share = FairShare::of(ledger, view, e);
            let unused = (share.owed - share.used).max(0.0) as usize;
            queue
                .iter()
                .take(unused)
                .filter(|(group, w)| is_urgent(*group, w, now, likely_free_by))
                .count()
        })
        .sum();
    let is_pending =
        |lease: &SlotLease| lease.preempted_at.is_some_and(|at| now.mono < at + PREEMPTION_TIMEOUT);
    let pending = ledger.leases.values().filter(|lease| is_pending(lease)).count();
    let mut preempted = Vec::new();
    for _ in pending..urgent {
        let Some(key) = select_victim(ledger, view) else { break };
        let Some(lease) = ledger.leases.get_mut(&key) else { break };
        lease.preempted_at = Some(now.mono);
        preempted.push((key, lease.vm));
    }
    preempted
}

/// Returns whether a slot is taken back for a reservation: it has used up much of its time, and it
/// is due before a slot is likely to become free.
fn is_urgent(group: PriorityGroup, waiter: &Waiter, now: Now, likely_free_by: Duration) -> bool {
    let min_wait = waiter.due.saturating_sub(waiter.arrived_at) / URGENT_WAIT_DIVISOR;
    let has_waited = waiter.arrived_at + min_wait <= now.mono;
    group != PriorityGroup::Late && waiter.can_preempt && has_waited && waiter.due < likely_free_by
}

fn select_victim(ledger: &Ledger, view: &View) -> Option<SlotKey> {
    let over_share = |entry: EntryId| {
        let share = FairShare::of(ledger, view, entry);
        let preempted =
            ledger.leases.values().filter(|l| l.entry == entry && l.preempted_at.is_some());
        let used = share.used - preempted.count() as f64;
        (share.owed + 1.0 <= used).then_some(used / share.weight)
    };
    let candidates =
        ledger.used_slots.keys().filter_map(|entry| Some((over_share(*entry)?, *entry)));
    let (_, entry) = candidates.max_by(|a, b| a.partial_cmp(b).expect("no NaN"))?;
    let of_entry =
        ledger.leases.iter().filter(|(_, l)| l.entry == entry && l.preempted_at.is_none());
    of_entry.max_by_key(|(key, l)| (l.granted_at, **key)).map(|(key, _)| *key)
}

/// Returns the number of reservations that are served before one that has `ahead` reservations of
/// its own entry before it.
///
/// Entries take turns according to the slots they hold relative to their shares. Of each other
/// entry, only as many reservations count as bring it to the same ratio.
fn count_served_before(
    ledger: &Ledger,
    waiting: &WaitQueue,
    view: &View,
    entry: EntryId,
    group: PriorityGroup,
    ahead: usize,
) -> u32 {
    let share = FairShare::of(ledger, view, entry);
    let used = share.used + ahead as f64;
    if used < share.owed {
        return ahead as u32;
    }
    let usage_ratio = used / share.weight;
    let others = waiting.queues().filter(|(other, _)| *other != entry);
    let served = others.map(|(other, queue)| {
        let share = FairShare::of(ledger, view, other);
        let served = (usage_ratio * share.weight - share.used).ceil().max(0.0);
        served.min(queue.count_up_to(group) as f64)
    });
    ahead as u32 + served.sum::<f64>() as u32
}
