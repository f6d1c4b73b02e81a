//! Endpoints that answer a call again, where the answer to the next call over the connection is due.

use std::time::Duration;

use basilbank_standin::managed::{
    Answer, AnsweredTwice, ManagedEndpoint, Paths, SecondAnswer, StoreFault, Weather, World,
    WorldSpec, call,
};
use test_case::test_case;

use crate::support::{draft_on, eventually};

/// Calls of a row, one after the other: enough for some to be sent again by the budget that calls earn.
const CALLS: usize = 24;

/// Calls that may be lost until it is known that an endpoint answers twice.
const MAX_LOST: usize = 2;

/// One endpoint of each kind. Where calls may not be sent again at will, most are refused after one
/// attempt, and some after two.
fn one_of_each(may_retry: bool) -> World {
    let default = WorldSpec::default();
    let retry_slack = if may_retry { default.retry_slack } else { 0 };
    let spec = WorldSpec { plain: 1, decode: 1, retry_slack, ..default };
    World::start(&spec).expect("a world")
}

fn endpoints(world: &World) -> impl Iterator<Item = &ManagedEndpoint> {
    world.plain.iter().chain(&world.model)
}

fn count_runs(world: &World, id: &str) -> usize {
    let ran = endpoints(world).flat_map(|endpoint| endpoint.served().ran);
    ran.filter(|request| request.header("x-attempt-id") == Some(id)).count()
}

fn order(world: &World, daemon: usize, id: &str) -> Answer {
    let headers =
        [("host", "shop.example"), ("x-attempt-id", id), ("x-deadline-remaining", "4000")];
    call(world.callers(daemon), &format!("POST /stock/{id}"), &headers, b"x").expect("an answer")
}

/// Answers that promise that nothing has run are true, nothing runs twice, and no caller gets what
/// isn't its own.
fn check(world: &World, id: &str, answer: &Answer) {
    assert!(answer.whole, "{id}: {answer:?}");
    let runs = count_runs(world, id);
    assert!(runs < 2, "{id} has run {runs} times");
    match answer.status {
        200 | 502 => {}
        503 => assert_eq!(runs, 0, "{id}: {}", answer.text()),
        _ => panic!("{id}: {} {}", answer.status, answer.text()),
    }
    assert!(!answer.text().contains("second"), "{id}: {}", answer.text());
}

fn order_some(world: &World, daemon: usize) {
    for n in 0..CALLS {
        let id = format!("c{n}");
        check(world, &id, &order(world, daemon, &id));
    }
}

/// The second daemon has no path to endpoints of its own.
fn one_behind_a_peer(may_retry: bool) -> (World, Paths) {
    let mut world = one_of_each(may_retry);
    let paths = world.add_with_paths().expect("a daemon with paths");
    paths.set(Weather::Refuse);
    eventually("a call by a peer", || order(&world, 1, "first").status == 200);
    (world, paths)
}

fn lost(answers: &[Answer]) -> usize {
    answers.iter().filter(|answer| answer.status != 200).count()
}

/// Guards against calls that are refused though they ran, or that get another call's failure.
#[test_case(SecondAnswer::refusal(503); "a refusal")]
#[test_case(SecondAnswer::refusal(429); "too many requests")]
#[test_case(SecondAnswer::refusal(400); "a bad request that was not run")]
#[test_case(SecondAnswer::refusal(421); "another instance")]
#[test_case(SecondAnswer::failure(404); "not found")]
#[test_case(SecondAnswer::failure(500); "a failure")]
#[test_case(SecondAnswer { sealed: true, ..SecondAnswer::failure(200) }; "a success")]
#[test_case(SecondAnswer { has_id: true, ..SecondAnswer::refusal(503) }; "the former call's refusal")]
#[test_case(SecondAnswer { has_id: true, sealed: true, ..SecondAnswer::failure(500) }; "the former call's failure")]
fn a_second_answer_is_not_the_next_calls(second: SecondAnswer) {
    for may_retry in [true, false] {
        let world = one_of_each(may_retry);
        world.plain[0].answer_twice(Some(second));
        order_some(&world, 0);
    }
}

/// Guards against the same where a peer calls the endpoint for the daemon.
#[test_case(SecondAnswer::refusal(503); "a refusal")]
#[test_case(SecondAnswer::refusal(421); "another instance")]
#[test_case(SecondAnswer::failure(404); "not found")]
fn a_second_answer_by_a_peer_is_not_the_next_calls(second: SecondAnswer) {
    for may_retry in [true, false] {
        let (world, _paths) = one_behind_a_peer(may_retry);
        world.plain[0].answer_twice(Some(second));
        order_some(&world, 1);
    }
}

/// Guards against a refusal that is believed twice: the call goes on over its connection and runs.
#[test]
fn a_refusal_that_comes_twice_is_not_the_next_attempts() {
    for may_retry in [true, false] {
        let world = one_of_each(may_retry);
        world.plain[0].refuse_first();
        world.plain[0].answer_twice(Some(SecondAnswer::own_refusal()));
        order_some(&world, 0);
    }
}

/// Guards against the same where a peer calls the endpoint for the daemon.
#[test]
fn a_refusal_that_comes_twice_by_a_peer_is_not_the_next_attempts() {
    for may_retry in [true, false] {
        let (world, _paths) = one_behind_a_peer(may_retry);
        world.plain[0].refuse_first();
        world.plain[0].answer_twice(Some(SecondAnswer::own_refusal()));
        order_some(&world, 1);
    }
}

