//! Stewards found before.

use std::cell::Cell;

use crate::ids::VmId;

/// Places; more than twice the endpoints that the design aims at.
const CACHE_SIZE: usize = 2048;

/// One answer, with the epoch of the members that it holds for.
#[derive(Clone, Copy, Debug, Default)]
struct CachedOwner {
    subject: u64,
    epoch: u64,
    vm: VmId,
}

/// Stewards that were found since the live members last changed. A subject has one place, and takes
/// it from another.
///
/// Each request asks for several stewards and each look at what is due for hundreds; among 320
/// members that was half of all the time that decisions took.
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
    /// The steward of a subject, by `find` if it was not found before. Epochs start at 1.
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
