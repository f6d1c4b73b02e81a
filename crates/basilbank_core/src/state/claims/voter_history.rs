//! Records since when this daemon has been a voter of a key.

use std::{collections::VecDeque, time::Duration};

use crate::{
    ids::VmId,
    state::{
        Members,
        members::{VOTERS_PER_KEY, rank},
    },
    time::Now,
};

/// Maximum number of VM lists kept. If the list changes more often within one key window, voters
/// appear to be newer than they are, which is safe.
const MAX_LISTS: usize = 64;

/// Start of the period in which this daemon has been a voter of a key without a gap.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct VoterSince {
    /// Moment on the monotonic clock.
    pub mono: Duration,
    /// Moment on the wall clock, in milliseconds since the Unix epoch.
    pub wall: u64,
}

#[derive(Clone, Debug)]
struct VmListPeriod {
    since: VoterSince,
    vms: Vec<VmId>,
}

/// VM lists of the last key window. They tell for which keys this daemon is a voter, and since
/// when.
///
/// Without them, a VM that has just started, or that became a voter when the list changed, would
/// take a key that was granted before that time for a new one, and the key's request would run a
/// second time.
#[derive(Clone, Debug, Default)]
pub struct VoterHistory {
    lists: VecDeque<VmListPeriod>,
}

impl VoterHistory {
    /// Adds the current VM list if it differs from the last one, and drops lists that ended before
    /// the key window.
    pub fn update(&mut self, now: Now, window: Duration, members: &Members) {
        let vms = members.all.keys().copied();
        if self.lists.back().is_some_and(|last| vms.clone().eq(last.vms.iter().copied())) {
            return;
        }
        let since = VoterSince { mono: now.mono, wall: now.unix_ms() };
        self.lists.push_back(VmListPeriod { since, vms: vms.collect() });
        let ended_before = |second: &VmListPeriod| second.since.mono + window < now.mono;
        while self.lists.get(1).is_some_and(ended_before) || self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
    }

    /// Returns since when `own` has been among the voters of a subject without a gap; `None` when
    /// it is not one of them now.
    #[must_use]
    pub fn voter_since(&self, own: VmId, subject: u64) -> Option<VoterSince> {
        let newest_first = self.lists.iter().rev();
        let held = newest_first.take_while(|list| is_voter(&list.vms, own, subject));
        held.last().map(|list| list.since)
    }
}

fn is_voter(vms: &[VmId], own: VmId, subject: u64) -> bool {
    let own_rank = rank(own, subject);
    let above = vms.iter().filter(|vm| own_rank < rank(**vm, subject)).count();
    vms.binary_search(&own).is_ok() && above < VOTERS_PER_KEY
}
