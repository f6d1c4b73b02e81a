//! Parts that most prompts have in common.
//!
//! Such a part is in nearly every call that runs at a crashed endpoint, whatever the cause, and keeping
//! all calls with it from endpoints would end the service. So it is never taken for a cause.

use std::collections::VecDeque;

use crate::call::Cause;

/// Number of recent prompts that are remembered.
const MAX_PROMPTS: usize = 64;

/// Minimum number of prompts from which something can be told.
const MIN_PROMPTS: usize = 8;

/// The parts of this daemon's most recent prompts.
#[derive(Debug, Default)]
pub struct CommonParts {
    recent: VecDeque<Vec<u64>>,
}

impl CommonParts {
    /// Records the parts of a prompt that has arrived.
    pub fn record(&mut self, parts: &[u64]) {
        if parts.is_empty() {
            return;
        }
        if self.recent.len() == MAX_PROMPTS {
            self.recent.pop_front();
        }
        self.recent.push_back(parts.to_vec());
    }

    /// Returns whether most calls share a cause of crashes. A whole call is shared by nothing but its
    /// repetitions.
    #[must_use]
    pub fn is_common_cause(&self, cause: Cause) -> Option<bool> {
        match cause {
            Cause::Call(_) => Some(false),
            Cause::Part(part) => self.is_common(part),
        }
    }

    /// Returns whether more than half of the prompts have this part; `None` if there were too few.
    #[must_use]
    pub fn is_common(&self, part: u64) -> Option<bool> {
        let count = self.recent.iter().filter(|parts| parts.contains(&part)).count();
        (MIN_PROMPTS <= self.recent.len()).then_some(self.recent.len() < count * 2)
    }
}
