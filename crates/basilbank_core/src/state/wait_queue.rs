//! Reservations that wait at one endpoint, in one queue for each entry.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    ids::{EntryId, VmId},
    state::SlotKey,
};

/// A prompt that needs this many times less prefill than its length suggests is served before
/// others.
const CACHED_RATIO: u32 = 4;

/// A waiting reservation.
#[derive(Clone, PartialEq, Debug)]
pub struct Waiter {
    /// Identifies the slot that is waited for.
    pub key: SlotKey,
    /// The daemon that waits.
    pub vm: VmId,
    /// The entry whose share of the slots it would use.
    pub entry: EntryId,
    /// Number of tokens that are expected to be held or prefilled.
    pub tokens: u32,
    /// Number of tokens whose KV cache is transferred from the endpoint afterwards.
    pub transfer_tokens: u32,
    /// Latest moment of a grant that still meets the request's target.
    pub due: Duration,
    /// When the reservation is denied if it still waits.
    pub deadline: Duration,
    /// When the reservation arrived.
    pub arrived_at: Duration,
    /// Whether its caller has part of the answer.
    pub begun: bool,
    /// Whether this owner may preempt a slot for it.
    pub can_preempt: bool,
}

/// Groups of one entry's reservations, in the order in which they are served.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum PriorityGroup {
    /// The caller has part of the answer and waits for the rest.
    Begun,
    /// The target can be met, and most of the prompt is cached.
    Cached,
    /// The target can be met.
    InTime,
    /// The target can no longer be met.
    Late,
}

impl PriorityGroup {
    /// All groups, in order.
    pub const ALL: [PriorityGroup; 4] =
        [PriorityGroup::Begun, PriorityGroup::Cached, PriorityGroup::InTime, PriorityGroup::Late];
}

/// Order of a reservation in its group: by its arrival if its caller has part of the answer or its
/// target has passed, otherwise by the time at which it is due; then by sequence.
type OrderKey = (Duration, u64);

/// Waiting reservations of one entry.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct EntryQueue {
    groups: [BTreeMap<OrderKey, Waiter>; PriorityGroup::ALL.len()],
}

/// All reservations that wait at one endpoint.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct WaitQueue {
    queues: BTreeMap<EntryId, EntryQueue>,
    positions: HashMap<SlotKey, (EntryId, PriorityGroup, OrderKey)>,
    sequence: u64,
}

impl WaitQueue {
    /// Adds a reservation or replaces it. A replaced reservation keeps its arrival time.
    pub fn insert(&mut self, mut waiter: Waiter, now: Duration) {
        if let Some(known) = self.remove(waiter.key) {
            waiter.arrived_at = known.arrived_at;
        }
        self.sequence += 1;
        let group = group_of(&waiter, now);
        self.insert_in_group(waiter, group, self.sequence);
    }

    fn insert_in_group(&mut self, waiter: Waiter, group: PriorityGroup, sequence: u64) {
        let at = match group {
            PriorityGroup::Begun | PriorityGroup::Late => waiter.arrived_at,
            PriorityGroup::Cached | PriorityGroup::InTime => waiter.due,
        };
        let order = (at, sequence);
        self.positions.insert(waiter.key, (waiter.entry, group, order));
        let queue = self.queues.entry(waiter.entry).or_default();
        queue.groups[group as usize].insert(order, waiter);
    }

    /// Removes and returns a reservation.
    pub fn remove(&mut self, key: SlotKey) -> Option<Waiter> {
        let (entry, group, order) = self.positions.remove(&key)?;
        let queue = self.queues.get_mut(&entry)?;
        let waiter = queue.groups[group as usize].remove(&order);
        if queue.is_empty() {
            self.queues.remove(&entry);
        }
        waiter
    }

