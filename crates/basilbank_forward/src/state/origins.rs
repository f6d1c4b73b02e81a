//! Which version of an endpoint's software began a stream.
//!
//! A stream may go on only at the version that began it. Its caller may come back to any daemon, so
//! the daemon that begins a stream tells some others. Records are kept for as long as a stream may
//! last.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    call::StreamId,
    endpoint::{EndpointKey, SoftwareVersion},
};

/// Maximum time from a stream's first event to the last try of its caller.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(20);

/// Maximum number of records. Those that end first are dropped beyond that.
const MAX_RECORDS: usize = 16_384;

/// Minimum time by which a record is extended: repeated messages add nothing.
const MIN_EXTENSION: Duration = Duration::from_secs(1);

/// The version that began a stream.
#[derive(Clone, Copy, Debug)]
struct Origin {
    version: SoftwareVersion,
    until: Duration,
    /// Whether an endpoint streamed to this daemon, so that this daemon tells others.
    is_own: bool,
    /// The endpoint that sent its first event to this daemon, and when.
    began: Option<(EndpointKey, Duration)>,
}

/// The versions that began streams, as far as this daemon knows.
#[derive(Debug, Default)]
pub struct Origins {
    records: HashMap<StreamId, Origin>,
    /// When records end, in order. A record that was made anew has an older entry as well.
    ends: VecDeque<(Duration, StreamId)>,
    /// Number of records that were dropped before their end, as there were too many.
    dropped: usize,
}

impl Origins {
    /// Records the version that began a stream. What this daemon has seen itself is not replaced by
    /// what a peer says.
    pub fn record(
        &mut self,
        stream: StreamId,
        version: SoftwareVersion,
        is_own: bool,
        now: Duration,
    ) {
        self.expire(now);
        let known = self.records.get(&stream);
        if known.is_some_and(|known| known.is_own && !is_own) {
            return;
        }
        let is_repeated = known.is_some_and(|known| {
            known.version == version && now + STREAM_LIFETIME < known.until + MIN_EXTENSION
        });
        if is_repeated {
            return;
        }
        let until = now + STREAM_LIFETIME;
        let began = known.and_then(|known| known.began);
        self.records.insert(stream, Origin { version, until, is_own, began });
        self.ends.push_back((until, stream));
        while MAX_RECORDS < self.ends.len() {
            let count = self.records.len();
            self.remove_first();
            self.dropped += count - self.records.len();
        }
    }

    /// Records which endpoint began a stream, unless it had begun before.
    pub fn record_endpoint(&mut self, stream: StreamId, endpoint: EndpointKey, now: Duration) {
        if let Some(origin) = self.records.get_mut(&stream) {
            origin.began.get_or_insert((endpoint, now));
        }
    }

    /// Corrects the versions of the streams that an endpoint began. `version` returns the version by
    /// the time of the first event, or `None` if it stays. Returns the streams with their new versions.
    pub fn correct(
        &mut self,
        endpoint: EndpointKey,
        version: impl Fn(Duration) -> Option<SoftwareVersion>,
    ) -> Vec<(StreamId, SoftwareVersion)> {
        let mut corrected = Vec::new();
        for (stream, origin) in &mut self.records {
            let Some((_, at)) = origin.began.filter(|(began_by, _)| *began_by == endpoint) else {
                continue;
            };
            if let Some(version) = version(at) {
                origin.version = version;
                corrected.push((*stream, version));
            }
        }
        corrected.sort_unstable_by_key(|(stream, _)| stream.0);
        corrected
    }

    /// Returns the version that began a stream.
    #[must_use]
    pub fn get(&self, stream: StreamId, now: Duration) -> Option<SoftwareVersion> {
        self.records.get(&stream).filter(|origin| now < origin.until).map(|origin| origin.version)
    }

    /// Returns the streams that endpoints sent to this daemon.
    pub fn own(&self, now: Duration) -> impl Iterator<Item = (StreamId, SoftwareVersion)> {
        let own =
            self.records.iter().filter(move |(_, origin)| origin.is_own && now < origin.until);
        own.map(|(stream, origin)| (*stream, origin.version))
    }

    /// Returns the number of records that were dropped since the last call.
    pub fn take_dropped(&mut self) -> usize {
        std::mem::take(&mut self.dropped)
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        while self.ends.front().is_some_and(|(until, _)| *until <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        let Some((until, stream)) = self.ends.pop_front() else { return };
        if self.records.get(&stream).is_some_and(|origin| origin.until <= until) {
            self.records.remove(&stream);
        }
    }
}
