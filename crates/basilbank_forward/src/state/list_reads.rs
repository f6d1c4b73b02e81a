//! How current the list of endpoints is known to be.
//!
//! A read of the store proves what was listed when it began. A stream that is taken up by a call began
//! at an endpoint that some daemon had read of before the call came, so a read that began after that
//! shows its version. That nothing newer was heard proves nothing.

use std::time::Duration;

use crate::topic::{ItemRevisions, Revision};

/// Age from which on an open read is not shared: its connection may be dead.
const MAX_SHARED_AGE: Duration = Duration::from_millis(50);

/// What this daemon knows of how current its list of endpoints is.
#[derive(Debug, Default)]
pub struct ListReads {
    /// The revision up to which all changes of the list are in the directory.
    known_to: Revision,
    /// The last read that was answered.
    confirmed: Option<Confirmation>,
    /// When the last read that has no answer yet was sent.
    open_since: Option<Duration>,
    /// The newest change that was known anywhere as the last read was sent.
    latest_change: Revision,
}

/// A read of the changes that were not known. All versions that they name are known.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Confirmation {
    /// When it was sent.
    pub asked_at: Duration,
    /// The store's revision at the read.
    pub revision: Revision,
}

impl ListReads {
    /// Returns the revision up to which all changes of the list are known.
    #[must_use]
    pub fn known_to(&self) -> Revision {
        self.known_to
    }

    /// Records that the list was read.
    pub fn record_read(&mut self, revision: Revision) {
        self.known_to.advance(revision);
    }

    /// Records a configuration that was read in an era of the store. What was written at its revision is
    /// no endpoint.
    pub fn record_configuration(&mut self, era: u64, revisions: ItemRevisions) {
        let next = Revision { era, number: self.known_to.number + 1 };
        if self.known_to.era == era && revisions.changed == next.number {
            self.known_to = next;
        }
    }

    /// Returns whether a read has to be sent: no recent one is open.
    #[must_use]
    pub fn is_due(&self, now: Duration) -> bool {
        self.open_since.is_none_or(|since| since + MAX_SHARED_AGE <= now)
    }

    /// Returns whether a read was sent at `time` or later and has no answer yet, or has one.
    #[must_use]
    pub fn is_sent_since(&self, time: Duration) -> bool {
        self.open_since.is_some_and(|since| time <= since) || self.confirmed_since(time).is_some()
    }

    /// Returns whether a read has no answer yet.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open_since.is_some()
    }

    /// Records that a read was sent. A peer may have told of a newer change than this daemon has read.
    pub fn record_sent(&mut self, latest_change: Revision, now: Duration) {
        self.open_since = Some(now);
        self.latest_change = latest_change;
    }

    /// Records that the read that was sent at `asked_at` has ended.
    pub fn record_end(&mut self, asked_at: Duration) {
        self.open_since = self.open_since.filter(|since| *since != asked_at);
    }

    /// Records an answer, unless it lags behind what was known before. Returns whether it counts.
    pub fn confirm(&mut self, confirmation: Confirmation) -> bool {
        if confirmation.revision < self.latest_change {
            return false;
        }
        let is_newer =
            self.confirmed.is_none_or(|confirmed| confirmed.asked_at < confirmation.asked_at);
        if is_newer {
            self.confirmed = Some(confirmation);
        }
        true
    }

    /// Returns the last read that was answered, if it was sent at `time` or later.
    #[must_use]
    pub fn confirmed_since(&self, time: Duration) -> Option<Confirmation> {
        self.confirmed.filter(|confirmed| time <= confirmed.asked_at)
    }
}
