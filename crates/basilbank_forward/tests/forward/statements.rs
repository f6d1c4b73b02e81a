//! What endpoints state in their answers holds for every way to send them something.

use std::time::Duration;

use basilbank_forward::{event::Liveness, prelude::*};
use test_case::test_case;

use crate::{
    fleet::stated::{Load, Play},
    rig::{BUSY, Rig, held, model, plain, prefilled, prompt},
};

fn key(rig: &Rig, instance: &str) -> EndpointKey {
    rig.state.directory.find(instance).expect("listed")
}

fn leave(rig: &mut Rig, instance: &str) {
    say(rig, instance, Said::Leaving);
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

/// What an endpoint's answer states, and what its lack of work after that comes from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Said {
    Leaving,
    Pause,
}

/// The pause that endpoints ask for.
const PAUSE: Duration = Duration::from_secs(3);

fn say(rig: &mut Rig, instance: &str, said: Said) {
    let endpoint = key(rig, instance);
    rig.feed(match said {
        Said::Leaving => Event::EndpointLeaving(endpoint),
        Said::Pause => Event::PauseRequested { endpoint, pause: PAUSE },
    });
}

#[test_case(Said::Leaving)]
#[test_case(Said::Pause)]
fn an_endpoint_that_wants_no_work_gets_no_first_tries(said: Said) {
    let mut rig = rig();
    assert_eq!(first_tries(&mut rig, "/stock/1", None), ["a", "b"]);
    say(&mut rig, "a", said);
    assert_eq!(first_tries(&mut rig, "/stock/1", None), ["b"]);
}

#[test_case(Said::Leaving)]
#[test_case(Said::Pause)]
fn an_endpoint_that_wants_no_work_gets_no_slots(said: Said) {
    let mut rig = rig();
    say(&mut rig, "d1", said);
    assert_eq!(first_tries(&mut rig, "/draft/1", Some(&prompt(500))), ["d2"]);
}

#[test_case(Said::Leaving, BUSY; "leaving after a refusal")]
#[test_case(Said::Leaving, Outcome::Answered { status: 500 }; "leaving after an error")]
#[test_case(Said::Pause, BUSY; "a pause after a refusal")]
#[test_case(Said::Pause, Outcome::Answered { status: 500 }; "a pause after an error")]
fn an_endpoint_that_wants_no_work_gets_no_retries(said: Said, outcome: Outcome) {
    let mut rig = rig();
    let id = rig.call("/sheet/1", 2000, None);
    let first = rig.start();
    let other = if first.target.instance == "a" { "b" } else { "a" };
    say(&mut rig, other, said);
    rig.came(id, first.number, outcome);
    assert!(rig.starts().iter().all(|retry| retry.target.instance != other));
}

#[test_case(Said::Leaving)]
#[test_case(Said::Pause)]
fn an_endpoint_that_wants_no_work_gets_no_second_copy_of_a_slow_call(said: Said) {
    let mut rig = rig();
    for _ in 0..40 {
        let id = rig.call("/sheet/1", 2500, None);
        let attempt = rig.start();
        rig.came(id, attempt.number, Outcome::Answered { status: 200 });
    }
    rig.call("/sheet/1", 2500, None);
    let first = rig.start();
    say(&mut rig, if first.target.instance == "a" { "b" } else { "a" }, said);
    rig.pass_ms(1000);
    assert!(rig.starts().is_empty());
}

#[test_case(Said::Leaving)]
#[test_case(Said::Pause)]
fn an_endpoint_that_wants_no_work_reads_no_prompts(said: Said) {
    let mut rig = rig();
    say(&mut rig, "p1", said);
    let id = rig.call("/draft/1", 8000, Some(prompt(500)));
    let hold = rig.start();
    rig.came(id, hold.number, held());
    let next = rig.start();
    assert!(matches!(next.op, Op::Stream { hold: Some(_) }), "{next:?}");
}

/// The slot was held, or the prompt read, before the endpoint said so.
#[test_case(Said::Leaving, false; "leaving while the prompt is read")]
#[test_case(Said::Leaving, true; "leaving when the prompt has been read")]
#[test_case(Said::Pause, false; "a pause while the prompt is read")]
#[test_case(Said::Pause, true; "a pause when the prompt has been read")]
fn a_slot_at_an_endpoint_that_wants_no_work_is_not_used(said: Said, read: bool) {
    let mut rig = rig();
    let id = rig.call("/draft/1", 8000, Some(prompt(500)));
    let hold = rig.start();
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    assert!(matches!(prefill.op, Op::Prefill));
    say(&mut rig, &hold.target.instance, said);
    rig.came(id, prefill.number, if read { prefilled() } else { BUSY });
    let next = rig.start();
    assert!(matches!(next.op, Op::Hold { .. }), "{next:?}");
    assert_ne!(next.target.instance, hold.target.instance);
}

