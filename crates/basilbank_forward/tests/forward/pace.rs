//! How fast drafts are generated, measured by all daemons.

use std::time::Duration;

use basilbank_forward::{prelude::*, state::GenerationStats};
use test_case::test_case;

use crate::rig::{Rig, WRITER, numbered};

fn pace_after(drafts: &[(u32, u64)]) -> GenerationStats {
    let mut pace = GenerationStats::default();
    for (tokens, ms) in drafts {
        pace.record(*tokens, Duration::from_millis(*ms), pace.tokens_per_second());
    }
    pace
}

#[test]
fn nothing_is_assumed_before_a_draft_has_ended() {
    assert_eq!(GenerationStats::default().tokens_per_second(), 0.0);
    assert!(0.0 < GenerationStats::default().relative_error());
}

#[test]
fn the_pace_follows_the_engines() {
    let fast = pace_after(&[(1000, 500); 20]);
    assert!((fast.tokens_per_second() - 2000.0).abs() < 1.0);
    let mut slower = fast;
    (0..80).for_each(|_| slower.record(1000, Duration::from_secs(10), slower.tokens_per_second()));
    assert!((100.0..150.0).contains(&slower.tokens_per_second()), "{}", slower.tokens_per_second());
}

#[test]
fn estimates_that_are_right_need_no_room_and_wrong_ones_do() {
    assert!(pace_after(&[(1000, 1000); 20]).relative_error() < 0.01);
    let wrong = pace_after(&[(1000, 500), (1000, 1500)].repeat(10));
    assert!(0.3 < wrong.relative_error(), "{}", wrong.relative_error());
}

#[test_case(f64::NAN, 1.0; "not a number")]
#[test_case(f64::INFINITY, 1.0; "without end")]
#[test_case(-5.0, 1.0; "less than nothing")]
fn a_peers_word_that_makes_no_sense_changes_nothing(tokens: f64, seconds: f64) {
    let known = pace_after(&[(1000, 1000); 5]);
    let foreign = GenerationStats { tokens, seconds, ..GenerationStats::default() };
    assert_eq!(known.merge(foreign), known);
}

#[test_case(0, 0; "no time at all")]
#[test_case(u32::MAX, 1; "more than an engine can")]
#[test_case(0, 1_000_000; "nothing for long")]
fn a_measured_pace_is_bounded(tokens: u32, ms: u64) {
    let pace = pace_after(&[(tokens, ms)]).tokens_per_second();
    assert!((0.0..=100_000.0).contains(&pace), "{pace}");
}

#[test]
fn daemons_tell_each_other_what_they_measured() {
    let (mut one, mut two) = (numbered(1), numbered(2));
    one.state.generation_stats.insert(WRITER.to_owned(), pace_after(&[(1000, 500); 3]));
    assert_eq!(two.state.growth(WRITER).rate, 0.0);
    hear(&mut one, &mut two);
    assert!((two.state.growth(WRITER).rate - 2000.0).abs() < 1.0);
}

fn hear(one: &mut Rig, two: &mut Rig) {
    one.pass_ms(600);
    two.pass_ms(600);
    let beats = one.beats();
    let (_, beat) = beats.last().expect("a heartbeat").clone();
    let from = one.state.peers.own_address.expect("an address");
    two.feed(Event::gossip(from, beat));
}