/// Guards against completions that are refused though they ran.
#[test_case(SecondAnswer::refusal(503); "a refusal")]
#[test_case(SecondAnswer::refusal(421); "another instance")]
#[test_case(SecondAnswer::failure(404); "not found")]
fn a_second_answer_is_not_the_next_completions(second: SecondAnswer) {
    for may_retry in [true, false] {
        let world = one_of_each(may_retry);
        world.model.iter().for_each(|endpoint| endpoint.answer_twice(Some(second)));
        for n in 0..CALLS {
            let id = format!("d{n}");
            let answer = draft_on(world.callers(0), "/once/1", &id, &format!("{n:x}:1000"), 3);
            check(&world, &id, &answer);
        }
    }
}

/// Guards against calls that are lost again and again at an endpoint that answers twice.
#[test_case(SecondAnswer::refusal(503); "without an id")]
#[test_case(SecondAnswer { has_id: true, sealed: true, ..SecondAnswer::failure(200) }; "with the former call's id")]
fn few_calls_are_lost_at_an_endpoint_that_answers_twice(second: SecondAnswer) {
    let world = one_of_each(true);
    world.plain[0].answer_twice(Some(second));
    let answers: Vec<_> = (0..CALLS).map(|n| order(&world, 0, &format!("c{n}"))).collect();
    assert!(lost(&answers) <= MAX_LOST, "{} of {}", lost(&answers), answers.len());
}

fn draft_some(world: &World, name: &str) {
    for n in 0..CALLS {
        let id = format!("{name}{n}");
        let answer = draft_on(world.callers(0), "/once/1", &id, &format!("{n:x}:1000"), 3);
        check(world, &id, &answer);
    }
}

fn count_seconds(world: &World) -> usize {
    endpoints(world).map(|endpoint| endpoint.served().seconds).sum()
}

fn is_drafted(world: &World, id: &str) -> bool {
    draft_on(world.callers(0), "/once/1", id, "f00d:1000", 3).status == 200
}

/// Guards against completions that are refused though they ran, or that get what isn't their own, behind
/// a slot's second answer.
#[test_case(SecondAnswer::refusal(503); "a refusal")]
#[test_case(SecondAnswer::refusal(429); "too many requests")]
#[test_case(SecondAnswer::refusal(421); "another instance")]
#[test_case(SecondAnswer::failure(404); "not found")]
#[test_case(SecondAnswer::failure(500); "a failure")]
#[test_case(SecondAnswer::failure(200); "a success without a slot")]
#[test_case(SecondAnswer::slot(); "another slot")]
#[test_case(SecondAnswer { sealed: true, ..SecondAnswer::slot() }; "another slot with a mark")]
fn a_slots_second_answer_is_not_the_next_calls(second: SecondAnswer) {
    for may_retry in [true, false] {
        let world = one_of_each(may_retry);
        let second = SecondAnswer { to: AnsweredTwice::Slot, ..second };
        world.model.iter().for_each(|endpoint| endpoint.answer_twice(Some(second)));
        draft_some(&world, "d");
        assert_ne!(count_seconds(&world), 0);
        world.model.iter().for_each(|endpoint| endpoint.answer_twice(None));
        eventually("completions are served again", || is_drafted(&world, "after"));
    }
}

/// Guards against the same behind an order's second answer, and against orders that are given again.
#[test_case(SecondAnswer::failure(202); "accepted")]
#[test_case(SecondAnswer::refusal(503); "a refusal")]
#[test_case(SecondAnswer::refusal(421); "another instance")]
#[test_case(SecondAnswer::failure(409); "an older fencing number")]
#[test_case(SecondAnswer { sealed: true, ..SecondAnswer::failure(200) }; "a success")]
fn an_orders_second_answer_is_not_the_next_calls(second: SecondAnswer) {
    let spec = WorldSpec { prefill: 4, decode: 2, ..WorldSpec::default() };
    let world = World::start(&spec).expect("a world");
    // Nothing is asked of the endpoint over the order's connection while its stage changes.
    let delay = Some(Duration::from_millis(3));
    let second = SecondAnswer { to: AnsweredTwice::Order, delay, ..second };
    world.model.iter().for_each(|endpoint| endpoint.answer_twice(Some(second)));
    let orders = || world.model.iter().map(|e| e.served().orders.len()).sum::<usize>();
    eventually("orders are given", || orders() != 0);
    draft_some(&world, "d");
    eventually("two are ordered", || orders() == 2);
    draft_some(&world, "e");
    assert_eq!(orders(), 2);
    assert_ne!(count_seconds(&world), 0);
}

/// Guards against a list or a configuration that isn't followed any more, or goes back, behind the
/// store's second answers.
#[test_case(Duration::ZERO; "at once")]
#[test_case(Duration::from_millis(3); "a little later")]
#[test_case(Duration::from_millis(700); "while the next one is awaited")]
fn the_stores_second_answers_are_not_the_next_ones(delay: Duration) {
    let mut world = one_of_each(true);
    world.store.set_fault(StoreFault::Twice(delay));
    for n in 0..4 {
        world.drain_plain(0);
        eventually("the endpoint leaves", || order(&world, 0, &format!("l{n}")).status != 200);
        assert!((0..10).all(|m| order(&world, 0, &format!("l{n}-{m}")).status == 503));
        world.list_plain(0);
        eventually("the endpoint returns", || order(&world, 0, &format!("r{n}")).status == 200);
        assert!((0..10).all(|m| order(&world, 0, &format!("r{n}-{m}")).status == 200));
    }
    world.add_another().expect("it gets ready");
    eventually("the new daemon serves", || order(&world, 1, "new").status == 200);
}