/// A draft goes on elsewhere if it can't be sent any more.
#[test_case(Said::Leaving)]
#[test_case(Said::Pause)]
fn work_that_was_withheld_goes_elsewhere(said: Said) {
    let mut rig = rig();
    let id = rig.call("/stock/1", 2000, None);
    let first = rig.start();
    say(&mut rig, &first.target.instance, said);
    assert!(!rig.state.may_send(first.target.endpoint, Purpose::Work, rig.now()));
    rig.came(id, first.number, Outcome::Withheld);
    assert_ne!(rig.start().target.instance, first.target.instance);
}

#[test_case(Said::Leaving, Purpose::Work, false)]
#[test_case(Said::Leaving, Purpose::Order, false)]
#[test_case(Said::Leaving, Purpose::Release, true)]
#[test_case(Said::Leaving, Purpose::Probe, true)]
#[test_case(Said::Pause, Purpose::Work, false)]
#[test_case(Said::Pause, Purpose::Order, false)]
#[test_case(Said::Pause, Purpose::Release, false)]
#[test_case(Said::Pause, Purpose::Probe, false)]
fn what_may_be_sent_to_an_endpoint(said: Said, purpose: Purpose, may_send: bool) {
    let mut rig = rig();
    say(&mut rig, "p1", said);
    assert_eq!(rig.state.may_send(key(&rig, "p1"), purpose, rig.now()), may_send);
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

#[test]
fn an_endpoint_gets_work_again_when_its_pause_is_over() {
    let mut rig = rig();
    say(&mut rig, "a", Said::Pause);
    rig.pass(PAUSE - Duration::from_millis(1));
    assert_eq!(first_tries(&mut rig, "/stock/1", None), ["b"]);
    rig.pass_ms(1);
    assert_eq!(first_tries(&mut rig, "/stock/1", None), ["a", "b"]);
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let mut rig = rig();
    say(&mut rig, "a", Said::Pause);
    let (endpoint, pause) = (key(&rig, "a"), Duration::from_millis(100));
    rig.feed(Event::PauseRequested { endpoint, pause });
    rig.pass_ms(200);
    assert_eq!(first_tries(&mut rig, "/stock/1", None), ["b"]);
}

#[test]
fn a_pause_lasts_when_the_record_goes_and_comes_back() {
    let mut rig = rig();
    say(&mut rig, "a", Said::Pause);
    rig.change(vec![], &["a"]);
    rig.list(vec![plain("a", 1)]);
    assert_eq!(first_tries(&mut rig, "/stock/1", None), ["b"]);
}

/// A pause longer than a third of the caller's time: it can come back and be served elsewhere.
#[test]
fn a_call_is_refused_at_once_while_all_endpoints_want_a_pause() {
    let mut rig = rig();
    say(&mut rig, "a", Said::Pause);
    say(&mut rig, "b", Said::Pause);
    rig.call("/stock/1", 2000, None);
    let refusal = rig.effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, retry_after, .. } => Some((*refusal, *retry_after)),
        _ => None,
    });
    let (refusal, retry_after) = refusal.expect("refused");
    assert_eq!(refusal, Refusal::EndpointsPaused);
    assert!(refusal.is_not_run());
    assert_eq!(retry_after, Some(PAUSE));
}

#[test_case("/stock/1", None, &["a", "b"]; "a plain call")]
#[test_case("/draft/1", Some(prompt(500)), &["d1", "d2"]; "a draft")]
fn a_call_waits_for_the_end_of_short_pauses(path: &str, prompt: Option<Prompt>, all: &[&str]) {
    let mut rig = rig();
    for instance in all {
        say(&mut rig, instance, Said::Pause);
    }
    rig.call(path, 14_000, prompt);
    rig.pass(PAUSE - Duration::from_millis(1));
    assert!(rig.starts().is_empty());
    rig.pass_ms(1);
    assert_eq!(rig.starts().len(), 1);
}

/// How many releases were sent since the last look.
fn releases(rig: &mut Rig) -> usize {
    let is_release =
        |effect: &Effect| matches!(effect, Effect::ReleaseHold { .. } | Effect::FreeKv { .. });
    let count = rig.effects.iter().filter(|effect| is_release(effect)).count();
    rig.effects.clear();
    count
}

