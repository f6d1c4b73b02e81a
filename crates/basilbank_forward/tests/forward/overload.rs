//! What callers get while drafts come faster than they can be served.

use std::time::Duration;

use basilbank_forward::prelude::*;
use test_case::test_case;

use crate::load::{Engines, Got, Phase, Placing, Play};

const SMALL: Engines =
    Engines { prefill: 2, decode: 7, memory: 40_718, daemons: 1, ..Engines::USUAL };
const TIGHT: Engines =
    Engines { prefill: 4, decode: 12, memory: 22_800, daemons: 1, ..Engines::USUAL };

/// Plays of one overload.
const SEEDS: u64 = 6;

fn overload(engines: Engines, rate: f64, placing: &Placing) -> f64 {
    let phases = [
        Phase { rate: rate * 0.6, time: Duration::from_secs(5) },
        Phase { rate: rate * 1.25, time: Duration::from_secs(20) },
        Phase { rate: rate * 0.6, time: Duration::from_secs(5) },
    ];
    let got = (0..SEEDS).map(|seed| Play::run(engines, &phases, placing.clone(), seed));
    got.map(|got| got.timely_part()).sum::<f64>() / SEEDS as f64
}

fn router(tuning: Tuning) -> Placing {
    Placing::Router(Box::new(tuning))
}

/// Symptom: in a lasting overload half of all drafts began late, while memory was never idle.
/// Sequence: endpoints leave, and a little more comes than can be served, for tens of seconds.
/// Cause: drafts that could not be on time any more took memory as soon as it was free, so that each
/// draft waited as long as all others; all of them were a little late.
#[test_case(SMALL, 24.0)]
#[test_case(TIGHT, 26.0)]
fn drafts_that_are_late_anyway_leave_room_for_others(engines: Engines, rate: f64) {
    let all_alike = Tuning {
        late_memory_fraction: 1.0,
        first_token_delay: Duration::ZERO,
        ..Tuning::default()
    };
    let before = overload(engines, rate, &router(all_alike));
    let now = overload(engines, rate, &router(Tuning::default()));
    assert!(before + 0.05 < now, "{before:.3} before, {now:.3} now");
}

#[test]
fn the_router_serves_more_on_time_than_turns_do() {
    for rate in [12.0, 18.0, 24.0] {
        let turns = overload(SMALL, rate, &Placing::InTurn);
        let router = overload(SMALL, rate, &router(Tuning::default()));
        assert!(turns <= router, "rate {rate}: {turns:.3} in turn, {router:.3} by the router");
    }
}

#[test]
fn nothing_is_late_or_in_vain_below_the_capacity() {
    let phases = [Phase { rate: 9.0, time: Duration::from_secs(30) }];
    let got = Play::run(SMALL, &phases, router(Tuning::default()), 1);
    assert_eq!(got, Got { timely: got.drafts, served: got.drafts, vain: 0, ..got });
}

/// Symptom: after all daemons were restarted at once nearly all drafts of the next two seconds were
/// late, though most endpoints had nothing to do.
/// Sequence: all streams are cut; their callers come back at once, to daemons that know nothing yet.
/// Cause: each daemon took the prefill endpoints for idle and sent all its prompts there.
#[test]
fn prompts_are_spread_while_no_daemon_knows_the_others_load() {
    let engines = Engines { prefill: 4, decode: 14, memory: 31_701, daemons: 8, ..Engines::USUAL };
    let phases = [Phase { rate: 110.0, time: Duration::from_secs(1) }];
    let timely = |tuning: Tuning| {
        let got = (0..SEEDS).map(|seed| Play::run(engines, &phases, router(tuning.clone()), seed));
        got.map(|got| got.timely_part()).sum::<f64>() / SEEDS as f64
    };
    let before = timely(Tuning { cold_start: Duration::ZERO, ..Tuning::default() });
    let now = timely(Tuning::default());
    assert!(before + 0.1 < now, "{before:.3} before, {now:.3} now");
}
