//! What is due when.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// A queue in virtual time. Things that are due at the same moment come out in the order in which
/// they went in.
pub struct Queue<T> {
    heap: BinaryHeap<Reverse<(Duration, u64, u32)>>,
    items: Vec<Option<T>>,
    free: Vec<u32>,
    sequence: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Queue<T> {
        Queue { heap: BinaryHeap::new(), items: Vec::new(), free: Vec::new(), sequence: 0 }
    }
}

impl<T> Queue<T> {
    /// Adds a thing.
    pub fn push(&mut self, at: Duration, item: T) {
        self.sequence += 1;
        let slot = match self.free.pop() {
            Some(slot) => {
                self.items[slot as usize] = Some(item);
                slot
            }
            None => {
                self.items.push(Some(item));
                self.items.len() as u32 - 1
            }
        };
        self.heap.push(Reverse((at, self.sequence, slot)));
    }

    /// When the next thing is due.
    #[must_use]
    pub fn next(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Takes the next thing.
    pub fn pop(&mut self) -> Option<(Duration, T)> {
        let Reverse((at, _, slot)) = self.heap.pop()?;
        self.free.push(slot);
        self.items[slot as usize].take().map(|item| (at, item))
    }
}
