//! Rendezvous hashing.

use std::cmp::Reverse;

use crate::ids::VmId;

/// Returns a VM's rank for a subject. VM ids are hashes already, so mixing two numbers is enough.
/// It takes about a nanosecond, which matters with hundreds of members on the path of each request.
#[must_use]
pub fn rank(vm: VmId, subject: u64) -> u64 {
    mix(vm.0 ^ mix(subject))
}

/// Returns the VM with the highest rank for a subject.
pub(super) fn highest_ranked(vms: &[VmId], subject: u64) -> Option<VmId> {
    let salt = mix(subject);
    vms.iter().copied().max_by_key(|vm| mix(vm.0 ^ salt))
}

/// Returns the `N` VMs with the highest ranks for a subject, highest first.
pub(super) fn top_ranked<const N: usize>(
    vms: impl Iterator<Item = VmId>,
    subject: u64,
) -> Vec<VmId> {
    let mut best: Vec<(Reverse<u64>, VmId)> = Vec::with_capacity(N + 1);
    for vm in vms {
        let ranked = (Reverse(rank(vm, subject)), vm);
        let position = best.partition_point(|other| *other < ranked);
        if position < N {
            best.insert(position, ranked);
            best.truncate(N);
        }
    }
    best.into_iter().map(|(_, vm)| vm).collect()
}

/// The finalizer of MurmurHash3: each bit of the input affects each bit of the output.
fn mix(mut x: u64) -> u64 {
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
