//! What an endpoint's answers have stated about the endpoint.

use std::time::Duration;

/// What the answers of an incarnation have stated about it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Statements {
    /// It is leaving. Its record may say so much later, or never: the store may be unreachable for
    /// it, or for this daemon.
    pub leaving: bool,
    /// It wants nothing from this daemon until then.
    pub paused_until: Duration,
}

impl Statements {
    /// Returns whether the endpoint wants nothing from this daemon for now.
    #[must_use]
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }
}
