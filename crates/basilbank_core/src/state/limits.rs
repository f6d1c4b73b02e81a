//! Entries' limits, over all daemons.

mod bucket;
mod lease;
mod meter;
mod portion;
mod shared;
mod usage;

use std::collections::HashMap;

pub use self::{
    bucket::Bucket,
    lease::{LimitDemand, LimitShare},
    meter::Meter,
    shared::{Holder, LeaseTerms, SharedLimit, Shortage},
    usage::Usage,
};
use crate::ids::EntryId;

/// Entries' limits: what this daemon uses of them, and what it gives away as their steward.
#[derive(Debug, Default)]
pub struct LimitTable {
    /// Entries that this daemon's callers used lately.
    pub used: HashMap<EntryId, Usage>,
    /// Entries that this daemon shares out among all.
    pub shared: HashMap<EntryId, SharedLimit>,
}
