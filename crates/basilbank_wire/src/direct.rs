//! Words between two daemons that answer each other: how new a configuration is, and what of a team's quota
//! is used.
//!
//! They travel in datagrams of their own, without the sender's load and without a sequence.

/// A question how new the receiver's configuration is, or the answer to one.
///
/// The asker counts from the moment at which it asked, so that no clocks of two daemons are compared, and an
/// answer that was long on its way, or lay in the socket of a process that stood still, proves no more than it
/// did when it was given.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ConfigurationAge {
    /// Names the question; the answer carries it back.
    #[prost(uint64, tag = "1")]
    pub asked: u64,
    /// In an answer: how long before it the configuration was the newest for certain, in milliseconds.
    #[prost(uint32, optional, tag = "2")]
    pub age: Option<u32>,
    /// In an answer: its version.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// What the sender's callers have taken of a team's quota, told to the daemon that counts it for all.
///
/// The sums are told again until they are acknowledged, and a repeated word counts nothing twice.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuotaUse {
    /// Hash of the team's name.
    #[prost(fixed64, tag = "1")]
    pub team: u64,
    /// Rises when the sender begins its sum anew.
    #[prost(uint32, tag = "2")]
    pub epoch: u32,
    /// The sum of what was taken, in the quota's unit, less what was given back.
    #[prost(sint64, tag = "3")]
    pub taken: i64,
    /// The part of it that the receiver has acknowledged.
    #[prost(sint64, tag = "4")]
    pub acknowledged: i64,
    /// A request that waits for the answer before it is taken.
    #[prost(message, optional, tag = "5")]
    pub ask: Option<QuotaRequest>,
}

/// A request that asks for its part of a quota.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuotaRequest {
    /// Names it between the two.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// What it takes.
    #[prost(uint32, tag = "2")]
    pub amount: u32,
}

/// What the daemon that counts a team's quota says of it.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuotaState {
    /// Hash of the team's name.
    #[prost(fixed64, tag = "1")]
    pub team: u64,
    /// The sender's epoch and sum that are acknowledged; none in a word to all.
    #[prost(message, optional, tag = "2")]
    pub counted: Option<QuotaCounted>,
    /// For so many milliseconds requests have to ask before they are taken; 0 if they needn't.
    #[prost(uint32, tag = "3")]
    pub ask_for: u32,
    /// The answer to a request that asked.
    #[prost(message, optional, tag = "4")]
    pub answer: Option<QuotaAnswer>,
}

/// A sum that has been counted.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuotaCounted {
    /// The sum's epoch.
    #[prost(uint32, tag = "1")]
    pub epoch: u32,
    /// The sum.
    #[prost(sint64, tag = "2")]
    pub taken: i64,
}

/// The answer to a request that asked for its part of a quota.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuotaAnswer {
    /// The request.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// It may be taken, and is counted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// If not: milliseconds until there is room for it.
    #[prost(uint32, tag = "3")]
    pub wait: u32,
}
