//! Revisions that peers advertise, and requests to them.

use std::time::Duration;

use basilbank_wire::Heartbeat;

use crate::ids::VmId;

/// A revision and a peer that has it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct AdvertisedRevision {
    /// The advertised revision.
    pub revision: u64,
    /// The peer that advertised it last.
    pub from: VmId,
}

impl AdvertisedRevision {
    fn merge(&mut self, other: AdvertisedRevision) {
        if self.revision <= other.revision {
            *self = other;
        }
    }
}

/// Revisions that a peer has advertised, or the highest ones of all peers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct AdvertisedRevisions {
    /// Revision of the catalogue in force.
    pub catalogue: AdvertisedRevision,
    /// Revision of the newest documents.
    pub documents: AdvertisedRevision,
    /// Revision of the VM list.
    pub vms: AdvertisedRevision,
}

impl AdvertisedRevisions {
    /// Reads the revisions that a peer's heartbeat advertises.
    #[must_use]
    pub fn from_heartbeat(from: VmId, heartbeat: &Heartbeat) -> AdvertisedRevisions {
        let advertised = |revision| AdvertisedRevision { revision, from };
        AdvertisedRevisions {
            catalogue: advertised(heartbeat.catalogue),
            documents: advertised(heartbeat.documents),
            vms: advertised(heartbeat.vms),
        }
    }

    /// Replaces each revision by the other one unless that is lower.
    pub fn merge(&mut self, other: &AdvertisedRevisions) {
        self.catalogue.merge(other.catalogue);
        self.documents.merge(other.documents);
        self.vms.merge(other.vms);
    }
}

/// A request to a peer that may still be unanswered.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct PendingFetch {
    /// When the request was sent; `None` when it was answered.
    pub asked_at: Option<Duration>,
}

impl PendingFetch {
    /// Whether a new request may be sent: none is pending, or its answer is overdue.
    #[must_use]
    pub fn can_ask(&self, mono: Duration, timeout: Duration) -> bool {
        self.asked_at.is_none_or(|since| timeout <= mono.saturating_sub(since))
    }
}
