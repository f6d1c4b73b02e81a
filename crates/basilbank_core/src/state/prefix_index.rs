//! Where prompt prefixes are cached: hints from endpoints' late and gapped events, and from own
//! recent prefills. A wrong hint costs a longer prefill than expected, nothing else.
//!
//! One block in eight is remembered, chosen by its hash, so that all daemons and all prompts agree on
//! which: the rest says nothing more, for an engine that holds a block holds those before it.

use std::collections::{HashMap, VecDeque};

use crate::ids::EndpointId;

/// Most pairs of block and endpoint that are remembered, 3 MB with their tables.
const MAX_HINTS: usize = 1 << 15;
/// One block in so many is remembered.
const SAMPLING_INTERVAL: u64 = 8;
/// A block at more endpoints than this is held everywhere; the others are not remembered.
const MAX_HOLDERS: usize = 16;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Holder {
    endpoint: EndpointId,
    /// When it was last said, as a count of all that was said.
    sequence: u64,
}

/// Which endpoints have which blocks. What was not said again for longest is forgotten first.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    holders: HashMap<u64, Vec<Holder>>,
    insertions: VecDeque<(u64, Holder)>,
    sequence: u64,
}

impl PrefixIndex {
    /// An endpoint has a block.
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

    /// An endpoint has lost a block.
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

    /// Pairs of block and endpoint that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.values().map(Vec::len).sum()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// How many of a prompt's blocks each endpoint has from its start on, as far as is known.
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

    /// The last block of a prompt that is remembered, and how many blocks it ends.
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

    /// The first block of a prompt that at most so many endpoints have.
    #[must_use]
    pub fn first_rare(&self, blocks: &[u64], most: usize) -> Option<u64> {
        let holders = |block: u64| self.holders.get(&block).map_or(0, Vec::len);
        blocks.iter().copied().find(|b| is_sampled(*b) && holders(*b) <= most)
    }
}

/// Whether a block is one of those that are remembered.
fn is_sampled(block: u64) -> bool {
    block.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(8).is_multiple_of(SAMPLING_INTERVAL)
}
