//! How far an answer has come.

use std::{cell::Cell, rc::Rc};

use tokio::time::Instant;

/// What has arrived of a read so far. The source counts, the reader judges.
#[derive(Clone, Debug, Default)]
pub struct Progress(Rc<Arrived>);

#[derive(Debug, Default)]
struct Arrived {
    bytes: Cell<usize>,
    last: Cell<Option<Instant>>,
}

impl Progress {
    /// So many bytes came; an answer's head counts as none.
    pub fn arrived(&self, bytes: usize) {
        self.0.bytes.set(self.0.bytes.get() + bytes);
        self.0.last.set(Some(Instant::now()));
    }

    /// Bytes of bodies so far.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.0.bytes.get()
    }

    /// When something came last.
    #[must_use]
    pub fn last(&self) -> Option<Instant> {
        self.0.last.get()
    }
}
