//! Runs all short sequences of store failures.
#![expect(clippy::print_stdout, reason = "the figures are for runs by hand")]

use std::time::Duration;

use crate::{
    fleet::Fleet,
    scenario::{Scenario, Transition},
    store::{StoreCondition, TOLERATED_DELAY_MS},
};

const CONDITIONS: [StoreCondition; 8] = [
    StoreCondition::Unresponsive,
    StoreCondition::Unreachable,
    StoreCondition::Refusing,
    StoreCondition::Slow(TOLERATED_DELAY_MS),
    StoreCondition::Slow(900),
    StoreCondition::ConnectionsDropped,
    StoreCondition::Compacted,
    StoreCondition::Restored(1700),
];

/// Durations of a failure, in milliseconds: shorter than any timeout, between two polls, longer than a
/// watch, and longer than the timeout of a read.
const DURATIONS_MS: [u64; 4] = [150, 900, 2300, 5300];

/// Times of the first failure, in milliseconds. They differ so that it hits the readers in each of
/// their states.
const START_TIMES_MS: [u64; 3] = [3000, 3250, 3500];

/// Runs all sequences of up to two failures, the shorter ones first. `READING_STEPS` sets another
/// maximum length.
#[test]
fn confirmed_changes_are_in_force_in_time_after_any_short_sequence_of_failures() {
    let max_steps = std::env::var("READING_STEPS").ok().and_then(|steps| steps.parse().ok());
    let mut max_delay = Duration::ZERO;
    let mut delay_sum = Duration::ZERO;
    let (mut runs, mut read_count) = (0, 0);
    for steps in 1..=max_steps.unwrap_or(2) {
        for scenario in scenarios(steps) {
            let mut fleet = Fleet::new(scenario);
            if let Err(error) = fleet.run() {
                panic!("{error}");
            }
            max_delay = max_delay.max(fleet.max_delay);
            delay_sum += fleet.max_delay;
            runs += 1;
            read_count += fleet.read_count;
        }
    }
    let mean_delay = delay_sum / runs;
    println!("{runs} runs, {read_count} reads; maximum update delay of a run:");
    println!("{mean_delay:?} on average, {max_delay:?} at most");
}

fn scenarios(steps: u32) -> impl Iterator<Item = Scenario> {
    let choices = CONDITIONS.len() * DURATIONS_MS.len();
    let sequences = 0..choices.pow(steps);
    sequences.flat_map(move |sequence| {
        let layouts = [(1, None), (3, None), (3, Some(0))];
        layouts.into_iter().flat_map(move |(daemons, daemon)| {
            START_TIMES_MS
                .into_iter()
                .map(move |start| scenario(daemons, daemon, start, sequence, steps))
        })
    })
}

fn scenario(
    daemons: usize,
    daemon: Option<usize>,
    start: u64,
    mut sequence: usize,
    steps: u32,
) -> Scenario {
    let mut at = Duration::from_millis(start);
    let mut transitions = Vec::new();
    for _ in 0..steps {
        let condition = CONDITIONS[sequence % CONDITIONS.len()];
        sequence /= CONDITIONS.len();
        let time = DURATIONS_MS[sequence % DURATIONS_MS.len()];
        sequence /= DURATIONS_MS.len();
        transitions.push(Transition { at, daemon, condition });
        at += Duration::from_millis(time);
    }
    transitions.push(Transition { at, daemon, condition: StoreCondition::Healthy });
    Scenario {
        daemons,
        watchers: 0,
        omits_era: false,
        transitions,
        routes_interval: Duration::from_millis(370),
        endpoints_interval: None,
        end: at + Duration::from_secs(6),
        seed: start,
    }
}
