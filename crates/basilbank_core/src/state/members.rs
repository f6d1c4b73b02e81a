//! Peers: who may exist, and who does.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ids::VmId, state::Local};

/// One VM of the system.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Member {
    /// It has been heard lately.
    pub live: bool,
}

/// All VMs on the platform's list.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// This daemon's own VM.
    pub own: VmId,
    /// All of them, this daemon's own too.
    pub all: BTreeMap<VmId, Member>,
}

impl Members {
    /// Knows only this daemon.
    #[must_use]
    pub fn new(local: &Local) -> Members {
        Members { own: local.vm, all: BTreeMap::from([(local.vm, Member { live: true })]) }
    }

    /// Whether this daemon may decide as a steward: it was not paused lately and is not cut off.
    #[must_use]
    pub fn may_decide(&self) -> bool {
        true
    }

    /// Whether a VM has been heard lately.
    #[must_use]
    pub fn is_live(&self, vm: VmId) -> bool {
        self.all.get(&vm).is_some_and(|m| m.live)
    }

    /// The VMs that vote on a key: the three that rank highest on the platform's list, heard or not,
    /// so that both sides of a partition ask the same three.
    #[must_use]
    pub fn voters(&self, subject: u64) -> Vec<VmId> {
        let mut all: Vec<_> = self.all.keys().copied().collect();
        all.sort_by_key(|vm| std::cmp::Reverse(rank(*vm, subject)));
        all.truncate(3);
        all
    }

    /// The live member that decides for a subject: the one that ranks highest by rendezvous hashing,
    /// so that a member's coming or going moves only its own subjects.
    #[must_use]
    pub fn steward(&self, subject: u64) -> Option<VmId> {
        let live = self.all.iter().filter(|(_, m)| m.live).map(|(vm, _)| *vm);
        live.max_by_key(|vm| rank(*vm, subject))
    }
}

/// A member's rank for a subject.
#[must_use]
pub fn rank(vm: VmId, subject: u64) -> u64 {
    xxh3_64_with_seed(&vm.0.to_le_bytes(), subject)
}
