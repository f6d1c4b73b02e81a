//! Endpoints that say what they should not.

use basilbank_standin::managed::{Misdeed, World, WorldSpec};
use test_case::test_case;

use crate::support::{plain, world};

fn misbehave(world: &World, n: usize, misdeed: Misdeed) {
    world.plain[n].misbehave(misdeed);
}

fn ran(world: &World) -> usize {
    world.plain.iter().map(|e| e.served().ran.len()).sum()
}

/// Symptom: a caller got half an answer, another call's answer, or bytes that are none, as a success.
/// Sequence: an endpoint ran the call and its answer was damaged in one of these ways.
/// Cause: the answer was passed on as it came.
#[test_case(Misdeed::Lost)]
#[test_case(Misdeed::Torn)]
#[test_case(Misdeed::Mistaken)]
#[test_case(Misdeed::Garbage)]
fn a_damaged_answer_is_no_success_and_the_call_not_repeated(misdeed: Misdeed) {
    let world = world();
    (0..2).for_each(|n| misbehave(&world, n, misdeed));
    let answer = plain(world.callers(0), "POST /stock/1", b"order");
    assert_eq!((answer.status, answer.whole), (502, true));
    assert_eq!(ran(&world), 1);
}

/// Guards against calls that ran and are refused, as their connection had served others before.
#[test_case(Misdeed::Lost => 502)]
#[test_case(Misdeed::Torn => 502)]
#[test_case(Misdeed::Mistaken => 502)]
#[test_case(Misdeed::Garbage => 502)]
#[test_case(Misdeed::Hanging => 504)]
fn a_call_that_ran_over_a_kept_connection_is_not_refused(misdeed: Misdeed) -> u16 {
    let world = World::start(&WorldSpec { plain: 1, ..WorldSpec::default() }).expect("a world");
    assert_eq!(plain(world.callers(0), "POST /stock/1", b"x").status, 200);
    misbehave(&world, 0, misdeed);
    let answer = plain(world.callers(0), "POST /stock/2", b"x");
    assert_eq!(ran(&world), 2);
    answer.status
}

#[test_case(Misdeed::Lost)]
#[test_case(Misdeed::Torn)]
#[test_case(Misdeed::Mistaken)]
#[test_case(Misdeed::Garbage)]
#[test_case(Misdeed::Error)]
#[test_case(Misdeed::Full)]
fn an_idempotent_call_is_answered_by_the_other_endpoint(misdeed: Misdeed) {
    let world = world();
    misbehave(&world, 0, misdeed);
    for _ in 0..6 {
        let answer = plain(world.callers(0), "GET /sheet/1", b"");
        assert_eq!((answer.status, answer.text().as_str()), (200, "GET /sheet/1 by plain-1"));
    }
}

#[test]
fn a_call_that_was_not_run_goes_elsewhere_whatever_its_kind() {
    let world = world();
    misbehave(&world, 0, Misdeed::Full);
    for _ in 0..6 {
        assert_eq!(plain(world.callers(0), "POST /stock/1", b"x").status, 200);
    }
    assert_eq!(ran(&world), 6);
}

#[test]
fn a_call_that_nobody_runs_is_refused_with_a_time_to_come_back() {
    let world = world();
    (0..2).for_each(|n| misbehave(&world, n, Misdeed::Full));
    let answer = plain(world.callers(0), "POST /stock/1", b"x");
    assert_eq!(answer.status, 503);
    let after: f64 = answer.header("retry-after").and_then(|v| v.parse().ok()).unwrap_or(0.0);
    assert!(0.0 < after && after < 2.0, "{after}");
    assert_eq!(ran(&world), 0);
}

/// Symptom: a caller got the answer of an earlier call.
/// Sequence: an endpoint answered twice on a connection; the next call on it read the second answer.
/// Cause: a connection with bytes left over was used again.
#[test]
fn a_second_answer_belongs_to_nobody() {
    let world = world();
    (0..2).for_each(|n| misbehave(&world, n, Misdeed::Doubled));
    for n in 0..12 {
        let line = format!("GET /sheet/{n}");
        let answer = plain(world.callers(0), &line, b"");
        if answer.status == 200 {
            assert!(answer.text().starts_with(&format!("{line} by")), "{}", answer.text());
        }
    }
}
