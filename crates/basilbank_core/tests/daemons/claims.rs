//! Idempotency keys over several daemons: at most one run, and the truth to everyone who asks.

use std::time::Duration;

use basilbank_core::{
    effect::{Answer, EngineCall},
    event::ResumePoint,
    prelude::*,
    state::ClaimKey,
};
use test_case::test_case;

use crate::fleet::{
    Fleet, SHORT, STEP, WINDOW, catalogue, draft, draft_entry, stock_order, team, vm,
};

/// The daemons that vote on a key, by rank, and one that does not.
pub fn voters(fleet: &Fleet, key: &str) -> (Vec<usize>, usize) {
    let subject = ClaimKey::new(team(), key).subject();
    let index = |v: VmId| (0..fleet.states.len()).find(|i| vm(*i) == v).unwrap();
    let voters: Vec<_> = fleet.states[0].members.voters(subject).into_iter().map(index).collect();
    let other = (0..fleet.states.len()).find(|i| !voters.contains(i)).unwrap();
    (voters, other)
}

/// How many daemons remember a key.
fn remembering(fleet: &Fleet) -> usize {
    fleet.states.iter().filter(|s| !s.claims.key_table.is_empty()).count()
}

pub fn finish_plain(fleet: &mut Fleet, run: usize) {
    let (index, attempt) = fleet.runs()[run];
    fleet.feed(index, Event::Engine(EngineEvent::Answered { attempt, status: 200 }));
}

/// The stream that a caller reads from its start in place of a run of its own.
fn resumed_stream(fleet: &Fleet, index: usize, caller: CallerId) -> Option<String> {
    let requests = &fleet.states[index].requests;
    let request = &requests.arena[*requests.callers.get(&caller)?];
    let resume = request.completion.as_ref()?.resume.as_ref()?;
    (resume.offset == 0).then(|| resume.stream.clone())
}

/// Streams that are read on, with their offsets.
fn resumes(fleet: &Fleet) -> Vec<(AttemptKey, u32)> {
    let resumes = fleet.calls.iter().filter_map(|(_, call)| match call {
        EngineCall::Resume { attempt, offset, .. } => Some((*attempt, *offset)),
        _ => None,
    });
    resumes.collect()
}

#[test]
fn a_claimed_request_runs_and_its_repeat_does_not() {
    let mut fleet = Fleet::settled(8);
    let first = fleet.order(0, "order-1");
    assert_eq!(fleet.runs().len(), 1);
    assert_eq!(fleet.refused(1, "order-1"), Some(Refusal::KeyRunning));
    finish_plain(&mut fleet, 0);
    fleet.run(STEP);
    assert!(matches!(fleet.last_answer(first), Answer::Plain { .. }));
    let late = fleet.order(2, "order-1");
    assert_eq!(fleet.last_answer(late), &Answer::Unknown);
    assert_eq!(fleet.runs().len(), 1);
    assert_eq!(fleet.refused(3, "order-2"), None);
    assert_eq!(fleet.runs().len(), 2);
}

/// Symptom: a stock order is placed twice. A caller's connection breaks, it sends the order again
/// through another VM, and one of the key's voters has died in between. Cause would be a claim that
/// counts on a single voter.
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
fn one_dead_voter_neither_stops_nor_doubles_a_request(dead: usize) {
    let mut fleet = Fleet::settled(8);
    let (voters, other) = voters(&fleet, "order-1");
    fleet.order(other, "order-1");
    assert_eq!(fleet.runs().len(), 1);
    fleet.down.insert(voters[dead]);
    let second = (0..8).find(|i| *i != other && !fleet.down.contains(i)).unwrap();
    let repeat = fleet.call(second, Some("order-1"), stock_order());
    let fresh = fleet.order(second, "order-2");
    assert_eq!(fleet.refusal(repeat), Some(Refusal::KeyRunning));
    assert_eq!(fleet.refusal(fresh), None);
    assert_eq!(fleet.runs().len(), 2);
}

