//! Endpoints and daemons that leave get no new work and lose nothing.

use std::time::Duration;

use basilbank_core::prelude::*;
use test_case::test_case;

use crate::{
    claims::finish_plain,
    fleet::{Fleet, SECOND, stock_order},
    world::{Ask, End, Moment, Place, Spec, Step, Who, World},
};

/// When something begins to leave.
const LEAVE: Duration = Duration::from_secs(10);
/// New work may still come for this long.
const BOUND: Duration = Duration::from_secs(3);

/// A world with work for all pools.
fn busy(seconds: u32) -> World {
    let mut world = World::new(Spec::kitafuji());
    for i in 0..seconds * 10 {
        let at = SECOND * 3 + Duration::from_millis(100) * i;
        world.ask(Ask::draft(i as usize % 2, 1500, 40).at(at));
        world.ask(Ask::plain(i as usize % 2, "GET").at(at));
    }
    world
}

fn ends(world: &World) -> Vec<Option<End>> {
    world.report().asks.iter().map(|a| a.end).collect()
}

/// Symptom: requests are sent to an endpoint that is going away and die with it. Cause would be that
/// some daemon, or the endpoint's steward, has not heard of it: the endpoint's own word reaches only
/// those that read it or are refused by it.
#[test_case("decode-1", false; "decode by its own word")]
#[test_case("prefill-1", false; "prefill by its own word")]
#[test_case("decode-1", true; "decode by the catalogue")]
#[test_case("prefill-1", true; "prefill by the catalogue")]
#[test_case("plain-1", true; "plain by the catalogue")]
fn an_endpoint_that_leaves_gets_no_new_work_after_three_seconds(name: &str, by_catalogue: bool) {
    let mut world = busy(20);
    let number = world.endpoints.iter().position(|e| e.name == name).unwrap();
    let step = if by_catalogue {
        let mut catalogue = world.spec.catalogue();
        let endpoint = catalogue.endpoints.iter_mut().find(|e| e.name == name).unwrap();
        endpoint.leaving = true;
        Step::Publish(Box::new(catalogue))
    } else {
        Step::Leave(Place::Endpoint(number))
    };
    world.at(LEAVE, step);
    world.run_until(SECOND * 40);
    let late: Vec<_> = world.record.late.iter().filter(|l| l.marked + BOUND < l.at).collect();
    assert!(late.is_empty(), "{late:?}");
    assert!(ends(&world).iter().all(|end| *end == Some(End::Done)));
}

/// Symptom: a caller's answer stops in the middle when its VM is replaced. SIGTERM finishes what is in
/// progress, however long it takes, and then the process ends.
#[test_case(Ask::draft(0, 4000, 200), Moment::Arrived; "draft arrived")]
#[test_case(Ask::draft(0, 4000, 200), Moment::Prefill; "draft in prefill")]
#[test_case(Ask::draft(0, 4000, 200), Moment::Transfer; "draft in transfer")]
#[test_case(Ask::draft(0, 4000, 200), Moment::Decoding(20); "draft in decode")]
#[test_case(Ask::plain(0, "POST"), Moment::Sent; "plain call sent")]
fn a_daemon_that_is_told_to_stop_finishes_what_it_has(ask: Ask, moment: Moment) {
    let mut world = World::new(Spec::kitafuji());
    let ask = world.ask(ask.at(LEAVE));
    world.when(ask, moment, Step::Shutdown(Who::Home(ask)));
    world.run_until(SECOND * 60);
    assert_eq!(ends(&world), [Some(End::Done)]);
    assert!(world.record.cut.is_empty(), "{:?}", world.record.cut);
    let gone = world.daemons.iter().filter(|d| d.brain.is_none()).count();
    assert_eq!(gone, 1, "the process has ended");
}

/// Symptom: a key stays taken though its request has ended. Sequence: the last request of a daemon that
/// leaves ends, the word of it is lost, and there is nobody left to say it again.
#[test]
fn a_daemon_stays_until_voters_know_how_its_requests_ended() {
    let mut fleet = Fleet::usual(8);
    fleet.skip(Tuning::default().key_window);
    fleet.run(SECOND * 3);
    fleet.call(0, Some("order-1"), stock_order());
    fleet.run(SECOND);
    fleet.feed(0, Event::Shutdown);
    fleet.run(SECOND * 2);
    assert!(fleet.exits.is_empty(), "its request is in progress");
    fleet.holds = Some(|p| matches!(p.message.body, Some(Body::Settle(_))));
    finish_plain(&mut fleet, 0);
    fleet.run(SECOND);
    assert!(fleet.exits.is_empty(), "the voters have not heard");
    fleet.release();
    fleet.run(SECOND);
    assert!(!fleet.exits.is_empty());
}

/// Symptom: requests are refused for seconds whenever a VM is replaced, because its stewardships pass
/// on only when its peers miss it. All daemons are replaced, one after the other.
#[test]
fn stewardships_pass_on_when_daemons_are_replaced() {
    let mut world = busy(60);
    for daemon in 0..8 {
        let at = LEAVE + SECOND * 5 * daemon as u32;
        world.at(at, Step::Shutdown(Who::Daemon(daemon)));
        world.at(at + SECOND * 3, Step::Start(daemon));
    }
    world.run_until(SECOND * 100);
    // A call that is on its way when its daemon is told to stop is refused, and not run.
    let is_fair =
        |end: &Option<End>| matches!(end, Some(End::Done | End::Refused(Refusal::ShuttingDown)));
    let unfair: Vec<_> = ends(&world).into_iter().filter(|end| !is_fair(end)).collect();
    assert!(unfair.is_empty(), "{} {unfair:?}", unfair.len());
    assert!(world.record.cut.is_empty(), "{:?}", world.record.cut);
    assert!(world.record.dropped.is_empty(), "{:?}", world.record.dropped);
}
