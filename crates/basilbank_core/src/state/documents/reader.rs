//! Reads from the platform.

use std::time::Duration;

/// One kind of reads from the platform: at most one at a time.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Reader {
    /// When the open read began.
    pub open: Option<Duration>,
    /// Not before this.
    pub next: Duration,
    /// Reads that failed, one after the other.
    pub failures: u32,
}

impl Reader {
    /// Whether a read may begin. One that was never answered is given up after `lost`.
    #[must_use]
    pub fn is_due(&self, mono: Duration, lost: Duration) -> bool {
        let idle = self.open.is_none_or(|since| lost <= mono.saturating_sub(since));
        idle && self.next <= mono
    }

    /// A read begins.
    pub fn begin(&mut self, mono: Duration) {
        self.open = Some(mono);
    }

    /// A read was answered; the next one may begin at `next`.
    pub fn answered(&mut self, next: Duration) {
        *self = Reader { open: None, next, failures: 0 };
    }

    /// A read failed; the next one may begin at `next`.
    pub fn failed(&mut self, next: Duration) {
        *self = Reader { open: None, next, failures: self.failures.saturating_add(1) };
    }
}
