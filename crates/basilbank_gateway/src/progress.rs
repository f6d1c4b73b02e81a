//! Progress of an answer that is being received.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use tokio::time::Instant;

/// Bytes that count as progress: one packet. An answer that sends single bytes would otherwise
/// never end.
const MIN_PROGRESS_BYTES: usize = 1024;

/// What has arrived of a read so far. The source counts, and the reader decides: by the time
/// without data, never by the total time. The reader doesn't choose how much there is to read, and
/// the store doesn't choose how fast it arrives. A read that is given up while data arrives starts
/// again at its first byte, has more to transfer then, and may never end.
#[derive(Clone, Debug, Default)]
pub struct Progress(Rc<ProgressState>);

#[derive(Debug, Default)]
struct ProgressState {
    /// The store's era, as stated in the answer's head.
    era: Cell<Option<u64>>,
    /// Names of the head's headers that nothing reads.
    unread: RefCell<Vec<String>>,
    bytes: Cell<usize>,
    /// Bytes of the requests that were sent.
    sent: Cell<usize>,
    /// Time of the last progress, and the number of bytes at that time.
    last_progress: Cell<Option<(Instant, usize)>>,
}

impl Progress {
    /// Records the answer's head, with the store's era if it states one.
    pub fn record_head(&self, era: Option<u64>) {
        self.0.era.set(era);
        self.0.last_progress.set(Some((Instant::now(), self.bytes())));
    }

    /// Records the names of the head's headers that nothing reads.
    pub fn record_unread(&self, names: Vec<String>) {
        self.0.unread.replace(names);
    }

    /// Returns the names of the head's headers that nothing reads.
    #[must_use]
    pub fn unread(&self) -> Vec<String> {
        self.0.unread.borrow().clone()
    }

    /// Records bytes of the body.
    pub fn record_bytes(&self, bytes: usize) {
        let total = self.bytes() + bytes;
        self.0.bytes.set(total);
        let bytes_at_progress = self.0.last_progress.get().map_or(0, |(_, bytes)| bytes);
        if MIN_PROGRESS_BYTES <= total - bytes_at_progress {
            self.0.last_progress.set(Some((Instant::now(), total)));
        }
    }

    /// Records the bytes of a request that is sent.
    pub fn record_sent(&self, bytes: usize) {
        self.0.sent.set(self.0.sent.get() + bytes);
    }

    /// Returns the number of bytes sent so far.
    #[must_use]
    pub fn sent(&self) -> usize {
        self.0.sent.get()
    }

    /// Returns the store's era, if the answer's head has arrived and states it.
    #[must_use]
    pub fn era(&self) -> Option<u64> {
        self.0.era.get()
    }

    /// Returns the number of bytes of the body received so far.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.0.bytes.get()
    }

    /// Returns the time of the last progress.
    #[must_use]
    pub fn last_progress(&self) -> Option<Instant> {
        self.0.last_progress.get().map(|(at, _)| at)
    }
}
