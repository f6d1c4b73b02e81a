//! What a daemon takes while it shuts down.

use std::time::Duration;

use basilbank_forward::prelude::*;
use test_case::test_case;

use crate::rig::{BUSY, Rig, held, model, plain, prefilled, prompt};

/// From the signal to the end of the process.
const GRACE: Duration = Duration::from_millis(7400);

fn leaving_for(ms: u64) -> Rig {
    let mut rig = Rig::new();
    rig.list(vec![plain("a", 1), model("p1", 2, Stage::Prefill), model("d1", 3, Stage::Decode)]);
    rig.feed(Event::Shutdown { grace: GRACE });
    rig.pass_ms(ms);
    rig.effects.clear();
    rig
}

/// Symptom: a caller's stream was cut after four seconds.
/// Sequence: a daemon is told to leave; three seconds later a draft comes over a connection that was
/// opened late; it streams until the daemon's time is over.
/// Cause: calls were taken until the listener closed, whatever they would last, though the balancer had
/// sent callers elsewhere for a second by then.
/// Evidence: the draft was taken 3.06 s after the signal and cut at 7.44 s, its endpoint still at work.
#[test]
fn a_draft_that_may_outlast_the_daemon_is_refused_once_others_take_it() {
    let mut rig = leaving_for(3060);
    rig.call("/draft/1", 14_000, Some(prompt(3000)));
    assert_eq!(rig.refusals(), [Refusal::Leaving]);
    assert!(Refusal::Leaving.is_not_run());
}

/// The balancer still sends callers here: one that came back would probably meet this daemon again, and
/// most drafts end in time.
#[test_case(0)]
#[test_case(2400)]
fn a_draft_is_taken_while_the_balancer_has_not_noticed(ms: u64) {
    let mut rig = leaving_for(ms);
    rig.call("/draft/1", 14_000, Some(prompt(3000)));
    assert!(matches!(rig.start().op, Op::Hold { .. }));
}

#[test_case(3060, 1000, true; "it ends in time")]
#[test_case(3060, 4300, true; "it just ends in time")]
#[test_case(3060, 4600, false; "it may be cut")]
#[test_case(7000, 1000, false; "hardly any time is left")]
fn a_plain_call_is_taken_if_it_ends_in_time(ms: u64, patience_ms: u64, taken: bool) {
    let mut rig = leaving_for(ms);
    rig.call("/stock/1", patience_ms, None);
    assert_eq!(rig.refusals().is_empty(), taken);
}

#[test]
fn an_unknown_route_stays_unknown_to_a_daemon_that_leaves() {
    let mut rig = leaving_for(3060);
    rig.call("/nowhere/", 14_000, None);
    assert_eq!(rig.refusals(), [Refusal::UnknownRoute]);
}

/// A daemon that has been leaving for some time, and whose only decode endpoint is full. A draft waits
/// for room there.
fn with_waiting_draft(ms: u64) -> Rig {
    let mut rig = leaving_for(ms);
    rig.call("/draft/1", 60_000, Some(prompt(9000)));
    rig.call("/draft/2", 60_000, Some(prompt(9000)));
    assert_eq!(rig.starts().len(), 1, "the second waits");
    rig
}

#[test]
fn a_waiting_draft_is_refused_when_it_would_outlast_the_daemon() {
    let mut rig = with_waiting_draft(2000);
    rig.pass_ms(1900);
    assert_eq!(rig.refusals(), [], "it may still end in time");
    rig.pass_ms(400);
    assert_eq!(rig.refusals(), [Refusal::Leaving]);
    assert!(rig.state.waiting.is_empty());
}

#[test]
fn a_waiting_draft_stays_while_its_caller_would_come_back_here() {
    let mut rig = with_waiting_draft(0);
    rig.pass_ms(2400);
    assert_eq!(rig.refusals(), []);
    assert_eq!(rig.state.waiting.len(), 1);
}

#[test]
fn what_waits_at_the_end_of_the_shutdown_is_refused_as_not_run() {
    let mut rig = Rig::new();
    rig.list(vec![model("p1", 2, Stage::Prefill), model("d1", 3, Stage::Decode)]);
    rig.call("/draft/1", 60_000, Some(prompt(9000)));
    rig.call("/draft/2", 60_000, Some(prompt(9000)));
    rig.feed(Event::Shutdown { grace: GRACE });
    rig.feed(Event::ShutdownOver);
    assert_eq!(rig.refusals(), [Refusal::Leaving, Refusal::Leaving], "a held slot runs nothing");
}

#[test]
fn what_may_have_run_at_the_end_of_the_shutdown_gets_a_failure() {
    let mut rig = leaving_for(0);
    rig.call("/stock/1", 60_000, None);
    rig.feed(Event::ShutdownOver);
    let refusals = rig.refusals();
    assert_eq!(refusals, [Refusal::ShutDown]);
    assert!(!refusals[0].is_not_run());
}

