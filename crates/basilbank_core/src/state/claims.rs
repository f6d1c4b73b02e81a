//! Idempotency keys: claims that this daemon made, and votes that it gave.

mod claim_key;
mod key_table;
mod own_claim;
mod voter_history;

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

pub use self::{
    claim_key::{ClaimKey, uuid_v7_unix_ms},
    key_table::{KeyEntry, KeyTable},
    own_claim::{ClaimPhase, ClaimStatus, OwnClaim, VoteWait, Voter},
    voter_history::{VoterHistory, VoterSince},
};
use crate::ids::RequestId;

/// Idempotency keys: claims that this daemon made, and votes that it gave.
#[derive(Debug, Default)]
pub struct Claims {
    /// Claims of this daemon's requests. A claim stays until its voters know the outcome of the
    /// request.
    pub own: HashMap<RequestId, OwnClaim>,
    /// Keys that this daemon granted as a voter, or was informed of.
    pub key_table: KeyTable,
    /// For which keys this daemon is a voter, and since when.
    pub voter_history: VoterHistory,
    /// Claims that were won, oldest first, each with the moment from which its request may no
    /// longer be sent to an endpoint.
    pub send_deadlines: VecDeque<(Duration, RequestId)>,
}
