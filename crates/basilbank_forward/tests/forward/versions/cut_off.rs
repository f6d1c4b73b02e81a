//! Daemons whose list of endpoints is old without their knowledge.

use std::{collections::HashSet, time::Duration};

use basilbank_forward::{call::StreamId, prelude::*};
use basilbank_wire::{LoadGossip, StreamOrigin};
use test_case::test_case;

use super::{AT_ONCE, Net, address, two_versions, versions};
use crate::rig::Rig;

/// Longest time in which a caller is told that its stream can't go on while the store doesn't answer.
const SOON: Duration = Duration::from_millis(350);

const FIRST: [&str; 3] = ["v1-p", "v1-a", "v1-b"];

fn split() -> (Vec<EndpointInfo>, Vec<EndpointInfo>) {
    two_versions().into_iter().partition(|info| info.version == "v1")
}

/// Daemons that know one version, some of which lose the store and the rest.
fn cut_off(daemons: usize, cut: &[usize]) -> Net {
    let mut net = Net::new(daemons, split().0);
    net.apart = cut.to_vec();
    cut.iter().for_each(|n| net.rigs[*n].unread = None);
    net
}

/// A second version replaces the first, which only the rest learns of.
fn replace(net: &mut Net) {
    for n in 0..net.rigs.len() {
        if !net.apart.contains(&n) {
            net.rigs[n].change(split().1, &FIRST);
        }
    }
    net.deliver();
}

/// Guards against daemons that are cut off and take the only version that they know for the stream's.
#[test_case(3, &[1, 2]; "two together of three")]
#[test_case(3, &[2]; "one alone")]
#[test_case(8, &[2, 3, 4, 5]; "four together of eight")]
fn daemons_that_are_cut_off_guess_nothing(daemons: usize, cut: &[usize]) {
    for waits_ms in [0, 200, 800, 2000, 5000] {
        let mut net = cut_off(daemons, cut);
        replace(&mut net);
        assert_eq!(net.break_off(0, "t"), "v2");
        net.pass(Duration::from_millis(waits_ms));
        for n in cut {
            let (attempts, refusals) = net.take_up_within(SOON, *n, &format!("again{n}"), "t");
            assert!(attempts.is_empty(), "{waits_ms}: {attempts:?}");
            assert_eq!(refusals, [Refusal::StreamUnknown]);
        }
    }
}

/// Guards against a daemon that wakes with an old list.
#[test]
fn a_daemon_that_stood_still_reads_before_it_infers() {
    let mut net = cut_off(3, &[2]);
    replace(&mut net);
    assert_eq!(net.break_off(0, "t"), "v2");
    net.apart.clear();
    net.rigs[2].unread =
        Some(split().1.into_iter().map(|info| (info.instance.clone(), Some(info))).collect());
    let (attempts, refusals) = net.take_up_within(SOON, 2, "again", "t");
    assert!(!versions(&attempts).contains(&"v1"), "{attempts:?}");
    assert!(!attempts.is_empty() || refusals.len() == 1 && refusals[0].is_not_run());
}

/// Guards against streams that are lost while the store is away for all and all daemons answer.
#[test_case(1)]
#[test_case(6)]
#[test_case(8)]
fn streams_go_on_without_the_store(daemons: usize) {
    let all: Vec<_> = (0..daemons).collect();
    let mut net = cut_off(daemons, &all);
    assert_eq!(net.break_off(0, "t"), "v1");
    let (attempts, refusals) = net.take_up(daemons - 1, "again", "t");
    assert_eq!(versions(&attempts), ["v1"], "{refusals:?}");
}

/// Guards against a guess without the store where one daemon doesn't answer.
#[test_case(0)]
#[test_case(100)]
#[test_case(5000)]
fn without_the_store_all_daemons_must_answer(silent_ms: u64) {
    let mut net = cut_off(6, &[0, 1, 2, 3, 4, 5]);
    net.cut = vec![1];
    net.pass(Duration::from_millis(silent_ms));
    let (attempts, refusals) = net.take_up_within(SOON, 5, "again", "t");
    assert!(attempts.is_empty(), "{attempts:?}");
    assert_eq!(refusals, [Refusal::StreamUnknown]);
}

fn reads(rig: &mut Rig) -> Vec<Duration> {
    let asked_at = |effect| match effect {
        Effect::ConfirmList { asked_at, .. } => Some(asked_at),
        _ => None,
    };
    std::mem::take(&mut rig.effects).into_iter().filter_map(asked_at).collect()
}

/// An answer of the store that has no changes.
fn unchanged(asked_at: Duration) -> Event {
    let unread = Some(UnreadChanges { revision: 100, changes: Vec::new() });
    Event::ListConfirmed { asked_at, era: None, unread }
}

