//! Whether this daemon's own view can be trusted.

use std::time::Duration;

/// This daemon's own state among its peers.
///
/// A process that was stopped, or that is cut off, still believes that it decides for its subjects
/// while another daemon has taken over. Both would then give the same slot away. One notices it at
/// endpoints that refuse as full. So a daemon that slept, or hears fewer than half of the listed
/// members, decides nothing until it has heard its peers again.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct OwnStatus {
    /// A VM list is known.
    pub has_list: bool,
    /// Fewer than half of the listed members are heard.
    pub is_isolated: bool,
    /// The daemon woke from a pause, or started, and has not heard half of its peers since. News
    /// counts from this moment on, which is a little after the waking: what was received during the
    /// pause is old.
    pub rejoining_since: Option<Duration>,
    /// When the last event came.
    pub last_event: Duration,
    /// Since when the daemon may decide; a subject's state from before is stale.
    pub deciding_since: Duration,
}

impl OwnStatus {
    /// A daemon that has just started and has heard nobody.
    #[must_use]
    pub fn new(mono: Duration) -> OwnStatus {
        OwnStatus { rejoining_since: Some(mono), last_event: mono, ..OwnStatus::default() }
    }

    /// Whether the daemon may decide for others.
    #[must_use]
    pub fn may_decide(&self) -> bool {
        self.has_list && !self.is_isolated && self.rejoining_since.is_none()
    }
}
