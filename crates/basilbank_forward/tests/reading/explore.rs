//! All short sequences of ways in which the store fails.
#![expect(clippy::print_stdout, reason = "the figures are for runs by hand")]

use std::time::Duration;

use crate::{
    fleet::Fleet,
    plan::{Plan, Turn},
    store::{SLOW, Way},
};

const WAYS: [Way; 8] = [
    Way::Silent,
    Way::Cut,
    Way::Refused,
    Way::Slow(SLOW),
    Way::Slow(900),
    Way::Renewed,
    Way::Compacted,
    Way::Restored(1700),
];

/// How long each lasts: shorter than any limit, between two looks, longer than a watch, longer than a
/// question is left open.
const TIMES: [u64; 4] = [150, 900, 2300, 5300];

/// The first way fails at each of these, so that it meets the readers in all their states.
const STARTS: [u64; 3] = [3000, 3250, 3500];

/// Plays all sequences of this length, the shorter ones first. The variable makes it longer by hand.
#[test]
fn what_is_confirmed_is_in_force_in_time_after_any_short_sequence_of_failures() {
    let most = std::env::var("READING_STEPS").ok().and_then(|steps| steps.parse().ok());
    let mut worst = Duration::ZERO;
    let mut sum = Duration::ZERO;
    let (mut plays, mut questions) = (0, 0);
    for steps in 1..=most.unwrap_or(2) {
        for plan in plans(steps) {
            let mut fleet = Fleet::new(plan);
            if let Err(error) = fleet.play() {
                panic!("{error}");
            }
            worst = worst.max(fleet.worst);
            sum += fleet.worst;
            plays += 1;
            questions += fleet.questions;
        }
    }
    let mean = sum / plays;
    println!("{plays} plays, {questions} questions; the latest version of each play");
    println!("was {mean:?} late on average, at worst {worst:?}");
}

fn plans(steps: u32) -> impl Iterator<Item = Plan> {
    let kinds = WAYS.len() * TIMES.len();
    let sequences = 0..kinds.pow(steps);
    sequences.flat_map(move |sequence| {
        let layouts = [(1, None), (3, None), (3, Some(0))];
        layouts.into_iter().flat_map(move |(daemons, daemon)| {
            STARTS.into_iter().map(move |start| plan(daemons, daemon, start, sequence, steps))
        })
    })
}

fn plan(
    daemons: usize,
    daemon: Option<usize>,
    start: u64,
    mut sequence: usize,
    steps: u32,
) -> Plan {
    let mut at = Duration::from_millis(start);
    let mut turns = Vec::new();
    for _ in 0..steps {
        let way = WAYS[sequence % WAYS.len()];
        sequence /= WAYS.len();
        let time = TIMES[sequence % TIMES.len()];
        sequence /= TIMES.len();
        turns.push(Turn { at, daemon, way });
        at += Duration::from_millis(time);
    }
    turns.push(Turn { at, daemon, way: Way::Sound });
    Plan {
        daemons,
        watchers: 0,
        silent: false,
        turns,
        versions: Duration::from_millis(370),
        list: None,
        end: at + Duration::from_secs(6),
        seed: start,
    }
}
