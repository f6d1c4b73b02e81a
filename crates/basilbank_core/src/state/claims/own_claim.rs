//! A claim that this daemon made for one of its requests.

use std::time::Duration;

use basilbank_wire::{KeyRecord, Verdict};

use crate::{
    ids::{RequestKey, VmId},
    state::claims::ClaimKey,
};

/// State of one voter of a claim.
#[derive(Clone, PartialEq, Debug)]
pub struct Voter {
    /// The VM that votes.
    pub vm: VmId,
    /// Whether it was asked for its vote.
    pub asked: bool,
    /// Its last vote.
    pub verdict: Option<Verdict>,
    /// What it reported of another request that has the key.
    pub record: Option<KeyRecord>,
    /// Whether it has acknowledged the claim's newest record.
    pub acknowledged: bool,
}

impl Voter {
    /// Creates the state of a voter that was not asked yet.
    #[must_use]
    pub fn new(vm: VmId) -> Voter {
        Voter { vm, asked: false, verdict: None, record: None, acknowledged: false }
    }

    /// Whether it may still grant the key.
    #[must_use]
    pub fn can_grant(&self) -> bool {
        matches!(self.verdict, None | Some(Verdict::Running))
    }
}

/// Phase of a claim.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ClaimPhase {
    /// Waiting for votes.
    Asking,
    /// The key belongs to this request.
    Held,
    /// The request has ended, and the voters are being informed.
    Ending,
}

/// Result of a claim after the votes received so far.
#[derive(Clone, PartialEq, Debug)]
pub enum ClaimStatus {
    /// More votes are needed for a decision.
    Undecided,
    /// The key belongs to this request.
    Won,
    /// The claim can't be won. Holds what is known of the request that has the key, if anything.
    Lost(Option<KeyRecord>),
}

/// A claim that this daemon made for one of its requests.
#[derive(Clone, Debug)]
pub struct OwnClaim {
    /// The claiming request in this daemon's arena.
    pub request: RequestKey,
    /// The key that is claimed.
    pub key: ClaimKey,
    /// Time that the key carries, in milliseconds since the Unix epoch; 0 when it carries none.
    pub key_time: u64,
    /// The voters, ordered by rank.
    pub voters: Vec<Voter>,
    /// Phase of the claim.
    pub phase: ClaimPhase,
    /// Whether anything was sent to an endpoint under this claim.
    pub is_sent: bool,
    /// Record of the request that the voters are sent.
    pub record: KeyRecord,
    /// The request whose key this one takes over because its daemon is gone; 0 for none.
    pub predecessor: u64,
    /// When the votes must have arrived.
    pub deadline: Duration,
    /// How often the current question or record was sent to the voters.
    pub send_count: u32,
    /// When the question or record is sent again.
    pub resend_at: Duration,
}

impl OwnClaim {
    /// Whether a vote of this VM is expected. A voter that was not asked since the votes were reset
    /// is answering an earlier question.
    #[must_use]
    pub fn is_awaiting(&self, vm: VmId) -> bool {
        self.voters.iter().any(|v| v.vm == vm && v.asked)
    }

    /// Records a vote.
    pub fn record_vote(&mut self, vm: VmId, verdict: Verdict, record: Option<KeyRecord>) {
        let Some(voter) = self.voters.iter_mut().find(|v| v.vm == vm) else { return };
        voter.verdict = Some(verdict);
        voter.record = record;
    }

    /// Records that a voter has acknowledged the newest record.
    pub fn record_ack(&mut self, vm: VmId) {
        let Some(voter) = self.voters.iter_mut().find(|v| v.vm == vm) else { return };
        voter.acknowledged = true;
    }

    /// Whether all voters that were asked have acknowledged the newest record.
    #[must_use]
    pub fn is_acknowledged(&self) -> bool {
        self.voters.iter().all(|v| v.acknowledged || !v.asked)
    }

    /// Marks the record as changed: all voters have to acknowledge it again.
    pub fn reset_acks(&mut self) {
        for voter in &mut self.voters {
            voter.acknowledged = false;
        }
        self.send_count = 0;
    }

