//! Callers with keys, over sockets.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use basilbank_standin::managed::{Answer, StoreFault, World, call, configuration};
use serde_json::json;
use test_case::test_case;

use crate::support::{eventually, next_id, world};

/// The bound after which a key that was taken away opens nothing, by the settings' default.
const BOUND: Duration = Duration::from_secs(5);

/// Puts a configuration in force in which a team has these keys, and `/open/` needs none.
fn configure(world: &World, version: u64, keys: &[&str], rate: f64) {
    let mut value = configuration(version, &["/open/"]);
    for route in value["routes"].as_array_mut().expect("routes") {
        let public = route["prefix"] == "/open/";
        route["public"] = json!(public);
    }
    value["tenants"] =
        json!([{ "name": "team-1", "apiKeys": keys, "ratePerS": rate, "burst": rate }]);
    world.store.put("op/config", &value);
}

/// A world in which calls need the key `k-1`.
fn keyed() -> World {
    let world = world();
    configure(&world, 5, &["k-1"], 0.0);
    let to = world.callers(0);
    eventually("keys are needed", || with(to, "/sheet/1", &[]).status == 401);
    world
}

fn with(to: SocketAddr, path: &str, more: &[(&str, &str)]) -> Answer {
    let id = next_id();
    let headers =
        [("host", "shop.example"), ("x-attempt-id", &id), ("x-deadline-remaining", "4000")];
    call(to, &format!("GET {path}"), &[&headers[..], more].concat(), b"").expect("an answer")
}

fn key(key: &str) -> (&str, &str) {
    ("x-credential", key)
}

/// What endpoints ran since the start.
fn ran(world: &World) -> usize {
    world.plain.iter().map(|endpoint| endpoint.served().ran.len()).sum()
}

/// Symptom: endpoints got callers' keys, and believed callers who they were.
#[test]
fn endpoints_get_the_team_and_never_the_key() {
    let world = keyed();
    let answer = with(world.callers(0), "/sheet/2", &[key("k-1"), ("x-tenant", "team-2")]);
    assert_eq!(answer.status, 200);
    let all = world.plain.iter().flat_map(|endpoint| endpoint.served().ran);
    // Calls before keys were needed ran without a team, perhaps at the endpoint that is listed last.
    let of_team: Vec<_> = all.filter(|request| request.path() == "/sheet/2").collect();
    assert_eq!(of_team.len(), 1);
    assert_eq!(of_team[0].header("x-tenant"), Some("team-1"));
    assert_eq!(of_team[0].header("x-credential"), None);
}

#[test_case(&[]; "no key")]
#[test_case(&[("x-credential", "k-2")]; "an unknown key")]
#[test_case(&[("x-credential", "k-1"), ("x-credential", "k-1")]; "two headers")]
fn nothing_is_run_for_callers_without_a_key(more: &[(&str, &str)]) {
    let world = keyed();
    let before = ran(&world);
    let answer = with(world.callers(0), "/sheet/1", more);
    assert_eq!(answer.status, 401, "{}", answer.text());
    assert_eq!(answer.header("retry-after"), None);
    assert!(answer.text().contains("key"), "{}", answer.text());
    assert_eq!(ran(&world), before);
}

#[test]
fn a_public_route_needs_no_key() {
    let world = keyed();
    assert_eq!(with(world.callers(0), "/open/1", &[]).status, 200);
}

#[test]
fn a_key_that_is_taken_away_opens_nothing_and_a_new_one_does() {
    let world = keyed();
    configure(&world, 6, &["k-2"], 0.0);
    let to = world.callers(0);
    eventually("the new key opens", || with(to, "/sheet/1", &[key("k-2")]).status == 200);
    assert_eq!(with(to, "/sheet/1", &[key("k-1")]).status, 401);
}

/// Symptom: a key that had been taken away was served by a daemon that could not read the store.
#[test_case(StoreFault::Silent)]
#[test_case(StoreFault::Busy; "turned away")]
#[test_case(StoreFault::Lost; "answers are lost")]
fn a_daemon_that_cant_read_the_store_stops_serving_keys_in_time(fault: StoreFault) {
    let world = keyed();
    let to = world.callers(0);
    world.store.set_fault(fault);
    configure(&world, 6, &["k-2"], 0.0);
    let taken = Instant::now();
    let mut served = Duration::ZERO;
    while taken.elapsed() < BOUND + Duration::from_millis(500) {
        let sent = taken.elapsed();
        if with(to, "/sheet/1", &[key("k-1")]).status == 200 {
            served = sent;
        }
        thread::sleep(Duration::from_millis(50));
    }
    assert!(served < BOUND, "still served after {served:?}");
    assert!(BOUND / 2 < served, "a short outage costs nothing: closed after {served:?}");
    let answer = with(to, "/sheet/1", &[key("k-2")]);
    assert_eq!(answer.status, 503, "the key may be good by now");
    assert!(answer.header("retry-after").is_some());
    assert_eq!(with(to, "/open/1", &[]).status, 200, "public routes go on");
    world.store.set_fault(StoreFault::None);
    eventually("it serves again", || with(to, "/sheet/1", &[key("k-2")]).status == 200);
}

#[test]
fn a_team_beyond_its_quota_is_told_when_to_come_back() {
    let world = keyed();
    configure(&world, 6, &["k-1"], 2.0);
    let to = world.callers(0);
    let mut refused = None;
    eventually("the quota binds", || {
        let answer = with(to, "/sheet/1", &[key("k-1")]);
        refused = (answer.status == 429).then_some(answer);
        refused.is_some()
    });
    let after = refused.as_ref().and_then(|answer| answer.header("retry-after"));
    let after: f64 = after.and_then(|text| text.parse().ok()).expect("a time");
    assert!((0.05..5.0).contains(&after), "{after}");
    thread::sleep(Duration::from_secs_f64(after + 0.2));
    assert_eq!(with(to, "/sheet/1", &[key("k-1")]).status, 200);
}
