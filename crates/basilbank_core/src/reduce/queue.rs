//! The order in which reservations that wait at one endpoint are served.

use std::time::Duration;

use crate::{
    ids::EntryId,
    state::{Ledger, View, Waiter},
    time::Now,
};

/// The weight of an entry that is owed nothing.
const LEAST_SHARE: f64 = 0.02;

/// A prompt that takes this many times less prefill than its length says goes before others.
const CACHED: u32 = 4;

/// The reservation to serve next.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Choice {
    /// Its place among those that wait.
    pub index: usize,
    /// Its entry holds its owed share already.
    pub lent: bool,
}

/// What a reservation is ordered by: less is served first.
#[derive(Clone, Copy, PartialEq, PartialOrd, Debug)]
struct Rank {
    /// Its entry holds its owed share already, so what it gets is lent.
    lent: bool,
    /// Its target can't be met any more.
    late: bool,
    /// Most of its prompt has to be computed.
    fresh: bool,
    /// How many times its share its entry holds; 0 below the owed share.
    level: f64,
    /// When it is due, or when it came if it is late.
    due: Duration,
}

/// The reservation that gets the next free slot.
#[must_use]
pub fn next(ledger: &Ledger, view: &View, now: Now) -> Option<Choice> {
    if ledger.waiting.is_empty() || ledger.free() == 0 || now.mono < ledger.ready_at() {
        return None;
    }
    let ranks = ledger.waiting.iter().map(|w| rank(ledger, view, w, now));
    let best = ranks.enumerate().min_by(|(_, a), (_, b)| a.partial_cmp(b).expect("no NaN"))?;
    let (index, rank) = best;
    Some(Choice { index, lent: rank.lent })
}

/// Takes out those that can't be served in the time they have, with the time they would wait.
#[must_use]
pub fn take_hopeless(ledger: &mut Ledger, view: &View, now: Now) -> Vec<(Waiter, Duration)> {
    let Some(pace) = ledger.pace else { return Vec::new() };
    let mut ranked: Vec<_> =
        ledger.waiting.iter().map(|w| (rank(ledger, view, w, now), w.key)).collect();
    ranked.sort_by(|(a, _), (b, _)| a.partial_cmp(b).expect("no NaN"));
    let mut hopeless = Vec::new();
    let mut place = 0;
    for (_, key) in ranked {
        let Some(index) = ledger.waiting.iter().position(|w| w.key == key) else { continue };
        let wait = pace * (place + 1);
        if ledger.waiting[index].until < now.mono + wait {
            hopeless.push((ledger.waiting.swap_remove(index), wait));
        } else {
            place += 1;
        }
    }
    hopeless
}

fn rank(ledger: &Ledger, view: &View, waiter: &Waiter, now: Now) -> Rank {
    let late = waiter.due < now.mono;
    let due = if late { waiter.since } else { waiter.due };
    let level = level(ledger, view, waiter.entry);
    let fresh = waiter.sent < waiter.tokens.saturating_mul(CACHED);
    Rank { lent: 0.0 < level, late, fresh, level, due }
}

fn level(ledger: &Ledger, view: &View, entry: EntryId) -> f64 {
    let share = view.entry(entry).map_or(0.0, |e| e.limits.owed);
    let used = f64::from(ledger.used_by(entry));
    let owed = share * f64::from(ledger.slots);
    if used < owed { 0.0 } else { used / (share.max(LEAST_SHARE) * f64::from(ledger.slots)) }
}
