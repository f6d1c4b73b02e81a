//! Whether this daemon's own state is current enough to decide.

use std::time::Duration;

/// This daemon's own status among its peers.
///
/// A process that was stopped, or that lost contact, still believes that it owns its subjects while
/// another daemon has taken them over. Both would grant the same slot, which shows as endpoints
/// that refuse work as full. So a daemon that was paused, or that is in contact with fewer than
/// half of the listed members, decides nothing until it is in contact with its peers again.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct OwnStatus {
    /// Whether a VM list is known.
    pub has_list: bool,
    /// Whether fewer than half of the listed members are in contact.
    pub is_isolated: bool,
    /// Set after a start or a pause until half of the peers have been in contact. Only contact
    /// after this moment counts. It is slightly later than the end of the pause, because messages
    /// that were received during the pause are old.
    pub rejoining_since: Option<Duration>,
    /// When the last event was handled.
    pub last_event: Duration,
    /// Since when the daemon may decide. State of its subjects from before this moment is stale.
    pub deciding_since: Duration,
}

impl OwnStatus {
    /// Creates the status of a daemon that has just started and has not been in contact with any
    /// peer.
    #[must_use]
    pub fn new(mono: Duration) -> OwnStatus {
        OwnStatus { rejoining_since: Some(mono), last_event: mono, ..OwnStatus::default() }
    }

    /// Whether the daemon may decide as an owner.
    #[must_use]
    pub fn may_decide(&self) -> bool {
        self.has_list && !self.is_isolated && self.rejoining_since.is_none()
    }
}
