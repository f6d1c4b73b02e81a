//! The shares of teams in the memory that completions wait for.

use std::time::Duration;

use basilbank_forward::{
    prelude::*,
    state::{demand::DemandSums, queue_order::ServiceOrder},
};
use test_case::test_case;

use crate::load::{Class, Engines, Got, Phase, Placing, Play};

/// Plays of one load.
const SEEDS: u64 = 4;

const SITE: Engines = Engines::SCARCE;

const NAMES: [&str; 4] = ["ash", "birch", "cedar", "elm"];

/// The order between two teams by what they use and their weights.
#[test_case((5000, 1.0), (4000, 1.0), false; "more in use")]
#[test_case((5000, 10.0), (4000, 1.0), true; "more in use by a greater weight")]
#[test_case((4000, 1.0), (4010, 1.0), true; "nearly the same, by due time")]
#[test_case((0, 1.0), (1, 1000.0), true; "nothing in use")]
#[test_case((1000, 0.0), (1000, 1.0), false; "no weight")]
fn the_team_with_the_least_in_use_goes_first(one: (u64, f64), other: (u64, f64), is_first: bool) {
    let [ash, birch] = ["ash", "birch"].map(|name| Some(TeamId::of(name)));
    let uses = |used| DemandSums { calls: 1, late: 0, tokens: 1000, used };
    let demand = [(None, ash, uses(one.0)), (None, birch, uses(other.0))];
    let weight = |team| if team == ash { one.1 } else { other.1 };
    let order = ServiceOrder::new(&demand, weight);
    let [first, second] = [(ash, 100), (birch, 200)];
    let at = |(team, due)| order.position(None, team, false, Duration::from_millis(due));
    assert_eq!(at(first) < at(second), is_first);
}

/// Drafts of four teams, each with its rates for some seconds.
fn teams(rates: [&[(f64, u64)]; 4]) -> Vec<Class> {
    let phase =
        |(rate, seconds): &(f64, u64)| Phase { rate: *rate, time: Duration::from_secs(*seconds) };
    let class = |(name, rates): (&'static str, &[(f64, u64)])| Class {
        priority: 5,
        target: Duration::from_secs(2),
        team: Some((name, None)),
        phases: rates.iter().map(phase).collect(),
    };
    NAMES.into_iter().zip(rates).map(class).collect()
}

/// The same drafts without keys, so that only their due times order them.
fn without_teams(classes: Vec<Class>) -> Vec<Class> {
    classes.into_iter().map(|class| Class { team: None, ..class }).collect()
}

fn timely(classes: &[Class]) -> Vec<f64> {
    let mut all = vec![Got::default(); classes.len()];
    for seed in 0..SEEDS {
        let router = Placing::Router(Box::default());
        let (_, got) = Play::run_classes(SITE, classes, None, router, seed);
        for (all, got) in all.iter_mut().zip(got) {
            all.drafts += got.drafts;
            all.timely += got.timely;
        }
    }
    all.iter().map(Got::timely_part).collect()
}

/// Guards against a team whose burst makes the drafts of all others late.
#[test]
fn a_burst_of_one_team_is_at_its_own_expense() {
    let usual: &[(f64, u64)] = &[(5.0, 14)];
    let without = timely(&teams([usual; 4]));

    let burst: [&[(f64, u64)]; 4] = [&[(5.0, 4), (37.5, 6), (5.0, 4)], usual, usual, usual];
    let now = timely(&teams(burst));
    let alike = timely(&without_teams(teams(burst)));
    for (without, now) in without.iter().zip(&now).skip(1) {
        assert!(without - 0.05 <= *now, "{without:.3?} without, {now:.3?} now");
    }
    let others = |parts: &[f64]| parts.iter().skip(1).sum::<f64>() / 3.0;
    assert!(others(&alike) + 0.02 < others(&now), "{alike:.3?} without teams, {now:.3?} now");
}

/// Guards against memory that is kept for idle teams, and against teams that get none of it back.
#[test]
fn idle_teams_leave_their_share_and_get_it_back() {
    let busy: &[(f64, u64)] = &[(14.0, 14)];
    let back: &[(f64, u64)] = &[(0.001, 6), (6.0, 8)];
    let now = timely(&teams([busy, busy, back, back]));
    let alike = timely(&without_teams(teams([busy, busy, back, back])));
    assert!(now[2..].iter().all(|part| 0.95 <= *part), "{now:.3?}");
    assert!(alike[2] < now[2] && alike[3] < now[3], "{alike:.3?} without teams, {now:.3?} now");
}
