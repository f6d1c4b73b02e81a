//! A simple engine: a queue of prompts, or memory that fills while it generates.

use std::{collections::VecDeque, time::Duration};

use basilbank_forward::prelude::*;

/// A draft that waits for memory.
#[derive(Clone, Debug)]
pub struct Waiting {
    pub draft: u64,
    pub attempt: u32,
    pub tokens: u32,
    pub since: Duration,
    pub read: Duration,
    pub has_kv: bool,
    pub rank: Option<Rank>,
}

/// A draft that is generated.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    pub draft: u64,
    pub tokens: u32,
    pub first: Duration,
}

/// The engine.
#[derive(Debug, Default)]
pub struct Engine {
    /// Time of one token.
    pub token: Duration,
    pub free_at: Duration,
    pub running: Vec<Running>,
    pub waiting: VecDeque<Waiting>,
}

impl Engine {
    /// A draft waits behind those that are as urgent or more.
    pub fn push(&mut self, draft: Waiting) {
        let at = self.waiting.partition_point(|other| other.rank <= draft.rank);
        self.waiting.insert(at, draft);
    }

    /// Tokens in memory: prompts, and what has been generated so far.
    pub fn used(&self, now: Duration) -> u32 {
        let made = |run: &Running| {
            now.saturating_sub(run.first).div_duration_f64(self.token) as u32 + run.tokens
        };
        self.running.iter().map(made).sum()
    }
}
