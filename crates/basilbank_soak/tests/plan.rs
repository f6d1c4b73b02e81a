//! Plans follow from their seeds.

use std::{collections::HashSet, time::Duration};

use basilbank_soak::plan::{Fault, Sizes, plan};
use basilbank_standin::managed::{BreakKind, BreakPlace, Framing, Misdeed};

const SIZES: Sizes =
    Sizes { daemons: 3, endpoints: 8, plain: 3, prefill: 2, traffic: Duration::from_secs(10) };

#[test]
fn the_same_seed_gives_the_same_plan_and_another_one_another() {
    assert_eq!(plan(7, SIZES), plan(7, SIZES));
    assert_ne!(plan(7, SIZES), plan(8, SIZES));
}

#[test]
fn faults_come_in_order_and_before_the_traffic_ends() {
    for seed in 0..200 {
        let plan = plan(seed, SIZES);
        assert!(9 <= plan.len());
        assert!(plan.is_sorted_by_key(|(at, _)| *at));
        assert!(plan.iter().all(|(at, _)| *at <= SIZES.traffic.mul_f64(0.7)));
    }
}

#[test]
fn fifty_seeds_have_every_kind_of_fault() {
    let faults: Vec<_> = (0..50).flat_map(|seed| plan(seed, SIZES)).map(|(_, f)| f).collect();
    let kinds: [fn(&Fault) -> bool; 33] = [
        |f| matches!(f, Fault::Terminate(_)),
        |f| matches!(f, Fault::Kill(..)),
        |f| matches!(f, Fault::KillAll),
        |f| matches!(f, Fault::Pause(..)),
        |f| matches!(f, Fault::Reload(_)),
        |f| matches!(f, Fault::StoreLink(..)),
        |f| matches!(f, Fault::Store(..)),
        |f| matches!(f, Fault::Compact),
        |f| matches!(f, Fault::Link(..)),
        |f| matches!(f, Fault::Reset(_)),
        |f| matches!(f, Fault::Misbehave(..)),
        |f| matches!(f, Fault::Replace(_)),
        |f| matches!(f, Fault::Configure),
        |f| matches!(f, Fault::Step(_)),
        |f| matches!(f, Fault::Narrow(..)),
        |f| matches!(f, Fault::Lengthen(_)),
        |f| matches!(f, Fault::Foreign(..)),
        |f| matches!(f, Fault::Spoil(..)),
        |f| matches!(f, Fault::Restart(..)),
        |f| matches!(f, Fault::Restore(..)),
        |f| matches!(f, Fault::Limit(..)),
        |f| matches!(f, Fault::Crowded(..)),
        |f| matches!(f, Fault::Slow(..)),
        |f| matches!(f, Fault::Deadly(_)),
        |f| matches!(f, Fault::DeadlyPart(_)),
        |f| matches!(f, Fault::Crowd(..)),
        |f| matches!(f, Fault::EndAnswers(..)),
        |f| matches!(f, Fault::AnswerTwice(..)),
        |f| matches!(f, Fault::End(..)),
        |f| matches!(f, Fault::Join(..)),
        |f| matches!(f, Fault::Renew(..)),
        |f| matches!(f, Fault::RestartAs(..)),
        |f| matches!(f, Fault::CrashVersion(..)),
    ];
    for (number, kind) in kinds.iter().enumerate() {
        assert!(faults.iter().any(kind), "kind {number}");
    }
}

/// Guards against plays in which daemons are never blind, or streams never misplaced.
#[test]
fn fifty_seeds_have_blind_daemons_and_misplaced_streams() {
    let faults: Vec<_> = (0..50).flat_map(|seed| plan(seed, SIZES)).map(|(_, f)| f).collect();
    let blind = |all: bool, is_killed: bool| {
        faults.iter().any(|fault| {
            matches!(fault, Fault::Blind(b) if (b.daemons == SIZES.daemons) == all
                && b.kill.is_some() == is_killed)
        })
    };
    assert!(blind(true, true) && blind(true, false) && blind(false, true) && blind(false, false));
    for meant in [Misdeed::Restarting, Misdeed::Repeating] {
        let is_meant = |f: &Fault| matches!(f, Fault::Misplace(_, misdeed, _) if *misdeed == meant);
        assert!(faults.iter().any(is_meant), "{meant:?}");
    }
}

#[test]
fn answers_break_off_in_every_way_that_shows() {
    let mut seen = HashSet::new();
    for (_, fault) in (0..300).flat_map(|seed| plan(seed, SIZES)) {
        let Fault::EndAnswers(endpoint, ending, share, _) = fault else { continue };
        let Some((place, kind)) = ending.broken else { continue };
        let framing = ending.framing.expect("a framing");
        assert!(1 < share.one_in, "not all");
        let is_unmarked = (framing, kind) == (Framing::Connection, BreakKind::Close);
        let is_plain = endpoint < SIZES.plain;
        assert!(!(is_unmarked && place == BreakPlace::Between), "{fault:?}");
        assert!(!(is_unmarked && is_plain && place != BreakPlace::Head), "{fault:?}");
        seen.insert(format!("{is_plain} {framing:?} {place:?} {kind:?}"));
    }
    assert_eq!(seen.len(), 26 + 25, "streams and plain answers");
}

/// Guards against a copy of the store that names the former version of an endpoint which started again.
#[test]
fn no_endpoint_starts_again_as_another_version_beside_a_restored_store() {
    for seed in 0..200 {
        let plan = plan(seed, SIZES);
        let has = |kind: fn(&Fault) -> bool| plan.iter().any(|(_, fault)| kind(fault));
        let restored = has(|f| matches!(f, Fault::Restore(..)));
        assert!(!(restored && has(|f| matches!(f, Fault::RestartAs(..)))), "seed {seed}");
    }
}

/// A seed that is listed as having failed must go on meaning the same, whatever is drawn besides.
#[test]
fn a_seed_keeps_the_faults_of_the_first_stream() {
    let of_first = |f: &Fault| {
        use Fault::{
            CrashVersion, Deadly, End, EndAnswers, Foreign, Join, Lengthen, Limit, Narrow, Renew,
            Restart, RestartAs, Restore, Spoil,
        };
        let second = matches!(f, Foreign(..) | Lengthen(_) | Narrow(..) | Restart(..) | Spoil(..));
        let of_versions = matches!(f, Join(..) | Renew(..) | RestartAs(..) | CrashVersion(..));
        !second
            && !of_versions
            && !matches!(f, Restore(..) | Limit(..) | Deadly(_) | EndAnswers(..) | End(..))
            && !matches!(f, Fault::DeadlyPart(_) | Fault::Crowd(..))
            && !matches!(f, Fault::Crowded(..) | Fault::Slow(..) | Fault::AnswerTwice(..))
            && !matches!(f, Fault::Blind(_) | Fault::Misplace(..))
    };
    let plan = plan(5, SIZES).into_iter().filter(|(_, fault)| of_first(fault));
    let lines: Vec<_> = plan.map(|(at, f)| format!("{} {f:?}", at.as_millis())).collect();
    assert_eq!(lines, SEED_FIVE);
}

const SEED_FIVE: [&str; 10] = [
    "1260 Reload(0)",
    "1593 Step(4.99s)",
    "2707 Pause(1, 1.009s)",
    "4402 KillAll",
    "4803 Store(Silent, 2.199s)",
    "5386 Misbehave(5, Full, 1.725s)",
    "5597 Reload(1)",
    "6682 StoreLink(1, CutForth, 2.331s)",
    "6795 Misbehave(6, Torn, 479ms)",
    "6898 StoreLink(0, Silent, 995ms)",
];