    /// Removes and returns the reservations that `matches` selects, entry by entry in their order.
    /// `matches` gets the group of the reservation and the number of reservations of the same entry
    /// that stay ahead of it.
    pub fn remove_matching(
        &mut self,
        matches: impl Fn(&WaitQueue, &Waiter, PriorityGroup, usize) -> bool,
    ) -> Vec<Waiter> {
        let mut keys = Vec::new();
        for queue in self.queues.values() {
            let mut ahead = 0;
            for (group, waiter) in queue.iter() {
                if matches(self, waiter, group, ahead) {
                    keys.push(waiter.key);
                } else {
                    ahead += 1;
                }
            }
        }
        keys.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Moves reservations whose target has passed behind the others of their entries.
    pub fn demote_late(&mut self, now: Duration) {
        let mut late = Vec::new();
        for queue in self.queues.values() {
            for group in [PriorityGroup::Cached, PriorityGroup::InTime] {
                let passed = queue.groups[group as usize].range(..(now, 0));
                late.extend(passed.map(|(order, waiter)| (waiter.key, order.1)));
            }
        }
        for (key, sequence) in late {
            if let Some(waiter) = self.remove(key) {
                self.insert_in_group(waiter, PriorityGroup::Late, sequence);
            }
        }
    }

    /// Returns the queues by entry.
    pub fn queues(&self) -> impl Iterator<Item = (EntryId, &EntryQueue)> {
        self.queues.iter().map(|(entry, queue)| (*entry, queue))
    }

    /// Returns the group of a reservation, and how many reservations of its entry are ahead of it.
    #[must_use]
    pub fn position(&self, key: SlotKey) -> Option<(PriorityGroup, usize)> {
        let (entry, group, order) = self.positions.get(&key)?;
        let queue = self.queues.get(entry)?;
        let before: usize = queue.groups[..*group as usize].iter().map(BTreeMap::len).sum();
        let in_group = queue.groups[*group as usize].range(..*order).count();
        Some((*group, before + in_group))
    }

    /// Returns a reservation.
    #[must_use]
    pub fn get(&self, key: SlotKey) -> Option<&Waiter> {
        let (entry, group, order) = self.positions.get(&key)?;
        self.queues.get(entry)?.groups[*group as usize].get(order)
    }

    /// Returns the number of reservations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no reservation waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}

impl EntryQueue {
    /// Returns all reservations with their groups, in order.
    pub fn iter(&self) -> impl Iterator<Item = (PriorityGroup, &Waiter)> {
        let each = PriorityGroup::ALL.into_iter().zip(&self.groups);
        each.flat_map(|(group, waiters)| waiters.values().map(move |w| (group, w)))
    }

    /// Returns the first reservation, with its group and the time by which it is ordered within the
    /// group.
    #[must_use]
    pub fn first(&self) -> Option<(PriorityGroup, Duration, &Waiter)> {
        let mut firsts = PriorityGroup::ALL.into_iter().zip(&self.groups);
        firsts.find_map(|(group, w)| w.first_key_value().map(|(order, w)| (group, order.0, w)))
    }

    /// Returns the number of reservations in a group and in those before it.
    #[must_use]
    pub fn count_up_to(&self, group: PriorityGroup) -> usize {
        self.groups[..=group as usize].iter().map(BTreeMap::len).sum()
    }

    /// Whether there are reservations in a group.
    #[must_use]
    pub fn has_group(&self, group: PriorityGroup) -> bool {
        !self.groups[group as usize].is_empty()
    }

    fn is_empty(&self) -> bool {
        self.groups.iter().all(BTreeMap::is_empty)
    }
}

fn group_of(waiter: &Waiter, now: Duration) -> PriorityGroup {
    if waiter.begun {
        PriorityGroup::Begun
    } else if waiter.due < now {
        PriorityGroup::Late
    } else if waiter.tokens.saturating_mul(CACHED_RATIO) <= waiter.transfer_tokens {
        PriorityGroup::Cached
    } else {
        PriorityGroup::InTime
    }
}
