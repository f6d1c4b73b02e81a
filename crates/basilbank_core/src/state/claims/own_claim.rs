//! A claim that this daemon made for one of its requests.

use std::time::Duration;

use basilbank_wire::{KeyRecord, Verdict};

use crate::{
    ids::{RequestKey, VmId},
    state::claims::ClaimKey,
};

/// One voter of a claim.
#[derive(Clone, PartialEq, Debug)]
pub struct Voter {
    /// The voter.
    pub vm: VmId,
    /// It was asked.
    pub asked: bool,
    /// Its last answer.
    pub verdict: Option<Verdict>,
    /// What it knows of another request that has the key.
    pub record: Option<KeyRecord>,
    /// It has confirmed the claim's newest record.
    pub acknowledged: bool,
}

impl Voter {
    /// A voter that was not asked yet.
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

/// How far a claim is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ClaimPhase {
    /// Votes are awaited.
    Asking,
    /// The key is this request's.
    Held,
    /// The request has ended; the voters are told.
    Ending,
}

/// How a claim stands after the votes so far.
#[derive(Clone, PartialEq, Debug)]
pub enum ClaimStatus {
    /// More votes may decide it.
    Undecided,
    /// The key is this request's.
    Won,
    /// It can't be won; what is known of the request that has the key, if any.
    Lost(Option<KeyRecord>),
}

/// A claim that this daemon made.
#[derive(Clone, Debug)]
pub struct OwnClaim {
    /// The request in this daemon's arena.
    pub request: RequestKey,
    /// The key.
    pub key: ClaimKey,
    /// When the key says it was made, milliseconds since the Unix epoch; 0 when it says nothing.
    pub key_time: u64,
    /// The voters, in the order of their rank.
    pub voters: Vec<Voter>,
    /// How far it is.
    pub phase: ClaimPhase,
    /// Something was sent to an endpoint under it.
    pub is_sent: bool,
    /// What the voters are told.
    pub record: KeyRecord,
    /// The request whose key this one asks for, as its daemon is gone; 0 for none.
    pub predecessor: u64,
    /// When the votes must be there.
    pub deadline: Duration,
    /// Times that the voters were asked or told the current thing.
    pub send_count: u32,
    /// When to ask or tell again.
    pub resend_at: Duration,
}

impl OwnClaim {
    /// Whether a voter's answer is awaited. One that was not asked, or not since the votes were
    /// forgotten, answers an earlier question.
    #[must_use]
    pub fn is_awaiting(&self, vm: VmId) -> bool {
        self.voters.iter().any(|b| b.vm == vm && b.asked)
    }

    /// Notes a voter's answer.
    pub fn record_vote(&mut self, vm: VmId, verdict: Verdict, record: Option<KeyRecord>) {
        let Some(ballot) = self.voters.iter_mut().find(|b| b.vm == vm) else { return };
        ballot.verdict = Some(verdict);
        ballot.record = record;
    }

    /// Notes that a voter knows the newest record.
    pub fn record_ack(&mut self, vm: VmId) {
        let Some(ballot) = self.voters.iter_mut().find(|b| b.vm == vm) else { return };
        ballot.acknowledged = true;
    }

    /// Whether all voters know the newest record.
    #[must_use]
    pub fn is_acknowledged(&self) -> bool {
        self.voters.iter().all(|b| b.acknowledged || !b.asked)
    }

    /// Changes what the voters are told.
    pub fn reset_acks(&mut self) {
        for ballot in &mut self.voters {
            ballot.acknowledged = false;
        }
        self.send_count = 0;
    }

    /// Votes that win the key: a majority of the voters.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Marks the voters to be asked now, and gives them.
    ///
    /// Two votes win, so the two cheapest voters are asked first, and the third when one of them does
    /// not grant.
    /// After that all are asked that have not granted; one that gave the key to another request may
    /// have got it back.
    pub fn next_voters<C: Ord>(&mut self, cost: impl Fn(VmId) -> C) -> Vec<VmId> {
        let needed = self.quorum();
        let is_first = !self.voters.iter().any(|b| b.asked);
        let mut open: Vec<_> = self.voters.iter_mut().filter(|b| b.can_grant()).collect();
        if is_first {
            open.sort_by_key(|b| cost(b.vm));
            open.truncate(needed);
        }
        for ballot in &mut open {
            ballot.asked = true;
        }
        open.into_iter().map(|b| b.vm).collect()
    }

    /// Whether all voters that were asked have answered, and another has not been asked.
    #[must_use]
    pub fn needs_more_voters(&self) -> bool {
        let mut asked = self.voters.iter().filter(|b| b.asked);
        asked.all(|b| b.verdict.is_some()) && self.voters.iter().any(|b| !b.asked)
    }

    /// How the claim stands. `waited`: the voters that did not answer had the time to.
    ///
    /// Two daemons that claim one key at once may split the votes one to one while the third voter
    /// is dead, and each would wait for the other's vote until both are refused. So the one that
    /// lost the highest-ranking vote gives way, and the other finds the key free when it asks again.
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
        self.voters.iter().filter(|b| b.verdict == verdict).count()
    }

    /// The request that has the key for certain: it was sent somewhere, or it ended, or a majority
    /// of the voters names it.
    fn winner(&self) -> Option<KeyRecord> {
        let records = || self.voters.iter().filter_map(|b| b.record.as_ref());
        let ended = records().find(|r| r.outcome != 0);
        let streamed = || records().find(|r| !r.stream.is_empty());
        let by_majority = || {
            let votes = |r: &KeyRecord| records().filter(|o| o.request == r.request).count();
            records().find(|r| self.quorum() <= votes(r))
        };
        ended.or_else(streamed).or_else(by_majority).cloned()
    }

    /// Forgets all votes: the voters are to be asked anew.
    pub fn reset_votes(&mut self) {
        for ballot in &mut self.voters {
            *ballot = Voter::new(ballot.vm);
        }
        self.send_count = 0;
    }

    /// Another request that a voter names.
    #[must_use]
    pub fn competing_record(&self) -> Option<KeyRecord> {
        self.voters.iter().find_map(|b| b.record.clone())
    }

    /// Whether the highest-ranking vote that was given to any request was given to this one.
    fn has_first_vote(&self) -> bool {
        let mut given = self.voters.iter().filter_map(|b| b.verdict);
        let first = given.find(|v| matches!(v, Verdict::Granted | Verdict::Running));
        first == Some(Verdict::Granted)
    }
}

/// Whether the voters that have not answered had the time to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum VoteWait {
    /// Their answers may be on the way.
    Pending,
    /// A whole peer timeout has passed.
    TimedOut,
}
