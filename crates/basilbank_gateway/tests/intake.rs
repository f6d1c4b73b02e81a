//! Which new connections are read.

use std::time::Duration;

use basilbank_gateway::intake::{Decision, Intake, TurnedAway};
use test_case::test_case;

const QUICK: Duration = Duration::from_millis(5);
const SLOW: Duration = Duration::from_millis(80);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn waiting(count: u64) -> Intake<u64> {
    let mut intake = Intake::new(20_000);
    for n in 0..count {
        assert_eq!(intake.add(n, 0, ms(0)), None);
    }
    intake
}

#[test]
fn connections_are_read_in_order_some_after_each_round() {
    let mut intake = waiting(20);
    let read: Vec<_> = (0..16).map(Decision::Read).collect();
    assert_eq!(intake.decide(QUICK, ms(5)), read);
    let read: Vec<_> = (16..20).map(Decision::Read).collect();
    assert_eq!(intake.decide(QUICK, ms(10)), read);
    assert!(intake.is_empty());
}

#[test]
fn none_is_read_or_closed_for_one_slow_round() {
    let mut intake = waiting(2);
    assert_eq!(intake.decide(SLOW, ms(80)), []);
    assert_eq!(intake.decide(QUICK, ms(85)), [Decision::Read(0), Decision::Read(1)]);
}

#[test]
fn those_that_wait_for_long_are_closed_and_newer_ones_read() {
    let mut intake = waiting(1);
    intake.add(1, 0, ms(120));
    let expected = [Decision::Close(0, TurnedAway::Busy), Decision::Read(1)];
    assert_eq!(intake.decide(QUICK, ms(160)), expected);
}

#[test_case(20_000, 2000; "by memory")]
#[test_case(400, 200; "by descriptors")]
fn connections_are_bounded(descriptors: usize, most: usize) {
    let mut intake = Intake::new(descriptors);
    assert_eq!(intake.add(0, most - 1, ms(0)), None);
    let closed = Some(Decision::Close(1, TurnedAway::Connections));
    assert_eq!(intake.add(1, most - 1, ms(0)), closed);
}
