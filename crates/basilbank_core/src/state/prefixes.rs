//! Where prompt prefixes are cached: hints from endpoints' late and gapped events, and from own
//! recent prefills. A wrong hint costs a longer prefill than expected, nothing else.

use std::collections::{HashMap, VecDeque};

use crate::ids::EndpointId;

/// Most pairs of block and endpoint that are remembered.
const CAPACITY: usize = 1 << 16;

/// Which endpoints have which blocks. The oldest are forgotten first.
#[derive(Debug, Default)]
pub struct Prefixes {
    holders: HashMap<u64, Vec<EndpointId>>,
    order: VecDeque<(u64, EndpointId)>,
}

impl Prefixes {
    /// An endpoint has a block.
    pub fn add(&mut self, block: u64, endpoint: EndpointId) {
        let holders = self.holders.entry(block).or_default();
        if holders.contains(&endpoint) {
            return;
        }
        holders.push(endpoint);
        self.order.push_back((block, endpoint));
        if CAPACITY < self.order.len()
            && let Some((block, endpoint)) = self.order.pop_front()
        {
            self.remove(block, endpoint);
        }
    }

    /// An endpoint has lost a block.
    pub fn remove(&mut self, block: u64, endpoint: EndpointId) {
        let Some(holders) = self.holders.get_mut(&block) else { return };
        holders.retain(|h| *h != endpoint);
        if holders.is_empty() {
            self.holders.remove(&block);
        }
    }

    /// How many of a prompt's blocks an endpoint has from its start on.
    ///
    /// A block's hash covers all before it and engines evict from the end, so the boundary is found
    /// by bisection.
    #[must_use]
    pub fn cached(&self, blocks: &[u64], endpoint: EndpointId) -> usize {
        let has = |block: &u64| self.holders.get(block).is_some_and(|h| h.contains(&endpoint));
        blocks.partition_point(has)
    }

    /// The endpoints that have a prompt's first block.
    #[must_use]
    pub fn holders(&self, blocks: &[u64]) -> &[EndpointId] {
        blocks.first().and_then(|b| self.holders.get(b)).map_or(&[], Vec::as_slice)
    }
}
