//! Calls that share a part of their prompts which crashes endpoints, beside calls that share all else.

use std::time::Duration;

use test_case::test_case;

use crate::fleet::{
    bad_parts::{Got, Load, Place, Play},
    contact,
};

/// Calls with the part that may reach endpoints once the fifth has crashed, and daemons had time to hear of it.
const CALLS: usize = 3;

/// The share of sound calls that begin while bad ones come, as a part of the share before.
const SHARE: f64 = 0.9;

fn check(load: Load, seed: u64) -> Got {
    let got = Play::run(load, seed);
    let late = got.late(contact(load.daemons));
    let ends = got.crashes();
    assert!(late <= CALLS, "seed {seed}: {late} late, {ends} crashes, {load:?}");
    assert_eq!(got.blamed, 0, "seed {seed}: sound calls blamed, {ends} crashes, {load:?}");
    let share = got.share_while_bad(&load);
    assert!(
        SHARE <= share,
        "seed {seed}: {share:.3} of sound calls begin, {ends} crashes, {load:?}"
    );
    got
}

#[test_case(8, 12, Place::AfterFirst; "small fleet, right after the first part")]
#[test_case(8, 12, Place::Middle; "small fleet, in the middle")]
#[test_case(8, 4, Place::Middle; "few endpoints")]
#[test_case(78, 15, Place::AfterFirst; "grown fleet")]
fn calls_with_a_part_that_crashed_five_endpoints_are_kept_from_them(
    daemons: usize,
    decode: usize,
    place: Place,
) {
    for seed in 1..=5 {
        let got = check(Load { place, ..Load::new(daemons, decode) }, seed);
        assert!(3 <= got.crashes(), "seed {seed}: {}", got.crashes());
    }
}

#[test_case(0.3; "rare calls")]
#[test_case(6.0; "many calls")]
fn however_often_calls_with_a_bad_part_come(bad: f64) {
    for seed in 1..=5 {
        check(Load { bad, ..Load::new(8, 12) }, seed);
    }
}

/// Guards against a part that nobody knows, as it stands behind many others that all prompts share.
#[test_case(2, 6, 16; "behind sixteen")]
#[test_case(8, 12, 300; "behind hundreds")]
#[test_case(3, 6, 3000; "behind as many as fit into a head")]
fn however_many_parts_prompts_have(daemons: usize, decode: usize, shared: u64) {
    for seed in 1..=3 {
        for place in [Place::AfterFirst, Place::Middle] {
            let lasts = Duration::from_secs(20);
            let comes = (Duration::from_secs(4), Duration::from_secs(16));
            let load = Load { shared, place, comes, lasts, ..Load::new(daemons, decode) };
            check(Load { drafts: 8.0, ..load }, seed);
        }
    }
}

/// Guards against a part that counts as one of all calls, since most calls that come have it.
#[test_case(4.0, 8.0; "two of three")]
#[test_case(4.0, 20.0; "five of six")]
#[test_case(2.0, 30.0; "nearly all")]
#[test_case(0.5, 50.0; "all but one of a hundred")]
#[test_case(10.0, 250.0; "many at once")]
fn however_many_of_the_calls_have_a_bad_part(drafts: f64, bad: f64) {
    for daemons in [2, 8] {
        for seed in 1..=5 {
            let load = Load { drafts, bad, shared: 3, ..Load::new(daemons, 6) };
            let got = check(load, seed);
            assert!(3 <= got.crashes(), "seed {seed}: {}", got.crashes());
        }
    }
}

#[test_case(8, 12; "small fleet")]
#[test_case(78, 15; "grown fleet")]
fn restarts_cuts_and_lost_datagrams_do_not_let_a_bad_part_through(daemons: usize, decode: usize) {
    for seed in 1..=5 {
        check(Load { loss: 0.1, trouble: true, ..Load::new(daemons, decode) }, seed);
    }
}

#[test_case(Duration::from_millis(900), 1; "one after the other")]
#[test_case(Duration::from_secs(3), 5; "in waves")]
fn a_bad_part_is_found_beside_crashes_that_no_call_causes(pause: Duration, count: usize) {
    for seed in 1..=5 {
        check(Load { crashes: Some((pause, count)), ..Load::new(8, 12) }, seed);
    }
}

#[test_case(Duration::from_millis(900), 1, 24.0; "one after the other")]
#[test_case(Duration::from_secs(3), 10, 24.0; "in waves of nearly all")]
#[test_case(Duration::from_secs(2), 4, 2.0; "few calls")]
fn crashes_that_no_call_causes_blame_nobody(pause: Duration, count: usize, drafts: f64) {
    for seed in 1..=5 {
        let load = Load { bad: 0.001, drafts, crashes: Some((pause, count)), ..Load::new(8, 12) };
        let got = Play::run(load, seed);
        assert_eq!((got.blamed, got.quarantined), (0, 0), "seed {seed}: {load:?}");
    }
}

#[test]
fn two_bad_parts_at_once_are_both_found() {
    for seed in 1..=5 {
        check(Load { parts: 2, ..Load::new(8, 12) }, seed);
    }
}

#[test]
fn all_daemons_that_start_again_at_once_learn_of_a_bad_part_anew() {
    for seed in 1..=5 {
        check(Load { restart_all: Some(Duration::from_secs(12)), ..Load::new(8, 12) }, seed);
    }
}

/// Guards against calls that are refused or late for what a daemon may take as its share of the fleet's.
#[test_case(8, 12, false; "small fleet")]
#[test_case(8, 12, true; "small fleet, restarts and cuts")]
#[test_case(78, 15, false; "grown fleet")]
fn a_daemon_at_which_all_calls_come_serves_them_as_often(
    daemons: usize,
    decode: usize,
    trouble: bool,
) {
    let (from, to) = (Duration::from_secs(8), Duration::from_secs(18));
    for seed in 1..=3 {
        let load = Load { crowd: Some((from, to)), trouble, ..Load::new(daemons, decode) };
        let got = check(load, seed);
        let start = Duration::from_secs(100);
        let before = got.share(start + Duration::from_secs(1), start + from);
        let during = got.share(start + from + contact(daemons), start + to);
        assert!(SHARE * before <= during, "seed {seed}: {during:.3} of {before:.3}");
    }
}

#[test]
fn a_large_fleet_finds_a_bad_part_within_its_bytes() {
    let load = Load { drafts: 60.0, lasts: Duration::from_secs(24), ..Load::new(195, 50) };
    let got = check(load, 1);
    assert!(3 <= got.crashes() && got.heard < 26_000.0, "{} bytes", got.heard);
}
