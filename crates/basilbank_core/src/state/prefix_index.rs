//! Index of the endpoints that have prompt prefixes cached. Its entries are hints, from endpoints'
//! cache events, which may be late or incomplete, and from recent prefills of this daemon. A wrong
//! hint only costs a longer prefill than expected.
//!
//! One block in eight is remembered, chosen by its hash, so that all daemons and all prompts select
//! the same blocks. The other blocks add no information, since an engine that holds a block also
//! holds all blocks before it.

use std::collections::{HashMap, VecDeque};

use crate::ids::EndpointId;

/// Maximum number of pairs of block and endpoint; they take 3 MB with their tables.
const MAX_HINTS: usize = 1 << 15;
/// One block in this many is remembered.
const SAMPLING_INTERVAL: u64 = 8;
/// Maximum number of endpoints remembered for one block. A block at more endpoints is considered
/// available everywhere.
const MAX_HOLDERS: usize = 16;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Holder {
    endpoint: EndpointId,
    /// Position of the last report of this pair in the sequence of all reports.
    sequence: u64,
}

/// Index of which endpoints have which blocks. The pair that was not reported for longest is
/// dropped first.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    holders: HashMap<u64, Vec<Holder>>,
    insertions: VecDeque<(u64, Holder)>,
    sequence: u64,
}

impl PrefixIndex {
    /// Records that an endpoint has a block.
    pub fn add(&mut self, block: u64, endpoint: EndpointId) {
        if !is_sampled(block) {
            return;
        }
        self.sequence += 1;
        let holder = Holder { endpoint, sequence: self.sequence };
        let holders = self.holders.entry(block).or_default();
        match holders.iter().position(|h| h.endpoint == endpoint) {
            Some(at) => holders[at] = holder,
            None if holders.len() < MAX_HOLDERS => holders.push(holder),
            None => return,
        }
        self.insertions.push_back((block, holder));
        if MAX_HINTS < self.insertions.len()
            && let Some((block, oldest)) = self.insertions.pop_front()
        {
            self.drop_holder(block, |h| h == oldest);
        }
    }

    /// Records that an endpoint has evicted a block.
    pub fn remove(&mut self, block: u64, endpoint: EndpointId) {
        self.drop_holder(block, |h| h.endpoint == endpoint);
    }

    fn drop_holder(&mut self, block: u64, matches: impl Fn(Holder) -> bool) {
        let Some(holders) = self.holders.get_mut(&block) else { return };
        holders.retain(|h| !matches(*h));
        if holders.is_empty() {
            self.holders.remove(&block);
        }
    }

    /// Returns the number of pairs of block and endpoint.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.values().map(Vec::len).sum()
    }

    /// Whether the index is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns for each endpoint how many of a prompt's blocks it has from the start of the prompt,
    /// as far as is known.
    #[must_use]
    pub fn matches(&self, blocks: &[u64]) -> Vec<(EndpointId, usize)> {
        let mut found: Vec<(EndpointId, usize)> = Vec::new();
        for (i, block) in blocks.iter().enumerate().rev().filter(|(_, b)| is_sampled(**b)) {
            for holder in self.holders.get(block).into_iter().flatten() {
                if found.iter().all(|(endpoint, _)| *endpoint != holder.endpoint) {
                    found.push((holder.endpoint, i + 1));
                }
            }
        }
        found
    }

    /// Returns the last remembered block of a prompt, and the number of blocks up to its end.
    #[must_use]
    pub fn last_sampled(blocks: &[u64]) -> Option<(u64, usize)> {
        let at = blocks.iter().rposition(|b| is_sampled(*b))?;
        Some((blocks[at], at + 1))
    }

    /// Whether an endpoint has a block.
    #[must_use]
    pub fn contains(&self, block: u64, endpoint: EndpointId) -> bool {
        self.holders.get(&block).is_some_and(|h| h.iter().any(|h| h.endpoint == endpoint))
    }

    /// Returns the first remembered block of a prompt that at most `max_holders` endpoints have.
    #[must_use]
    pub fn first_rare(&self, blocks: &[u64], max_holders: usize) -> Option<u64> {
        let holders = |block: u64| self.holders.get(&block).map_or(0, Vec::len);
        blocks.iter().copied().find(|b| is_sampled(*b) && holders(*b) <= max_holders)
    }
}

/// Whether a block is one of those that are remembered.
fn is_sampled(block: u64) -> bool {
    block.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(8).is_multiple_of(SAMPLING_INTERVAL)
}
