//! Cache of owners by subject.

use std::cell::Cell;

use crate::ids::VmId;

/// Number of cache entries; more than twice the number of endpoints that the system is designed
/// for.
const CACHE_SIZE: usize = 2048;

/// The owner of one subject, and the epoch of the members for which it is valid.
#[derive(Clone, Copy, Debug, Default)]
struct CachedOwner {
    subject: u64,
    epoch: u64,
    vm: VmId,
}

/// Owners that were computed since the live members last changed. The cache is direct-mapped:
/// subjects that share an entry replace each other.
///
/// Each request needs several owners, and each check of what is due needs hundreds. With 320
/// members, computing them took half of the time of all decisions.
#[derive(Clone, Debug)]
pub struct OwnerCache {
    entries: Vec<Cell<CachedOwner>>,
}

impl Default for OwnerCache {
    fn default() -> OwnerCache {
        OwnerCache { entries: vec![Cell::default(); CACHE_SIZE] }
    }
}

impl OwnerCache {
    /// Returns the owner of a subject; computes it with `find` if it is not cached. Epochs start at
    /// 1.
    pub fn get(
        &self,
        subject: u64,
        epoch: u64,
        find: impl FnOnce() -> Option<VmId>,
    ) -> Option<VmId> {
        let entry = &self.entries[subject as usize % CACHE_SIZE];
        let cached = entry.get();
        if cached.subject == subject && cached.epoch == epoch {
            return Some(cached.vm);
        }
        let vm = find()?;
        entry.set(CachedOwner { subject, epoch, vm });
        Some(vm)
    }
}
