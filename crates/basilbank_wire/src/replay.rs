//! Replay protection: each packet is accepted once, and only from its sender's latest incarnation.

use std::collections::HashMap;

use crate::DropReason;

/// Number of sequence numbers, up to the highest received one, that can still be accepted. A large
/// packet is sent over TCP, and thousands of small ones may arrive before it.
pub const REPLAY_WINDOW: u64 = 4096;

/// Maximum number of senders that are remembered. A new sender replaces the one whose last packet
/// is the oldest.
pub const MAX_SENDERS: usize = 4096;

/// Number of bits in a word of the window's bitmap.
const WORD_BITS: u64 = u64::BITS as u64;
/// Number of words in the window's bitmap.
const WINDOW_WORDS: usize = (REPLAY_WINDOW / WORD_BITS) as usize;

/// Detects repeated packets by the sequence numbers received from each sender.
///
/// A packet that an attacker has recorded has a valid MAC. If it were accepted a second time, or
/// after its sender has restarted, it would report an outdated state: it could free a slot that has
/// been granted again, or make a dead daemon appear alive.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<u64, Sender>,
    /// Number of packets checked so far; used as a clock to order the senders by their last packet.
    packet_count: u64,
}

#[derive(Debug)]
struct Sender {
    incarnation: u64,
    window: Window,
    /// Value of `ReplayGuard::packet_count` when the last packet of this incarnation arrived.
    last_seen: u64,
}

impl ReplayGuard {
    /// Records a packet whose MAC is valid.
    ///
    /// # Errors
    /// `OldIncarnation` or `Replayed`: the caller must drop the packet.
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

    /// Returns the number of senders that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Returns whether no sender is remembered.
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

/// Bitmap of the last `REPLAY_WINDOW` sequence numbers: bit `n % REPLAY_WINDOW` is set if number
/// `n` was received.
#[derive(Debug)]
struct Window {
    /// Highest received sequence number plus one; 0 if none was received.
    next: u64,
    bits: Box<[u64; WINDOW_WORDS]>,
}

impl Default for Window {
    fn default() -> Window {
        Window { next: 0, bits: Box::new([0; WINDOW_WORDS]) }
    }
}

impl Window {
    /// Records a sequence number. Returns `false` if it was recorded before, is below the window,
    /// or is `u64::MAX`, for which `next` would overflow.
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

    /// Makes `sequence` the highest number. Clears its bit and the bits of the numbers skipped
    /// before it, which still stand for numbers that have left the window.
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

/// Returns the index of the word in the bitmap and the mask of the bit for a sequence number.
fn bit_position(sequence: u64) -> (usize, u64) {
    let index = sequence % REPLAY_WINDOW;
    ((index / WORD_BITS) as usize, 1 << (index % WORD_BITS))
}
