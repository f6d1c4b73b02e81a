//! Endpoints come, drain, go and are replaced.

use basilbank_standin::managed::{EndpointSpec, World, WorldSpec, call};

use crate::support::{eventually, plain, world};

fn answered_by(world: &World, instance: &str) -> bool {
    let answers = (0..8).map(|_| plain(world.callers(0), "GET /sheet/1", b"").text());
    answers.collect::<Vec<_>>().iter().any(|text| text.ends_with(instance))
}

#[test]
fn a_new_endpoint_gets_work_and_a_draining_one_gets_none() {
    let mut world = world();
    world.add_plain(EndpointSpec::plain("plain-9")).expect("an endpoint");
    eventually("the new one serves", || answered_by(&world, "plain-9"));
    world.drain_plain(0);
    eventually("the draining one is left alone", || !answered_by(&world, "plain-0"));
}

/// Symptom: a call was run by another service's endpoint.
/// Sequence: an endpoint ended, and its address was given to another one before the list said so.
/// Cause: the address was taken for the endpoint.
#[test]
fn an_address_that_is_used_again_does_not_get_the_old_ones_calls() {
    let mut world = world();
    let old = world.plain.remove(0);
    let port = old.address().port();
    drop(old);
    world.add_model(EndpointSpec { port, ..EndpointSpec::model("reused", "decode") }).expect("it");
    for _ in 0..10 {
        let answer = plain(world.callers(0), "POST /stock/1", b"x");
        assert_eq!((answer.status, answer.text().as_str()), (200, "POST /stock/1 by plain-1"));
    }
}

#[test]
fn the_first_seed_orders_surplus_prefill_endpoints_once() {
    let spec = WorldSpec { daemons: 2, prefill: 4, decode: 2, ..WorldSpec::default() };
    let world = World::start(&spec).expect("a world");
    let orders = || world.model.iter().flat_map(|e| e.served().orders).collect::<Vec<_>>();
    eventually("two are ordered", || orders().len() == 2);
    let orders = orders();
    assert!(orders.iter().all(|order| order["holder"] == "vm-0" && order["stage"] == "decode"));
    assert_ne!(orders[0]["fence"], orders[1]["fence"]);
}

#[test]
fn counters_tell_of_each_step() {
    let world = world();
    plain(world.callers(0), "GET /sheet/1", b"");
    let metrics = call(world.ready(0), "GET /metrics", &[], b"").expect("metrics").text();
    for line in [
        "basilbank_forward_sent_total{reason=\"plain\"} 1",
        "basilbank_forward_outcomes_total{reason=\"answered\"} 1",
        "basilbank_forward_ended_total{reason=\"delivered\"} 1",
        "basilbank_forward_request_seconds_count 1",
    ] {
        assert!(metrics.contains(line), "{line} in {metrics}");
    }
}
