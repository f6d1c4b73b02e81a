//! Peers: who may exist, and who does.

mod departed;
mod member;
mod member_count;
mod own_status;
mod owner_cache;
mod rank;

use std::{collections::BTreeMap, time::Duration};

use basilbank_wire::VmRecord;

use self::{
    departed::Departed,
    owner_cache::OwnerCache,
    rank::{highest_ranked, top_ranked},
};
pub use self::{member::Member, member_count::MemberCount, own_status::OwnStatus, rank::rank};
use crate::{ids::VmId, state::Local};

/// VMs that vote on one key.
pub const VOTERS_PER_KEY: usize = 3;

/// All VMs on the platform's list, and which of them are alive.
///
/// The list says who may exist; heartbeats say who does. Before a list is known, `all` has this
/// daemon's own VM only, and the daemon decides nothing.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// This daemon's own VM.
    pub own: VmId,
    /// The listed VMs, this daemon's own too if it is listed.
    pub all: BTreeMap<VmId, Member>,
    /// Whether this daemon may decide for others.
    pub own_status: OwnStatus,
    /// Rises whenever a member comes, dies, restarts or starts to leave.
    pub epoch: u64,
    /// When that was last.
    pub changed_at: Duration,
    /// Heartbeats that this daemon has sent.
    pub heartbeat_counter: u64,
    /// A heartbeat has come since the process started.
    pub has_heartbeat: bool,
    /// When a peer was last asked for all its records.
    pub probed_at: Option<Duration>,
    listed: Vec<VmId>,
    live: Vec<VmId>,
    candidates: Vec<VmId>,
    departed: Departed,
    owners: OwnerCache,
    unlisted_own: Option<Member>,
}

impl Members {
    /// Knows only this daemon.
    #[must_use]
    pub fn new(local: &Local, mono: Duration) -> Members {
        let own = Member::new_own(local.data_centre, local.incarnation, mono);
        Members {
            own: local.vm,
            all: BTreeMap::from([(local.vm, own)]),
            own_status: OwnStatus::new(mono),
            listed: vec![local.vm],
            live: vec![local.vm],
            candidates: vec![local.vm],
            epoch: 1,
            ..Members::default()
        }
    }

    /// Takes over a VM list. Members that stay keep what is known of them.
    pub fn apply_list(&mut self, vms: &[VmRecord]) {
        let mut old = std::mem::take(&mut self.all);
        for record in vms {
            let vm = VmId::of(&record.name);
            let own = if vm == self.own { self.unlisted_own.take() } else { None };
            let known = old.remove(&vm).or(own).or_else(|| self.departed.take(vm));
            let mut member = known.unwrap_or_default();
            member.apply_record(record);
            self.all.insert(vm, member);
        }
        // A VM that was replaced starts before the lagging list has it again. A daemon that forgot
        // itself meanwhile would count as dead in its own eyes for ever: its peers would name it as
        // a steward, and it would refuse to be one.
        self.unlisted_own = old.remove(&self.own).or(self.unlisted_own.take());
        for (vm, member) in old {
            self.departed.insert(vm, member);
        }
        self.listed = self.all.keys().copied().collect();
        self.own_status.has_list = true;
        self.refresh();
    }

    /// Call it whenever a member came, died, restarted or started to leave.
    pub fn refresh(&mut self) {
        self.epoch += 1;
        self.changed_at = self.own_status.last_event;
        let live = self.all.iter().filter(|(_, m)| m.live);
        self.live = live.clone().map(|(vm, _)| *vm).collect();
        let staying: Vec<_> = live.filter(|(_, m)| !m.is_leaving()).map(|(vm, _)| *vm).collect();
        // When all are leaving, the last ones still decide for the requests they have in progress.
        self.candidates = if staying.is_empty() { self.live.clone() } else { staying };
    }

    /// Whether this daemon may decide as a steward: it knows the VM list, was not paused lately and
    /// is not cut off. A daemon that is alone on the list may.
    #[must_use]
    pub fn may_decide(&self) -> bool {
        self.own_status.may_decide()
    }

    /// Whether a VM has been heard lately.
    #[must_use]
    pub fn is_live(&self, vm: VmId) -> bool {
        vm == self.own || self.all.get(&vm).is_some_and(|m| m.live)
    }

    /// Whether a VM is on the platform's list.
    #[must_use]
    pub fn is_listed(&self, vm: VmId) -> bool {
        self.own_status.has_list && self.all.contains_key(&vm)
    }

    /// The highest incarnation of a VM that was heard of; also of one that left the list lately.
    #[must_use]
    pub fn incarnation(&self, vm: VmId) -> Option<u64> {
        let member = self.all.get(&vm).or_else(|| self.departed.get(vm))?;
        (member.incarnation != 0).then_some(member.incarnation)
    }

    /// Time since the last news of a VM, time in which this daemon itself was paused not counted;
    /// `None` for one that was never heard.
    #[must_use]
    pub fn silent_for(&self, vm: VmId) -> Option<Duration> {
        if vm == self.own {
            return Some(Duration::ZERO);
        }
        let member = self.all.get(&vm).or_else(|| self.departed.get(vm))?;
        member.last_seen.map(|seen| self.own_status.last_event.saturating_sub(seen))
    }

    /// The VMs that vote on a key: those that rank highest on the platform's list, heard or not, so
    /// that both sides of a partition ask the same ones.
    #[must_use]
    pub fn voters(&self, subject: u64) -> Vec<VmId> {
        top_ranked::<VOTERS_PER_KEY>(self.listed.iter().copied(), subject)
    }

    /// The live member that decides for a subject: the one that ranks highest by rendezvous hashing,
    /// so that a member's coming or going moves only its own subjects. Members that are leaving
    /// decide only when there are no others.
    #[must_use]
    pub fn owner(&self, subject: u64) -> Option<VmId> {
        self.owners.get(subject, self.epoch, || highest_ranked(&self.candidates, subject))
    }

    /// The live members that may be stewards, sorted.
    #[must_use]
    pub fn candidates(&self) -> &[VmId] {
        &self.candidates
    }

    /// The live members, leaving or not, sorted.
    #[must_use]
    pub fn live(&self) -> &[VmId] {
        &self.live
    }

    /// The listed VMs, sorted.
    #[must_use]
    pub fn listed(&self) -> &[VmId] {
        &self.listed
    }

    /// Counts the members that may decide, and those of them for which `heard` holds. This daemon's
    /// own is always heard.
    #[must_use]
    pub fn count_members(&self, is_in_contact: impl Fn(&Member) -> bool) -> MemberCount {
        let mut count = MemberCount::default();
        for (vm, member) in self.all.iter().filter(|(_, m)| !m.is_leaving()) {
            count.total += 1;
            count.in_contact += usize::from(*vm == self.own || is_in_contact(member));
        }
        count
    }

    /// Moves the times of last news on by a pause, in which nothing could be heard.
    pub fn shift_times(&mut self, pause: Duration) {
        for member in self.all.values_mut() {
            member.last_seen = member.last_seen.map(|seen| seen + pause);
        }
        self.departed.shift_times(pause);
    }

    /// Whether a message of this incarnation is current: none with a higher one was seen.
    #[must_use]
    pub fn is_current(&self, vm: VmId, incarnation: u64) -> bool {
        self.incarnation(vm).is_none_or(|known| known <= incarnation)
    }
}
