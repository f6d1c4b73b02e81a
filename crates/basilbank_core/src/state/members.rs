//! Membership: which VMs the system has, and which of them are alive.

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

/// Number of VMs that vote on one idempotency key.
pub const VOTERS_PER_KEY: usize = 3;

/// All VMs on the platform's list, and which of them are alive.
///
/// The list says which VMs may exist, heartbeats say which are alive. Before a list is known, `all`
/// has only this daemon's own VM, and the daemon decides nothing.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// This daemon's VM.
    pub own: VmId,
    /// The listed VMs, including this daemon's own if it is listed.
    pub all: BTreeMap<VmId, Member>,
    /// State that tells whether this daemon may decide as an owner.
    pub own_status: OwnStatus,
    /// Version of the live members: rises whenever a member comes up, dies, restarts or starts to
    /// leave.
    pub epoch: u64,
    /// When `epoch` last rose.
    pub changed_at: Duration,
    /// Number of heartbeat rounds of this daemon.
    pub heartbeat_counter: u64,
    /// Whether a heartbeat was received since the process started.
    pub has_heartbeat: bool,
    /// When a peer was last asked for all its member records.
    pub probed_at: Option<Duration>,
    listed: Vec<VmId>,
    live: Vec<VmId>,
    candidates: Vec<VmId>,
    departed: Departed,
    owners: OwnerCache,
    unlisted_own: Option<Member>,
}

impl Members {
    /// Creates the membership that has only this daemon.
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

    /// Applies a VM list. Members that stay keep their state.
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
        // A replaced VM may start before the list, which lags, contains it again. If the daemon
        // forgot its own state in the meantime, it would consider itself dead for ever: its peers
        // would name it as an owner, and it would refuse to be one.
        self.unlisted_own = old.remove(&self.own).or(self.unlisted_own.take());
        for (vm, member) in old {
            self.departed.insert(vm, member);
        }
        self.listed = self.all.keys().copied().collect();
        self.own_status.has_list = true;
        self.refresh();
    }

    /// Updates everything that is derived from the live members. Must be called whenever a member
    /// comes up, dies, restarts or starts to leave.
    pub fn refresh(&mut self) {
        self.epoch += 1;
        self.changed_at = self.own_status.last_event;
        let live = self.all.iter().filter(|(_, m)| m.live);
        self.live = live.clone().map(|(vm, _)| *vm).collect();
        let staying: Vec<_> = live.filter(|(_, m)| !m.is_leaving()).map(|(vm, _)| *vm).collect();
        // When all members are leaving, they still decide for the requests that they have in
        // progress.
        self.candidates = if staying.is_empty() { self.live.clone() } else { staying };
    }

    /// Whether this daemon may decide as an owner: it knows the VM list, was not paused lately and
    /// is not isolated. A daemon that is the only one on the list may decide.
    #[must_use]
    pub fn may_decide(&self) -> bool {
        self.own_status.may_decide()
    }

    /// Whether a VM has been in contact lately, directly or through peers.
    #[must_use]
    pub fn is_live(&self, vm: VmId) -> bool {
        vm == self.own || self.all.get(&vm).is_some_and(|m| m.live)
    }

    /// Whether a VM is on the platform's list.
    #[must_use]
    pub fn is_listed(&self, vm: VmId) -> bool {
        self.own_status.has_list && self.all.contains_key(&vm)
    }

    /// Returns the highest known incarnation of a VM, also of one that left the list lately.
    #[must_use]
    pub fn incarnation(&self, vm: VmId) -> Option<u64> {
        let member = self.all.get(&vm).or_else(|| self.departed.get(vm))?;
        (member.incarnation != 0).then_some(member.incarnation)
    }

    /// Returns the time since a VM was last seen, without pauses of this process; `None` for a VM
    /// that was never seen.
    #[must_use]
    pub fn silent_for(&self, vm: VmId) -> Option<Duration> {
        if vm == self.own {
            return Some(Duration::ZERO);
        }
        let member = self.all.get(&vm).or_else(|| self.departed.get(vm))?;
        member.last_seen.map(|seen| self.own_status.last_event.saturating_sub(seen))
    }

    /// Returns the VMs that vote on a key: those that rank highest on the platform's list, alive or
    /// not, so that both sides of a partition ask the same VMs.
    #[must_use]
    pub fn voters(&self, subject: u64) -> Vec<VmId> {
        top_ranked::<VOTERS_PER_KEY>(self.listed.iter().copied(), subject)
    }

    /// Returns the owner of a subject: the live member that ranks highest by rendezvous hashing, so
    /// that a member that comes or goes moves only its own subjects. Members that are leaving own
    /// subjects only if there are no others.
    #[must_use]
    pub fn owner(&self, subject: u64) -> Option<VmId> {
        self.owners.get(subject, self.epoch, || highest_ranked(&self.candidates, subject))
    }

    /// Returns the live members that may be owners, sorted.
    #[must_use]
    pub fn candidates(&self) -> &[VmId] {
        &self.candidates
    }

    /// Returns the live members, leaving or not, sorted.
    #[must_use]
    pub fn live(&self) -> &[VmId] {
        &self.live
    }

    /// Returns the listed VMs, sorted.
    #[must_use]
    pub fn listed(&self) -> &[VmId] {
        &self.listed
    }

    /// Counts the members that are not leaving, and those of them for which `is_in_contact` holds.
    /// This daemon always counts as in contact.
    #[must_use]
    pub fn count_members(&self, is_in_contact: impl Fn(&Member) -> bool) -> MemberCount {
        let mut count = MemberCount::default();
        for (vm, member) in self.all.iter().filter(|(_, m)| !m.is_leaving()) {
            count.total += 1;
            count.in_contact += usize::from(*vm == self.own || is_in_contact(member));
        }
        count
    }

    /// Moves the times at which members were last seen on by a pause of this process, in which
    /// nothing could be received.
    pub fn shift_times(&mut self, pause: Duration) {
        for member in self.all.values_mut() {
            member.last_seen = member.last_seen.map(|seen| seen + pause);
        }
        self.departed.shift_times(pause);
    }

    /// Whether a message from this incarnation is current: no higher incarnation of the VM is
    /// known.
    #[must_use]
    pub fn is_current(&self, vm: VmId, incarnation: u64) -> bool {
        self.incarnation(vm).is_none_or(|known| known <= incarnation)
    }
}
