//! Endpoints that take so many calls a second from all daemons together.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_wire::{LoadGossip, Permit, PermitKind};
use test_case::test_case;

use crate::{
    fleet::{
        contact,
        limited::{Load, NAMES, Play},
    },
    rig::{Rig, held, model, numbered, plain, prefilled, prompt},
};

/// An even share of such a limit is a call in two seconds at eight daemons, and one in a minute at 195.
#[test_case(8, 3; "small fleet")]
#[test_case(78, 3; "grown fleet")]
#[test_case(195, 1; "large fleet")]
fn all_daemons_together_keep_to_an_endpoints_limit(daemons: usize, seeds: u64) {
    for seed in 1..=seeds {
        let got = Play::run(Load::new(daemons, &[Some(4.1), Some(2.8), None, None]), seed);
        assert!(got.worst <= 1.0, "{seed}: {got:?}");
        assert!(got.refused.is_empty(), "{seed}: others take as many as come: {got:?}");
    }
}

/// No endpoint takes as many as come: what they take is used, and all else is refused at once.
#[test_case(8, 3; "small fleet")]
#[test_case(78, 3; "grown fleet")]
#[test_case(195, 1; "large fleet")]
fn a_service_whose_endpoints_all_have_limits_gets_what_they_take(daemons: usize, seeds: u64) {
    for seed in 1..=seeds {
        let load = Load::new(daemons, &[Some(5.4), Some(4.1), Some(9.0), Some(6.0)]);
        let time = (load.lasts - NAMES - contact(daemons)).as_secs_f64();
        let got = Play::run(load, seed);
        assert!(got.worst <= 1.0, "{seed}: {got:?}");
        let all: usize = got.each.iter().sum();
        assert!(0.7 * 24.5 * time <= all as f64, "{seed}: {got:?}");
        assert!(got.held <= got.calls / 50, "{seed}: {got:?}");
    }
}

#[test_case(8, 3; "small fleet")]
#[test_case(78, 2; "grown fleet")]
fn limits_hold_with_restarts_cuts_and_lost_datagrams(daemons: usize, seeds: u64) {
    for seed in 1..=seeds {
        let limits = [Some(4.1), Some(2.8), Some(20.0), None];
        let load = Load { loss: 0.1, trouble: true, ..Load::new(daemons, &limits) };
        let got = Play::run(load, seed);
        assert!(got.worst <= 1.0, "{seed}: {got:?}");
    }
}

#[test]
fn an_endpoint_that_names_no_limit_any_more_gets_its_share_again() {
    let until = Duration::from_secs(10);
    let limits = [Some(2.0), Some(2.0)];
    let load = Load { until, calls: 30.0, ..Load::new(8, &limits) };
    let got = Play::run(load, 1);
    assert!(got.worst <= 1.0, "{got:?}");
    let refused: usize = got.refused.values().sum();
    assert!(refused < 30 * 8, "refused after the limits were lifted: {got:?}");
}

/// A slot is held by one call and taken by another, and both reach the endpoint.
#[test]
fn drafts_keep_to_limits_of_prefill_and_decode_endpoints() {
    let mut rig = Rig::new();
    rig.list(vec![
        model("p1", 1, Stage::Prefill),
        model("d1", 2, Stage::Decode),
        model("d2", 3, Stage::Decode),
    ]);
    let limits = BTreeMap::from([("p1", 2.0), ("d1", 4.0)]);
    for (name, rate) in &limits {
        let endpoint = rig.state.directory.find(name).expect("listed");
        rig.feed(Event::CallLimit { endpoint, rate: Some(*rate) });
    }
    let mut calls: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..200 {
        let id = rig.call("/draft/1", 14_000, Some(prompt(100)));
        while let Some(attempt) = rig.starts().pop() {
            *calls.entry(attempt.target.instance.clone()).or_default() += 1;
            let outcome = match attempt.op {
                Op::Hold { .. } => held(),
                Op::Prefill => prefilled(),
                _ => Outcome::Streaming,
            };
            rig.came(id, attempt.number, outcome);
        }
        rig.feed(Event::CallerLeft(id));
        rig.effects.clear();
        rig.pass_ms(50);
    }
    for (name, rate) in limits {
        let got = calls[name] as f64 / 10.0;
        assert!(rate / 3.0 < got && got <= rate, "{name}: {calls:?}");
    }
}

#[test]
fn questions_of_unknown_addresses_take_no_permits() {
    let mut rig = numbered(1);
    rig.list(vec![plain("e1", 1)]);
    let endpoint = rig.state.directory.find("e1").expect("listed");
    let hash = rig.state.directory.hash(endpoint).expect("listed");
    rig.feed(Event::CallLimit { endpoint, rate: Some(4.0) });
    let ask = Permit { endpoint: hash, word: PermitKind::Ask.into(), wait: u32::MAX };
    for n in 1..1000_u16 {
        let from = SocketAddr::from(([10, 9, 0, 1], n));
        rig.feed(Event::gossip(from, LoadGossip { permits: vec![ask], ..LoadGossip::default() }));
    }
    rig.pass_ms(3000);
    let permits: usize = rig.beats().iter().map(|(_, beat)| beat.permits.len()).sum();
    assert_eq!(permits, 0);
}
