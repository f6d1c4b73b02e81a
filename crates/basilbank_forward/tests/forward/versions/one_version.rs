//! Services with one version, for long or since a moment ago.

use std::time::Duration;

use basilbank_forward::prelude::*;
use test_case::test_case;

use super::{AT_ONCE, Net, two_versions, versioned, versions};
use crate::rig::{Rig, held, prefilled};

/// Guards against streams that began before a second version came and can't go on after it.
#[test_case(true; "at the last moment")]
#[test_case(false; "before")]
fn a_stream_from_before_a_second_version_goes_on(is_running: bool) {
    let (first, second): (Vec<_>, Vec<_>) =
        two_versions().into_iter().partition(|info| info.version == "v1");
    for n in 0..10 {
        let mut net = Net::new(4, first.clone());
        let began = format!("t{n}");
        if is_running {
            let (id, _) = net.begin(0, &began);
            net.list(second.clone());
            net.rigs[0].feed(Event::CallerLeft(id));
        } else {
            net.break_off(0, &began);
            net.list(second.clone());
        }
        net.cut = vec![0];
        net.pass(Duration::from_millis(20));
        let (attempts, refusals) = net.take_up(1, "again", &began);
        assert_eq!(versions(&attempts), ["v1"], "{refusals:?}");
    }
}

/// Guards against bytes, questions and refusals where there is one version.
#[test]
fn one_version_costs_nothing() {
    let listed = two_versions().into_iter().filter(|info| info.version == "v1").collect();
    let mut net = Net::new(4, listed);
    let id = net.rigs[0].call_as("/draft/1", "t");
    let direct = |net: &mut Net| {
        let effects = net.rigs.iter().flat_map(|rig| &rig.effects);
        let is_direct =
            |e: &&Effect| matches!(e, Effect::SendGossip { gossip, .. } if gossip.sequence == 0);
        effects.filter(is_direct).count()
    };
    let mut starts = net.rigs[0].starts();
    let mut sent = 0;
    while let Some(attempt) = starts.pop() {
        let outcome = match &attempt.op {
            Op::Hold { .. } => held(),
            Op::Prefill => prefilled(),
            _ => Outcome::Streaming,
        };
        let streams = outcome == Outcome::Streaming;
        net.rigs[0].came(id, attempt.number, outcome);
        if streams {
            net.rigs[0].feed(Event::FirstEvent { request: id, attempt: attempt.number });
        }
        starts.extend(net.rigs[0].starts());
        sent += direct(&mut net);
    }
    let id = net.rigs[1].resume("/draft/1", "again", "nobody-began-this");
    sent += direct(&mut net);
    assert!(!net.run(1, id).is_empty());
    assert_eq!(sent, 0);
}

/// How long before the daemons the endpoints of a service started.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Start {
    Long,
    Recent,
    Unstated,
}

/// Guards against refusals after all daemons have restarted where one version has served for long, and
/// against a guess where another one may have served a moment ago.
#[test_case(Start::Long, true)]
#[test_case(Start::Unstated, true)]
#[test_case(Start::Recent, false)]
fn streams_come_back_after_all_daemons_died(start: Start, goes_on: bool) {
    let listed: Vec<_> = two_versions().into_iter().filter(|info| info.version == "v1").collect();
    let mut net = Net::new(2, listed.clone());
    net.break_off(0, "t");
    let unix_ms = u64::try_from(net.rigs[0].now().as_millis()).expect("a time");
    let start_time = match start {
        Start::Long => Some(1),
        Start::Recent => Some(unix_ms - 5000),
        Start::Unstated => None,
    };
    let listed: Vec<_> =
        listed.into_iter().map(|info| EndpointInfo { start_time, ..info }).collect();
    for n in 0..2 {
        let mut rig = Rig::restarted();
        rig.pass(net.rigs[n].now().saturating_sub(rig.now()));
        rig.read(listed.clone());
        net.rigs[n] = rig;
    }
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert_eq!((!attempts.is_empty(), refusals.is_empty()), (goes_on, goes_on), "{refusals:?}");
}

/// Guards against a call that comes back beside one version and goes on at one that comes later.
#[test_case(false; "known for long")]
#[test_case(true; "after all daemons died")]
fn a_stream_that_came_back_beside_one_version_stays_at_it(has_died: bool) {
    let first = versioned("v1-a", 1, Stage::Decode);
    let first = vec![EndpointInfo { start_time: Some(1), ..first }];
    let mut net = Net::new(1, first.clone());
    if has_died {
        let mut rig = Rig::restarted();
        rig.pass(net.rigs[0].now().saturating_sub(rig.now()));
        rig.read(first);
        net.rigs[0] = rig;
    }
    let id = net.rigs[0].resume("/draft/1", "again", "t");
    net.rigs[0].pass(AT_ONCE);
    let hold = net.rigs[0].start();
    net.list(vec![versioned("v2-a", 2, Stage::Decode)]);
    net.unlist(&["v1-a"]);
    net.rigs[0].came(id, hold.number, Outcome::Unreachable);
    let attempts = net.run(0, id);
    assert!(attempts.is_empty(), "{attempts:?}");
    assert_eq!(net.rigs[0].refusals(), [Refusal::VersionGone]);
}
