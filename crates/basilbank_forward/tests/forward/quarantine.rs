//! A prompt that ends each endpoint that begins it, beside drafts that end none.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use basilbank_forward::{event::Liveness, prelude::*};
use basilbank_wire::{CrashReport, LoadGossip, QuarantinedCall};
use test_case::test_case;

use crate::{
    fleet::{
        contact,
        deadly::{DEADLY, Load, Play},
    },
    rig::{Rig, numbered, plain},
};

/// Retries that may reach endpoints once the third has ended, and daemons had time to hear of it.
const RETRIES: usize = 3;

/// Each attempt has an id of its own: without a memory of what was asked for, each one is a new request.
#[test_case(8, 12; "small fleet")]
#[test_case(78, 15; "grown fleet")]
fn a_prompt_that_ended_three_endpoints_is_not_sent_on(daemons: usize, decode: usize) {
    for seed in 1..=5 {
        let got = Play::run(Load::new(daemons, decode), seed);
        assert!(3 <= got.ends.len(), "{seed}: {got:?}");
        assert!(got.late(contact(daemons)) <= RETRIES, "{seed}: {got:?}");
        assert_eq!(got.blamed, 0, "{seed}: {got:?}");
    }
}

#[test]
fn a_prompt_that_ended_three_endpoints_is_not_sent_on_in_a_large_fleet() {
    let lasts = Duration::from_secs(20);
    let load = Load { drafts: 60.0, lasts, ..Load::new(195, 50) };
    let got = Play::run(load, 1);
    assert!(got.heard < 26_000.0, "{got:?}");
    assert!(3 <= got.ends.len(), "{got:?}");
    assert!(got.late(contact(195)) <= RETRIES, "{got:?}");
    assert_eq!(got.blamed, 0, "{got:?}");
}

#[test_case(8, 12; "small fleet")]
#[test_case(78, 15; "grown fleet")]
fn restarts_cuts_and_lost_datagrams_do_not_let_a_deadly_prompt_through(
    daemons: usize,
    decode: usize,
) {
    for seed in 1..=5 {
        let load = Load { loss: 0.1, trouble: true, ..Load::new(daemons, decode) };
        let got = Play::run(load, seed);
        assert!(3 <= got.ends.len(), "{seed}: {got:?}");
        assert!(got.late(contact(daemons)) <= RETRIES, "{seed}: {got:?}");
        assert_eq!(got.blamed, 0, "{seed}: {got:?}");
    }
}

fn quarantined(digest: u64) -> LoadGossip {
    let told = QuarantinedCall { digest, left: 3000, ..QuarantinedCall::default() };
    LoadGossip { incarnation: 1, sequence: 1, quarantined: vec![told], ..LoadGossip::default() }
}

fn peer(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

#[test]
fn a_daemon_that_starts_later_hears_of_all_that_is_in_quarantine() {
    let mut rig = numbered(1);
    rig.feed(Event::gossip(peer(2), quarantined(DEADLY.0)));
    rig.pass_ms(10_000);
    rig.feed(Event::gossip(peer(2), LoadGossip { sequence: 2, ..quarantined(9) }));
    rig.beats();
    let greeting = LoadGossip { incarnation: 1, sequence: 1, ..LoadGossip::default() };
    rig.feed(Event::gossip(peer(3), greeting));
    let beats = rig.beats();
    let introduction = beats.iter().find(|(to, _)| *to == peer(3)).expect("an introduction");
    let told: BTreeSet<_> = introduction.1.quarantined.iter().map(|told| told.digest).collect();
    assert_eq!(told, BTreeSet::from([DEADLY.0, 9]));
}

#[test]
fn a_call_that_ran_to_its_end_is_not_blamed_for_crashes_before_and_after() {
    let mut rig = numbered(1);
    rig.list(vec![plain("e1", 1)]);
    let report = |endpoint, digest| CrashReport {
        endpoint,
        digest,
        ran: 30,
        parts: Vec::new(),
        ..CrashReport::default()
    };
    let tell = |rig: &mut Rig, sequence, crashes| {
        let beat = LoadGossip { incarnation: 1, sequence, crashes, ..LoadGossip::default() };
        rig.feed(Event::gossip(peer(2), beat));
        rig.pass_ms(1000);
    };
    tell(&mut rig, 1, vec![report(1, 0), report(2, 0)]);
    let id = rig.call("/stock/1", 2000, None);
    assert_eq!(id, RequestId(0));
    let attempt = rig.start();
    rig.came(id, attempt.number, Outcome::Answered { status: 200 });
    tell(&mut rig, 2, vec![report(3, 0), report(4, 0)]);
    assert!(rig.state.quarantine.is_empty());
    tell(&mut rig, 3, vec![report(5, 0)]);
    assert_eq!(rig.state.quarantine.len(), 1);
}

#[test]
fn what_ran_beside_the_cause_is_not_blamed() {
    let mut rig = numbered(1);
    for (sequence, endpoint) in (1..).zip(1..=4) {
        let report = |digest, ran| CrashReport {
            endpoint,
            digest,
            ran,
            parts: Vec::new(),
            ..CrashReport::default()
        };
        let crashes = vec![report(50, 4000), report(DEADLY.0, 60), report(51, 90 * endpoint)];
        let beat = LoadGossip { incarnation: 1, sequence, crashes, ..LoadGossip::default() };
        rig.feed(Event::gossip(peer(2), beat));
        rig.pass_ms(1000);
    }
    let kept: Vec<_> = [50, 51, DEADLY.0]
        .into_iter()
        .filter(|digest| rig.state.quarantine.time_left(Digest(*digest), rig.now()).is_some())
        .collect();
    assert_eq!(kept, [DEADLY.0]);
}

#[test]
fn connections_that_break_at_endpoints_that_live_are_no_evidence() {
    let mut rig = numbered(1);
    rig.list((1..=6).map(|n| plain(&format!("e{n}"), n)).collect());
    for _ in 0..5 {
        let id = rig.call("/stock/1", 2000, None);
        rig.feed(Event::CallerLeft(id));
        rig.starts();
    }
    let prompt = Digest(99);
    for _ in 0..6 {
        let id = rig.call_again(prompt);
        let attempt = rig.start();
        let endpoint = attempt.target.endpoint;
        rig.came(id, attempt.number, Outcome::Broken(Damage::Closed));
        rig.feed(Event::Probed { endpoint, liveness: Liveness::Alive });
        rig.pass_ms(1000);
    }
    assert!(rig.state.quarantine.is_empty());
}

#[test]
fn what_is_kept_is_bounded() {
    let mut rig = numbered(1);
    for sequence in 1..3000 {
        let endpoint = u32::try_from(sequence).expect("small");
        let report = |n| CrashReport {
            endpoint,
            digest: sequence * 1000 + n,
            ran: 1,
            parts: vec![n, 2, 3, 4],
            ..CrashReport::default()
        };
        let calls = (0..300).map(report);
        let crashes = calls.collect();
        let told = QuarantinedCall { digest: sequence, left: 3000, ..QuarantinedCall::default() };
        let beat = LoadGossip {
            incarnation: 1,
            sequence,
            crashes,
            quarantined: vec![told],
            ..LoadGossip::default()
        };
        rig.feed(Event::gossip(peer(2), beat));
    }
    assert_eq!(rig.state.quarantine.len(), 512);
    assert!(rig.state.crashes.len() <= 128 * 256);
}