/// Symptom: one order is placed on each side of a partition. The caller's first try reaches one side,
/// its retry the other, and each side believes that the rest is dead. Cause would be voters that are
/// picked from the live members, which differ from side to side.
#[test]
fn only_one_side_of_a_partition_runs_a_key() {
    let mut fleet = Fleet::settled(8);
    let keys: Vec<_> = (0..40).map(|i| format!("order-{i}")).collect();
    fleet.holds = Some(|p| (p.from < 4) != (p.to < 4));
    for key in &keys {
        let left = fleet.call(0, Some(key), stock_order());
        let right = fleet.order(7, key);
        let ran = [left, right].map(|c| fleet.refusal(c).is_none());
        assert_eq!(ran.iter().filter(|r| **r).count(), 1, "{key}: {ran:?}");
    }
    assert_eq!(fleet.runs().len(), keys.len());
}

/// Symptom: two daemons that get the same key at the same moment both run it, or both refuse it while
/// a voter is dead. Sequence: the votes split one to one. The one that lost the highest-ranking vote
/// gives way and the other gets the vote when it asks again.
#[test]
fn of_two_at_once_exactly_one_runs_also_with_a_dead_voter() {
    for dead in [None, Some(0), Some(1), Some(2)] {
        let mut fleet = Fleet::settled(8);
        let (voters, _) = voters(&fleet, "order-1");
        fleet.down.extend(dead.map(|d| voters[d]));
        let alive: Vec<_> = voters.iter().filter(|v| !fleet.down.contains(v)).copied().collect();
        // Each of the two takes its own vote before it hears of the other.
        let a = fleet.call(alive[0], Some("order-1"), stock_order());
        let b = fleet.order(alive[1], "order-1");
        assert_eq!(fleet.runs().len(), 1, "dead voter {dead:?}");
        let refused = [a, b].iter().filter(|c| fleet.refusal(**c).is_some()).count();
        assert_eq!(refused, 1, "dead voter {dead:?}");
    }
}

/// Symptom: a caller is told that its order was not run, and then it runs. Sequence: all votes are
/// late, the daemon gives the claim up and refuses, then the votes arrive. Cause would be a claim that
/// outlives its refusal.
#[test]
fn votes_that_come_after_the_refusal_run_nothing() {
    let mut fleet = Fleet::settled(8);
    let (_, other) = voters(&fleet, "order-1");
    fleet.holds = Some(|p| matches!(p.message.body, Some(Body::Vote(_))));
    assert_eq!(fleet.refused(other, "order-1"), Some(Refusal::KeyUnclaimed));
    fleet.release();
    fleet.run(STEP);
    assert_eq!(fleet.runs().len(), 0);
    // What the voters had granted was given back, so the caller's retry runs.
    assert_eq!(fleet.refused(other, "order-1"), None);
    assert_eq!(fleet.runs().len(), 1);
}

/// Symptom: an order is sent by a process that was paused with its votes in the socket, long after
/// its time limit. Sequence: claim, pause, votes are read before the timer fires.
#[test]
fn a_daemon_that_was_paused_while_it_claimed_runs_nothing() {
    let mut fleet = Fleet::settled(8);
    // A voter that claims has its own vote, so the first that it reads would win the key.
    let (voters, _) = voters(&fleet, "order-1");
    fleet.holds = Some(|p| matches!(p.message.body, Some(Body::Vote(_))));
    let caller = fleet.call(voters[0], Some("order-1"), stock_order());
    fleet.deliver();
    fleet.skip(Duration::from_secs(20));
    fleet.release();
    assert_eq!(fleet.refusal(caller), Some(Refusal::KeyUnclaimed));
    assert_eq!(fleet.runs().len(), 0);
}

