//! VMs that left the list.

use std::{collections::VecDeque, time::Duration};

use super::Member;
use crate::ids::VmId;

/// Departed VMs that are remembered.
const MAX_DEPARTED: usize = 512;

/// The VMs that left the list last, with what was known of them.
///
/// A stream at an endpoint may name a VM that is no longer listed. Without this memory its silence
/// could not be told from that of a VM that was never there.
#[derive(Clone, Debug, Default)]
pub struct Departed {
    vms: VecDeque<(VmId, Member)>,
}

impl Departed {
    /// Remembers one, and forgets the one that left first when there are too many.
    pub fn insert(&mut self, vm: VmId, mut member: Member) {
        member.live = false;
        member.record_sends = 0;
        self.vms.push_back((vm, member));
        if MAX_DEPARTED < self.vms.len() {
            self.vms.pop_front();
        }
    }

    /// What was known of one.
    #[must_use]
    pub fn get(&self, vm: VmId) -> Option<&Member> {
        self.vms.iter().find(|(other, _)| *other == vm).map(|(_, member)| member)
    }

    /// Forgets one that came back.
    pub fn take(&mut self, vm: VmId) -> Option<Member> {
        let index = self.vms.iter().position(|(other, _)| *other == vm)?;
        self.vms.remove(index).map(|(_, member)| member)
    }

    /// Moves the times of last news on by a pause.
    pub fn shift_times(&mut self, pause: Duration) {
        for (_, member) in &mut self.vms {
            member.last_seen = member.last_seen.map(|seen| seen + pause);
        }
    }
}
