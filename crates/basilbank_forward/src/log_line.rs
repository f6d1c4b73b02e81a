//! A line of the log, and what counters take from it.

use std::{fmt, time::Duration};

use crate::reason::Retry;

/// A line of the log: a name, and pairs in order.
#[derive(Clone, PartialEq, Debug)]
pub struct LogLine {
    /// A stable name.
    pub name: &'static str,
    /// Key=value pairs.
    pub pairs: Vec<(&'static str, String)>,
    /// What counters and histograms take from it.
    pub measurement: Option<Measurement>,
}

/// What is counted and timed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Measurement {
    /// An attempt came to something.
    Attempt {
        /// The outcome's stable name.
        outcome: &'static str,
        /// How long it took.
        duration: Duration,
    },
    /// A request ended.
    Request {
        /// The outcome's stable name.
        outcome: &'static str,
        /// How long it took.
        duration: Duration,
    },
    /// A permit came for a call to an endpoint with a limit.
    Permit,
    /// A call is in quarantine from now on.
    Quarantined,
    /// A call beyond the first goes out.
    Retry(Retry),
}

impl LogLine {
    /// A line without pairs.
    #[must_use]
    pub fn new(name: &'static str) -> LogLine {
        LogLine { name, pairs: Vec::new(), measurement: None }
    }

    /// With one more pair.
    #[must_use]
    pub fn with(mut self, key: &'static str, value: impl fmt::Display) -> LogLine {
        self.pairs.push((key, value.to_string()));
        self
    }

    /// With a time in whole milliseconds.
    #[must_use]
    pub fn with_ms(self, key: &'static str, time: Duration) -> LogLine {
        self.with(key, time.as_millis())
    }

    /// With what counters and histograms take from it.
    #[must_use]
    pub fn with_measurement(mut self, measure: Measurement) -> LogLine {
        self.measurement = Some(measure);
        self
    }
}