#[test_case(1000, 1; "it still holds the slot")]
#[test_case(2500, 0; "the slot expires meanwhile")]
fn a_slot_is_given_back_after_the_pause(pause_ms: u64, count: usize) {
    let mut rig = rig();
    let id = rig.call("/draft/1", 8000, Some(prompt(500)));
    let hold = rig.start();
    rig.came(id, hold.number, held());
    let (endpoint, pause) = (hold.target.endpoint, Duration::from_millis(pause_ms));
    rig.feed(Event::PauseRequested { endpoint, pause });
    rig.feed(Event::CallerLeft(id));
    assert_eq!(releases(&mut rig), 0);
    rig.pass_ms(pause_ms - 1);
    assert_eq!(releases(&mut rig), 0);
    rig.pass_ms(1);
    assert_eq!(releases(&mut rig), count);
}

/// The endpoint is forgotten with its last call, before the release is sent.
#[test]
fn a_slot_at_an_endpoint_off_the_list_is_given_back() {
    let mut rig = rig();
    let id = rig.call("/draft/1", 8000, Some(prompt(500)));
    let hold = rig.start();
    rig.came(id, hold.number, held());
    rig.change(vec![], &[&hold.target.instance]);
    rig.feed(Event::CallerLeft(id));
    assert_eq!(releases(&mut rig), 1);
    let endpoint = hold.target.endpoint;
    assert!(rig.state.may_send(endpoint, Purpose::Release, rig.now()));
    assert!(!rig.state.may_send(endpoint, Purpose::Work, rig.now()));
}

#[test]
fn a_dark_endpoint_that_wants_a_pause_is_not_asked_until_its_end() {
    let mut rig = rig();
    let id = rig.call("/stock/1", 2000, None);
    let first = rig.start();
    let endpoint = first.target.endpoint;
    rig.feed(Event::PauseRequested { endpoint, pause: PAUSE });
    rig.came(id, first.number, Outcome::Unreachable);
    // The call waits at the other endpoint meanwhile, which is probed for that.
    let is_probe =
        |effect: &Effect| matches!(effect, Effect::Probe(target) if target.endpoint == endpoint);
    rig.pass(PAUSE - Duration::from_millis(1));
    assert!(!rig.effects.iter().any(is_probe));
    rig.pass_ms(1);
    assert!(rig.effects.iter().any(is_probe));
}

/// A probe that was due as the endpoint asked is not counted as one without an answer.
#[test]
fn a_probe_that_was_withheld_comes_after_the_pause() {
    let mut rig = rig();
    let id = rig.call("/stock/1", 2000, None);
    let first = rig.start();
    let endpoint = first.target.endpoint;
    rig.came(id, first.number, Outcome::Unreachable);
    rig.pass_ms(300);
    rig.feed(Event::PauseRequested { endpoint, pause: PAUSE });
    rig.feed(Event::Probed { endpoint, liveness: Liveness::Withheld });
    rig.effects.clear();
    rig.pass(PAUSE);
    assert!(rig.effects.iter().any(|effect| matches!(effect, Effect::Probe(_))));
}

#[test]
fn an_endpoint_that_wants_a_pause_gets_no_orders() {
    let orders = |pauses: &[&str]| {
        let mut rig = Rig::new();
        let prefill = (1..).zip(["p1", "p2", "p3", "p4"]);
        let decode = (10..).zip(["d1", "d2"]);
        let mut list: Vec<_> =
            prefill.map(|(port, name)| model(name, port, Stage::Prefill)).collect();
        list.extend(decode.map(|(port, name)| model(name, port, Stage::Decode)));
        rig.list(list);
        for instance in pauses {
            say(&mut rig, instance, Said::Pause);
        }
        rig.feed(Event::OrderRight(OrderRight::AtOnce));
        rig.pass_ms(1500);
        let ordered = rig.effects.iter().filter_map(|effect| match effect {
            Effect::Order { target, .. } => Some(target.instance.clone()),
            _ => None,
        });
        ordered.collect::<Vec<_>>()
    };
    assert!(!orders(&[]).is_empty());
    assert!(orders(&["p1", "p2", "p3", "p4"]).is_empty());
    assert!(!orders(&["p1"]).contains(&"p1".to_owned()));
}

/// Daemons restart and are cut off from their peers meanwhile, and datagrams are lost.
#[test_case(8, 66.0, 5; "small fleet")]
#[test_case(78, 240.0, 3; "grown fleet")]
#[test_case(195, 190.0, 1; "large fleet")]
fn fleets_keep_to_what_endpoints_state(daemons: usize, calls: f64, seeds: u64) {
    for seed in 1..=seeds {
        for trouble in [false, true] {
            let load = Load { daemons, calls, trouble, loss: if trouble { 0.1 } else { 0.001 } };
            let got = Play::run(load, seed);
            assert_eq!(got.to_leaver, 0, "{seed}: {got:?}");
            assert_eq!(got.in_pause, 0, "{seed}: {got:?}");
            assert!(0 < got.pauses, "{seed}: {got:?}");
            assert!(got.calls * 9 / 10 <= got.served, "{seed}: {got:?}");
        }
    }
}
