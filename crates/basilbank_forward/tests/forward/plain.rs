//! Calls to plain services.

use basilbank_forward::prelude::*;
use test_case::test_case;

use crate::rig::{BUSY, Rig, plain};

fn rig() -> Rig {
    let mut rig = Rig::new();
    rig.list(vec![plain("a", 1), plain("b", 2)]);
    // Enough calls that the retry budget allows some.
    for _ in 0..40 {
        let id = rig.call("/sheet/1", 2500, None);
        let attempt = rig.start();
        rig.came(id, attempt.number, Outcome::Answered { status: 200 });
    }
    rig.effects.clear();
    rig
}

/// Symptom: a caller was told 503, "not run", for an order that ran.
/// Sequence: the call was at an endpoint when the caller's time was over; no answer had come.
/// Cause: only an answer counted as a sign that it may have run.
#[test]
fn a_call_at_an_endpoint_is_not_refused_as_not_run() {
    let mut rig = rig();
    rig.call("/stock/1", 1000, None);
    rig.starts();
    rig.pass_ms(1100);
    assert_eq!(rig.refusals(), [Refusal::TimedOut]);
    assert!(!Refusal::TimedOut.is_not_run());
}

#[test_case(Outcome::Broken(Damage::Closed), &[Refusal::Broken]; "broken")]
#[test_case(Outcome::TimedOut, &[Refusal::TimedOut]; "silent")]
fn a_call_that_may_have_run_is_not_sent_again(outcome: Outcome, refusals: &[Refusal]) {
    let mut rig = rig();
    let id = rig.call("/stock/1", 2500, None);
    let first = rig.start();
    rig.came(id, first.number, outcome);
    assert!(rig.starts().is_empty());
    assert_eq!(rig.refusals(), refusals);
}

#[test_case(BUSY; "busy")]
#[test_case(Outcome::Unreachable; "unreachable")]
#[test_case(Outcome::NotRun(NotRun::WrongInstance); "wrong instance")]
fn a_call_that_was_not_run_goes_to_another_endpoint(outcome: Outcome) {
    let mut rig = rig();
    let id = rig.call("/stock/1", 2500, None);
    let first = rig.start();
    rig.came(id, first.number, outcome);
    let second = rig.start();
    assert_ne!(first.target.endpoint, second.target.endpoint);
}

#[test]
fn an_idempotent_call_is_tried_again_after_a_server_error() {
    let mut rig = rig();
    let id = rig.call("/sheet/1", 2500, None);
    let first = rig.start();
    rig.came(id, first.number, Outcome::Answered { status: 500 });
    let second = rig.start();
    assert_ne!(first.target.endpoint, second.target.endpoint);
    rig.came(id, second.number, Outcome::Answered { status: 500 });
    assert!(rig.delivered(), "the route allows two attempts: the second answer stands");
}

#[test]
fn an_idempotent_call_that_is_slow_is_asked_for_at_a_second_endpoint() {
    let mut rig = rig();
    let id = rig.call("/sheet/1", 2500, None);
    let first = rig.start();
    rig.pass_ms(100);
    assert!(rig.starts().is_empty());
    rig.pass_ms(50);
    let second = rig.start();
    assert_ne!(first.target.endpoint, second.target.endpoint);
    rig.came(id, second.number, Outcome::Answered { status: 200 });
    assert!(rig.delivered());
    let stopped =
        |e: &Effect| matches!(e, Effect::Stop { attempt, .. } if *attempt == first.number);
    assert!(rig.effects.iter().any(stopped), "the first endpoint works for nobody now");
}

/// Guards against an endpoint that never answers in time, and is asked first again and again.
#[test_case(true; "it has answered before")]
#[test_case(false; "it has never answered")]
fn an_endpoint_that_others_always_outpace_is_asked_last(has_answered: bool) {
    let mut rig = Rig::new();
    let all = vec![plain("a", 1), plain("b", 2), plain("c", 3)];
    rig.list(if has_answered { all.clone() } else { all[1..].to_vec() });
    for _ in 0..40 {
        let id = rig.call("/sheet/1", 2500, None);
        let attempt = rig.start();
        rig.pass_ms(5);
        rig.came(id, attempt.number, Outcome::Answered { status: 200 });
    }
    rig.list(all);
    rig.effects.clear();
    let mut met = 0;
    for _ in 0..30 {
        let id = rig.call("/sheet/1", 2500, None);
        let mut attempt = rig.start();
        if attempt.target.instance == "a" {
            met += 1;
            rig.pass_ms(150);
            attempt = rig.start();
        }
        rig.pass_ms(5);
        rig.came(id, attempt.number, Outcome::Answered { status: 200 });
    }
    assert!(met <= 2, "{met} of 30");
}

#[test]
fn a_caller_that_leaves_stops_its_attempt() {
    let mut rig = rig();
    let id = rig.call("/sheet/1", 2500, None);
    rig.starts();
    rig.feed(Event::CallerLeft(id));
    assert!(rig.effects.iter().any(|e| matches!(e, Effect::Stop { .. })));
    assert!(rig.state.requests.is_empty());
}

#[test]
fn an_endpoint_that_could_not_be_reached_is_avoided_for_a_while() {
    let mut rig = rig();
    let id = rig.call("/stock/1", 2500, None);
    let first = rig.start();
    rig.came(id, first.number, Outcome::Unreachable);
    rig.starts();
    for _ in 0..20 {
        rig.call("/stock/1", 2500, None);
        assert_ne!(rig.start().target.endpoint, first.target.endpoint);
    }
}

/// Symptom: calls that were at work at an endpoint were failed by the router.
/// Sequence: an idempotent call was slow, and the retry budget was used up.
/// Cause: a second endpoint could not be asked, and the call was given up for it.
#[test]
fn a_slow_call_goes_on_when_there_is_no_budget_for_a_second_endpoint() {
    let mut rig = Rig::new();
    rig.state.tuning.retry_slack = 0.0;
    rig.list(vec![plain("a", 1), plain("b", 2)]);
    let id = rig.call("/sheet/1", 2500, None);
    let first = rig.start();
    rig.pass_ms(300);
    assert!(rig.starts().is_empty());
    rig.came(id, first.number, Outcome::Answered { status: 200 });
    assert!(rig.delivered());
}
