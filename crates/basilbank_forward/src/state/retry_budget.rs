//! The retry budget of one service, as far as this daemon may use it.

use std::{collections::VecDeque, time::Duration};

use crate::tuning::Tuning;

/// Width of a bucket. The bounds of the window slide, so the sums always cover one bucket more than
/// the window.
const BUCKET_WIDTH: Duration = Duration::from_millis(500);

/// Shares of the slack per known daemon. A daemon that restarts within a window starts with a new
/// share, and all daemons may do so.
const SHARES_PER_DAEMON: f64 = 2.0;

/// Counts of calls and of extra calls in the last window.
///
/// The bound applies to the whole fleet: in any window, extra calls stay below a ratio of the calls
/// plus a slack. No daemon knows what others send, so each one uses only a fraction of what its own
/// calls earn, and an equal share of the slack. These parts add up to less than the bound even if
/// the daemons can't communicate, and a daemon that has just started begins with its share alone.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Duration,
    calls: u32,
    extras: u32,
}

impl RetryBudget {
    /// Counts a caller's call for the service.
    pub fn record_call(&mut self, now: Duration, tuning: &Tuning) {
        self.bucket(now, tuning).calls += 1;
    }

    /// Takes one extra call if the budget allows it, and returns whether it does.
    #[must_use]
    pub fn try_take(&mut self, now: Duration, tuning: &Tuning, daemons: usize) -> bool {
        if self.available(now, tuning, daemons) < 1.0 {
            return false;
        }
        self.bucket(now, tuning).extras += 1;
        true
    }

    /// Returns the number of extra calls that could be made now. `daemons` is the maximum number of
    /// daemons that were known at once.
    #[must_use]
    pub fn available(&mut self, now: Duration, tuning: &Tuning, daemons: usize) -> f64 {
        self.bucket(now, tuning);
        let calls: u32 = self.buckets.iter().map(|b| b.calls).sum();
        let extras: u32 = self.buckets.iter().map(|b| b.extras).sum();
        let earned = f64::from(calls) * tuning.retry_ratio * tuning.retry_ratio_fraction;
        let shares = tuning.min_slack_shares.max(daemons as f64 * SHARES_PER_DAEMON);
        earned + tuning.retry_slack / shares - f64::from(extras)
    }

    /// Removes the buckets that have left the window, and returns the current one.
    fn bucket(&mut self, now: Duration, tuning: &Tuning) -> &mut Bucket {
        let width = BUCKET_WIDTH.as_millis();
        let index = u64::try_from(now.as_millis() / width).unwrap_or(u64::MAX);
        let start = BUCKET_WIDTH.saturating_mul(u32::try_from(index).unwrap_or(u32::MAX));
        let oldest = start.saturating_sub(tuning.retry_window);
        while self.buckets.front().is_some_and(|b| b.start < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.start < start) {
            self.buckets.push_back(Bucket { start, calls: 0, extras: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
