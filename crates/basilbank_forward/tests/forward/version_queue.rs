//! Who gets scarce memory while endpoints run two versions of their software.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_wire::{LoadGossip, WaitingForVersion};
use test_case::test_case;

use crate::{
    fleet::scarce::{Got, Load, Play},
    rig::{Rig, model, numbered},
};

const SEEDS: u64 = 3;

/// Streams that have to come back before their share counts.
const ENOUGH: u32 = 12;

/// Longest median time until a refusal.
const SOON: Duration = Duration::from_millis(300);

/// Nine endpoints, half of each version.
fn nine() -> Load {
    Load { decode: [4, 5], prefill: [2, 2], crashed: [1, 2], begins: 25.0, ..Load::new() }
}

/// All but two endpoints of a version crash.
fn two_left() -> Load {
    Load { decode: [12, 6], crashed: [10, 0], kills: 6, ..Load::new() }
}

/// Guards against streams that are taken up and wait behind new ones, which any version would do for.
#[test_case(Load::new(); "without ranks")]
#[test_case(Load { has_ranks: true, ..Load::new() }; "with ranks")]
#[test_case(nine(); "nine endpoints")]
#[test_case(Load { prefill: [0, 6], ..Load::new() }; "no prefill endpoint of the old version")]
#[test_case(two_left(); "two endpoints left")]
fn streams_that_are_taken_up_go_on_as_new_ones_begin(load: Load) {
    for seed in 1..=SEEDS {
        let got = Play::run(load, seed);
        let context = format!("{load:?}, seed {seed}: {}", got.summary());
        assert_eq!(got.mixed, 0, "{context}");
        assert!(ENOUGH <= got.back.streams, "{context}");
        assert!(0.5 * got.new.part() <= got.back.part(), "{context}");
        assert!(0.5 * got.new.part_of_calls() <= got.back.part_of_calls(), "{context}");
    }
}

/// Guards against callers who wait in vain for the endpoints of their stream's version.
#[test]
fn streams_that_can_not_go_on_in_time_are_refused_soon() {
    let mut all = Got::default();
    for seed in 1..=SEEDS {
        let got = Play::run(two_left(), seed);
        all.refused_after.extend(&got.refused_after);
    }
    assert!(ENOUGH as usize <= all.refused_after.len(), "{}", all.refused_after.len());
    assert!(all.median_refusal() <= SOON, "{:?}", all.median_refusal());
}

/// A daemon that lists a decode endpoint of each of these versions.
fn rig(versions: &[&str]) -> Rig {
    let mut rig = numbered(1);
    let info = |n: u16, version: &&str| EndpointInfo {
        version: (*version).to_owned(),
        ..model(version, n, Stage::Decode)
    };
    rig.list((1..).zip(versions).map(|(n, version)| info(n, version)).collect());
    hear(&mut rig, 1, Vec::new());
    rig.pass_ms(600);
    rig
}

fn hear(rig: &mut Rig, sequence: u64, bound: Vec<WaitingForVersion>) {
    let peer = SocketAddr::from(([10, 0, 0, 2], 7000));
    let gossip = LoadGossip { incarnation: 2, sequence, bound, ..LoadGossip::default() };
    rig.feed(Event::gossip(peer, gossip));
}

/// What a peer reports of a version.
fn waits_for(version: &str) -> WaitingForVersion {
    let info = EndpointInfo { version: version.to_owned(), ..model("", 1, Stage::Decode) };
    let version = info.software_version().to_wire();
    WaitingForVersion { version, due: 500, calls: 1, tokens: 3000 }
}

/// The endpoints that some new completions go to.
fn targets(rig: &mut Rig) -> Vec<String> {
    for n in 0..8 {
        rig.call_as("/draft/1", &format!("t{n}"));
    }
    rig.pass_ms(10);
    let mut targets: Vec<_> = rig.starts().into_iter().map(|start| start.target.instance).collect();
    targets.sort_unstable();
    targets.dedup();
    targets
}

/// Guards against new completions that take the room which a peer's completion needs.
#[test]
fn new_completions_leave_a_version_to_those_that_wait_for_it_at_a_peer() {
    let mut rig = rig(&["v1", "v2"]);
    hear(&mut rig, 2, vec![waits_for("v1")]);
    assert_eq!(targets(&mut rig), ["v2"]);
}

/// Guards against reports that keep new completions from all endpoints, or for long.
#[test_case(&["v1", "v2"], &[waits_for("v1"), waits_for("v2")], 0; "all versions")]
#[test_case(&["v1"], &[waits_for("v1")], 0; "the only version")]
#[test_case(&["v1", "v2"], &[waits_for("v1")], 500; "an old report")]
#[test_case(&["v1", "v2"], &[WaitingForVersion { due: i32::MAX, ..waits_for("v1") }], 0; "due late")]
#[test_case(&["v1", "v2"], &[WaitingForVersion { calls: 0, ..waits_for("v1") }], 0; "none")]
#[test_case(&["v1", "v2"], &[WaitingForVersion { calls: u32::MAX, ..waits_for("v1") }], 0; "too many")]
fn reports_do_not_keep_new_completions_out(
    versions: &[&str],
    reported: &[WaitingForVersion],
    after_ms: u64,
) {
    let mut rig = rig(versions);
    hear(&mut rig, 2, reported.to_vec());
    rig.pass_ms(after_ms);
    assert_eq!(targets(&mut rig), versions);
}
