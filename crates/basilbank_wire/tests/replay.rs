//! A packet is taken once, and only from its sender's latest incarnation.

use basilbank_wire::{DropReason, ReplayGuard, SENDERS, WINDOW};

const VM: u64 = 7;

fn taken(guard: &mut ReplayGuard, incarnation: u64, sequence: u64) -> bool {
    guard.check(VM, incarnation, sequence).is_ok()
}

/// Symptom: a slot is freed that has been granted again since. Sequence: a release is recorded on
/// the network and sent a second time. Cause: its seal is right, and nobody remembers it.
#[test]
fn a_packet_is_taken_once() {
    let mut guard = ReplayGuard::default();
    assert!(taken(&mut guard, 1, 5));
    assert_eq!(guard.check(VM, 1, 5), Err(DropReason::Replayed));
    assert!(taken(&mut guard, 1, 6));
    assert_eq!(guard.check(VM, 1, 5), Err(DropReason::Replayed));
}

/// Symptom: a daemon that restarted is thought to hold what it held before. Sequence: it restarts,
/// is heard, and a packet of its last life arrives late. Cause: only sequence numbers are compared.
#[test]
fn an_old_incarnation_is_dropped() {
    let mut guard = ReplayGuard::default();
    assert!(taken(&mut guard, 10, 100));
    assert!(taken(&mut guard, 11, 0));
    assert_eq!(guard.check(VM, 10, 101), Err(DropReason::OldIncarnation));
    assert!(taken(&mut guard, 11, 1));
}

#[test]
fn packets_may_overtake_each_other_within_the_window() {
    let mut guard = ReplayGuard::default();
    assert!(taken(&mut guard, 1, WINDOW));
    for sequence in (1..WINDOW).rev() {
        assert!(taken(&mut guard, 1, sequence), "{sequence}");
        assert!(!taken(&mut guard, 1, sequence), "{sequence} again");
    }
    assert!(taken(&mut guard, 1, WINDOW + 1));
    assert!(!taken(&mut guard, 1, 1), "1 is out of the window now, so nobody can tell");
}

/// The same numbers in any order, against a set that remembers all.
#[test]
fn agrees_with_a_set_that_forgets_nothing() {
    let mut guard = ReplayGuard::default();
    let mut seen = std::collections::HashSet::new();
    let (mut state, mut highest) = (1_u64, 0);
    for _ in 0..50_000 {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let sequence = highest / 2 + (state >> 33) % (highest / 2 + 20);
        let fresh = highest < sequence + WINDOW && !seen.contains(&sequence);
        assert_eq!(taken(&mut guard, 1, sequence), fresh, "{sequence} of {highest}");
        seen.insert(sequence);
        highest = highest.max(sequence);
    }
}

#[test]
fn a_jump_forgets_nothing_that_counts() {
    let mut guard = ReplayGuard::default();
    for sequence in [0, 1, u64::MAX / 2, u64::MAX - 1] {
        assert!(taken(&mut guard, 1, sequence), "{sequence}");
        assert!(!taken(&mut guard, 1, sequence), "{sequence} again");
    }
    assert!(!taken(&mut guard, 1, u64::MAX));
}

/// Symptom: a daemon's memory grows with each VM that was ever replaced. Cause: senders are never
/// forgotten.
#[test]
fn senders_are_bounded_and_the_one_unheard_for_longest_goes() {
    let mut guard = ReplayGuard::default();
    for from in 0..SENDERS as u64 {
        assert_eq!(guard.check(from, 5, 0), Ok(()));
    }
    assert_eq!(guard.check(0, 5, 1), Ok(()));
    assert_eq!(guard.check(u64::MAX, 5, 0), Ok(()));
    assert_eq!(guard.len(), SENDERS);
    assert_eq!(guard.check(0, 5, 1), Err(DropReason::Replayed), "0 was heard after 1");
    assert_eq!(guard.check(1, 5, 0), Ok(()), "1 was forgotten");
}
