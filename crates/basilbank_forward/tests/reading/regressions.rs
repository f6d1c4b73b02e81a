//! Scenarios that once exceeded the maximum update delay, as they were found.

use std::time::Duration;

use test_case::test_case;

use crate::{
    fleet::Fleet,
    scenario::{Scenario, Transition},
    store::{StoreCondition, TOLERATED_DELAY_MS},
};

fn transition(at: u64, daemon: Option<usize>, condition: StoreCondition) -> Transition {
    Transition { at: Duration::from_millis(at), daemon, condition }
}

fn scenario(
    daemons: usize,
    routes_interval: u64,
    endpoints_interval: Option<u64>,
    seed: u64,
    transitions: &[Transition],
) -> Scenario {
    let last_change_at = transitions.last().map_or(Duration::ZERO, |transition| transition.at);
    Scenario {
        daemons,
        watchers: 0,
        omits_era: false,
        transitions: transitions.to_vec(),
        routes_interval: Duration::from_millis(routes_interval),
        endpoints_interval: endpoints_interval.map(Duration::from_millis),
        end: last_change_at + Duration::from_secs(8),
        seed,
    }
}

/// Cause: the configuration's watch started while the list couldn't be read, and still waited after the
/// list could be read again.
#[test_case(scenario(3, 370, None, 3000, &[
    transition(3000, None, StoreCondition::Refusing),
    transition(3150, None, StoreCondition::Unresponsive),
    transition(4050, None, StoreCondition::Healthy),
]) ; "a watch that started while the list was lost")]
/// Cause: each failed connection attempt led to a pause, long after the attempt had started.
#[test_case(scenario(3, 370, None, 3000, &[
    transition(3000, Some(0), StoreCondition::Unreachable),
    transition(8300, Some(0), StoreCondition::Unresponsive),
    transition(9200, Some(0), StoreCondition::Healthy),
]) ; "connection attempts that fail late")]
/// Cause: one reader detected that connections had died, and the other reader wasn't notified.
#[test_case(scenario(3, 1310, Some(790), 16_919_876_428_536_756_786, &[
    transition(2619, None, StoreCondition::Slow(TOLERATED_DELAY_MS)),
    transition(3502, None, StoreCondition::Unresponsive),
    transition(5391, None, StoreCondition::ConnectionsDropped),
    transition(6167, None, StoreCondition::ConnectionsDropped),
]) ; "connections that died unnoticed by one reader")]
/// Cause: a peer's report of a change led to a read, and was ignored after that read had brought an
/// older answer.
#[test_case(scenario(2, 2664, Some(1478), 71_518_405_606_649_100, &[
    transition(6011, None, StoreCondition::Slow(TOLERATED_DELAY_MS)),
    transition(7791, Some(1), StoreCondition::Unresponsive),
    transition(9223, None, StoreCondition::Unresponsive),
    transition(11_706, None, StoreCondition::Slow(2094)),
    transition(12_600, Some(0), StoreCondition::Healthy),
    transition(17_047, None, StoreCondition::Compacted),
    transition(17_057, None, StoreCondition::Slow(TOLERATED_DELAY_MS)),
]) ; "a slow answer that is older than the report of a change")]
/// Cause: after an outage idle connections died that were kept open, and the list's had just been
/// replaced.
#[test_case(scenario(2, 100, None, 0, &[
    transition(3848, None, StoreCondition::Refusing),
    transition(6628, None, StoreCondition::Healthy),
    transition(7184, None, StoreCondition::ConnectionsDropped),
    transition(7194, None, StoreCondition::Healthy),
]) ; "an idle connection that died after an outage, first")]
#[test_case(scenario(2, 100, None, 0, &[
    transition(3081, None, StoreCondition::Refusing),
    transition(3657, Some(2), StoreCondition::Healthy),
    transition(6305, None, StoreCondition::Healthy),
    transition(6417, None, StoreCondition::ConnectionsDropped),
    transition(6717, Some(0), StoreCondition::Healthy),
]) ; "an idle connection that died after an outage, second")]
/// Covers the first three seconds after a store stops being slow, in which answers that it sent slowly
/// are still on their way.
#[test_case(scenario(2, 100, None, 0, &[
    transition(2910, Some(1), StoreCondition::Refusing),
    transition(3918, None, StoreCondition::Refusing),
    transition(3928, Some(1), StoreCondition::Unresponsive),
    transition(5726, None, StoreCondition::Slow(1709)),
    transition(7357, Some(1), StoreCondition::Unresponsive),
    transition(8426, Some(0), StoreCondition::Healthy),
]) ; "slow answers that are still on their way")]
/// Cause: a store that had been slow once counted as slow forever. Also, a connection without data wasn't
/// considered dead while another one brought the answer that the history was gone.
#[test_case(scenario(2, 810, Some(303), 5_898_748_083_085_375_208, &[
    transition(2326, None, StoreCondition::Slow(1079)),
    transition(3877, None, StoreCondition::Unresponsive),
    transition(6385, None, StoreCondition::Healthy),
    transition(11_931, None, StoreCondition::Unresponsive),
    transition(11_941, None, StoreCondition::Compacted),
]) ; "a store that was slow once")]
/// Cause: the reader paused between two full reads, however long ago the first one was.
#[test_case(scenario(2, 3082, None, 576_518_535_976_901_416, &[
    transition(5714, Some(1), StoreCondition::Refusing),
    transition(5865, None, StoreCondition::Healthy),
    transition(8593, None, StoreCondition::Refusing),
    transition(11_255, None, StoreCondition::Unresponsive),
    transition(14_977, None, StoreCondition::Healthy),
    transition(15_426, None, StoreCondition::Compacted),
    transition(16_549, Some(0), StoreCondition::Refusing),
    transition(18_511, Some(1), StoreCondition::Compacted),
    transition(20_680, None, StoreCondition::Slow(TOLERATED_DELAY_MS)),
]) ; "a full read long ago")]
/// Cause: the other topic's reader had seen the store's new era. The answer to a read that had started in
/// the previous era came first and was taken for one of the new era's history.
#[test_case(scenario(1, 2286, None, 11, &[
    transition(4869, None, StoreCondition::Slow(250)),
    transition(10_379, None, StoreCondition::Restored(1736)),
    transition(11_998, None, StoreCondition::Healthy),
    transition(14_527, None, StoreCondition::Restored(1562)),
]) ; "a read of the previous era")]
/// Cause: a reader that had to start a full read, because the other one had seen the new era, was woken
/// only when its watch would have ended.
#[test_case(scenario(3, 3549, Some(2306), 5_173_756_940_650_580_132, &[
    transition(3549, None, StoreCondition::Restored(1244)),
]) ; "a reader that was not woken")]
fn confirmed_changes_are_in_force_in_time_in_scenarios_that_once_failed(scenario: Scenario) {
    let result = Fleet::new(scenario).run();
    assert!(result.is_ok(), "{}", result.unwrap_err());
}

/// Guards the check itself: without the era, changes to which the restored store assigns known revisions
/// are missed, and the run has to fail.
#[test]
fn a_restore_from_a_backup_is_noticed_late_without_the_era() {
    let transitions = [transition(6100, None, StoreCondition::Restored(3500))];
    let with_era = scenario(1, 1000, None, 3, &transitions);
    let without_era = Scenario { omits_era: true, ..with_era.clone() };
    assert!(Fleet::new(with_era).run().is_ok());
    assert!(Fleet::new(without_era).run().is_err());
}
