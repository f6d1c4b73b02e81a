//! The retry budget.

use std::time::Duration;

use basilbank_forward::{prelude::*, state::RetryBudget};
use proptest::prelude::*;

use crate::rig::Rig;

/// Symptom: a service got more repeats than its bound while most of its endpoints failed.
/// Sequence: all daemons retried at once, some of them just restarted.
/// Cause: each daemon took the whole bound for itself.
#[test]
fn all_daemons_together_stay_below_the_bound() {
    let tuning = Tuning::default();
    let (daemons, calls) = (12, 50);
    let mut taken = 0;
    for _ in 0..daemons {
        let mut budget = RetryBudget::default();
        let now = Duration::from_secs(50);
        (0..calls).for_each(|_| budget.record_call(now, &tuning));
        while budget.try_take(now, &tuning, 1) {
            taken += 1;
        }
    }
    let bound = tuning.retry_ratio * f64::from(daemons * calls) + tuning.retry_slack;
    assert!(f64::from(taken) <= bound, "{taken} of {bound}");
    assert!(0 < taken);
}

proptest! {
    /// In every span of a window's length, extra calls stay below the share of the calls in that
    /// span or the one before, plus the daemon's part of the slack.
    #[test]
    fn every_window_stays_below_the_bound(steps in prop::collection::vec((0u64..400, 0u32..3), 1..300)) {
        let tuning = Tuning::default();
        let mut budget = RetryBudget::default();
        let mut now = Duration::from_secs(100);
        let (mut calls, mut extras) = (Vec::new(), Vec::new());
        for (pause, wanted) in steps {
            now += Duration::from_millis(pause);
            budget.record_call(now, &tuning);
            calls.push(now);
            for _ in 0..wanted {
                if budget.try_take(now, &tuning, 1) {
                    extras.push(now);
                }
            }
            let from = now.saturating_sub(tuning.retry_window);
            let wide = from.saturating_sub(tuning.retry_window);
            let recent = extras.iter().filter(|at| from < **at).count() as f64;
            let earned = calls.iter().filter(|at| wide < **at).count() as f64 * tuning.retry_ratio;
            prop_assert!(recent <= earned + tuning.retry_slack / tuning.min_slack_shares);
        }
    }
}

/// Symptom: a service got 1,199 repeats in ten seconds where 1,082 are allowed.
/// Sequence: 71 daemons lost power at once and started again within the window.
/// Cause: none knew its peers yet, so each took a twelfth of the slack.
#[test]
fn a_daemon_that_has_just_started_takes_little_of_the_slack() {
    let mut rig = Rig::new();
    let tuning = rig.state.tuning.clone();
    let shares =
        |rig: &Rig| 71.0 * tuning.retry_slack / (2.0 * rig.state.slack_sharers(rig.now()) as f64);
    assert!(shares(&rig) < tuning.retry_slack / 4.0);
    rig.pass(tuning.retry_window);
    assert_eq!(rig.state.slack_sharers(rig.now()), 1);
}