#[test]
fn a_stream_at_the_end_of_the_shutdown_does_not_look_complete() {
    let mut rig = leaving_for(0);
    let id = rig.call("/draft/1", 60_000, Some(prompt(1000)));
    rig.came(id, 0, held());
    rig.came(id, 1, prefilled());
    rig.came(id, 2, Outcome::Streaming);
    rig.effects.clear();
    rig.feed(Event::ShutdownOver);
    let is_abort =
        |effect: &Effect| matches!(effect, Effect::AbortStream { request, .. } if *request == id);
    assert!(rig.effects.iter().any(is_abort), "{:?}", rig.effects);
}

#[test]
fn a_draft_that_waits_for_a_paused_endpoint_is_refused_when_it_would_outlast_the_daemon() {
    let mut rig = leaving_for(2400);
    let endpoint = rig.state.directory.find("d1").expect("it is listed");
    rig.feed(Event::PauseRequested { endpoint, pause: Duration::from_millis(4400) });
    rig.effects.clear();
    rig.call("/draft/1", 14_000, Some(prompt(3000)));
    rig.pass_ms(2000);
    assert_eq!(rig.refusals(), [Refusal::Leaving]);
}

#[test]
fn a_silent_stream_stays_where_it_is_when_its_successor_would_outlast_the_daemon() {
    let mut rig = Rig::new();
    let decode = (0..3).map(|n| model(&format!("d{n}"), 10 + n, Stage::Decode));
    rig.list(decode.chain([model("p1", 1, Stage::Prefill)]).collect());
    rig.state.tuning.retry_slack = 6400.0;
    let id = rig.call("/draft/1", 14_000, Some(prompt(1000)));
    rig.came(id, 0, held());
    rig.came(id, 1, prefilled());
    rig.came(id, 2, Outcome::Streaming);
    rig.feed(Event::Shutdown { grace: GRACE });
    rig.pass_ms(5800);
    rig.effects.clear();
    let silent_for = Duration::from_millis(1150);
    rig.feed(Event::AttemptSilent { request: id, attempt: 2, silent_for });
    assert!(rig.starts().is_empty(), "no slot is held elsewhere");
}

/// A draft that came before the balancer had noticed, and whose steps until this one were answered. There
/// is another decode endpoint.
fn with_draft_at(step: usize) -> (Rig, RequestId, Attempt) {
    let mut rig = leaving_for(2400);
    rig.list(vec![model("d2", 4, Stage::Decode)]);
    rig.state.tuning.retry_slack = 10_000.0;
    let id = rig.call("/draft/1", 14_000, Some(prompt(1000)));
    for outcome in [held(), prefilled()].into_iter().take(step) {
        let attempt = rig.start();
        rig.came(id, attempt.number, outcome);
    }
    let attempt = rig.start();
    rig.effects.clear();
    (rig, id, attempt)
}

/// Symptom: a stream was cut since an endpoint was given the draft shortly before the daemon ended.
#[test_case(0, held(); "a slot is held")]
#[test_case(0, BUSY; "no slot is held")]
#[test_case(1, prefilled(); "the prompt is read")]
#[test_case(1, BUSY; "the prompt is not read")]
#[test_case(2, BUSY; "the decode endpoint is full")]
#[test_case(2, Outcome::Unreachable; "the decode endpoint is not reached")]
fn a_draft_that_nothing_has_run_goes_no_further_when_it_would_be_cut(
    step: usize,
    outcome: Outcome,
) {
    let (mut rig, id, attempt) = with_draft_at(step);
    rig.pass_ms(2500);
    rig.effects.clear();
    rig.came(id, attempt.number, outcome);
    assert!(rig.starts().is_empty(), "no work is begun");
    assert_eq!(rig.refusals(), [Refusal::Leaving]);
}

#[test_case(0, held())]
#[test_case(1, prefilled())]
#[test_case(2, BUSY)]
fn a_draft_goes_on_when_it_ends_in_time(step: usize, outcome: Outcome) {
    let (mut rig, id, attempt) = with_draft_at(step);
    rig.pass_ms(300);
    rig.effects.clear();
    rig.came(id, attempt.number, outcome);
    assert_eq!(rig.starts().len(), 1);
    assert_eq!(rig.refusals(), []);
}

/// Its caller would meet this daemon again.
#[test]
fn a_draft_goes_on_while_the_balancer_has_not_noticed() {
    let mut rig = Rig::new();
    rig.list(vec![model("p1", 2, Stage::Prefill), model("d1", 3, Stage::Decode)]);
    rig.feed(Event::Shutdown { grace: Duration::from_millis(3000) });
    let id = rig.call("/draft/1", 14_000, Some(prompt(1000)));
    let hold = rig.start();
    rig.pass_ms(100);
    rig.came(id, hold.number, held());
    assert!(matches!(rig.start().op, Op::Prefill));
}

#[test]
fn a_draft_that_may_have_run_is_not_refused_as_not_run() {
    let (mut rig, id, decode) = with_draft_at(2);
    rig.pass_ms(2500);
    rig.effects.clear();
    rig.came(id, decode.number, Outcome::Broken(Damage::CutOff));
    assert!(matches!(rig.start().op, Op::Hold { .. }));
    assert_eq!(rig.refusals(), []);
}
