//! Reservations that wait at one endpoint, by entry and in the order in which each entry's are served.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    ids::{EntryId, VmId},
    state::SlotKey,
};

/// A prompt that takes this many times less prefill than its length says goes before others.
const CACHED_RATIO: u32 = 4;

/// A reservation that waits.
#[derive(Clone, PartialEq, Debug)]
pub struct Waiter {
    /// The slot's name.
    pub key: SlotKey,
    /// Who waits.
    pub vm: VmId,
    /// The entry whose share it would use.
    pub entry: EntryId,
    /// Tokens expected to be held.
    pub tokens: u32,
    /// Tokens whose KV cache leaves the endpoint afterwards.
    pub transfer_tokens: u32,
    /// The grant that comes later than this misses the request's target.
    pub due: Duration,
    /// When it has waited long enough.
    pub deadline: Duration,
    /// When it came.
    pub arrived_at: Duration,
    /// Its caller has part of the answer.
    pub begun: bool,
    /// This steward may take a slot back for it.
    pub can_preempt: bool,
}

/// Groups of one entry's reservations; earlier ones are served first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Group {
    /// The caller has part of the answer and waits for the rest.
    Begun,
    /// In time, and most of the prompt is cached.
    Cached,
    /// In time.
    InTime,
    /// The target can't be met any more.
    Late,
}

impl Group {
    /// All of them, in order.
    pub const ALL: [Group; 4] = [Group::Begun, Group::Cached, Group::InTime, Group::Late];
}

/// A reservation's place in its group: when it is due, or when it came if it is late; then by arrival.
type OrderKey = (Duration, u64);

/// One entry's reservations.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct EntryQueue {
    groups: [BTreeMap<OrderKey, Waiter>; Group::ALL.len()],
}

/// All reservations that wait at one endpoint.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct WaitQueue {
    queues: BTreeMap<EntryId, EntryQueue>,
    positions: HashMap<SlotKey, (EntryId, Group, OrderKey)>,
    sequence: u64,
}

impl WaitQueue {
    /// Adds a reservation, or replaces what was known of it.
    pub fn insert(&mut self, mut waiter: Waiter, now: Duration) {
        if let Some(known) = self.remove(waiter.key) {
            waiter.arrived_at = known.arrived_at;
        }
        self.sequence += 1;
        let group = group_of(&waiter, now);
        self.insert_in_group(waiter, group, self.sequence);
    }

    fn insert_in_group(&mut self, waiter: Waiter, group: Group, sequence: u64) {
        let at = match group {
            Group::Begun | Group::Late => waiter.arrived_at,
            Group::Cached | Group::InTime => waiter.due,
        };
        let order = (at, sequence);
        self.positions.insert(waiter.key, (waiter.entry, group, order));
        let queue = self.queues.entry(waiter.entry).or_default();
        queue.groups[group as usize].insert(order, waiter);
    }

    /// Takes a reservation out.
    pub fn remove(&mut self, key: SlotKey) -> Option<Waiter> {
        let (entry, group, order) = self.positions.remove(&key)?;
        let queue = self.queues.get_mut(&entry)?;
        let waiter = queue.groups[group as usize].remove(&order);
        if queue.is_empty() {
            self.queues.remove(&entry);
        }
        waiter
    }

    /// Takes those out that a test picks, entry by entry in their order. The test is told the group
    /// and how many of the entry's own are ahead.
    pub fn remove_matching(
        &mut self,
        matches: impl Fn(&WaitQueue, &Waiter, Group, usize) -> bool,
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

    /// Puts those whose target has passed behind the others of their entries.
    pub fn demote_late(&mut self, now: Duration) {
        let mut late = Vec::new();
        for queue in self.queues.values() {
            for group in [Group::Cached, Group::InTime] {
                let passed = queue.groups[group as usize].range(..(now, 0));
                late.extend(passed.map(|(order, waiter)| (waiter.key, order.1)));
            }
        }
        for (key, sequence) in late {
            if let Some(waiter) = self.remove(key) {
                self.insert_in_group(waiter, Group::Late, sequence);
            }
        }
    }

    /// The entries that wait.
    pub fn queues(&self) -> impl Iterator<Item = (EntryId, &EntryQueue)> {
        self.queues.iter().map(|(entry, queue)| (*entry, queue))
    }

    /// How many of its own entry's a reservation would have ahead of it, and its group.
    #[must_use]
    pub fn position(&self, key: SlotKey) -> Option<(Group, usize)> {
        let (entry, group, order) = self.positions.get(&key)?;
        let queue = self.queues.get(entry)?;
        let before: usize = queue.groups[..*group as usize].iter().map(BTreeMap::len).sum();
        let in_group = queue.groups[*group as usize].range(..*order).count();
        Some((*group, before + in_group))
    }

    /// A reservation.
    #[must_use]
    pub fn get(&self, key: SlotKey) -> Option<&Waiter> {
        let (entry, group, order) = self.positions.get(&key)?;
        self.queues.get(entry)?.groups[*group as usize].get(order)
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}

impl EntryQueue {
    /// All of them, in order.
    pub fn iter(&self) -> impl Iterator<Item = (Group, &Waiter)> {
        let each = Group::ALL.into_iter().zip(&self.groups);
        each.flat_map(|(group, waiters)| waiters.values().map(move |w| (group, w)))
    }

    /// The first one, and what it is ordered by within its group.
    #[must_use]
    pub fn first(&self) -> Option<(Group, Duration, &Waiter)> {
        let mut firsts = Group::ALL.into_iter().zip(&self.groups);
        firsts.find_map(|(group, w)| w.first_key_value().map(|(order, w)| (group, order.0, w)))
    }

    /// How many are in a group or in one before it.
    #[must_use]
    pub fn count_up_to(&self, group: Group) -> usize {
        self.groups[..=group as usize].iter().map(BTreeMap::len).sum()
    }

    /// Whether there are any in a group.
    #[must_use]
    pub fn has_group(&self, group: Group) -> bool {
        !self.groups[group as usize].is_empty()
    }

    fn is_empty(&self) -> bool {
        self.groups.iter().all(BTreeMap::is_empty)
    }
}

fn group_of(waiter: &Waiter, now: Duration) -> Group {
    if waiter.begun {
        Group::Begun
    } else if waiter.due < now {
        Group::Late
    } else if waiter.tokens.saturating_mul(CACHED_RATIO) <= waiter.transfer_tokens {
        Group::Cached
    } else {
        Group::InTime
    }
}
