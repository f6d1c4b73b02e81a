//! What operators see: metrics, logs and requests' histories.

use std::{sync::Arc, time::Duration};

use basilbank_core::{effect::Progress, time::Now};

use crate::{history::History, logs, metrics::Metrics, published::Published};

/// Takes note of all that the core reports.
#[derive(Debug)]
pub struct Observer {
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// What happened to the latest requests.
    pub history: Arc<History>,
    published: Arc<Published>,
}

impl Observer {
    /// An observer that knows names from the catalogue that is published.
    #[must_use]
    pub fn new(metrics: Arc<Metrics>, published: Arc<Published>) -> Observer {
        Observer { metrics, history: Arc::default(), published }
    }

    /// The core reported progress.
    pub fn progress(&self, now: Now, progress: &Progress) {
        let names = self.published.names();
        self.metrics.progress(progress, &names);
        self.history.record(now.mono, progress);
        log::info!("{}", logs::line(progress, &names));
    }

    /// The core took one event in.
    pub fn decided(&self, took: Duration) {
        self.metrics.decided(took);
    }
}
