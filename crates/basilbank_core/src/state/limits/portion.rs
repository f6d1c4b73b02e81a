//! One daemon's portion of one limit.

/// Part of a limit that stays unleased, so that a daemon whose traffic begins gets a lease at once
/// and not when the others' leases run out.
pub const SPARE_FRACTION: f64 = 0.04;
/// From this share of a limit on, it counts as short.
pub const SHORTAGE_FRACTION: f64 = 0.9;
/// A lease is at most this many times what is wanted.
const MAX_DEMAND_FACTOR: f64 = 4.0;

/// One limit, and one daemon's portion of it.
#[derive(Clone, Copy, Debug)]
pub struct Portion {
    /// The limit; 0 for none.
    pub limit: f64,
    /// What the daemon wants.
    pub demand: f64,
    /// What all want.
    pub wanted: f64,
    /// What is leased to others.
    pub leased: f64,
    /// One over the number of daemons that use it, and one that may come.
    pub equal_fraction: f64,
    /// The limit over the number of listed VMs.
    pub per_vm: f64,
    /// Most that may be leased.
    pub max_lease: f64,
}

/// Its portions of all limits of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Portions {
    /// Of requests a second.
    pub requests: Portion,
    /// Of tokens a second.
    pub tokens: Portion,
    /// Of requests in progress.
    pub slots: Portion,
}

impl Portion {
    /// In proportion to demand, but not much more than is wanted, so that the next daemon whose
    /// traffic begins finds something left; within what is not leased.
    pub fn lease_size(&self) -> f64 {
        self.cap_to_available(self.fair_size().min(self.demand * MAX_DEMAND_FACTOR + self.per_vm))
    }

    /// In proportion to demand, within what is not leased.
    pub fn ration_size(&self) -> f64 {
        self.cap_to_available(self.fair_size() / (1.0 - SPARE_FRACTION))
    }

    /// Whether the portion is at least so much.
    pub fn is_worthwhile(&self, min_size: f64) -> bool {
        self.limit <= 0.0 || min_size <= self.fair_size().min(self.max_lease)
    }

    /// In proportion to demand when there is too little for all. Else each gets what it wants, and
    /// what is left is split: half of it in proportion to demand, half of it evenly, since calls do
    /// not come as evenly as they are measured.
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
