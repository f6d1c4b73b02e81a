//! The order of waiting completions by rank.

use std::time::Duration;

use basilbank_forward::{
    prelude::*,
    state::{QueuePosition, demand::DemandSums, queue_order::ServiceOrder},
};
use test_case::test_case;

use crate::load::{Class, Engines, Got, Phase, Placing, Play};

/// Plays of one load.
const SEEDS: u64 = 4;

const SITE: Engines = Engines::SCARCE;

const SECOND: Duration = Duration::from_secs(1);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A rank's demand: calls that wait, late ones among them, and tokens in use.
fn of_rank(
    rank: u8,
    calls: u64,
    late: u64,
    used: u64,
) -> (Option<Rank>, Option<TeamId>, DemandSums) {
    (Some(Rank(rank)), None, DemandSums { calls, late, tokens: calls * 1000, used })
}

fn order(demand: &[(Option<Rank>, Option<TeamId>, DemandSums)]) -> ServiceOrder {
    ServiceOrder::new(demand, |_| 1.0)
}

fn at(order: &ServiceOrder, rank: u8, late: bool, due: u64) -> QueuePosition {
    order.position(Some(Rank(rank)), None, late, ms(due))
}

#[test]
fn the_more_urgent_goes_first_and_the_late_last() {
    let order = order(&[of_rank(0, 1, 0, 6000), of_rank(1, 1, 0, 4000)]);
    let expected = [
        at(&order, 0, false, 900),
        at(&order, 1, false, 100),
        at(&order, 0, true, 50),
        at(&order, 1, true, 10),
    ];
    assert!(expected.is_sorted(), "{expected:?}");
}

#[test_case(2400, true; "less than a quarter")]
#[test_case(2600, false; "more than a quarter")]
fn less_urgent_ranks_are_owed_a_quarter(used_below: u64, is_first: bool) {
    let order = order(&[of_rank(0, 5, 0, 10_000 - used_below), of_rank(1, 1, 0, used_below)]);
    assert_eq!(at(&order, 1, false, 100) < at(&order, 0, false, 50), is_first);
}

/// Guards against on-time completions of a middle rank that get nothing because only late ones of
/// the least urgent rank are owed memory.
#[test]
fn late_completions_do_not_take_what_on_time_ones_are_owed() {
    let order = order(&[of_rank(0, 5, 0, 9900), of_rank(1, 5, 0, 100), of_rank(2, 5, 5, 0)]);
    assert!(at(&order, 1, false, 100) < at(&order, 0, false, 50));
    assert!(at(&order, 0, false, 50) < at(&order, 2, true, 10));
}

/// Guards against capacity that stays idle since the rank that is owed memory can't use it.
#[test]
fn one_that_is_owed_memory_does_not_block_more_urgent_ones() {
    let order = order(&[of_rank(0, 5, 0, 10_000), of_rank(1, 1, 0, 0)]);
    let (owed, urgent) = (at(&order, 1, false, 100), at(&order, 0, false, 50));
    assert!(owed < urgent && !owed.blocks(&urgent));
    assert!(owed.blocks(&at(&order, 1, false, 200)) && urgent.blocks(&at(&order, 0, false, 60)));
}

#[test]
fn without_ranks_and_teams_the_due_time_decides() {
    let sums = DemandSums { calls: 9, late: 3, tokens: 9000, used: 50_000 };
    let order = order(&[(None, None, sums)]);
    let soonest = ms(500);
    for due in [100, 499, 500, 2000] {
        let position = order.position(None, None, ms(due) < soonest, ms(due));
        let simple = QueuePosition::new(ms(due), soonest);
        assert_eq!(
            (position.late, position.yields, position.due),
            (simple.late, false, simple.due)
        );
    }
}

/// Guards against completions without a rank that go before all that have one.
#[test]
fn one_without_a_rank_goes_last_where_others_have_ranks() {
    let unranked = DemandSums { calls: 1, late: 0, tokens: 1000, used: 1000 };
    let order = order(&[of_rank(0, 1, 0, 5000), of_rank(1, 1, 0, 4000), (None, None, unranked)]);
    assert!(at(&order, 1, false, 200) < order.position(None, None, false, ms(100)));
}

fn class(priority: u8, target: u64, rates: &[(f64, u32)]) -> Class {
    let phase = |(rate, seconds): &(f64, u32)| Phase { rate: *rate, time: SECOND * *seconds };
    Class { priority, target: ms(target), team: None, phases: rates.iter().map(phase).collect() }
}

/// The part that was on time, and the part that was served, by class.
fn parts(
    engines: Engines,
    classes: &[Class],
    cut: Option<(u64, u64)>,
    seeds: u64,
) -> Vec<(f64, f64)> {
    let mut all = vec![Got::default(); classes.len()];
    for seed in 0..seeds {
        let router = Placing::Router(Box::default());
        let (_, got) = Play::run_classes(engines, classes, cut, router, seed);
        for (all, got) in all.iter_mut().zip(got) {
            all.drafts += got.drafts;
            all.timely += got.timely;
            all.served += got.served;
        }
    }
    let part = |got: &Got| (got.timely_part(), f64::from(got.served) / f64::from(got.drafts));
    all.iter().map(part).collect()
}

/// Usual number of ordinary drafts a second.
const USUAL: f64 = 24.0;

/// Ordinary drafts come at 2.6 times their usual rate for 6 s.
fn burst(premium: u8, ordinary: u8) -> [Class; 2] {
    let rates = [(USUAL, 4), (USUAL * 2.6, 6), (USUAL, 4)];
    [class(premium, 800, &[(6.0, 14)]), class(ordinary, 2000, &rates)]
}

/// Guards against premium drafts that wait behind a burst of ordinary ones.
#[test]
fn premium_drafts_are_on_time_in_a_burst_of_ordinary_ones() {
    let before = parts(SITE, &burst(5, 5), None, SEEDS);
    let now = parts(SITE, &burst(0, 2), None, SEEDS);
    assert!(0.95 <= now[0].0, "{before:.3?} before, {now:.3?} now");
    assert!(before[0].0 + 0.1 < now[0].0, "{before:.3?} before, {now:.3?} now");
}

/// Guards against premium drafts that lose their order where daemons don't hear each other.
#[test]
fn each_half_of_a_partitioned_fleet_keeps_the_order() {
    let before = parts(SITE, &burst(5, 5), Some((5, 9)), SEEDS);
    let now = parts(SITE, &burst(0, 2), Some((5, 9)), SEEDS);
    assert!(before[0].0 + 0.1 < now[0].0, "{before:.3?} before, {now:.3?} now");
}

/// Guards against a class that gets nothing while urgent drafts alone exceed the capacity.
#[test]
fn the_less_urgent_class_keeps_its_share() {
    let classes = [class(0, 800, &[(50.0, 14)]), class(2, 2000, &[(12.0, 14)])];
    let now = parts(SITE, &classes, None, SEEDS);
    let mean = (now[0].1 * 50.0 + now[1].1 * 12.0) / 62.0;
    assert!(mean / 4.0 <= now[1].1, "{now:.3?}");
}

/// The same burst at a fleet of the deployment's size.
#[test]
fn premium_drafts_are_on_time_with_66_daemons() {
    let engines = Engines { daemons: 66, ..SITE };
    let ordinary = [(USUAL, 1), (USUAL * 2.6, 3), (USUAL, 1)];
    let classes = [class(0, 800, &[(6.0, 5)]), class(2, 2000, &ordinary)];
    let now = parts(engines, &classes, None, 1);
    assert!(0.95 <= now[0].0, "{now:.3?}");
}
