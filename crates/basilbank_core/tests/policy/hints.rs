//! What is learned: where prefixes are cached, and how long work takes beyond its estimate.

use std::time::Duration;

use basilbank_core::{
    ids::EndpointId,
    state::{Overrun, PrefixIndex},
};

fn blocks(prompt: u64) -> Vec<u64> {
    (0..400).map(|i| prompt << 32 | i).collect()
}

/// Symptom: a daemon's memory grows with each prompt that it sees.
/// Sequence: a day of different prompts.
/// Cause (guarded against): hints that are kept until an endpoint says that they are void.
#[test]
fn hints_are_bounded_and_the_newest_stay() {
    let mut prefixes = PrefixIndex::default();
    let endpoint = EndpointId::of("prefill-1");
    for prompt in 0..2_000 {
        blocks(prompt).iter().for_each(|block| prefixes.add(*block, endpoint));
    }
    assert!(prefixes.len() <= 1 << 15, "{}", prefixes.len());
    assert!(prefixes.matches(&blocks(0)).is_empty());
    let newest = prefixes.matches(&blocks(1_999));
    assert!(newest.iter().any(|(e, known)| *e == endpoint && 350 < *known), "{newest:?}");
}

/// Symptom: all prompts go to one endpoint.
/// Sequence: prompts that begin with the same instructions, for longer than the hints remember.
/// Cause: what was said again was forgotten as if it were old, so the shared part looked like each
/// prompt's own.
#[test]
fn what_is_said_again_is_not_forgotten() {
    let mut prefixes = PrefixIndex::default();
    let endpoints = ["a", "b", "c"].map(EndpointId::of);
    let shared = blocks(77);
    for prompt in 1_000..2_000 {
        for endpoint in endpoints {
            shared.iter().chain(&blocks(prompt)).for_each(|block| prefixes.add(*block, endpoint));
        }
    }
    let prompt: Vec<_> = shared.iter().copied().chain(blocks(5)).collect();
    let own = prefixes.first_rare(&prompt, 2);
    assert!(own.is_some_and(|block| !shared.contains(&block)), "{own:?}");
}

/// Symptom: a slot is granted too late for the first token to be in time.
/// Sequence: work takes longer than its estimate, by a varying time.
/// Cause: the mean was added where nearly all should be covered.
#[test]
fn most_work_takes_no_longer_than_is_promised() {
    let mut lag = Overrun::default();
    let expected = Duration::from_millis(100);
    let took = |i: u32| Duration::from_millis(u64::from(140 + i * 37 % 61));
    (0..400).for_each(|i| lag.add(expected, took(i)));
    let covered = (0..400).filter(|i| took(*i) <= expected + lag.margin()).count();
    assert!(380 <= covered, "{covered} of 400");
    assert!(lag.margin() < Duration::from_millis(140), "{:?}", lag.margin());
}