/// Guards against a read for each call, and against one that proves something for a later call.
#[test]
fn calls_share_a_read_that_began_after_they_came() {
    let mut net = cut_off(2, &[0, 1]);
    let rig = &mut net.rigs[0];
    rig.effects.clear();
    for trace in ["a", "b", "c"] {
        let _ = rig.resume("/draft/1", trace, "t");
    }
    let asked = reads(rig);
    assert_eq!(asked.len(), 1);
    rig.pass_ms(4);
    let _ = rig.resume("/draft/1", "late", "t");
    assert!(reads(rig).is_empty());
    rig.feed(unchanged(asked[0]));
    let starts = rig.effects.iter().filter(|effect| matches!(effect, Effect::Start { .. }));
    assert_eq!(starts.count(), 3);
    let asked = reads(rig);
    assert_eq!(asked.len(), 1);
    rig.feed(unchanged(asked[0]));
    assert_eq!(rig.starts().len(), 1);
    assert!(reads(rig).is_empty());
}

/// Guards against calls that are refused where the store is slow, as the read that was open when they
/// came proves nothing for them.
#[test]
fn a_slow_store_answers_for_calls_that_come_one_after_the_other() {
    const ANSWER_TIME: Duration = Duration::from_millis(200);
    let daemons: Vec<_> = (0..14).collect();
    let mut net = cut_off(daemons.len(), &daemons);
    let (mut asked, mut went_on) = (Vec::new(), HashSet::new());
    for step in 0..60 {
        if step < 5 {
            let _ = net.rigs[0].resume("/draft/1", &format!("again{step}"), "t");
        }
        net.pass(Duration::from_millis(10));
        let rig = &mut net.rigs[0];
        for effect in std::mem::take(&mut rig.effects) {
            match effect {
                Effect::ConfirmList { asked_at, .. } => asked.push(asked_at),
                Effect::Start { request, .. } => drop(went_on.insert(request)),
                _ => {}
            }
        }
        let now = rig.now();
        for asked_at in asked.extract_if(.., |asked_at| *asked_at + ANSWER_TIME <= now) {
            rig.feed(unchanged(asked_at));
        }
    }
    assert_eq!(went_on.len(), 5);
}

/// Guards against reads that begin before the changes that the store still has, where nothing changes.
#[test]
fn an_answer_without_changes_moves_the_next_read() {
    let mut net = cut_off(2, &[0, 1]);
    let rig = &mut net.rigs[0];
    rig.effects.clear();
    let _ = rig.resume("/draft/1", "again", "t");
    let asked = reads(rig);
    rig.feed(unchanged(asked[0]));
    assert_eq!(rig.state.list_reads.known_to().number, 100);
}

/// Guards against reads on days without calls that come back.
#[test]
fn other_calls_need_no_read() {
    let mut net = cut_off(2, &[0, 1]);
    net.rigs[0].effects.clear();
    let _ = net.rigs[0].call_as("/draft/1", "t");
    net.rigs[0].pass(Duration::from_secs(30));
    assert!(reads(&mut net.rigs[0]).is_empty());
}

/// A daemon that has just started beside others, whose list begins so far after theirs. The store has no
/// history.
fn newcomer(later: u64) -> Net {
    let mut net = Net::new(3, split().0);
    net.rigs.iter_mut().for_each(|rig| rig.set_revision(100));
    net.list(split().0);
    let revision = net.rigs[0].state.list_reads.known_to().number;
    let mut rig = Rig::as_next_daemon(address(2), vec![address(0)]);
    rig.state.local.start = SystemStart::Restart;
    rig.pass(net.rigs[2].now().saturating_sub(rig.now()));
    rig.set_revision(revision + later - split().0.len() as u64);
    rig.read(split().0);
    rig.history = Some(HistoryAnswer::Gone);
    net.rigs[2] = rig;
    net.deliver();
    net
}

/// Guards against refusals by a daemon that has just started, beside one version.
#[test]
fn a_daemon_that_has_just_started_learns_the_only_version() {
    let mut net = newcomer(0);
    net.pass(Duration::from_secs(2));
    let (attempts, refusals) = net.take_up(2, "again", "t");
    assert_eq!(versions(&attempts), ["v1"], "{refusals:?}");
}

/// Guards against a peer whose knowledge ends before this daemon's begins, or which doesn't say where.
#[test_case(0, true; "it meets")]
#[test_case(1, false; "a change between")]
fn a_peer_tells_how_far_it_knows_the_list(later: u64, goes_on: bool) {
    let mut net = newcomer(later);
    net.pass(Duration::from_secs(2));
    let version = split().0[0].software_version().to_wire();
    for known_to in [0, net.rigs[0].state.list_reads.known_to().number] {
        net.cut = vec![0, 1];
        let trace = format!("again{known_to}");
        let id = net.rigs[2].resume("/draft/1", &trace, "t");
        let stream = StreamId::of("t").0;
        let answer = StreamOrigin { stream, only: version, known_to, ..StreamOrigin::default() };
        let gossip =
            LoadGossip { incarnation: 1, origin_answers: vec![answer], ..LoadGossip::default() };
        net.rigs[2].feed(Event::gossip(address(0), gossip));
        net.pass(AT_ONCE);
        let attempts = net.run(2, id);
        assert_eq!(!attempts.is_empty(), known_to != 0 && goes_on, "{attempts:?}");
    }
}
