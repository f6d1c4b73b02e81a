//! Voters on idempotency keys: what they may say, and what they remember.

use std::time::Duration;

use basilbank_core::{
    prelude::*,
    state::{ClaimKey, ClaimPhase, uuid_v7_unix_ms},
};
use basilbank_wire::{KeyRecord, Settle, Verdict};
use test_case::test_case;

use crate::{
    claims::{finish_plain, voters},
    fleet::{Fleet, SECOND, SHORT, STEP, WINDOW, catalogue, stock_order},
    world::EPOCH_MS,
};

/// A UUIDv7 made at a moment of virtual time.
fn uuid_v7(mono: Duration, tail: u32) -> String {
    let ms = EPOCH_MS + mono.as_millis() as u64;
    format!("{:08x}-{:04x}-7abc-8def-{tail:012x}", ms >> 16, ms & 0xffff)
}

/// Symptom: a key runs on a small side that is cut off with an old list of voters, while the others go
/// by a newer one. The voters there hear too few of the list to be sure of it.
#[test]
fn voters_on_the_smaller_side_grant_nothing() {
    let mut fleet = Fleet::settled(8);
    let is_small = |daemon: &usize| *daemon < 3;
    let mut keys = (0..).map(|i| format!("order-{i}"));
    let has_two = |key: &String| 2 <= voters(&fleet, key).0.iter().filter(|v| is_small(v)).count();
    let key = keys.find(has_two).unwrap();
    fleet.holds = Some(|p| (p.from < 3) != (p.to < 3));
    fleet.run(STEP);
    assert_eq!(fleet.refused(0, &key), Some(Refusal::KeyUnclaimed));
}

/// Symptom: a keyed call takes a whole timeout longer than others whenever a VM was replaced lately.
/// The third voter is asked as soon as one of the first two can't grant.
#[test]
fn the_third_voter_is_asked_without_waiting() {
    let mut fleet = Fleet::settled(8);
    let (voters, other) = voters(&fleet, "order-1");
    fleet.restart(voters[0]);
    fleet.run(STEP);
    fleet.call(other, Some("order-1"), stock_order());
    fleet.deliver();
    let phases: Vec<_> = fleet.states[other].claims.own.values().map(|c| c.phase).collect();
    assert_eq!(phases, [ClaimPhase::Held]);
}

/// Symptom: a caller's retry with its key is run although the first try still counts. Sequence: a
/// voter restarts and has forgotten the key; with the voter that never heard of it that would be two
/// votes. Cause would be a young voter that says 'never seen'.
#[test]
fn a_restarted_voter_abstains_until_a_window_has_passed() {
    let mut fleet = Fleet::settled(8);
    let (voters, other) = voters(&fleet, "order-1");
    fleet.down.insert(voters[2]);
    fleet.order(other, "order-1");
    assert_eq!(fleet.runs().len(), 1);
    fleet.down.clear();
    fleet.restart(voters[1]);
    fleet.run(SECOND * 5);
    assert!(fleet.refused(voters[1], "order-1").is_some());
    assert_eq!(fleet.runs().len(), 1);
}

/// Symptom: a change of the platform's list moves a key's voters, and a repeat runs at the new ones.
#[test]
fn a_voter_that_the_list_brought_in_abstains() {
    let mut fleet = Fleet::usual(8);
    fleet.list_all(&[0, 1, 2]);
    fleet.run(WINDOW);
    fleet.order(0, "order-1");
    assert_eq!(fleet.runs().len(), 1);
    fleet.list_all(&[3, 4, 5, 6, 7]);
    fleet.run(SECOND * 5);
    assert_eq!(fleet.refused(3, "order-1"), Some(Refusal::KeyUnclaimed));
    assert_eq!(fleet.runs().len(), 1);
}

#[test]
fn a_key_with_its_time_is_claimed_from_young_voters_only_when_made_after_them() {
    let mut fleet = Fleet::usual(8);
    let before = uuid_v7(fleet.mono, 1);
    fleet.run(SECOND * 20);
    let after = uuid_v7(fleet.mono, 2);
    let ahead = uuid_v7(fleet.mono + SECOND * 60, 3);
    for (key, runs) in [(&before, false), (&after, true), (&ahead, false)] {
        assert_eq!(fleet.refused(0, key).is_none(), runs, "{key}");
    }
}

