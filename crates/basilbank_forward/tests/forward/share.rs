//! What drafts take at an endpoint, now and until they end.

use std::time::Duration;

use basilbank_forward::{
    prelude::*,
    state::usage::{Growth, peak_tokens},
};

const NOW: Duration = Duration::from_secs(100);
const GROWTH: Growth = Growth { rate: 1000.0, margin: 0.0 };

/// A draft that has been generated for so long.
fn running(prompt: u32, output: u32, ms: u64) -> Usage {
    let since = Some(NOW - Duration::from_millis(ms));
    Usage { generating_since: since, ..Usage::completion(prompt, output) }
}

fn peak_of(shares: &[Usage]) -> f64 {
    peak_tokens(shares.iter().copied(), f64::MAX, NOW, GROWTH)
}

#[test]
fn drafts_that_begin_together_need_their_ends_together() {
    let shares = [Usage::completion(5000, 3000); 4];
    assert_eq!(peak_of(&shares), 32_000.0);
}

#[test]
fn drafts_at_all_stages_need_less_than_their_ends() {
    let shares: Vec<_> = (0..4).map(|n| running(5000, 4000, n * 1000)).collect();
    // All have 5,000; the furthest has 1,000 to go, when the others have 3,000, 2,000 and 1,000 beside.
    assert_eq!(peak_of(&shares), 30_000.0);
}

#[test]
fn before_anything_is_measured_each_counts_as_if_it_had_just_begun() {
    let shares: Vec<_> = (0..4).map(|n| running(5000, 4000, n * 1000)).collect();
    let peak = peak_tokens(shares.into_iter(), f64::MAX, NOW, Growth::default());
    assert_eq!(peak, 36_000.0);
}

#[test]
fn what_comes_after_a_draft_has_ended_is_not_its_concern() {
    let long = [Usage::completion(1000, 9000); 2];
    let short = Usage::completion(1000, 100);
    let shares = long.into_iter().chain([short]);
    assert_eq!(peak_tokens(shares, 100.0, NOW, GROWTH), 3300.0);
}

/// Symptom: an endpoint put drafts back while its daemons took it for half empty.
/// Sequence: a draft is longer than its caller said; others are placed on the room that it should have
/// left.
/// Cause: it counted as ended once it was past the estimate.
#[test]
fn a_draft_that_is_longer_than_estimated_still_counts() {
    let overdue = running(5000, 1000, 3000);
    assert_eq!(overdue.tokens_left(NOW, 1000.0), 250.0);
    assert!(5000.0 < peak_of(&[overdue]));
}

#[test]
fn wrong_estimates_matter_as_far_as_drafts_grow() {
    let growth = Growth { margin: 1.0, ..GROWTH };
    let room = |output| {
        let shares = [Usage::completion(3000, output); 9];
        peak_tokens(shares.into_iter(), f64::MAX, NOW, growth) - peak_of(&shares)
    };
    assert_eq!(room(400), 1200.0);
    assert_eq!(room(6000), 18_000.0);
}

#[test]
fn a_peers_drafts_grow_together() {
    let peers = Usage { calls: 2, tokens: 12_000, tokens_left: 4000, generating_since: Some(NOW) };
    assert_eq!(peers.tokens_left(NOW + Duration::from_secs(1), 1000.0), 2000.0);
    assert_eq!(peak_of(&[peers]), 12_000.0);
}
