//! One VM of the system.

use std::time::Duration;

use basilbank_wire::VmRecord;

use crate::ids::DataCentreId;

/// What is known of one VM of the system.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Member {
    /// It has been heard lately.
    pub live: bool,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where it hears peers, `ip:port`.
    pub address: String,
    /// The platform is about to take it away.
    pub listed_leaving: bool,
    /// It says that it is shutting down.
    pub announced_leaving: bool,
    /// Its incarnation; 0 while it is unknown.
    pub incarnation: u64,
    /// Its highest heartbeat counter that was heard of.
    pub heartbeat_counter: u64,
    /// When news of it came last, on the monotonic clock.
    pub last_seen: Option<Duration>,
    /// How many more heartbeats shall carry its full record.
    pub record_sends: u32,
    /// A peer has beats of another incarnation of it.
    pub is_mismatched: bool,
}

impl Member {
    /// This daemon's own entry.
    #[must_use]
    pub fn new_own(data_centre: DataCentreId, incarnation: u64, mono: Duration) -> Member {
        Member { live: true, data_centre, incarnation, last_seen: Some(mono), ..Member::default() }
    }

    /// Whether it takes no new work and no stewardship.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.announced_leaving
    }

    /// Takes over what the platform's list says.
    pub fn apply_record(&mut self, record: &VmRecord) {
        self.data_centre = DataCentreId::of(&record.data_centre);
        self.address.clone_from(&record.address);
        self.listed_leaving = record.leaving;
    }
}
