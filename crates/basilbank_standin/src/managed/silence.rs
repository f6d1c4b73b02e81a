//! An endpoint that stands still for a moment and goes on.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{endpoint::ManagedEndpoint, http::Request, inside::lock, serving::Serving};

/// Header of a call to a plain service: how long the endpoint works on it, in milliseconds.
const WORK_MS: &str = "x-work-ms";

impl ManagedEndpoint {
    /// Sends nothing for a time, over no connection, and then goes on where it was.
    pub fn fall_silent(&self, time: Duration) {
        lock(&self.inside).silent_until = Some(Instant::now() + time);
    }

    /// The same, from the beginning of its next run on.
    pub fn fall_silent_at_run(&self, time: Duration) {
        lock(&self.inside).run_silence = Some(time);
    }
}

impl Serving {
    /// Waits until the endpoint is not silent.
    pub(super) fn wait_out_silence(&self) {
        loop {
            let until = lock(&self.inside).silent_until;
            let left = until.map(|until| until.saturating_duration_since(Instant::now()));
            match left {
                Some(left) if !left.is_zero() => thread::sleep(left),
                _ => return,
            }
        }
    }

    /// Works on a plain call for as long as the call says.
    pub(super) fn work(&self, request: &Request) {
        if let Some(ms) = request.header(WORK_MS).and_then(|ms| ms.parse().ok()) {
            thread::sleep(Duration::from_millis(ms));
            self.wait_out_silence();
        }
    }
}
