//! Weighs what calls that ran at crashed endpoints have in common.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use super::crashes::{Accusation, Crash};
use crate::call::Cause;

/// Number of crashes from which on something that was part of all of them counts as their cause.
pub const MIN_CRASHES: usize = 3;

/// The same for a part of prompts that was sound shortly before, or that another part equals so far.
const MIN_DOUBTFUL_CRASHES: usize = 5;

/// Time in which several crashes count as one when a part of prompts is accused. Endpoints that crash
/// together, for example with their rack, have little in common but what most calls share.
pub const WAVE_TIME: Duration = Duration::from_millis(60);

/// What speaks against something, as far as it isn't refuted.
pub struct Charges<'a> {
    /// Returns whether a crash counts against something.
    pub accuses: &'a dyn Fn(&Crash, Cause) -> bool,
    /// Returns whether something was shown to be sound shortly before.
    pub was_sound: &'a dyn Fn(Cause) -> bool,
    /// Returns whether most calls share something; `None` if that isn't known.
    pub is_common: &'a dyn Fn(Cause) -> Option<bool>,
}

/// The crashes that something was part of.
#[derive(Debug, Default)]
struct Evidence {
    times: Vec<Duration>,
    run_time: Duration,
    breadth: u8,
    is_first: bool,
}

impl Evidence {
    fn add(&mut self, crash: &Crash, accusation: &Accusation) {
        self.times.push(crash.since);
        self.run_time = self.run_time.saturating_add(accusation.ran);
        self.breadth = self.breadth.max(accusation.breadth);
        self.is_first |= accusation.is_first;
    }
}

/// Returns the number of crashes at these times that count against a cause.
pub fn count_crashes(cause: Cause, mut times: Vec<Duration>) -> usize {
    if !cause.is_part() {
        return times.len();
    }
    times.sort_unstable();
    let mut wave_end = None;
    let mut count = 0;
    for time in times {
        if wave_end.is_none_or(|end| end <= time) {
            wave_end = Some(time + WAVE_TIME);
            count += 1;
        }
    }
    count
}

/// Returns the cause of crashes and their number, if there is enough evidence.
///
/// Of several it is one that wasn't sound shortly before, and of these the one with the most crashes: a
/// part that was sound may just go with the cause in most prompts. Of those with equally many it is the one that had
/// been running for the least time, since the cause crashes an endpoint shortly after it starts and
/// the others had started earlier; then the narrowest, which keeps the fewest calls from endpoints.
pub fn find_cause<'a>(
    crashes: impl Iterator<Item = &'a Crash> + Clone,
    charges: &Charges<'_>,
) -> Option<(Cause, usize)> {
    let mut all = collect(crashes, charges);
    // Unless this daemon knows better, prompts begin with what all calls of an application share.
    all.retain(|cause, evidence| !(charges.is_common)(*cause).unwrap_or(evidence.is_first));
    let sufficient = all.iter().filter(|(cause, evidence)| {
        let needed = match cause.is_part() {
            true if (charges.was_sound)(**cause)
                || has_equal(&all, **cause, evidence, charges.was_sound) =>
            {
                MIN_DOUBTFUL_CRASHES
            }
            _ => MIN_CRASHES,
        };
        needed <= count_crashes(**cause, evidence.times.clone())
    });
    let (cause, evidence) = sufficient.max_by_key(|(cause, evidence)| {
        let is_new = !(charges.was_sound)(**cause);
        let (time, breadth) = (Reverse(evidence.run_time), Reverse(evidence.breadth));
        (is_new, evidence.times.len(), time, breadth)
    })?;
    Some((*cause, evidence.times.len()))
}

/// Returns the evidence against everything that was part of crashes which nothing explains yet.
///
/// A call that is repeated is found first, since it is the narrowest cause of its own crashes. They
/// count against the parts of its prompt as well if one of these was part of them all and other calls
/// with it crash endpoints, too.
fn collect<'a>(
    crashes: impl Iterator<Item = &'a Crash> + Clone,
    charges: &Charges<'_>,
) -> BTreeMap<Cause, Evidence> {
    let mut all: BTreeMap<Cause, Evidence> = BTreeMap::new();
    for crash in crashes.clone().filter(|crash| crash.cause.is_none()) {
        let accused = crash.accused.iter().filter(|(cause, _)| (charges.accuses)(crash, **cause));
        for (cause, accusation) in accused {
            all.entry(*cause).or_default().add(crash, accusation);
        }
    }
    let mut by_call: BTreeMap<Cause, Vec<&Crash>> = BTreeMap::new();
    for crash in crashes {
        if let Some(found) = crash.cause.filter(|found| !found.is_part()) {
            by_call.entry(found).or_default().push(crash);
        }
    }
    for (cause, evidence) in all.iter_mut().filter(|(cause, _)| cause.is_part()) {
        for crashes in by_call.values() {
            if crashes.iter().all(|crash| (charges.accuses)(crash, *cause)) {
                let accusations = crashes.iter().filter_map(|c| Some((*c, c.accused.get(cause)?)));
                accusations.for_each(|(crash, accusation)| evidence.add(crash, accusation));
            }
        }
    }
    all
}

/// Returns whether another part of prompts, which wasn't sound shortly before, was part of the same
/// crashes: the next one may tell them apart.
fn has_equal(
    all: &BTreeMap<Cause, Evidence>,
    cause: Cause,
    evidence: &Evidence,
    was_sound: &dyn Fn(Cause) -> bool,
) -> bool {
    let is_rival = |other: Cause| other.is_part() && other != cause && !was_sound(other);
    let mut rivals = all.iter().filter(|(other, _)| is_rival(**other));
    rivals.any(|(_, other)| evidence.times.iter().all(|time| other.times.contains(time)))
}
