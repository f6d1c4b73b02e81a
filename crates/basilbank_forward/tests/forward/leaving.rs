//! What a daemon takes while it shuts down.

use std::time::Duration;

use basilbank_forward::prelude::*;
use test_case::test_case;

use crate::rig::{Rig, model, plain, prompt};

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