/// Symptom: a client that was offline sends an order again after the key window and it runs twice.
/// A key that carries its time is refused then; the voters can't have it in memory any more.
#[test]
fn a_key_older_than_the_window_is_refused() {
    let mut fleet = Fleet::settled(8);
    let key = uuid_v7(fleet.mono, 1);
    fleet.order(0, &key);
    finish_plain(&mut fleet, 0);
    fleet.run(STEP);
    fleet.run(WINDOW * 2);
    assert_eq!(fleet.refused(1, &key), Some(Refusal::KeyUnclaimed));
    assert_eq!(fleet.runs().len(), 1);
}

/// Symptom: memory of a voter grows without bound, or a full voter forgets keys that still count and
/// they run twice. A full voter refuses new keys and keeps the old.
#[test]
fn a_full_table_refuses_new_keys_and_keeps_the_old() {
    let tuning = Tuning { keys: 10, ..Tuning::default() };
    let mut fleet = Fleet::new(3, tuning, catalogue());
    fleet.run(WINDOW);
    // Two votes each: three tables of ten hold fifteen keys at most.
    let keys: Vec<_> = (0..20).map(|i| format!("order-{i}")).collect();
    let mut ran = Vec::new();
    for key in &keys {
        let caller = fleet.call(0, Some(key), stock_order());
        fleet.run(SHORT);
        match fleet.refusal(caller) {
            None => ran.push(key),
            Some(refusal) => assert_eq!(refusal, Refusal::KeyUnclaimed),
        }
    }
    assert!((10..=15).contains(&ran.len()), "{}", ran.len());
    assert!(fleet.states.iter().all(|s| s.claims.key_table.len() <= 10));
    assert!(fleet.notes.iter().any(|(_, name)| *name == "key_table_full"));
    for key in &ran {
        let repeat = fleet.call(1, Some(key), stock_order());
        fleet.run(SHORT);
        assert_eq!(fleet.refusal(repeat), Some(Refusal::KeyRunning));
    }
    assert_eq!(fleet.runs().len(), ran.len());
}

#[test]
fn a_daemon_without_a_vm_list_grants_nothing() {
    let mut fleet = Fleet::usual(1);
    fleet.states[0].claims = Default::default();
    fleet.run(WINDOW);
    assert_eq!(fleet.refused(0, "order-1"), Some(Refusal::KeyUnclaimed));
}

#[test]
fn news_that_was_overtaken_does_not_open_an_ended_key() {
    let mut fleet = Fleet::settled(3);
    let key = ClaimKey([1; 16]);
    let settle = |outcome| {
        let record = KeyRecord { request: 9, outcome, ..KeyRecord::default() };
        Settle { key: key.0.to_vec(), record: Some(record) }
    };
    for outcome in [Outcome::Done.code(), 0] {
        let message = Body::Settle(settle(outcome)).into();
        fleet.say(1, 0, message);
    }
    let entry = fleet.states[0].claims.key_table.get(&key).unwrap();
    assert_eq!(entry.record.outcome, Outcome::Done.code());
}

#[test]
fn messages_with_a_wrong_key_length_do_nothing() {
    let mut fleet = Fleet::settled(3);
    let claim = basilbank_wire::Claim { key: vec![1, 2], request: 1, ..Default::default() };
    let message = Body::Claim(claim).into();
    fleet.parcels.clear();
    fleet.say(1, 0, message);
    let Some(Body::Vote(vote)) = &fleet.parcels[0].message.body else { panic!("no vote") };
    assert_eq!(vote.verdict(), Verdict::Abstain);
    assert!(fleet.states[0].claims.key_table.is_empty());
}

#[test_case("0190163d-8694-739b-aea5-966c26f8ad91", 1_718_360_049_300; "version 7")]
#[test_case("0190163d-8694-439b-aea5-966c26f8ad91", 0; "version 4")]
#[test_case("0190163d-8694-739b-0ea5-966c26f8ad91", 0; "another variant")]
#[test_case("0190163d-8694-739b-aea5-966c26f8ad9", 0; "too short")]
#[test_case("order-1", 0; "not a UUID")]
#[test_case("0190163dx8694-739b-aea5-966c26f8ad91", 0; "no hyphen")]
fn a_key_carries_its_time_only_as_uuid_v7(key: &str, made: u64) {
    assert_eq!(uuid_v7_unix_ms(key), made);
}
