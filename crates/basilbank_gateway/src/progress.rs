//! How far an answer has come.

use std::{cell::Cell, rc::Rc};

use tokio::time::Instant;

/// Bytes that count as getting on: one packet. An answer that drips would otherwise never end.
const DRIP: usize = 1024;

/// What has arrived of a read so far. The source counts, the reader judges: by how long nothing has
/// come, never by how long all of it takes. How much there is to read is not the reader's choice, and
/// how fast it comes not the store's; a read that is given up while it gets on is begun again at its
/// first byte, has more to bring then, and may never end.
#[derive(Clone, Debug, Default)]
pub struct Progress(Rc<Arrived>);

#[derive(Debug, Default)]
struct Arrived {
    /// The store's era, as the answer's head says.
    era: Cell<Option<u64>>,
    bytes: Cell<usize>,
    /// When the read got on last, and how many bytes there were then.
    mark: Cell<Option<(Instant, usize)>>,
}

impl Progress {
    /// The answer's head came, with the store's era if it says it.
    pub fn begun(&self, era: Option<u64>) {
        self.0.era.set(era);
        self.0.mark.set(Some((Instant::now(), self.bytes())));
    }

    /// So many bytes of its body came.
    pub fn arrived(&self, bytes: usize) {
        let all = self.bytes() + bytes;
        self.0.bytes.set(all);
        let marked = self.0.mark.get().map_or(0, |(_, bytes)| bytes);
        if DRIP <= all - marked {
            self.0.mark.set(Some((Instant::now(), all)));
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
    pub fn got_on(&self) -> Option<Instant> {
        self.0.mark.get().map(|(at, _)| at)
    }
}
