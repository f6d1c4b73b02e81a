//! What peers have, and what they were asked for.

use std::time::Duration;

use basilbank_wire::Heartbeat;

use crate::ids::VmId;

/// A revision, and a peer that has it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Offer {
    /// The revision.
    pub revision: u64,
    /// The peer that showed it last.
    pub from: VmId,
}

impl Offer {
    fn merge(&mut self, other: Offer) {
        if self.revision <= other.revision {
            *self = other;
        }
    }
}

/// Revisions that a peer has shown, or the highest that any has.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Shown {
    /// Of a catalogue in force.
    pub catalogue: Offer,
    /// Of documents.
    pub documents: Offer,
    /// Of the VM list.
    pub vms: Offer,
}

impl Shown {
    /// What one peer's heartbeat shows.
    #[must_use]
    pub fn by(from: VmId, beat: &Heartbeat) -> Shown {
        let offer = |revision| Offer { revision, from };
        Shown {
            catalogue: offer(beat.catalogue),
            documents: offer(beat.documents),
            vms: offer(beat.vms),
        }
    }

    /// Takes over what is as high or higher.
    pub fn merge(&mut self, other: &Shown) {
        self.catalogue.merge(other.catalogue);
        self.documents.merge(other.documents);
        self.vms.merge(other.vms);
    }
}

/// A question to a peer that may be open.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Fetch {
    /// When it was asked.
    pub since: Option<Duration>,
}

impl Fetch {
    /// Whether one may ask now, because no answer is awaited any more.
    #[must_use]
    pub fn is_idle(&self, mono: Duration, timeout: Duration) -> bool {
        self.since.is_none_or(|since| timeout <= mono.saturating_sub(since))
    }
}
