//! An engine's prefix cache, and its events: late, and with gaps.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

#[derive(Clone, Copy, Debug)]
struct Change {
    seq: u64,
    at: Instant,
    block: u64,
    kind: ChangeKind,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ChangeKind {
    Added,
    Evicted,
}

/// Blocks of prompts; the one used longest ago goes first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    longest_log: usize,
    used: HashMap<u64, u64>,
    clock: u64,
    seq: u64,
    log: VecDeque<Change>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize, longest_log: usize) -> PrefixCache {
        let (used, log) = (HashMap::new(), VecDeque::new());
        PrefixCache { capacity, longest_log, used, clock: 0, seq: 0, log }
    }

    /// Number of leading blocks that are cached.
    pub(crate) fn hits(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.used.contains_key(block)).count()
    }

    /// Caches a prompt's blocks.
    pub(crate) fn insert(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.clock += 1;
            if self.used.insert(*block, self.clock).is_none() {
                self.log(*block, ChangeKind::Added);
            }
            if self.capacity < self.used.len() {
                self.evict();
            }
        }
    }

    /// Evicts everything.
    pub(crate) fn clear(&mut self) {
        while !self.used.is_empty() {
            self.evict();
        }
    }

    fn evict(&mut self) {
        let Some(block) = self.used.iter().min_by_key(|(_, used)| **used).map(|(b, _)| *b) else {
            return;
        };
        self.used.remove(&block);
        self.log(block, ChangeKind::Evicted);
    }

    fn log(&mut self, block: u64, kind: ChangeKind) {
        self.seq += 1;
        self.log.push_back(Change { seq: self.seq, at: Instant::now(), block, kind });
        if self.longest_log < self.log.len() {
            self.log.pop_front();
        }
    }

    /// What is published of the changes after `after`.
    pub(crate) fn changes(&self, after: u64, lag: Duration) -> Value {
        let published = self.log.iter().take_while(|c| lag <= c.at.elapsed());
        let shown: Vec<&Change> = published.filter(|c| after < c.seq).collect();
        let first_known = self.log.front().map_or(self.seq + 1, |c| c.seq);
        let gap = after + 1 < first_known || self.seq < after;
        let last: BTreeMap<u64, ChangeKind> = shown.iter().map(|c| (c.block, c.kind)).collect();
        let names = |kind| {
            let blocks = last.iter().filter(move |(_, k)| **k == kind);
            blocks.map(|(block, _)| format!("{block:016x}")).collect::<Vec<_>>()
        };
        let seq = shown.last().map_or(after.min(self.seq), |c| c.seq);
        json!({
            "seq": seq,
            "gap": gap,
            "added": names(ChangeKind::Added),
            "evicted": names(ChangeKind::Evicted),
        })
    }
}
