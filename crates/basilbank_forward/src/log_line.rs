//! Log lines as data, with the measurements that metrics take from them.

use std::{fmt, time::Duration};

use crate::{
    rank::Rank,
    reason::{Retry, UnknownVersion, VersionSource},
    team::TeamId,
};

/// A log line: a name followed by ordered key-value pairs.
#[derive(Clone, PartialEq, Debug)]
pub struct LogLine {
    /// Stable name of the line.
    pub name: &'static str,
    /// Keys and values in the order in which they are written.
    pub pairs: Vec<(&'static str, String)>,
    /// The measurement that counters and histograms record.
    pub measurement: Option<Measurement>,
}

/// A value for counters and histograms.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Measurement {
    /// An attempt reported an outcome.
    Attempt {
        /// Stable name of the outcome.
        outcome: &'static str,
        /// Time since the attempt was sent.
        duration: Duration,
    },
    /// A request ended.
    Request {
        /// Stable name of the outcome.
        outcome: &'static str,
        /// Time since the call arrived.
        duration: Duration,
    },
    /// The answer of a call with a rank or a team begins.
    FirstToken {
        /// The call's rank.
        rank: Option<Rank>,
        /// The call's team.
        team: Option<TeamId>,
        /// Tokens that the call needs, as far as they are known.
        tokens: u64,
        /// Whether it is on time.
        on_time: bool,
        /// Time since the call arrived.
        duration: Duration,
    },
    /// The endpoint of an attempt has fallen silent.
    Silence,
    /// What ended the silence of an attempt's endpoint.
    SilenceEnded(&'static str),
    /// A permit for a call to an endpoint with a call limit was received.
    Permit,
    /// An endpoint has asked for a pause.
    Pause,
    /// A call was put into quarantine.
    Quarantined,
    /// So much of the evidence about crashes was dropped, as there was too much.
    EvidenceDropped(usize),
    /// So many records of versions of streams were dropped before their end, as there were too many.
    StreamRecordsDropped(usize),
    /// A completion that waited has found capacity, this far from the forecast time.
    ForecastError(Duration),
    /// What became of a call that returned as it was told.
    Returned(&'static str),
    /// It is known which version began a stream that a call continues.
    StreamPinned(VersionSource),
    /// It isn't known.
    StreamUnknown(UnknownVersion),
    /// An extra call, beyond the first of its request, is sent.
    Retry(Retry),
}

impl LogLine {
    /// Creates a line without key-value pairs.
    #[must_use]
    pub fn new(name: &'static str) -> LogLine {
        LogLine { name, pairs: Vec::new(), measurement: None }
    }

    /// Appends a key-value pair.
    #[must_use]
    pub fn with(mut self, key: &'static str, value: impl fmt::Display) -> LogLine {
        self.pairs.push((key, value.to_string()));
        self
    }

    /// Appends a duration in whole milliseconds.
    #[must_use]
    pub fn with_ms(self, key: &'static str, time: Duration) -> LogLine {
        self.with(key, time.as_millis())
    }

    /// Sets the measurement that counters and histograms record.
    #[must_use]
    pub fn with_measurement(mut self, measure: Measurement) -> LogLine {
        self.measurement = Some(measure);
        self
    }
}
