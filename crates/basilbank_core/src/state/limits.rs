//! Limits of entries, enforced over all daemons.

mod bucket;
mod lease;
mod portion;
mod rate_meter;
mod shared;
mod usage;

use std::collections::HashMap;

pub use self::{
    bucket::Bucket,
    lease::{LimitDemand, LimitShare},
    rate_meter::RateMeter,
    shared::{Holder, LeaseTerms, SharedLimit, Shortage},
    usage::Usage,
};
use crate::ids::EntryId;

/// Limits of entries: what this daemon uses of them, and the limits that it shares out as their
/// owner.
#[derive(Debug, Default)]
pub struct LimitTable {
    /// Usage of the entries that this daemon's callers used lately.
    pub usages: HashMap<EntryId, Usage>,
    /// Limits that this daemon owns and shares out among all daemons.
    pub shared: HashMap<EntryId, SharedLimit>,
}
