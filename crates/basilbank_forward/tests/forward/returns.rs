//! Refused drafts that come back.

use std::time::Duration;

use basilbank_forward::{
    prelude::*,
    state::returns::{MAX_RECORDS, Returns},
};

/// The claim of a call at this daemon.
const CLAIM: (Option<std::net::SocketAddr>, u64) = (None, 1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn refused(wait: Duration) -> Returns {
    let mut returns = Returns::default();
    returns.record(Digest(7), wait, ms(50), ms(1000));
    returns
}

/// Failure: a caller who returned as told was served no sooner than new ones.
#[test]
fn a_call_that_returns_as_told_is_recognized() {
    assert_eq!(refused(ms(1000)).claim(Digest(7), CLAIM, ms(1950)), Some(ms(50)));
}

/// Failure: a caller gained from returning at once.
#[test]
fn a_call_that_returns_early_counts_as_new_then_and_later() {
    let mut returns = refused(ms(1000));
    assert_eq!(returns.claim(Digest(7), CLAIM, ms(1850)), None);
    assert_eq!(returns.claim(Digest(7), CLAIM, ms(1950)), None);
}

/// Failure: one refusal gave several calls an advantage.
#[test]
fn a_second_return_counts_as_new() {
    let mut returns = refused(ms(1000));
    assert!(returns.claim(Digest(7), CLAIM, ms(2000)).is_some());
    assert_eq!(returns.claim(Digest(7), (None, 2), ms(2000)), None);
}

/// Failure: the answer to a question whose first answer was lost was a different one.
#[test]
fn a_repeated_question_gets_the_same_answer() {
    let mut returns = refused(ms(1000));
    let first = returns.claim(Digest(7), CLAIM, ms(2000));
    assert_eq!(returns.claim(Digest(7), CLAIM, ms(2025)), first);
}

/// Failure: a caller that never returned kept its record.
#[test]
fn records_end_after_15_s() {
    assert_eq!(refused(ms(1000)).claim(Digest(7), CLAIM, ms(16_000)), None);
}

/// Failure: refused calls took ever more memory.
#[test]
fn records_are_bounded_and_the_oldest_is_dropped_first() {
    let mut returns = Returns::default();
    for digest in 0..5000 {
        returns.record(Digest(digest), ms(1000), ms(0), ms(digest / 10));
    }
    assert_eq!(returns.len(), MAX_RECORDS);
    assert_eq!(returns.claim(Digest(0), CLAIM, ms(3000)), None);
    assert!(returns.claim(Digest(4999), CLAIM, ms(3000)).is_some());
}

/// Failure: all refused callers were told to return at the same time.
#[test]
fn callers_return_one_after_the_other() {
    let mut returns = Returns::default();
    let mut place = || returns.take_place("writer", (ms(400), ms(1000)), ms(200), 0.0);
    let places: Vec<_> = (0..6).map(|_| place()).collect();
    assert_eq!(places, [400, 600, 800, 1000, 1000, 1000].map(ms));
    let later = returns.take_place("writer", (ms(9000), ms(9900)), ms(200), 0.0);
    assert_eq!(later, ms(9000), "places that have passed are free again");
}
