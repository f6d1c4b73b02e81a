//! What the list of endpoints itself proves about the time before it was read: before this daemon
//! started, or while it couldn't read all changes.
//!
//! Each change in the store has a revision of its own, and an endpoint that was removed has no record
//! any more. So if each revision since some moment is one at which a listed record or the
//! configuration was written, no endpoint has been removed since.

use std::time::Duration;

use crate::{
    endpoint::EndpointInfo,
    topic::{ItemRevisions, Revision},
};

/// Factor by which endpoints' heartbeats may be slower than their interval.
const HEARTBEAT_FACTOR: f64 = 1.5;

/// Time for which heartbeats may have failed, so that an endpoint has counted too few.
const MAX_HEARTBEAT_OUTAGE: Duration = Duration::from_secs(10);

/// The first list of endpoints that this daemon read, or the first one after changes that it couldn't
/// read.
#[derive(Debug)]
pub struct FirstList {
    /// The store's revision at which it was read.
    revision: Revision,
    /// The number of the revision up to which this daemon knows all changes; 0 for none.
    known_until: u64,
    records: Vec<Record>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    revisions: ItemRevisions,
    /// The latest time at which its last change can have been made, in milliseconds since the Unix
    /// epoch; `None` if the record doesn't state when its endpoint started.
    changed_by: Option<u64>,
}

impl FirstList {
    /// Records the list that was read at a revision. Endpoints send a heartbeat each `heartbeat`.
    #[must_use]
    pub fn new(revision: Revision, list: &[EndpointInfo], heartbeat: Duration) -> FirstList {
        let record = |info: &EndpointInfo| Record {
            revisions: info.revisions,
            changed_by: changed_by(info, heartbeat),
        };
        FirstList { revision, known_until: 0, records: list.iter().map(record).collect() }
    }

    /// Sets the revision up to which this daemon knows all changes, in the same era.
    #[must_use]
    pub fn with_known_until(self, known_until: u64) -> FirstList {
        FirstList { known_until, ..self }
    }

    /// Returns the number of the revision up to which this daemon knows all changes; 0 for none.
    #[must_use]
    pub fn known_until(&self) -> u64 {
        self.known_until
    }

    /// Returns whether no version can have come and gone since the changes that this daemon knows:
    /// each revision is that of a record's last change or of the configuration.
    ///
    /// An earlier change of a record says nothing: its endpoint may have started again since.
    #[must_use]
    pub fn accounts_for_gap(&self, configuration: ItemRevisions) -> bool {
        let changed = self.records.iter().map(|record| record.revisions.changed);
        let written = changed.chain([configuration.created, configuration.changed]);
        FirstList::accounts_for(written, self.known_until, self.revision.number)
    }

    /// Returns whether no endpoint was removed between `oldest`, in milliseconds since the Unix epoch,
    /// and the read of the list, as far as the list doesn't show it.
    ///
    /// `known_after` is the revision after which all changes are known from elsewhere. Before the
    /// first configuration was written there were no calls.
    #[must_use]
    pub fn is_complete(
        &self,
        oldest: u64,
        known_after: Option<Revision>,
        configuration: ItemRevisions,
    ) -> bool {
        let known_after = known_after.filter(|known| known.era == self.revision.era);
        let end = known_after.map_or(self.revision.number, |r| r.number.min(self.revision.number));
        let begin = self.begin(oldest, configuration);
        let changed = self.records.iter().map(|record| record.revisions.changed);
        // Without a start, an earlier change may be another start's, of another version.
        let dated = self.records.iter().filter(|record| record.changed_by.is_some());
        let created = dated.map(|record| record.revisions.created);
        let written = changed.chain(created).chain([configuration.created, configuration.changed]);
        FirstList::accounts_for(written, begin, end)
    }

    /// Returns the last revision that was certainly written before `oldest`, in milliseconds since the
    /// Unix epoch, or before there were calls, or up to which this daemon knows all changes.
    #[must_use]
    pub fn begin(&self, oldest: u64, configuration: ItemRevisions) -> u64 {
        let is_old = |record: &&Record| record.changed_by.is_some_and(|at| at <= oldest);
        let old = self.records.iter().filter(is_old).map(|record| record.revisions.changed);
        old.chain([configuration.created, self.known_until]).max().unwrap_or_default()
    }

    /// Returns whether each revision after `begin` up to `end` is among these.
    fn accounts_for(written: impl Iterator<Item = u64>, begin: u64, end: u64) -> bool {
        let mut written: Vec<_> =
            written.filter(|revision| begin < *revision && *revision <= end).collect();
        written.sort_unstable();
        written.dedup();
        written.len() as u64 == end.saturating_sub(begin)
    }

    /// Returns the store's revision at which the list was read.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }
}

fn changed_by(info: &EndpointInfo, heartbeat: Duration) -> Option<u64> {
    let heartbeats = info.heartbeats.saturating_add(1) as f64;
    let age = heartbeat.as_secs_f64() * HEARTBEAT_FACTOR * heartbeats;
    let age = Duration::try_from_secs_f64(age).ok()?.checked_add(MAX_HEARTBEAT_OUTAGE)?;
    info.start_time?.checked_add(u64::try_from(age.as_millis()).ok()?)
}
