//! Entries' limits, over all daemons.

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

/// Entries' limits: what this daemon uses of them, and what it gives away as their steward.
#[derive(Debug, Default)]
pub struct LimitTable {
    /// Entries that this daemon's callers used lately.
    pub usages: HashMap<EntryId, Usage>,
    /// Entries that this daemon shares out among all.
    pub shared: HashMap<EntryId, SharedLimit>,
}
