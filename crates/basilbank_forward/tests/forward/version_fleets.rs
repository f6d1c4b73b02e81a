//! Fleets with streams that break off and go on, at endpoints of several versions.

use std::time::Duration;

use test_case::test_case;

use crate::fleet::versions::{Change, Got, Load, Play, Trouble};

/// Least part of what is served of new streams that is served of those that come back.
const LEAST: f64 = 0.5;

/// Streams that have to come back before their part counts.
const ENOUGH: u32 = 12;

/// One version, which a second one joins.
fn replaced(daemons: usize, trouble: Trouble) -> Load {
    Load { versions: 1, ..Load::new(daemons, Change::Replaced, trouble) }
}

/// A fleet of 71.
fn medium(change: Change, trouble: Trouble) -> Load {
    let lasts = Duration::from_secs(9);
    Load { begins: 200.0, lasts, loss: 0.02, ..Load::new(71, change, trouble) }
}

fn assert_one_version(got: &Got, load: &Load, seed: u64) {
    assert!(got.mixed.is_empty(), "{load:?}, seed {seed}: {:#?}", got.mixed);
    assert!(got.foreign.is_empty(), "{load:?}, seed {seed}: {:#?}", got.foreign);
}

fn assert_go_on(got: &Got, load: &Load, seed: u64) {
    assert_one_version(got, load, seed);
    let (new, back) = (got.new.part(), got.back.part());
    let is_enough = ENOUGH <= got.back.calls;
    assert!(!is_enough || LEAST * new <= back, "{load:?}, seed {seed}: {new} {back}");
    assert!(got.late_gone.is_empty(), "{load:?}, seed {seed}: {:#?}", got.late_gone);
}

/// Guards against streams that mix versions, that are lost, or whose callers wait in vain.
#[test_case(Change::Nothing)]
#[test_case(Change::Crashes)]
#[test_case(Change::AllButOne)]
#[test_case(Change::Replaced)]
#[test_case(Change::LastGoes)]
fn streams_go_on_at_their_version(change: Change) {
    for trouble in
        [Trouble::Nothing, Trouble::Restarts, Trouble::AllAtOnce, Trouble::CutOff, Trouble::Halves]
    {
        for (seed, loss) in [(1, 0.001), (2, 0.02), (3, 0.1)] {
            let load = Load { loss, ..Load::new(8, change, trouble) };
            assert_go_on(&Play::run(load, seed), &load, seed);
        }
    }
}

/// Guards against the same where one version becomes two.
#[test_case(Trouble::Nothing)]
#[test_case(Trouble::Restarts)]
#[test_case(Trouble::AllAtOnce)]
#[test_case(Trouble::CutOff)]
#[test_case(Trouble::Halves)]
fn streams_go_on_at_their_version_while_a_second_one_comes(trouble: Trouble) {
    for seed in 1..=5 {
        let load = Load { begins: 200.0, loss: 0.05, ..replaced(8, trouble) };
        assert_go_on(&Play::run(load, seed), &load, seed);
    }
}

/// Guards against the same in larger fleets.
#[test_case(&medium(Change::Crashes, Trouble::CutOff); "crashes and restarts")]
#[test_case(&Load { versions: 1, ..medium(Change::Replaced, Trouble::Restarts) }; "replaced")]
#[test_case(&Load { versions: 3, ..medium(Change::AllButOne, Trouble::AllAtOnce) }; "three versions")]
#[test_case(&medium(Change::LastGoes, Trouble::Halves); "halves")]
fn streams_of_a_medium_fleet_go_on_at_their_version(load: &Load) {
    assert_go_on(&Play::run(*load, 1), load, 1);
}

/// Guards against the same in the largest fleet.
#[test_case(2, Change::Crashes, Trouble::CutOff)]
#[test_case(1, Change::Replaced, Trouble::Nothing)]
fn streams_of_a_large_fleet_go_on_at_their_version(
    versions: usize,
    change: Change,
    trouble: Trouble,
) {
    let [starts, after, lasts] = [700, 100, 1500].map(Duration::from_millis);
    let load = Load::new(320, change, trouble);
    let load = Load { versions, begins: 600.0, starts, after, lasts, loss: 0.02, ..load };
    let got = Play::run(load, 1);
    assert!(ENOUGH <= got.back.calls, "{got:?}");
    assert_go_on(&got, &load, 1);
}

