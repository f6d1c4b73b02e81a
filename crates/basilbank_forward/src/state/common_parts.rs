//! Parts that prompts have in common.
//!
//! Such a part is in nearly every call that runs at a crashed endpoint, whatever the cause, and keeping
//! all calls with it from endpoints would end the service. What tells it from a part that crashes
//! endpoints are prompts without it: where sound calls come beside those that crash endpoints, they
//! lack the cause, however rare they are.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::call::Cause;

/// Number of recent prompts of which the shares of parts are taken.
const MAX_PROMPTS: usize = 64;

/// Minimum number of prompts from which something can be told.
const MIN_PROMPTS: usize = 8;

/// Time after which a prompt that lacked a part says nothing about it any more: all applications but
/// one may have stopped calling.
const LACK_TIME: Duration = Duration::from_secs(60);

/// The parts of this daemon's prompts.
#[derive(Debug, Default)]
pub struct CommonParts {
    recent: VecDeque<Vec<u64>>,
    /// In how many of the recent prompts each part is.
    counts: HashMap<u64, usize>,
    /// For each part of the last prompt, when the last prompt arrived that lacked it; `None` if there
    /// was none.
    lacked: HashMap<u64, Option<Duration>>,
    /// When the last prompt arrived.
    last: Option<Duration>,
}

impl CommonParts {
    /// Records the parts of a prompt that has arrived.
    pub fn record(&mut self, parts: &[u64], now: Duration) {
        if parts.is_empty() {
            return;
        }
        let mut parts = parts.to_vec();
        parts.sort_unstable();
        parts.dedup();
        let last = self.last.replace(now);
        let lacked_at = |part: &u64| self.lacked.get(part).copied().unwrap_or(last);
        self.lacked = parts.iter().map(|part| (*part, lacked_at(part))).collect();
        for part in &parts {
            *self.counts.entry(*part).or_default() += 1;
        }
        self.recent.push_back(parts);
        if MAX_PROMPTS < self.recent.len() {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        for part in self.recent.pop_front().unwrap_or_default() {
            if let Some(count) = self.counts.get_mut(&part) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&part);
                }
            }
        }
    }

    /// Returns whether no prompt lacks a cause of crashes, so that nothing tells it from what all calls
    /// share; `None` if there were too few prompts. A whole call is shared by nothing but its
    /// repetitions.
    #[must_use]
    pub fn is_in_all(&self, cause: Cause, now: Duration) -> Option<bool> {
        let Cause::Part(part) = cause else { return Some(false) };
        let Some(lacked) = self.lacked.get(&part) else {
            return (!self.recent.is_empty()).then_some(false);
        };
        if lacked.is_some_and(|at| now < at + LACK_TIME) {
            return Some(false);
        }
        (MIN_PROMPTS <= self.recent.len()).then_some(true)
    }

    /// Returns in how many of the recent prompts a cause is, if these are more than half.
    #[must_use]
    pub fn broad_count(&self, cause: Cause) -> Option<usize> {
        let Cause::Part(part) = cause else { return None };
        let count = self.counts.get(&part).copied().unwrap_or_default();
        (MIN_PROMPTS <= self.recent.len() && self.recent.len() < count * 2).then_some(count)
    }
}
