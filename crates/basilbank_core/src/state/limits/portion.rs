//! Computes how much of one limit a daemon gets.

/// Fraction of a limit that is not leased, so that a daemon whose traffic begins gets a lease at
/// once instead of when other leases expire.
pub const SPARE_FRACTION: f64 = 0.04;
/// Fraction of a limit from which the demand counts as a shortage.
pub const SHORTAGE_FRACTION: f64 = 0.9;
/// A lease is at most this many times the demand.
const MAX_LEASE_FACTOR: f64 = 4.0;

/// One limit and the numbers that determine one daemon's portion of it.
#[derive(Clone, Copy, Debug)]
pub struct Portion {
    /// The limit; 0 for none.
    pub limit: f64,
    /// Demand of the daemon.
    pub demand: f64,
    /// Demand of all daemons.
    pub wanted: f64,
    /// Amount that is leased to other daemons.
    pub leased: f64,
    /// An equal fraction for each daemon that uses the limit and for one more that may come.
    pub equal_fraction: f64,
    /// The limit divided by the number of listed VMs.
    pub per_vm: f64,
    /// Maximum that may be leased to the daemon.
    pub max_lease: f64,
}

/// A daemon's portions of all limits of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Portions {
    /// Requests a second.
    pub requests: Portion,
    /// Tokens a second.
    pub tokens: Portion,
    /// Concurrent requests.
    pub slots: Portion,
}

impl Portion {
    /// Returns the size of a lease: proportional to demand, but not much more than the demand, so
    /// that the next daemon whose traffic begins finds something left. It stays within what is not
    /// leased.
    pub fn lease_size(&self) -> f64 {
        self.cap_to_available(self.fair_size().min(self.demand * MAX_LEASE_FACTOR + self.per_vm))
    }

    /// Returns the size of a ration: proportional to demand, within what is not leased.
    pub fn ration_size(&self) -> f64 {
        self.cap_to_available(self.fair_size() / (1.0 - SPARE_FRACTION))
    }

    /// Whether a lease would have at least this size.
    pub fn is_worthwhile(&self, min_size: f64) -> bool {
        self.limit <= 0.0 || min_size <= self.fair_size().min(self.max_lease)
    }

    /// Returns the fair size of the portion. If there is too little for all, it is proportional to
    /// demand. Otherwise each daemon gets what it wants. Half of the rest is split in proportion to
    /// demand and half evenly, since calls do not arrive as evenly as the measured rate suggests.
    fn fair_size(&self) -> f64 {
        let leasable = self.limit * (1.0 - SPARE_FRACTION);
        let share = if self.wanted <= 0.0 { 1.0 } else { (self.demand / self.wanted).min(1.0) };
        let slack = leasable - self.wanted;
        if slack <= 0.0 {
            return leasable * share;
        }
        self.demand + slack * (share + self.equal_fraction) / 2.0
    }

    fn cap_to_available(&self, size: f64) -> f64 {
        size.min(self.limit - self.leased).min(self.max_lease).max(0.0)
    }
}
