//! How far an answer has come.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::{Instant, sleep, sleep_until};

/// Given to what has reached this process and was not taken in yet. A process that stood still finds
/// its limits passed and the answer in its sockets; without this it would throw the answer away.
const SETTLE: Duration = Duration::from_millis(20);

/// How long a read may be without anything coming.
///
/// A limit on the whole time would be wrong: how much there is to read is not the reader's choice, and
/// how fast it comes not the store's. Over a slow link a read that is given up while it gets on is
/// begun again at its first byte, and has more to bring then; it would never end.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Patience {
    /// Until the first answer's head.
    pub first: Duration,
    /// From then on.
    pub between: Duration,
}

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

    /// An answer has begun to come.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.0.last.get().is_some()
    }

    /// Waits until nothing has come for longer than the patience lasts; it begins now.
    pub async fn silent(&self, patience: Patience) {
        let begun = Instant::now();
        loop {
            let last = self.0.last.get();
            let end = last.map_or(begun + patience.first, |at| at + patience.between);
            sleep_until(end).await;
            sleep(SETTLE).await;
            if self.0.last.get() == last {
                return;
            }
        }
    }
}
