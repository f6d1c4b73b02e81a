//! How many daemons there are, as far as this daemon knows.
//!
//! A daemon can't tell peers that it doesn't hear from peers that don't exist. One that started behind
//! a cut hears few or none, and would take itself for the whole fleet: it would give orders beside
//! another holder of the right, and give out whole quotas that others give out as well. So the peers
//! that it has met tell the fleet's size only together with what the count goes back to.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use super::{
    State,
    local::{Local, SystemStart},
};

/// Number of daemons in a fleet of the size that the design aims at.
const DESIGN_FLEET_SIZE: usize = 320;

/// Factor by which a daemon that can't ask others may exceed an even share: callers are not evenly
/// distributed.
pub const SHARE_MARGIN: f64 = 1.1;

/// What a daemon's count of the fleet goes back to.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub enum FleetBasis {
    /// Nothing: any number of daemons may be out of reach.
    #[default]
    Unknown,
    /// Contact with most of the seeds. Two sides of a cut don't both have that, as long as their
    /// settings name the same seeds.
    Seeds,
    /// The first start of the whole system, at which all daemons met. It is passed on from daemon to
    /// daemon.
    FirstStart,
}

impl FleetBasis {
    /// Returns its name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            FleetBasis::Unknown => "unknown",
            FleetBasis::Seeds => "seeds",
            FleetBasis::FirstStart => "first_start",
        }
    }
}

/// The number of daemons, including this one.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Fleet {
    /// What the numbers go back to.
    pub basis: FleetBasis,
    /// The maximum number that were known at once, less those that have shut down. Daemons that fell
    /// silent may only be disconnected and still serve callers.
    pub size: usize,
    /// The same with those that have shut down: they may be back where this daemon doesn't hear them.
    pub peak: usize,
    /// Whether a peer has reported the size. Only the first report counts, since later ones may
    /// still include daemons that have shut down.
    pub is_reported: bool,
}

impl Fleet {
    /// Returns what a daemon knows that has just started.
    #[must_use]
    pub fn new(local: &Local) -> Fleet {
        // Seeds may be outdated later, and then name daemons that don't exist.
        let (basis, peak) = match local.start {
            SystemStart::First => (FleetBasis::FirstStart, seeds_with_own(local).len().max(1)),
            SystemStart::Restart => (FleetBasis::Unknown, 1),
        };
        Fleet { basis, size: 1, peak, is_reported: false }
    }

    /// Counts the daemons that are known now.
    pub fn count(&mut self, known: usize) {
        self.size = self.size.max(known);
        self.peak = self.peak.max(known);
    }

    /// Removes a daemon that has shut down.
    pub fn remove(&mut self) {
        self.size = self.size.saturating_sub(1).max(1);
    }

    /// Applies what a peer knows, and returns whether this daemon's numbers have a better basis now.
    /// `is_older` is whether the peer started long before this daemon.
    pub fn apply_report(&mut self, size: usize, peak: usize, is_older: bool) -> bool {
        let basis = match (size, peak) {
            (0, _) => return false,
            (_, 0) => FleetBasis::Seeds,
            _ => FleetBasis::FirstStart,
        };
        self.peak = self.peak.max(peak);
        let is_better = self.basis < basis;
        if is_better || (is_older && !self.is_reported) {
            (self.basis, self.is_reported) = (self.basis.max(basis), true);
            self.count(size);
        }
        is_better
    }

    /// Returns the number of daemons, if it is known.
    #[must_use]
    pub fn known_size(&self) -> Option<usize> {
        (self.basis != FleetBasis::Unknown).then_some(self.size)
    }

    /// Returns the size and the peak that peers are told; 0 for what isn't known.
    #[must_use]
    pub fn report(&self) -> (u32, u32) {
        let to_wire = |count| u32::try_from(count).unwrap_or(u32::MAX);
        let (size, peak) = (to_wire(self.size), to_wire(self.peak));
        match self.basis {
            FleetBasis::Unknown => (0, 0),
            FleetBasis::Seeds => (size, 0),
            FleetBasis::FirstStart => (size, peak),
        }
    }
}

/// Returns a daemon's seeds, and its own address if it has seeds at all.
fn seeds_with_own(local: &Local) -> BTreeSet<SocketAddr> {
    let own = local.address.filter(|_| !local.seeds.is_empty());
    local.seeds.iter().copied().chain(own).collect()
}

impl State {
    /// Returns the number of daemons that share the slack of the retry budgets.
    ///
    /// A daemon that has just started knows few peers, and the daemons that started with it may all
    /// have used up their shares shortly before. So for one window, and for as long as the fleet's size
    /// is unknown, it assumes a fleet of the design size.
    #[must_use]
    pub fn slack_sharers(&self, now: Duration) -> usize {
        let fleet = &self.peers.fleet;
        let is_recent = self.started.is_none_or(|at| now < at + self.tuning.retry_window);
        let is_unknown = is_recent || fleet.known_size().is_none();
        if is_unknown { fleet.peak.max(DESIGN_FLEET_SIZE) } else { fleet.peak }
    }

    /// Returns the assumed number of daemons in the fleet. While it isn't known, it is at least the
    /// design size: a share of it is too small then, but all shares together are not too large.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        let fleet = &self.peers.fleet;
        fleet.known_size().unwrap_or(fleet.size.max(DESIGN_FLEET_SIZE))
    }

    /// Returns the assumed number of daemons that may have shares of their own at a time when this one
    /// can't ask them: those that have shut down may be back out of reach.
    #[must_use]
    pub fn fleet_peak(&self) -> usize {
        self.fleet_size().max(self.peers.fleet.peak)
    }

    /// Returns the fraction of something limited that the daemons in contact may use. A few are missing
    /// because a heartbeat was lost, many because of a cut, whose other side may use it as well.
    /// Callers are the more evenly distributed the more daemons there are.
    pub(crate) fn fleet_fraction(&self, now: Duration) -> f64 {
        let daemons = (self.peers.count_on_time(now) + 1) as f64;
        let fraction = daemons / self.fleet_size().max(1) as f64;
        if 1.0 <= fraction * SHARE_MARGIN {
            return 1.0;
        }
        fraction * (1.0 + (SHARE_MARGIN - 1.0) / daemons.sqrt())
    }
}
