//! A packet is accepted once, and only from its sender's latest incarnation.

use basilbank_wire::{DropReason, MAX_SENDERS, REPLAY_WINDOW, ReplayGuard};

const VM: u64 = 7;

fn is_accepted(guard: &mut ReplayGuard, incarnation: u64, sequence: u64) -> bool {
    guard.check(VM, incarnation, sequence).is_ok()
}

/// Guards against freeing a slot that has been granted again. An attacker records a release on the
/// network and sends it a second time. Its MAC is valid, so only the replay guard can detect it.
#[test]
fn repeated_packet_is_dropped() {
    let mut guard = ReplayGuard::default();
    assert!(is_accepted(&mut guard, 1, 5));
    assert_eq!(guard.check(VM, 1, 5), Err(DropReason::Replayed));
    assert!(is_accepted(&mut guard, 1, 6));
    assert_eq!(guard.check(VM, 1, 5), Err(DropReason::Replayed));
}

/// Guards against assuming that a restarted daemon still holds what it held before. A packet of its
/// previous incarnation arrives after the first one of the new incarnation, and only sequence
/// numbers are compared.
#[test]
fn packet_of_old_incarnation_is_dropped() {
    let mut guard = ReplayGuard::default();
    assert!(is_accepted(&mut guard, 10, 100));
    assert!(is_accepted(&mut guard, 11, 0));
    assert_eq!(guard.check(VM, 10, 101), Err(DropReason::OldIncarnation));
    assert!(is_accepted(&mut guard, 11, 1));
}

#[test]
fn reordered_packets_are_accepted_within_the_window() {
    let mut guard = ReplayGuard::default();
    assert!(is_accepted(&mut guard, 1, REPLAY_WINDOW));
    for sequence in (1..REPLAY_WINDOW).rev() {
        assert!(is_accepted(&mut guard, 1, sequence), "{sequence}");
        assert!(!is_accepted(&mut guard, 1, sequence), "{sequence} again");
    }
    assert!(is_accepted(&mut guard, 1, REPLAY_WINDOW + 1));
    assert!(!is_accepted(&mut guard, 1, 1), "1 is below the window, so it may be repeated");
}

/// Compares the guard with a set of all received sequence numbers, for pseudo-random numbers that
/// repeat.
#[test]
fn agrees_with_a_set_of_all_sequence_numbers() {
    let mut guard = ReplayGuard::default();
    let mut seen = std::collections::HashSet::new();
    let (mut state, mut highest) = (1_u64, 0);
    for _ in 0..50_000 {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let sequence = highest / 2 + (state >> 33) % (highest / 2 + 20);
        let is_new = highest < sequence + REPLAY_WINDOW && !seen.contains(&sequence);
        assert_eq!(is_accepted(&mut guard, 1, sequence), is_new, "{sequence} of {highest}");
        seen.insert(sequence);
        highest = highest.max(sequence);
    }
}

#[test]
fn jump_of_sequence_numbers_keeps_replay_protection() {
    let mut guard = ReplayGuard::default();
    for sequence in [0, 1, u64::MAX / 2, u64::MAX - 1] {
        assert!(is_accepted(&mut guard, 1, sequence), "{sequence}");
        assert!(!is_accepted(&mut guard, 1, sequence), "{sequence} again");
    }
    assert!(!is_accepted(&mut guard, 1, u64::MAX));
}

/// Guards against memory that grows with each VM that is replaced, because senders are never
/// removed.
#[test]
fn least_recently_seen_sender_is_evicted() {
    let mut guard = ReplayGuard::default();
    for sender_id in 0..MAX_SENDERS as u64 {
        assert_eq!(guard.check(sender_id, 5, 0), Ok(()));
    }
    assert_eq!(guard.check(0, 5, 1), Ok(()));
    assert_eq!(guard.check(u64::MAX, 5, 0), Ok(()));
    assert_eq!(guard.len(), MAX_SENDERS);
    assert_eq!(guard.check(0, 5, 1), Err(DropReason::Replayed), "0 was seen after 1");
    assert_eq!(guard.check(1, 5, 0), Ok(()), "1 was evicted");
}
