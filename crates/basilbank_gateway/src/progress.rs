//! How far an answer has come.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::{Instant, sleep, sleep_until};

/// Given to what has reached this process and was not taken in yet. A process that stood still finds
/// its limits passed and the answer in its sockets; without this it would throw the answer away.
pub(crate) const SETTLE: Duration = Duration::from_millis(20);

/// Bytes that count as getting on: one packet. An answer that drips would otherwise never end.
const DRIP: usize = 1024;

/// How long a read may be without anything coming.
///
/// A limit on the whole time would be wrong: how much there is to read is not the reader's choice, and
/// how fast it comes not the store's. Over a slow link a read that is given up while it gets on is
/// begun again at its first byte, and has more to bring then; it would never end.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Patience {
    /// Until the answer's head.
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
    /// When the read got on last, and how many bytes there were then.
    mark: Cell<Option<(Instant, usize)>>,
}

impl Progress {
    /// The answer's head came.
    pub fn begun(&self) {
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

    /// Bytes of the body so far.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.0.bytes.get()
    }

    /// The answer has begun to come.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.0.mark.get().is_some()
    }

    /// Waits until the read has not got on for longer than the patience lasts; it begins now.
    pub async fn silent(&self, patience: Patience) {
        let begun = Instant::now();
        loop {
            let mark = self.0.mark.get();
            let end = mark.map_or(begun + patience.first, |(at, _)| at + patience.between);
            sleep_until(end).await;
            sleep(SETTLE).await;
            if self.0.mark.get() == mark {
                return;
            }
        }
    }
}
