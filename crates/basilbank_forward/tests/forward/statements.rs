//! What endpoints state in their answers holds for every way to send them something.

use basilbank_forward::prelude::*;
use test_case::test_case;

use crate::rig::{BUSY, Rig, held, model, plain, prefilled, prompt};

fn key(rig: &Rig, instance: &str) -> EndpointKey {
    rig.state.directory.find(instance).expect("listed")
}

fn leave(rig: &mut Rig, instance: &str) {
    let key = key(rig, instance);
    rig.feed(Event::EndpointLeaving(key));
}

/// Two plain endpoints, a prefill endpoint and two decode endpoints.
fn rig() -> Rig {
    let mut rig = Rig::new();
    rig.list(vec![
        plain("a", 1),
        plain("b", 2),
        model("p1", 3, Stage::Prefill),
        model("d1", 4, Stage::Decode),
        model("d2", 5, Stage::Decode),
    ]);
    rig.effects.clear();
    rig
}

/// The instances that get the first attempts of some calls.
fn first_tries(rig: &mut Rig, path: &str, prompt: Option<&Prompt>) -> Vec<String> {
    let mut seen = Vec::new();
    for _ in 0..30 {
        let id = rig.call(path, 8000, prompt.cloned());
        seen.extend(rig.starts().into_iter().map(|attempt| attempt.target.instance));
        rig.feed(Event::CallerLeft(id));
    }
    seen.sort();
    seen.dedup();
    seen
}

#[test]
fn an_endpoint_that_says_it_leaves_gets_no_first_tries() {
    let mut rig = rig();
    assert_eq!(first_tries(&mut rig, "/stock/1", None), ["a", "b"]);
    leave(&mut rig, "a");
    assert_eq!(first_tries(&mut rig, "/stock/1", None), ["b"]);
}

#[test]
fn an_endpoint_that_says_it_leaves_gets_no_slots() {
    let mut rig = rig();
    leave(&mut rig, "d1");
    assert_eq!(first_tries(&mut rig, "/draft/1", Some(&prompt(500))), ["d2"]);
}

#[test_case(BUSY; "after a refusal")]
#[test_case(Outcome::Answered { status: 500 }; "after an error")]
fn an_endpoint_that_says_it_leaves_gets_no_retries(outcome: Outcome) {
    let mut rig = rig();
    let id = rig.call("/sheet/1", 2000, None);
    let first = rig.start();
    let other = if first.target.instance == "a" { "b" } else { "a" };
    leave(&mut rig, other);
    rig.came(id, first.number, outcome);
    assert!(rig.starts().iter().all(|retry| retry.target.instance != other));
}

#[test]
fn an_endpoint_that_says_it_leaves_gets_no_second_copy_of_a_slow_call() {
    let mut rig = rig();
    for _ in 0..40 {
        let id = rig.call("/sheet/1", 2500, None);
        let attempt = rig.start();
        rig.came(id, attempt.number, Outcome::Answered { status: 200 });
    }
    rig.call("/sheet/1", 2500, None);
    let first = rig.start();
    leave(&mut rig, if first.target.instance == "a" { "b" } else { "a" });
    rig.pass_ms(1000);
    assert!(rig.starts().is_empty());
}

#[test]
fn an_endpoint_that_says_it_leaves_reads_no_prompts() {
    let mut rig = rig();
    leave(&mut rig, "p1");
    let id = rig.call("/draft/1", 8000, Some(prompt(500)));
    let hold = rig.start();
    rig.came(id, hold.number, held());
    let next = rig.start();
    assert!(matches!(next.op, Op::Stream { hold: Some(_) }), "{next:?}");
}

/// The slot was held, or the prompt read, before the endpoint said so.
#[test_case(false; "while the prompt is read")]
#[test_case(true; "when the prompt has been read")]
fn a_slot_at_an_endpoint_that_says_it_leaves_is_not_used(read: bool) {
    let mut rig = rig();
    let id = rig.call("/draft/1", 8000, Some(prompt(500)));
    let hold = rig.start();
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    assert!(matches!(prefill.op, Op::Prefill));
    leave(&mut rig, &hold.target.instance);
    rig.came(id, prefill.number, if read { prefilled() } else { BUSY });
    let next = rig.start();
    assert!(matches!(next.op, Op::Hold { .. }), "{next:?}");
    assert_ne!(next.target.instance, hold.target.instance);
}

/// A draft goes on elsewhere if it can't be sent any more.
#[test]
fn work_that_was_withheld_goes_elsewhere() {
    let mut rig = rig();
    let id = rig.call("/stock/1", 2000, None);
    let first = rig.start();
    leave(&mut rig, &first.target.instance);
    assert!(!rig.state.may_send(first.target.endpoint, Purpose::Work));
    rig.came(id, first.number, Outcome::Withheld);
    assert_ne!(rig.start().target.instance, first.target.instance);
}

#[test_case(Purpose::Work, false)]
#[test_case(Purpose::Order, false)]
#[test_case(Purpose::Release, true)]
#[test_case(Purpose::Probe, true)]
fn what_may_be_sent_to_an_endpoint_that_says_it_leaves(purpose: Purpose, may_send: bool) {
    let mut rig = rig();
    leave(&mut rig, "p1");
    assert_eq!(rig.state.may_send(key(&rig, "p1"), purpose), may_send);
}

/// Where the store can't be written, the record goes on saying ready; it may even lapse and come back.
#[test_case(false; "the record is read again")]
#[test_case(true; "the record goes and comes back")]
fn a_record_that_says_ready_takes_no_leaving_back(lapses: bool) {
    let mut rig = rig();
    leave(&mut rig, "a");
    if lapses {
        rig.change(vec![], &["a"]);
        rig.pass_ms(5000);
    }
    rig.list(vec![EndpointInfo { slots: 7, ..plain("a", 1) }]);
    assert_eq!(first_tries(&mut rig, "/stock/1", None), ["b"]);
}

#[test]
fn the_next_start_of_an_endpoint_that_left_gets_work() {
    let born = |at| EndpointInfo { start_time: Some(at), ..plain("a", 1) };
    let mut rig = rig();
    rig.change(vec![], &["a"]);
    rig.list(vec![born(10)]);
    leave(&mut rig, "a");
    assert_eq!(first_tries(&mut rig, "/stock/1", None), ["b"]);
    rig.list(vec![born(20)]);
    assert_eq!(first_tries(&mut rig, "/stock/1", None), ["a", "b"]);
}

/// An endpoint that left is no sign that a call crashes endpoints.
#[test]
fn an_endpoint_that_said_it_leaves_has_not_crashed() {
    let mut rig = rig();
    let id = rig.call("/stock/1", 2000, None);
    let first = rig.start();
    leave(&mut rig, &first.target.instance);
    rig.came(id, first.number, Outcome::Broken(Damage::Closed));
    rig.effects.clear();
    rig.change(vec![], &[&first.target.instance]);
    let is_crash = |effect: &Effect| matches!(effect, Effect::Log(line) if line.name == "crashed");
    assert!(!rig.effects.iter().any(is_crash));
}

#[test]
fn peers_are_told_to_avoid_an_endpoint_that_says_it_leaves() {
    let mut rig = rig();
    leave(&mut rig, "a");
    assert_eq!(rig.state.directory.avoided(rig.now()).count(), 1);
    rig.list(vec![EndpointInfo { draining: true, ..plain("b", 2) }]);
    leave(&mut rig, "b");
    assert_eq!(rig.state.directory.avoided(rig.now()).count(), 1, "they read the record");
}
