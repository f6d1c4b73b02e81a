//! Daemons that know little: old lists, restarts and waiting calls.

use std::time::Duration;

use basilbank_forward::prelude::*;
use test_case::test_case;

use super::{Net, two_versions, version, versioned, versions};

/// Guards against a daemon with an old list that takes its only version for the stream's.
#[test_case(true; "it is come back to")]
#[test_case(false; "it is asked")]
fn a_daemon_that_has_not_read_of_a_version_guesses_nothing(is_come_back_to: bool) {
    let (first, second): (Vec<_>, Vec<_>) =
        two_versions().into_iter().partition(|info| info.version == "v1");
    for n in 0..20 {
        let mut net = Net::new(8, first.clone());
        let behind = 2;
        for (daemon, rig) in net.rigs.iter_mut().enumerate() {
            if daemon != behind {
                rig.list(second.clone());
            }
        }
        net.deliver();
        let began = format!("t{n}");
        let began_at = net.break_off(1, &began);
        let daemon = if is_come_back_to { behind } else { 3 };
        let (attempts, refusals) = net.take_up(daemon, "again", &began);
        let is_right = versions(&attempts) == [began_at.as_str()];
        assert!(is_right || attempts.is_empty() && !refusals.is_empty(), "{attempts:?}");
        assert!(is_right || is_come_back_to && began_at == "v2", "{refusals:?}");
    }
}

/// Guards against a stream that was let through beside one version and waits until there are two.
#[test]
fn a_stream_that_waits_for_capacity_stays_at_its_version() {
    let listed = vec![versioned("v1-a", 1, Stage::Decode)];
    let mut net = Net::new(1, listed);
    let full: Vec<_> = (0..20).map(|n| net.rigs[0].call_as("/draft/1", &format!("f{n}"))).collect();
    full.iter().for_each(|id| drop(net.run(0, *id)));
    let id = net.rigs[0].resume("/draft/1", "again", "t");
    assert!(net.run(0, id).is_empty(), "it waits");
    net.list(vec![versioned("v2-a", 2, Stage::Decode)]);
    let early = net.run(0, id);
    assert!(early.iter().all(|a| version(&a.target.instance) == "v1"), "{early:?}");
}

/// Guards against keepers that start again and are told nothing.
#[test]
fn keepers_that_start_again_are_told_anew() {
    for n in 0..5 {
        let mut net = Net::new(8, two_versions());
        let began = format!("t{n}");
        let began_at = net.break_off(1, &began);
        (2..8).for_each(|keeper| net.restart(keeper));
        net.pass(Duration::from_millis(1500));
        net.cut = vec![1];
        let (attempts, refusals) = net.take_up(2, "again", &began);
        assert_eq!(versions(&attempts), [began_at.as_str()], "{refusals:?}");
    }
}

/// Guards against a stream that waits though all endpoints of its version want a pause.
#[test]
fn a_stream_whose_version_wants_a_pause_is_refused_with_the_pause() {
    let mut net = Net::new(1, two_versions());
    let began_at = net.break_off(0, "t");
    for name in ["a", "b"] {
        let key = net.rigs[0].state.directory.find(&format!("{began_at}-{name}"));
        let endpoint = key.expect("an endpoint");
        let pause = Duration::from_secs(13);
        net.rigs[0].feed(Event::PauseRequested { endpoint, pause });
    }
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert!(attempts.is_empty(), "{attempts:?}");
    assert_eq!(refusals, [Refusal::EndpointsPaused]);
}

/// Guards against streams of a fleet that has just restarted, which only the daemon that began them knew.
#[test]
fn a_fleet_that_has_restarted_keeps_its_streams() {
    let listed: Vec<_> = two_versions().into_iter().filter(|info| info.version == "v1").collect();
    let mut net = Net::new(12, listed);
    (0..12).for_each(|n| net.restart(n));
    net.pass(Duration::from_secs(4));
    for n in 0..10 {
        let began = format!("t{n}");
        let began_at = net.break_off(1, &began);
        net.cut = vec![1];
        let (attempts, refusals) = net.take_up(2, &format!("again{n}"), &began);
        assert_eq!(versions(&attempts), [began_at.as_str()], "{refusals:?}");
        net.cut.clear();
    }
}
