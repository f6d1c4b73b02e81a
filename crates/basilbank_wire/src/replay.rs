//! Packets are taken once, and only from a sender's latest incarnation.

use std::collections::HashMap;

use crate::DropReason;

/// Sequence numbers below the highest one that may still come. A large packet travels over TCP while
/// thousands of small ones overtake it.
pub const REPLAY_WINDOW: u64 = 4096;

/// Senders remembered at once; the one unheard for longest is forgotten for a new one.
pub const MAX_SENDERS: usize = 4096;

const WORD_BITS: u64 = u64::BITS as u64;
const WINDOW_WORDS: usize = (REPLAY_WINDOW / WORD_BITS) as usize;

/// What has been received from whom.
///
/// A packet that an attacker recorded has a right seal. Taken a second time, or after its sender has
/// restarted, it would speak for a state that is gone: free a slot that was granted again, or show a
/// dead daemon alive.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<u64, Sender>,
    packet_count: u64,
}

#[derive(Debug)]
struct Sender {
    incarnation: u64,
    window: Window,
    /// The guard's counter when the sender was last heard.
    last_seen: u64,
}

impl ReplayGuard {
    /// Takes note of a packet whose seal is right.
    ///
    /// # Errors
    /// `OldIncarnation` or `Replayed`; the packet must be dropped.
    pub fn check(
        &mut self,
        sender_id: u64,
        incarnation: u64,
        sequence: u64,
    ) -> Result<(), DropReason> {
        self.packet_count += 1;
        if !self.senders.contains_key(&sender_id) && MAX_SENDERS <= self.senders.len() {
            self.evict_least_recent();
        }
        let last_seen = self.packet_count;
        let new_sender = || Sender { incarnation, window: Window::default(), last_seen };
        let sender = self.senders.entry(sender_id).or_insert_with(new_sender);
        if incarnation < sender.incarnation {
            return Err(DropReason::OldIncarnation);
        }
        if sender.incarnation < incarnation {
            *sender = new_sender();
        }
        sender.last_seen = last_seen;
        if sender.window.record(sequence) { Ok(()) } else { Err(DropReason::Replayed) }
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

    fn evict_least_recent(&mut self) {
        let least_recent =
            self.senders.iter().min_by_key(|(_, s)| s.last_seen).map(|(sender_id, _)| *sender_id);
        if let Some(sender_id) = least_recent {
            self.senders.remove(&sender_id);
        }
    }
}

/// One bit for each of the last `REPLAY_WINDOW` sequence numbers; number `n` has bit
/// `n % REPLAY_WINDOW`.
#[derive(Debug)]
struct Window {
    /// The number after the highest one seen.
    next: u64,
    bits: Box<[u64; WINDOW_WORDS]>,
}

impl Default for Window {
    fn default() -> Window {
        Window { next: 0, bits: Box::new([0; WINDOW_WORDS]) }
    }
}

impl Window {
    /// Takes a number; `false` when it was taken before or is too old to tell.
    fn record(&mut self, sequence: u64) -> bool {
        if sequence.saturating_add(REPLAY_WINDOW) < self.next || sequence == u64::MAX {
            return false;
        }
        if self.next <= sequence {
            self.advance(sequence);
        }
        let (word, bit) = bit_position(sequence);
        let is_new = self.bits[word] & bit == 0;
        self.bits[word] |= bit;
        is_new
    }

    /// Makes a number the highest, and clears the bits of those between.
    fn advance(&mut self, sequence: u64) {
        if REPLAY_WINDOW <= sequence - self.next {
            self.bits.fill(0);
        } else {
            for cleared in self.next..=sequence {
                let (word, bit) = bit_position(cleared);
                self.bits[word] &= !bit;
            }
        }
        self.next = sequence + 1;
    }
}

fn bit_position(sequence: u64) -> (usize, u64) {
    let index = sequence % REPLAY_WINDOW;
    ((index / WORD_BITS) as usize, 1 << (index % WORD_BITS))
}
