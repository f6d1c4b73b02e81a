//! What operators see: metrics, logs and requests' histories.

use std::time::Duration;

use basilbank_core::effect::Progress;

use crate::logs;

/// Takes note of all that the core reports.
#[derive(Debug, Default)]
pub struct Observer {}

impl Observer {
    /// The core reported progress.
    pub fn progress(&self, progress: &Progress) {
        log::info!("{}", logs::line(progress));
    }

    /// The core took one event in.
    pub fn decided(&self, _took: Duration) {}
}
