//! The checker finds a planted violation of each promise, and nothing where all is well.

mod world;

use std::{rc::Rc, time::Duration};

use basilbank_core::prelude::*;
use test_case::test_case;
use world::{Ask, Bounds, Brain, Finding, Place, Promise, Spec, Step, Who, World, check};

/// What a planted fault makes of the effects of one event.
type Twist = fn(&Event, &mut Vec<Effect>);

/// The product's core with a planted fault.
struct Faulty {
    state: State,
    twist: Twist,
    back: u64,
}

impl Brain for Faulty {
    fn reduce(&mut self, now: Now, event: Event, out: &mut Vec<Effect>) {
        let kept = event.clone();
        self.state.reduce(now, event, out);
        (self.twist)(&kept, out);
    }

    fn wake_at(&self) -> Option<Duration> {
        self.state.wake_at()
    }

    fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    fn revision(&self) -> u64 {
        let revision = self.state.view.catalogue.revision;
        if 2 < revision { revision - self.back } else { revision }
    }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// A run with one of everything that the promises are about.
fn run(twist: Twist, back: u64) -> Vec<Finding> {
    let mut spec = Spec::small();
    spec.brain = Rc::new(move |local, now| {
        Box::new(Faulty { state: State::new(local, now), twist, back }) as Box<dyn Brain>
    });
    let catalogue = spec.catalogue();
    let mut world = World::new(spec);
    for i in 0..4 {
        world.ask(Ask::draft(0, 500, 30).at(secs(2 + i)));
        world.ask(Ask::plain(1, "POST").at(secs(2 + i)));
    }
    let left = world.ask(Ask::draft(1, 500, 500).at(secs(3)));
    world.at(secs(4), Step::Cancel(left));
    world.at(secs(4), Step::Publish(Box::new(catalogue.clone())));
    let mut leaving = catalogue;
    leaving.endpoints[4].leaving = true;
    world.at(secs(5), Step::Publish(Box::new(leaving)));
    world.at(secs(6), Step::Leave(Place::Endpoint(1)));
    for i in 0..8 {
        world.ask(Ask::plain(1, "GET").at(secs(12 + i)));
    }
    for daemon in 0..2 {
        let mut ask = Ask::draft(0, 500, 60).at(secs(20));
        ask.daemon = Some(daemon);
        world.ask(ask);
    }
    world.at(secs(20) + Duration::from_millis(500), Step::Shutdown(Who::Daemon(0)));
    world.run_until(secs(60));
    check(&world, &Bounds::default())
}

fn nothing(_: &Event, _: &mut Vec<Effect>) {}

fn forget_cancels(_: &Event, out: &mut Vec<Effect>) {
    out.retain(|e| {
        !matches!(e, Effect::Engine(EngineCall::Cancel { .. } | EngineCall::Reap { .. }))
    });
}

fn double_tokens(_: &Event, out: &mut Vec<Effect>) {
    let tokens = |e: &&Effect| matches!(e, Effect::Answer { answer: Answer::Tokens { .. }, .. });
    let again: Vec<_> = out.iter().filter(tokens).cloned().collect();
    out.extend(again);
}

fn double_ends(_: &Event, out: &mut Vec<Effect>) {
    let ends = |e: &&Effect| matches!(e, Effect::Answer { answer: Answer::Done { .. }, .. });
    let again: Vec<_> = out.iter().filter(ends).cloned().collect();
    out.extend(again);
}

fn lose_a_token(_: &Event, out: &mut Vec<Effect>) {
    out.retain(|e| !matches!(e, Effect::Answer { answer: Answer::Tokens { offset: 7, .. }, .. }));
}

fn mix_up(_: &Event, out: &mut Vec<Effect>) {
    for effect in out {
        if let Effect::Answer { answer: Answer::Tokens { texts, .. }, .. } = effect {
            texts[0] = "f00.1".into();
        }
    }
}

fn deny_runs(_: &Event, out: &mut Vec<Effect>) {
    for effect in out {
        if let Effect::Answer { answer, .. } = effect
            && matches!(answer, Answer::Done { .. } | Answer::Plain { .. })
        {
            *answer = Answer::Refused { refusal: Refusal::NoEndpoint, retry_after: None };
        }
    }
}

fn call_twice(_: &Event, out: &mut Vec<Effect>) {
    let plain = |e: &&Effect| matches!(e, Effect::Engine(EngineCall::Plain { .. }));
    let again: Vec<_> = out.iter().filter(plain).cloned().collect();
    out.extend(again);
}

fn call_leaving(_: &Event, out: &mut Vec<Effect>) {
    for effect in out {
        if let Effect::Engine(EngineCall::Plain { endpoint, .. }) = effect {
            *endpoint = EndpointId::of("plain-0");
        }
    }
}

fn exit_at_once(event: &Event, out: &mut Vec<Effect>) {
    if matches!(event, Event::Shutdown) {
        out.push(Effect::Exit);
    }
}

fn never_exit(_: &Event, out: &mut Vec<Effect>) {
    out.retain(|e| *e != Effect::Exit);
}

fn never_check(event: &Event, out: &mut Vec<Effect>) {
    let first = match event {
        Event::Platform(PlatformEvent::Documents { revision, .. }) => *revision == 1,
        _ => false,
    };
    out.retain(|e| first || !matches!(e, Effect::CheckCatalogue { .. }));
}

#[test_case(forget_cancels, Promise::Memory; "cancels are forgotten")]
#[test_case(double_tokens, Promise::Single; "tokens come twice")]
#[test_case(double_ends, Promise::Single; "ends come twice")]
#[test_case(lose_a_token, Promise::Whole; "a token is lost")]
#[test_case(mix_up, Promise::Whole; "a token of another")]
#[test_case(deny_runs, Promise::NotRun; "runs are denied")]
#[test_case(call_twice, Promise::Once; "calls are made twice")]
#[test_case(call_leaving, Promise::Leaving; "leaving endpoints are called")]
#[test_case(exit_at_once, Promise::Shutdown; "a shutdown cuts")]
#[test_case(never_exit, Promise::Shutdown; "a shutdown does not end")]
#[test_case(never_check, Promise::Catalogue; "changes are ignored")]
fn planted_fault_is_found(twist: Twist, promise: Promise) {
    let found = run(twist, 0);
    assert!(found.iter().any(|f| f.promise == promise), "{found:#?}");
}

#[test]
fn planted_return_to_an_older_catalogue_is_found() {
    let found = run(nothing, 2);
    assert!(found.iter().any(|f| f.text.contains("went back")), "{found:#?}");
}

#[test]
fn nothing_is_found_where_all_is_well() {
    assert_eq!(run(nothing, 0), []);
}
