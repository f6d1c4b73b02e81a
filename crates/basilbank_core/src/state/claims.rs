//! Idempotency keys: claims that this daemon made, and votes that it gave.

mod claim_key;
mod key_table;
mod own_claim;
mod tenure;

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

pub use self::{
    claim_key::{ClaimKey, made_at},
    key_table::{KeyEntry, KeyTable},
    own_claim::{Ballot, ClaimPhase, OwnClaim, Standing, Waited},
    tenure::{Tenure, TenureSince},
};
use crate::ids::RequestId;

/// Idempotency keys: claims that this daemon made, and votes that it gave.
#[derive(Debug, Default)]
pub struct Claims {
    /// Claims of this daemon's requests, until their voters know how they ended.
    pub own: HashMap<RequestId, OwnClaim>,
    /// Keys that this daemon granted as a voter, or heard of.
    pub table: KeyTable,
    /// For which keys, and since when, this daemon has been a voter.
    pub tenure: Tenure,
    /// Claims that were won, oldest first, with the moment from which nothing may be sent under them.
    pub unsent: VecDeque<(Duration, RequestId)>,
}
