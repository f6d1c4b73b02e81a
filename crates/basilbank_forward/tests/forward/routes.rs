//! Routes and readiness.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_wire::{LoadGossip, StoreRevision};
use test_case::test_case;

use crate::rig::{DESK, Rig, WRITER, plain, route, table};

#[test_case("shop.example", "/sheet/1", Some("sheet"))]
#[test_case("shop.example", "/sheet/deep/2", Some("deep"))]
#[test_case("shop.example", "/sheet", None; "a prefix ends with a slash")]
#[test_case("other.example", "/sheet/1", None; "another host")]
fn the_longest_prefix_is_the_route(host: &str, path: &str, name: Option<&str>) {
    let mut deep = route("/sheet/deep/", RouteKind::Idempotent, "desk", 1);
    deep.name = "deep".to_owned();
    let table = RouteTable::new(1)
        .with_routes(vec![route("/sheet/", RouteKind::Idempotent, "desk", 1), deep]);
    assert_eq!(table.find(host, path).map(|r| r.name.as_str()), name);
}

#[test]
fn weights_split_a_route() {
    let mut split = route("/s/", RouteKind::Idempotent, "desk", 1);
    split.split = vec![("a".to_owned(), 90), ("b".to_owned(), 10)];
    let count = (0..100).filter(|n| split.pick_service(f64::from(*n) / 100.0) == Some("b")).count();
    assert_eq!(count, 10);
}

/// Symptom: callers got 404 for routes that exist.
/// Sequence: a daemon started, and a call came before it had read the configuration.
/// Cause: no configuration looked like one without routes.
#[test]
fn a_daemon_without_a_configuration_does_not_deny_routes() {
    let mut rig = Rig::new();
    rig.call("/nowhere/", 1000, None);
    assert_eq!(rig.refusals(), [Refusal::NotReady], "endpoints are not known yet");
    rig.list(vec![plain("a", 1)]);
    rig.call("/nowhere/", 1000, None);
    assert_eq!(rig.refusals(), [Refusal::UnknownRoute]);
}

/// Symptom: callers got 404 for a route that was in force, and did not try again.
/// Sequence: operators add a route; a peer reads it, and says so; this daemon's own reading is under
/// way for a second, or can't be had; a call of the new route comes.
/// Cause: what the daemon knew to be out of date was the ground of a final answer.
#[test]
fn a_daemon_that_knows_of_a_newer_configuration_does_not_deny_routes() {
    let mut rig = Rig::new();
    rig.list(vec![plain("a", 1)]);
    let from = SocketAddr::from(([10, 0, 1, 2], 7000));
    let news = StoreRevision { era: 0, number: 500 };
    let beat = LoadGossip {
        incarnation: 1,
        sequence: 1,
        routes_news: Some(news),
        ..LoadGossip::default()
    };
    rig.feed(Event::gossip(from, beat));
    rig.call("/nowhere/", 1000, None);
    assert_eq!(rig.refusals(), [Refusal::Outdated]);
    rig.call("/sheet/1", 1000, None);
    assert_eq!(rig.start().op, Op::Plain, "a route that it knows is served");
    rig.set_revision(500);
    rig.configure(table(2));
    rig.call("/nowhere/", 1000, None);
    assert_eq!(rig.refusals(), [Refusal::UnknownRoute]);
}

/// Symptom: a route that had been added was denied again.
/// Sequence: an older reading of the store arrived after a newer one.
/// Cause: the reading that came last won.
#[test]
fn an_older_configuration_does_not_come_back() {
    let mut rig = Rig::new();
    rig.configure(table(7));
    rig.configure(table(5));
    assert_eq!(rig.state.routes.version, 7);
}

#[test]
fn a_daemon_is_ready_when_it_knows_all_and_stays() {
    let mut rig = Rig::new();
    assert!(!rig.state.is_ready());
    rig.list(vec![plain("a", 1)]);
    assert!(rig.state.is_ready());
    rig.feed(Event::Shutdown { grace: Duration::from_secs(8) });
    assert!(!rig.state.is_ready());
}

/// Guards against an overflow that ends the process.
#[test]
fn weights_of_any_size_are_summed() {
    let split = vec![(DESK.to_owned(), u32::MAX), (WRITER.to_owned(), u32::MAX)];
    let route = Route { split, ..route("/stock/", RouteKind::NonIdempotent, DESK, 1) };
    assert_eq!(route.pick_service(0.49), Some(DESK));
    assert_eq!(route.pick_service(0.51), Some(WRITER));
}