/// Guards against a KV cache or a stream of another version at daemons that learn late of records.
#[test_case(2, Change::Crashes)]
#[test_case(2, Change::Replaced)]
#[test_case(3, Change::LastGoes)]
fn daemons_that_learn_late_of_endpoints_mix_no_versions(versions: usize, change: Change) {
    for trouble in [Trouble::Nothing, Trouble::CutOff] {
        for lateness in [300, 1500].map(Duration::from_millis) {
            let load = Load { versions, lateness, loss: 0.05, ..Load::new(8, change, trouble) };
            assert_one_version(&Play::run(load, 1), &load, 1);
        }
    }
}

/// Guards against a stream that goes on at a second version which daemons learn of late.
#[test_case(300, Trouble::Nothing)]
#[test_case(1500, Trouble::Nothing)]
#[test_case(1500, Trouble::CutOff)]
fn daemons_that_learn_late_of_a_second_version_mix_none(lateness_ms: u64, trouble: Trouble) {
    for seed in 1..=4 {
        let lateness = Duration::from_millis(lateness_ms);
        let load = Load { begins: 200.0, lateness, loss: 0.1, ..replaced(8, trouble) };
        assert_one_version(&Play::run(load, seed), &load, seed);
    }
}

/// Guards against a version that is forgotten as its last endpoint goes before all daemons restart.
#[test]
fn a_version_that_went_just_before_all_daemons_died_is_not_forgotten() {
    for seed in 1..=4 {
        let after = Duration::from_millis(50);
        let load = Load { after, ..Load::new(8, Change::LastGoes, Trouble::AllAtOnce) };
        assert_one_version(&Play::run(load, seed), &load, seed);
    }
}

/// Guards against the same where the store has dropped its history by then.
#[test_case(0)]
#[test_case(500)]
#[test_case(1000)]
#[test_case(5000)]
fn a_version_that_went_is_not_forgotten_with_the_history(history_ms: u64) {
    for seed in 1..=4 {
        let [after, history] = [50, history_ms].map(Duration::from_millis);
        let load = Load::new(8, Change::LastGoes, Trouble::AllAtOnce);
        let load = Load { after, history, ..load };
        assert_one_version(&Play::run(load, seed), &load, seed);
    }
}

/// Guards against refusals where there is one version, whose streams all come back after the restart.
#[test_case(3, 20_000)]
#[test_case(8, 20_000)]
#[test_case(8, 0; "no history")]
#[test_case(66, 20_000)]
fn streams_of_one_version_go_on_after_all_daemons_died(daemons: usize, history_ms: u64) {
    for seed in 1..=4 {
        let load = Load::new(daemons, Change::Nothing, Trouble::AllAtOnce);
        let history = Duration::from_millis(history_ms);
        let load = Load { versions: 1, history, ..load };
        let got = Play::run(load, seed);
        assert_go_on(&got, &load, seed);
        assert!(ENOUGH <= got.back_others.calls, "{got:?}");
        assert_eq!(got.refused.get("stream_unknown"), None, "seed {seed}: {got:?}");
    }
}

/// Guards against the version of an attempt without an event, after the stream began at another one.
#[test]
fn a_stream_whose_first_attempt_had_no_event_goes_on_where_it_began() {
    for seed in 1..=3 {
        let load = Load::new(8, Change::Nothing, Trouble::CutOff);
        let load = Load { no_event: 0.03, loss: 0.1, ..load };
        assert_one_version(&Play::run(load, seed), &load, seed);
    }
}

/// Guards against callers who wait for a version until the records of its crashed endpoints lapse.
#[test_case(Trouble::Nothing)]
#[test_case(Trouble::CutOff)]
fn callers_are_told_at_once_that_all_endpoints_of_their_version_crashed(trouble: Trouble) {
    for seed in 1..=3 {
        let load = Load::new(8, Change::AllCrash, trouble);
        let got = Play::run(load, seed);
        assert_go_on(&got, &load, seed);
        assert_eq!(got.late_listed, 0, "seed {seed}: {:?}", got.longest);
    }
}

/// Guards against messages about versions where there is one.
#[test_case(8)]
#[test_case(71)]
fn a_fleet_with_one_version_tells_nothing_of_versions(daemons: usize) {
    let lasts = Duration::from_secs(if daemons == 8 { 14 } else { 7 });
    let load = Load::new(daemons, Change::Crashes, Trouble::Nothing);
    let load = Load { versions: 1, lasts, ..load };
    let [stated, unstated] = [false, true].map(|unstated| Play::run(Load { unstated, ..load }, 1));
    assert_eq!(stated.told.datagrams, 0, "{:?}", stated.told);
    assert_eq!((stated.heard, stated.back.calls), (unstated.heard, unstated.back.calls));
}