    /// Returns the number of votes that wins the key: a majority of the voters.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Selects the voters to ask now and marks them as asked.
    ///
    /// Two votes win, so the two voters of the lowest cost are asked first, and the third one if
    /// one of them does not grant the key. After that, all voters that have not granted it are
    /// asked again, since a voter that gave the key to another request may have got it back.
    pub fn select_voters<C: Ord>(&mut self, cost: impl Fn(VmId) -> C) -> Vec<VmId> {
        let needed = self.quorum();
        let is_first = !self.voters.iter().any(|v| v.asked);
        let mut candidates: Vec<_> = self.voters.iter_mut().filter(|v| v.can_grant()).collect();
        if is_first {
            candidates.sort_by_key(|v| cost(v.vm));
            candidates.truncate(needed);
        }
        for voter in &mut candidates {
            voter.asked = true;
        }
        candidates.into_iter().map(|v| v.vm).collect()
    }

    /// Whether all voters that were asked have answered, and at least one has not been asked.
    #[must_use]
    pub fn needs_more_voters(&self) -> bool {
        let mut asked = self.voters.iter().filter(|v| v.asked);
        asked.all(|v| v.verdict.is_some()) && self.voters.iter().any(|v| !v.asked)
    }

    /// Evaluates the votes. `waited` says whether the voters without an answer have had enough
    /// time.
    ///
    /// Two daemons that claim one key at the same time may get one vote each while the third voter
    /// is dead. Each would then wait for the other's vote until both are refused. So the daemon
    /// that did not get the highest-ranking vote gives up, and the other one finds the key free
    /// when it asks again.
    #[must_use]
    pub fn status(&self, waited: VoteWait) -> ClaimStatus {
        if let Some(record) = self.winner() {
            return ClaimStatus::Lost(Some(record));
        }
        let granted = self.count_votes(Some(Verdict::Granted));
        if self.quorum() <= granted {
            return ClaimStatus::Won;
        }
        let unanswered = self.count_votes(None);
        let held_by_others = self.count_votes(Some(Verdict::Running));
        if granted + unanswered + held_by_others < self.quorum() {
            return ClaimStatus::Lost(self.competing_record());
        }
        let is_split = held_by_others != 0 && (unanswered == 0 || waited == VoteWait::TimedOut);
        if is_split && !self.has_first_vote() {
            return ClaimStatus::Lost(self.competing_record());
        }
        ClaimStatus::Undecided
    }

    fn count_votes(&self, verdict: Option<Verdict>) -> usize {
        self.voters.iter().filter(|v| v.verdict == verdict).count()
    }

    /// Returns the request that certainly has the key: it has a stream, it has ended, or a majority
    /// of the voters names it.
    fn winner(&self) -> Option<KeyRecord> {
        let records = || self.voters.iter().filter_map(|v| v.record.as_ref());
        let ended = records().find(|r| r.outcome != 0);
        let streamed = || records().find(|r| !r.stream.is_empty());
        let by_majority = || {
            let votes = |r: &KeyRecord| records().filter(|o| o.request == r.request).count();
            records().find(|r| self.quorum() <= votes(r))
        };
        ended.or_else(streamed).or_else(by_majority).cloned()
    }

    /// Resets all votes, so that the voters are asked again.
    pub fn reset_votes(&mut self) {
        for voter in &mut self.voters {
            *voter = Voter::new(voter.vm);
        }
        self.send_count = 0;
    }

    /// Returns another request that a voter has reported.
    #[must_use]
    pub fn competing_record(&self) -> Option<KeyRecord> {
        self.voters.iter().find_map(|v| v.record.clone())
    }

    /// Whether the highest-ranking vote that was given to any request was given to this one.
    fn has_first_vote(&self) -> bool {
        let mut votes = self.voters.iter().filter_map(|v| v.verdict);
        let first = votes.find(|v| matches!(v, Verdict::Granted | Verdict::Running));
        first == Some(Verdict::Granted)
    }
}

/// Whether the voters that have not answered had enough time for it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum VoteWait {
    /// Their answers may still be on the way.
    Pending,
    /// A full peer timeout has passed.
    TimedOut,
}
