//! Who gets scarce memory while endpoints run two versions of their software.

use std::time::Duration;

use test_case::test_case;

use crate::fleet::scarce::{Got, Load, Play};

const SEEDS: u64 = 3;

/// Streams that have to come back before their share counts.
const ENOUGH: u32 = 12;

/// Longest median time until a refusal.
const SOON: Duration = Duration::from_millis(300);

/// Nine endpoints, half of each version.
fn nine() -> Load {
    Load { decode: [4, 5], prefill: [2, 2], crashed: [1, 2], begins: 25.0, ..Load::new() }
}

/// All but two endpoints of a version crash.
fn two_left() -> Load {
    Load { decode: [12, 6], crashed: [10, 0], kills: 6, ..Load::new() }
}

/// Guards against streams that are taken up and wait behind new ones, which any version would do for.
#[test_case(Load::new(); "without ranks")]
#[test_case(Load { has_ranks: true, ..Load::new() }; "with ranks")]
#[test_case(nine(); "nine endpoints")]
#[test_case(Load { prefill: [0, 6], ..Load::new() }; "no prefill endpoint of the old version")]
#[test_case(two_left(); "two endpoints left")]
fn streams_that_are_taken_up_go_on_as_new_ones_begin(load: Load) {
    for seed in 1..=SEEDS {
        let got = Play::run(load, seed);
        let context = format!("{load:?}, seed {seed}: {}", got.summary());
        assert_eq!(got.mixed, 0, "{context}");
        assert!(ENOUGH <= got.back.streams, "{context}");
        assert!(0.5 * got.new.part() <= got.back.part(), "{context}");
        assert!(0.5 * got.new.part_of_calls() <= got.back.part_of_calls(), "{context}");
    }
}

/// Guards against callers who wait in vain for the endpoints of their stream's version.
#[test]
fn streams_that_can_not_go_on_in_time_are_refused_soon() {
    let mut all = Got::default();
    for seed in 1..=SEEDS {
        let got = Play::run(two_left(), seed);
        all.refused_after.extend(&got.refused_after);
    }
    assert!(ENOUGH as usize <= all.refused_after.len(), "{}", all.refused_after.len());
    assert!(all.median_refusal() <= SOON, "{:?}", all.median_refusal());
}