/// Symptom: an order runs twice after a race. Sequence: two daemons claim a key, the loser gives its
/// votes back, and a voter takes that for the winner's. The key would be free while its order runs.
#[test]
fn a_loser_gives_back_only_its_own_votes() {
    let mut fleet = Fleet::settled(8);
    let (voters, other) = voters(&fleet, "order-1");
    fleet.order(other, "order-1");
    for index in &voters {
        fleet.order(*index, "order-1");
    }
    assert_eq!(fleet.runs().len(), 1);
    assert_eq!(remembering(&fleet), 2);
}

/// Symptom: an order is sent twice, once by a process that slept through the key window between its
/// claim and its sending, once by the caller's retry after the window. Sequence: the request waits for
/// an endpoint, the process is paused, the first that it reads afterwards lets the request run.
#[test]
fn a_request_that_slept_through_the_window_is_not_sent() {
    let mut with = Catalogue { revision: 2, ..catalogue() };
    with.classes[1].max_wait = WINDOW * 2;
    let mut without = Catalogue { revision: 1, ..with.clone() };
    without.endpoints.iter_mut().for_each(|e| e.leaving = true);
    let mut fleet = Fleet::new(8, Tuning::default(), without);
    fleet.run(WINDOW);
    let caller = fleet.order(0, "order-1");
    assert_eq!(fleet.states[0].requests.arena.len(), 1, "it waits");
    fleet.skip(WINDOW);
    (0..8).for_each(|index| fleet.publish(index, with.clone()));
    fleet.run(STEP);
    assert_eq!(fleet.refusal(caller), Some(Refusal::KeyUnclaimed));
    assert_eq!(fleet.runs().len(), 0);
}

#[test]
fn a_request_that_was_not_run_frees_its_key() {
    let mut without = catalogue();
    without.endpoints.clear();
    without.classes[1].max_wait = Duration::ZERO;
    let mut fleet = Fleet::new(8, Tuning::default(), without);
    fleet.run(WINDOW);
    assert_eq!(fleet.refused(0, "order-1"), Some(Refusal::NoEndpoint));
    let full = Catalogue { revision: 2, ..catalogue() };
    (0..8).for_each(|index| fleet.publish(index, full.clone()));
    fleet.order(1, "order-1");
    assert_eq!(fleet.runs().len(), 1);
}

/// The daemon of a draft that streams dies, and the draft is repeated at a voter on its key. Gives the
/// voter and the caller.
fn repeat_orphan(fleet: &mut Fleet) -> (usize, CallerId) {
    let (voters, other) = voters(fleet, "draft-1");
    fleet.stream_draft(other);
    fleet.down.insert(other);
    (voters[0], fleet.call(voters[0], Some("draft-1"), draft()))
}

/// Symptom: a draft whose VM died is run a second time for the caller that comes again with its key.
/// The voters know where the stream lives, so the caller reads it from its start.
#[test]
fn a_repeat_of_a_draft_whose_vm_died_joins_its_stream() {
    let mut fleet = Fleet::settled(8);
    let (voter, repeat) = repeat_orphan(&mut fleet);
    fleet.run(STEP);
    assert_eq!(resumed_stream(&fleet, voter, repeat).as_deref(), Some("s1"));
}

/// Symptom: a caller gets a text that starts in the middle of a sentence. Sequence: a draft's decode
/// endpoint dies, the draft goes on elsewhere from the text so far, its VM dies, a repeat joins.
#[test]
fn a_stream_that_continues_another_is_not_joined() {
    let mut fleet = Fleet::settled(8);
    let (voters, other) = voters(&fleet, "draft-1");
    fleet.stream_draft(other);
    let attempt = fleet.decoding();
    let token = EngineEvent::Tokens { attempt, offset: 0, texts: vec!["Two".to_owned()] };
    fleet.feed(other, Event::Engine(token));
    let failed = EngineEvent::Failed { attempt, failure: Failure::Refused };
    fleet.feed(other, Event::Engine(failed));
    fleet.run(SHORT);
    fleet.import(1);
    fleet.stream(1, "s2");
    fleet.down.insert(other);
    let repeat = fleet.call(voters[0], Some("draft-1"), draft());
    fleet.run(SHORT);
    let waits = |fleet: &Fleet| matches!(fleet.last_answer(repeat), Answer::Accepted { .. });
    assert!(waits(&fleet) && resumed_stream(&fleet, voters[0], repeat).is_none());
    assert_eq!(fleet.runs().len(), 2);
    // Its VM is not heard any more by then, so the repeat runs anew.
    fleet.run(STEP);
    assert!(waits(&fleet) && resumed_stream(&fleet, voters[0], repeat).is_none());
    assert_eq!(fleet.runs()[2].0, voters[0]);
}

