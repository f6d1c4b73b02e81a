//! Scheduling of reads from the platform.

use std::time::Duration;

/// Schedule of one kind of read from the platform; at most one read is in progress.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct PlatformReader {
    /// When the read in progress began.
    pub pending_since: Option<Duration>,
    /// The earliest start of the next read.
    pub next_at: Duration,
    /// Number of consecutive failed reads.
    pub failures: u32,
}

impl PlatformReader {
    /// Whether a read may begin. A read in progress counts as lost after `timeout`.
    #[must_use]
    pub fn is_due(&self, mono: Duration, timeout: Duration) -> bool {
        let idle = self.pending_since.is_none_or(|since| timeout <= mono.saturating_sub(since));
        idle && self.next_at <= mono
    }

    /// Records that a read begins.
    pub fn begin(&mut self, mono: Duration) {
        self.pending_since = Some(mono);
    }

    /// Records that a read succeeded; the next one may begin at `next`.
    pub fn record_success(&mut self, next: Duration) {
        *self = PlatformReader { pending_since: None, next_at: next, failures: 0 };
    }

    /// Records that a read failed; the next one may begin at `next`.
    pub fn record_failure(&mut self, next: Duration) {
        *self = PlatformReader {
            pending_since: None,
            next_at: next,
            failures: self.failures.saturating_add(1),
        };
    }
}
