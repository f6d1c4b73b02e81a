//! Who waits for how long, and who is told what when.

use std::time::Duration;

use basilbank_core::prelude::*;

use super::{START, done, found, millis, secs};
use crate::world::{Ask, AskReport, End, Pool, Spec, World};

/// Two prefill endpoints that take half a second for each draft, and twice as many decode slots as are
/// needed.
fn scarce_prefill() -> Spec {
    let base = Spec::small();
    let decode = Pool { slots: 4, ..base.decode };
    Spec { prefill_rate: 2_000.0, decode, ..base }
}

fn in_time(spec: &Spec, ask: &AskReport) -> bool {
    ask.end == Some(End::Done) && ask.ttft.is_some_and(|ttft| ttft <= spec.drafts.ttft)
}

/// Symptom: at twice the capacity hardly any draft is in time, though half of them could be.
/// Sequence: drafts come twice as fast as prefill endpoints compute them.
/// Cause: drafts that were late already held the decode slots while they waited for a prefill, and
/// the slots of those in time were granted without the time that prefill and transfer take.
#[test]
fn late_drafts_do_not_make_others_late() {
    let spec = scarce_prefill();
    let mut world = World::new(spec.clone());
    for i in 0..160 {
        world.ask(Ask::draft(i as usize % 2, 1000, 5).at(START + millis(125) * i));
    }
    world.run_until(START + secs(60));
    let good = world.report().asks.iter().filter(|a| in_time(&spec, a)).count();
    assert!(70 <= good, "{good} of 80 that can be");
    assert_eq!(found(&world), Vec::<String>::new());
}

/// Symptom: a call that may not wait is refused long after its target has passed.
/// Sequence: many more calls come than the service can run.
/// Cause (guarded against): an estimate that is looked at only when a slot comes free.
#[test]
fn what_can_not_be_in_time_is_refused_at_once() {
    let base = Spec::small();
    let plain = Pool { slots: 2, backlog: 4, ..base.plain };
    let mut world = World::new(Spec { plain, ..base });
    for i in 0..1500 {
        world.ask(Ask::plain(i as usize % 2, "GET").at(START + millis(2) * i));
    }
    world.run_until(START + secs(10));
    let target = world.spec.calls.ttft;
    for one in &world.callers.tries {
        let Some((at, End::Refused(refusal))) = one.end else { continue };
        assert_eq!(refusal, Refusal::TargetMissed);
        assert!(at - one.sent <= target + millis(120), "{:?}", at - one.sent);
    }
    let refused =
        world.callers.tries.iter().filter(|t| matches!(t.end, Some((_, End::Refused(_)))));
    let told: Vec<_> = refused.map(|t| t.after).collect();
    let is_useful =
        |after: &Option<Duration>| after.is_some_and(|a| (millis(250)..=secs(60)).contains(&a));
    assert!(told.iter().all(is_useful), "{told:?}");
    let served = done(&world, |_| true);
    assert!((500..1500).contains(&served), "{served}");
}

/// Symptom: drafts that nobody can serve are told so only when their class's whole wait is over.
/// Sequence: an overload that lasts; in it drafts in time always come before late ones.
/// Cause: the wait was estimated from those who wait now, not from those who come.
#[test]
fn late_drafts_are_given_up_before_their_wait_is_over() {
    let spec = scarce_prefill();
    let mut world = World::new(spec);
    for i in 0..400 {
        world.ask(Ask::draft(i as usize % 2, 1000, 5).at(START + millis(100) * i));
    }
    world.run_until(START + secs(80));
    let wait = world.spec.drafts.ttft + world.spec.drafts.max_wait;
    let refused = world.callers.tries.iter().filter_map(|one| match one.end {
        Some((at, End::Refused(_))) => Some(at - one.sent),
        _ => None,
    });
    let mut waits: Vec<_> = refused.collect();
    waits.sort();
    assert!(100 <= waits.len(), "{}", waits.len());
    assert!(waits[waits.len() / 2] < wait / 2, "{:?}", waits[waits.len() / 2]);
}

/// Symptom: a short draft waits behind a long one at one prefill endpoint while another is idle.
/// Sequence: a long draft, then some short ones.
/// Cause: as many prompts were granted to an endpoint as it has slots, though it computes them one
/// after the other.
#[test]
fn prompts_wait_at_the_steward_and_not_at_the_endpoint() {
    let mut world = World::new(scarce_prefill());
    let long = world.ask(Ask::draft(0, 5000, 5).at(START));
    for i in 0..8 {
        world.ask(Ask::draft(0, 200, 5).at(START + millis(50 + 10 * i)));
    }
    world.run_until(START + secs(10));
    let report = world.report();
    let short = report.asks.iter().enumerate().filter(|(i, _)| *i != long);
    let slowest = short.filter_map(|(_, a)| a.ttft).max();
    // The long prefill takes 2.5 s, the eight short ones at the other endpoint 0.8 s.
    assert!(slowest.is_some_and(|ttft| ttft < millis(1200)), "{slowest:?}");
}
