//! One VM of the system.

use std::time::Duration;

use basilbank_wire::VmRecord;

use crate::ids::DataCentreId;

/// State of one VM of the system.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Member {
    /// Whether it has been in contact lately.
    pub live: bool,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address at which it receives peers' messages, `ip:port`.
    pub address: String,
    /// Whether the platform is about to remove it.
    pub listed_leaving: bool,
    /// Whether it has announced that it is shutting down.
    pub announced_leaving: bool,
    /// Its incarnation; 0 while it is unknown.
    pub incarnation: u64,
    /// Its highest known heartbeat counter.
    pub heartbeat_counter: u64,
    /// When it was last seen, on the monotonic clock.
    pub last_seen: Option<Duration>,
    /// Number of further heartbeats that carry its full record.
    pub record_sends: u32,
    /// Whether a peer's member summary has another incarnation of it.
    pub is_mismatched: bool,
}

impl Member {
    /// Creates the state of this daemon's own VM.
    #[must_use]
    pub fn new_own(data_centre: DataCentreId, incarnation: u64, mono: Duration) -> Member {
        Member { live: true, data_centre, incarnation, last_seen: Some(mono), ..Member::default() }
    }

    /// Whether it accepts no new work and owns no subjects.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.announced_leaving
    }

    /// Applies the record of the platform's list.
    pub fn apply_record(&mut self, record: &VmRecord) {
        self.data_centre = DataCentreId::of(&record.data_centre);
        self.address.clone_from(&record.address);
        self.listed_leaving = record.leaving;
    }
}