/// Symptom: a caller whose draft was run is told that it was not, sends it under a new key and gets
/// two. Sequence: the stream that the repeat wants to join is gone.
#[test]
fn a_repeat_whose_stream_is_gone_is_told_that_it_is_unknown() {
    let mut fleet = Fleet::settled(8);
    let (voter, repeat) = repeat_orphan(&mut fleet);
    fleet.run(SHORT);
    let (attempt, _) = *resumes(&fleet).last().expect("the repeat resumes");
    let failed = EngineEvent::Failed { attempt, failure: Failure::Refused };
    fleet.feed(voter, Event::Engine(failed));
    assert_eq!(fleet.last_answer(repeat), &Answer::Unknown);
    assert_eq!(fleet.runs().len(), 1);
}

/// Symptom: a caller that resumes its stream with a cursor gets it from the start. Sequence: its client
/// sends the cursor and the key of the first try together. A cursor names a stream, so nothing is run.
#[test]
fn a_cursor_goes_before_a_key() {
    let mut fleet = Fleet::settled(8);
    fleet.stream_draft(0);
    let endpoint = EndpointId::of("decode-0");
    let entry = draft_entry();
    let CallKind::Completion(mut again) = draft() else { panic!("a draft") };
    again.resume = Some(ResumePoint { endpoint, stream: "s1".to_owned(), offset: 7, entry });
    fleet.call(1, Some("draft-1"), CallKind::Completion(again));
    fleet.run(SHORT);
    let offsets: Vec<_> = resumes(&fleet).iter().map(|(_, offset)| *offset).collect();
    assert_eq!(offsets, [7]);
}

/// Symptom: a key stays taken for ten minutes though its request was never run, because the message
/// that gives it back was lost.
#[test]
fn a_lost_withdrawal_is_sent_again() {
    let mut fleet = Fleet::settled(8);
    let (_, other) = voters(&fleet, "order-1");
    let caller = fleet.call(other, Some("order-1"), stock_order());
    // The caller leaves before a vote is back; the first messages are lost.
    fleet.feed(other, Event::Caller(CallerEvent::Left(caller)));
    fleet.holds = Some(|p| matches!(p.message.body, Some(Body::Settle(_))));
    fleet.run(Duration::from_millis(30));
    assert_eq!(remembering(&fleet), 2);
    fleet.held.clear();
    fleet.holds = None;
    fleet.run(STEP);
    assert_eq!(remembering(&fleet), 0);
    assert!(fleet.states[other].claims.own.is_empty());
    assert_eq!(fleet.runs().len(), 0);
}

/// Symptom: a stream that runs longer than the key window is run a second time by a repeat, because
/// its voters forgot it while it ran.
#[test]
fn a_key_is_remembered_while_its_request_runs() {
    let tuning = Tuning { stall: WINDOW * 10, ..Tuning::default() };
    let mut fleet = Fleet::new(4, tuning, catalogue());
    fleet.run(WINDOW);
    fleet.stream_draft(0);
    for _ in 0..6 {
        fleet.run(WINDOW / 4);
        fleet.run(STEP);
    }
    let repeat = fleet.call(1, Some("draft-1"), draft());
    fleet.run(STEP);
    assert_eq!(resumed_stream(&fleet, 1, repeat).as_deref(), Some("s1"));
}
