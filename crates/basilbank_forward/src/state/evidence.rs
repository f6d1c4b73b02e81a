//! Weighs what calls that ran at crashed endpoints have in common.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::crashes::{Crash, CrashSet};
use crate::call::Cause;

/// Number of crashes from which on something that was part of all of them counts as their cause.
pub const MIN_CRASHES: usize = 3;

/// The same for a part of prompts that was sound shortly before, that another part equals so far, or
/// that is in most prompts.
const MIN_DOUBTFUL_CRASHES: usize = 5;

/// Time in which several crashes count as one when a part of prompts is accused that was sound shortly
/// before. Endpoints that crash together, for example with their rack, have little in common but what
/// most calls share. A part that many calls have and that nobody saw to be sound is no such thing: where
/// many calls with it come at once, all endpoints crash together.
pub const WAVE_TIME: Duration = Duration::from_millis(60);

/// What speaks against something, as far as it isn't refuted.
pub struct Charges<'a> {
    /// The crashes that something was part of.
    pub accusers: &'a HashMap<Cause, CrashSet>,
    /// Returns whether something was shown to be sound shortly before.
    pub was_sound: &'a dyn Fn(Cause) -> bool,
    /// Returns whether all calls share something; `None` if that isn't known.
    pub is_in_all: &'a dyn Fn(Cause) -> Option<bool>,
    /// Returns how many of the recent calls share something, if most do.
    pub broad_count: &'a dyn Fn(Cause) -> Option<usize>,
}

/// The crashes that something was part of.
#[derive(Debug)]
struct Evidence {
    crashes: CrashSet,
    times: Vec<Duration>,
    run_time: Duration,
    breadth: u32,
    is_first: bool,
}

/// Returns the slots of a set of crashes.
pub fn slots(crashes: CrashSet) -> impl Iterator<Item = u32> {
    (0..CrashSet::BITS).filter(move |slot| crashes & (1 << slot) != 0)
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
/// part that was sound may just go with the cause in most prompts. Of those with equally many it is the
/// one that most prompts lack, since a part of most prompts is in most crashes whatever their cause;
/// then the one that had been running for the least time, since the cause crashes an endpoint shortly
/// after it starts and the others had started earlier; then the narrowest, which keeps the fewest calls
/// from endpoints.
pub fn find_cause(crashes: &[&Crash], charges: &Charges<'_>) -> Option<(Cause, usize)> {
    let mut all = collect(crashes, charges);
    // Unless this daemon knows better, prompts begin with what all calls of an application share.
    all.retain(|cause, evidence| !(charges.is_in_all)(*cause).unwrap_or(evidence.is_first));
    let rivals = Rivals::new(&all, charges.was_sound);
    let sufficient = all.iter().filter(|(cause, evidence)| {
        let was_sound = (charges.was_sound)(**cause);
        let is_doubted = was_sound || rivals.has_equal(evidence, was_sound);
        let is_broad = (charges.broad_count)(**cause).is_some();
        let is_doubtful = cause.is_part() && (is_doubted || is_broad);
        let needed = if is_doubtful { MIN_DOUBTFUL_CRASHES } else { MIN_CRASHES };
        let is_frequent = !is_doubted && MIN_DOUBTFUL_CRASHES <= evidence.times.len();
        is_frequent || needed <= count_crashes(**cause, evidence.times.clone())
    });
    let (cause, evidence) = sufficient.max_by_key(|(cause, evidence)| {
        let is_new = !(charges.was_sound)(**cause);
        let (count, broad) = (evidence.times.len(), Reverse((charges.broad_count)(**cause)));
        let (time, breadth) = (Reverse(evidence.run_time), Reverse(evidence.breadth));
        (is_new, count, broad, time, breadth, Reverse(**cause))
    })?;
    Some((*cause, evidence.times.len()))
}

/// Returns the evidence against everything that was part of several crashes, at least one of which
/// nothing explains yet.
///
/// A call that is repeated is found first, since it is the narrowest cause of its own crashes. They
/// count against the parts of its prompt as well if one of these was part of them all and other calls
/// with it crash endpoints, too.
fn collect(crashes: &[&Crash], charges: &Charges<'_>) -> HashMap<Cause, Evidence> {
    let (mut unexplained, mut by_call) = (0, BTreeMap::<Cause, CrashSet>::new());
    for crash in crashes {
        let bit: CrashSet = 1 << crash.slot;
        match crash.cause {
            None => unexplained |= bit,
            Some(found) if !found.is_part() => *by_call.entry(found).or_default() |= bit,
            Some(_) => {}
        }
    }
    let by_slot: HashMap<u32, &Crash> = crashes.iter().map(|crash| (crash.slot, *crash)).collect();
    let is_enough = |crashes: CrashSet| MIN_CRASHES <= crashes.count_ones() as usize;
    let mut all = HashMap::new();
    for (cause, accusers) in charges.accusers {
        let mut counted = accusers & unexplained;
        if counted == 0 || !is_enough(*accusers) {
            continue;
        }
        if cause.is_part() {
            let explained = by_call.values().filter(|crashes| *accusers & **crashes == **crashes);
            counted = explained.fold(counted, |all, crashes| all | crashes);
        }
        if is_enough(counted) {
            all.insert(*cause, weigh(*cause, counted, &by_slot));
        }
    }
    all
}

fn weigh(cause: Cause, crashes: CrashSet, by_slot: &HashMap<u32, &Crash>) -> Evidence {
    let mut evidence = Evidence {
        crashes,
        times: Vec::new(),
        run_time: Duration::ZERO,
        breadth: 0,
        is_first: false,
    };
    for crash in slots(crashes).filter_map(|slot| by_slot.get(&slot)) {
        let Some(accusation) = crash.accused.get(&cause) else { continue };
        evidence.times.push(crash.since);
        evidence.run_time = evidence.run_time.saturating_add(accusation.ran);
        evidence.breadth = evidence.breadth.max(accusation.breadth);
        evidence.is_first |= accusation.is_first;
    }
    evidence
}

/// The crashes of the parts of prompts that weren't sound shortly before, and the number of parts with
/// the same ones.
struct Rivals(HashMap<CrashSet, usize>);

impl Rivals {
    fn new(all: &HashMap<Cause, Evidence>, was_sound: &dyn Fn(Cause) -> bool) -> Rivals {
        let mut rivals = HashMap::new();
        for (_, evidence) in all.iter().filter(|(cause, _)| cause.is_part() && !was_sound(**cause))
        {
            *rivals.entry(evidence.crashes).or_default() += 1;
        }
        Rivals(rivals)
    }

    /// Returns whether another of these parts was part of the same crashes: the next one may tell them
    /// apart.
    fn has_equal(&self, evidence: &Evidence, was_sound: bool) -> bool {
        self.0.iter().any(|(crashes, count)| {
            let own = usize::from(*crashes == evidence.crashes && !was_sound);
            crashes & evidence.crashes == evidence.crashes && own < *count
        })
    }
}
