//! Idempotency keys: claims, votes, and records of the requests that have keys.

/// Asks a voter for a key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Claim {
    /// Hash of team and idempotency key, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Id of the request that is to run under the key.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// Time that the key carries, in milliseconds since the Unix epoch; 0 when it carries none.
    #[prost(uint64, tag = "3")]
    pub made: u64,
    /// The sender's incarnation.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Whether the request may be run more than once.
    #[prost(bool, tag = "5")]
    pub repeatable: bool,
    /// Id of the request that has the key and whose daemon is gone, if this request is to take the
    /// key over; 0 for none.
    #[prost(fixed64, tag = "6")]
    pub after: u64,
}

/// A voter's answer to a claim.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// The key was unknown or is taken over: the request may run.
    Granted = 0,
    /// Another request has the key and runs.
    Running = 1,
    /// The key's request has ended.
    Done = 2,
    /// The voter can't decide, for example because it has become a voter too recently.
    Abstain = 3,
    /// The voter's table of keys is full.
    Overflow = 4,
}

/// A vote on a claim.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Vote {
    /// Hash of the key, as in `Claim`.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Id of the request that claimed the key.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The vote.
    #[prost(enumeration = "Verdict", tag = "3")]
    pub verdict: i32,
    /// The record of the request that has the key, if another one has it.
    #[prost(message, optional, tag = "4")]
    pub record: Option<KeyRecord>,
}

/// The record of a key's request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyRecord {
    /// Id of the request that has the key.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Id of the VM that accepted the request.
    #[prost(fixed64, tag = "2")]
    pub vm: u64,
    /// Id of the endpoint that has its stream; 0 if there is none.
    #[prost(fixed64, tag = "3")]
    pub endpoint: u64,
    /// The stream's name at that endpoint; empty if there is none.
    #[prost(string, tag = "4")]
    pub stream: String,
    /// Its outcome: 0 while it runs, otherwise a `basilbank_core` outcome code.
    #[prost(uint32, tag = "5")]
    pub outcome: u32,
    /// The VM's incarnation when the request was accepted.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// Whether the request may be run more than once.
    #[prost(bool, tag = "7")]
    pub repeatable: bool,
}

/// Informs the voters about a key's request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Settle {
    /// Hash of the key, as in `Claim`.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The current record.
    #[prost(message, optional, tag = "2")]
    pub record: Option<KeyRecord>,
}
