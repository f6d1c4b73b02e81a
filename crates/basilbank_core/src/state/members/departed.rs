//! VMs that left the platform's list.

use std::{collections::VecDeque, time::Duration};

use super::Member;
use crate::ids::VmId;

/// Maximum number of departed VMs that are remembered.
const MAX_DEPARTED: usize = 512;

/// The VMs that left the list last, with their state.
///
/// A stream at an endpoint may name a VM that is no longer listed. Without this state, a VM that
/// has fallen silent could not be distinguished from one that never existed.
#[derive(Clone, Debug, Default)]
pub struct Departed {
    vms: VecDeque<(VmId, Member)>,
}

impl Departed {
    /// Adds a VM, and drops the one that left first when there are too many.
    pub fn insert(&mut self, vm: VmId, mut member: Member) {
        member.live = false;
        member.record_sends = 0;
        self.vms.push_back((vm, member));
        if MAX_DEPARTED < self.vms.len() {
            self.vms.pop_front();
        }
    }

    /// Returns the state of a departed VM.
    #[must_use]
    pub fn get(&self, vm: VmId) -> Option<&Member> {
        self.vms.iter().find(|(other, _)| *other == vm).map(|(_, member)| member)
    }

    /// Removes and returns the state of a VM that came back.
    pub fn take(&mut self, vm: VmId) -> Option<Member> {
        let index = self.vms.iter().position(|(other, _)| *other == vm)?;
        self.vms.remove(index).map(|(_, member)| member)
    }

    /// Moves the times at which VMs were last seen on by a pause of this process.
    pub fn shift_times(&mut self, pause: Duration) {
        for (_, member) in &mut self.vms {
            member.last_seen = member.last_seen.map(|seen| seen + pause);
        }
    }
}
