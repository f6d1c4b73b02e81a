//! Reads from the platform.

use std::time::Duration;

/// One kind of reads from the platform: at most one at a time.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct PlatformReader {
    /// When the open read began.
    pub pending_since: Option<Duration>,
    /// Not before this.
    pub next_at: Duration,
    /// Reads that failed, one after the other.
    pub failures: u32,
}

impl PlatformReader {
    /// Whether a read may begin. One that was never answered is given up after `lost`.
    #[must_use]
    pub fn is_due(&self, mono: Duration, timeout: Duration) -> bool {
        let idle = self.pending_since.is_none_or(|since| timeout <= mono.saturating_sub(since));
        idle && self.next_at <= mono
    }

    /// A read begins.
    pub fn begin(&mut self, mono: Duration) {
        self.pending_since = Some(mono);
    }

    /// A read was answered; the next one may begin at `next`.
    pub fn record_success(&mut self, next: Duration) {
        *self = PlatformReader { pending_since: None, next_at: next, failures: 0 };
    }

    /// A read failed; the next one may begin at `next`.
    pub fn record_failure(&mut self, next: Duration) {
        *self = PlatformReader {
            pending_since: None,
            next_at: next,
            failures: self.failures.saturating_add(1),
        };
    }
}
