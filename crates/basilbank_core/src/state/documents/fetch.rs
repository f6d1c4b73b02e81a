//! What peers have, and what they were asked for.

use std::time::Duration;

use basilbank_wire::Heartbeat;

use crate::ids::VmId;

/// A revision, and a peer that has it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct AdvertisedRevision {
    /// The revision.
    pub revision: u64,
    /// The peer that showed it last.
    pub from: VmId,
}

impl AdvertisedRevision {
    fn merge(&mut self, other: AdvertisedRevision) {
        if self.revision <= other.revision {
            *self = other;
        }
    }
}

/// Revisions that a peer has shown, or the highest that any has.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct AdvertisedRevisions {
    /// Of a catalogue in force.
    pub catalogue: AdvertisedRevision,
    /// Of documents.
    pub documents: AdvertisedRevision,
    /// Of the VM list.
    pub vms: AdvertisedRevision,
}

impl AdvertisedRevisions {
    /// What one peer's heartbeat shows.
    #[must_use]
    pub fn from_heartbeat(from: VmId, heartbeat: &Heartbeat) -> AdvertisedRevisions {
        let offer = |revision| AdvertisedRevision { revision, from };
        AdvertisedRevisions {
            catalogue: offer(heartbeat.catalogue),
            documents: offer(heartbeat.documents),
            vms: offer(heartbeat.vms),
        }
    }

    /// Takes over what is as high or higher.
    pub fn merge(&mut self, other: &AdvertisedRevisions) {
        self.catalogue.merge(other.catalogue);
        self.documents.merge(other.documents);
        self.vms.merge(other.vms);
    }
}

/// A question to a peer that may be open.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct PendingFetch {
    /// When it was asked.
    pub asked_at: Option<Duration>,
}

impl PendingFetch {
    /// Whether one may ask now, because no answer is awaited any more.
    #[must_use]
    pub fn can_ask(&self, mono: Duration, timeout: Duration) -> bool {
        self.asked_at.is_none_or(|since| timeout <= mono.saturating_sub(since))
    }
}
