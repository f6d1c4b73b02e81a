//! How far an answer has come.

use std::{cell::Cell, rc::Rc};

use tokio::time::Instant;

/// Bytes that count as getting on: one packet. An answer that drips would otherwise never end.
const MIN_PROGRESS_BYTES: usize = 1024;

/// What has arrived of a read so far. The source counts, the reader judges: by how long nothing has
/// come, never by how long all of it takes. How much there is to read is not the reader's choice, and
/// how fast it comes not the store's; a read that is given up while it gets on is begun again at its
/// first byte, has more to bring then, and may never end.
#[derive(Clone, Debug, Default)]
pub struct Progress(Rc<ProgressState>);

#[derive(Debug, Default)]
struct ProgressState {
    /// The store's era, as the answer's head says.
    era: Cell<Option<u64>>,
    bytes: Cell<usize>,
    /// When the read got on last, and how many bytes there were then.
    last_progress: Cell<Option<(Instant, usize)>>,
}

impl Progress {
    /// The answer's head came, with the store's era if it says it.
    pub fn record_head(&self, era: Option<u64>) {
        self.0.era.set(era);
        self.0.last_progress.set(Some((Instant::now(), self.bytes())));
    }

    /// So many bytes of its body came.
    pub fn record_bytes(&self, bytes: usize) {
        let total = self.bytes() + bytes;
        self.0.bytes.set(total);
        let bytes_at_progress = self.0.last_progress.get().map_or(0, |(_, bytes)| bytes);
        if MIN_PROGRESS_BYTES <= total - bytes_at_progress {
            self.0.last_progress.set(Some((Instant::now(), total)));
        }
    }

    /// The store's era, if the answer's head has come and says it.
    #[must_use]
    pub fn era(&self) -> Option<u64> {
        self.0.era.get()
    }

    /// Bytes of the body so far.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.0.bytes.get()
    }

    /// When it got on last.
    #[must_use]
    pub fn last_progress(&self) -> Option<Instant> {
        self.0.last_progress.get().map(|(at, _)| at)
    }
}
