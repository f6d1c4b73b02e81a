//! Packets are taken once, and only from a sender's latest incarnation.

use std::collections::HashMap;

use crate::DropReason;

/// Sequence numbers below the highest one that may still come. A large packet travels over TCP while
/// thousands of small ones overtake it.
pub const WINDOW: u64 = 4096;

/// Senders remembered at once; the one unheard for longest is forgotten for a new one.
pub const SENDERS: usize = 4096;

const WORD: u64 = u64::BITS as u64;
const WORDS: usize = (WINDOW / WORD) as usize;

/// What has been received from whom.
///
/// A packet that an attacker recorded has a right seal. Taken a second time, or after its sender has
/// restarted, it would speak for a state that is gone: free a slot that was granted again, or show a
/// dead daemon alive.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<u64, Sender>,
    counter: u64,
}

#[derive(Debug)]
struct Sender {
    incarnation: u64,
    window: Window,
    /// The guard's counter when the sender was last heard.
    heard: u64,
}

impl ReplayGuard {
    /// Takes note of a packet whose seal is right.
    ///
    /// # Errors
    /// `OldIncarnation` or `Replayed`; the packet must be dropped.
    pub fn check(&mut self, from: u64, incarnation: u64, sequence: u64) -> Result<(), DropReason> {
        self.counter += 1;
        if !self.senders.contains_key(&from) && SENDERS <= self.senders.len() {
            self.forget_oldest();
        }
        let heard = self.counter;
        let new = || Sender { incarnation, window: Window::default(), heard };
        let sender = self.senders.entry(from).or_insert_with(new);
        if incarnation < sender.incarnation {
            return Err(DropReason::OldIncarnation);
        }
        if sender.incarnation < incarnation {
            *sender = new();
        }
        sender.heard = heard;
        if sender.window.take(sequence) { Ok(()) } else { Err(DropReason::Replayed) }
    }

    /// Number of senders remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Whether nobody has been heard.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.senders.iter().min_by_key(|(_, s)| s.heard).map(|(from, _)| *from);
        if let Some(from) = oldest {
            self.senders.remove(&from);
        }
    }
}

/// One bit for each of the last `WINDOW` sequence numbers; number `n` has bit `n % WINDOW`.
#[derive(Debug)]
struct Window {
    /// The number after the highest one seen.
    next: u64,
    bits: Box<[u64; WORDS]>,
}

impl Default for Window {
    fn default() -> Window {
        Window { next: 0, bits: Box::new([0; WORDS]) }
    }
}

impl Window {
    /// Takes a number; `false` when it was taken before or is too old to tell.
    fn take(&mut self, sequence: u64) -> bool {
        if sequence.saturating_add(WINDOW) < self.next || sequence == u64::MAX {
            return false;
        }
        if self.next <= sequence {
            self.advance(sequence);
        }
        let (word, bit) = place(sequence);
        let fresh = self.bits[word] & bit == 0;
        self.bits[word] |= bit;
        fresh
    }

    /// Makes a number the highest, and clears the bits of those between.
    fn advance(&mut self, sequence: u64) {
        if WINDOW <= sequence - self.next {
            self.bits.fill(0);
        } else {
            for skipped in self.next..=sequence {
                let (word, bit) = place(skipped);
                self.bits[word] &= !bit;
            }
        }
        self.next = sequence + 1;
    }
}

fn place(sequence: u64) -> (usize, u64) {
    let slot = sequence % WINDOW;
    ((slot / WORD) as usize, 1 << (slot % WORD))
}
