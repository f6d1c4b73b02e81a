//! Idempotency keys: claims, votes, and how keyed requests ended.

/// Asks a voter for a key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Claim {
    /// Hash of entry owner and idempotency key, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The request that wants to run it.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// When the key says it was made, milliseconds since the Unix epoch; 0 when it says nothing.
    #[prost(uint64, tag = "3")]
    pub made: u64,
    /// The sender's incarnation.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// The request may be run more than once.
    #[prost(bool, tag = "5")]
    pub repeatable: bool,
    /// The request that has the key and whose daemon is gone, so that this one may follow it; 0 for
    /// none.
    #[prost(fixed64, tag = "6")]
    pub after: u64,
}

/// What a voter says to a claim.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// Never seen: the request may run.
    Granted = 0,
    /// Another request has it and runs.
    Running = 1,
    /// Another request ended it.
    Done = 2,
    /// The voter can't say.
    Abstain = 3,
    /// The voter's table is full.
    Overflow = 4,
}

/// A voter's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Vote {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The request that asked.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The answer.
    #[prost(enumeration = "Verdict", tag = "3")]
    pub verdict: i32,
    /// What is known of the request that has the key.
    #[prost(message, optional, tag = "4")]
    pub record: Option<KeyRecord>,
}

/// What is known of a key's request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyRecord {
    /// The request that has the key.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// The VM where it was accepted.
    #[prost(fixed64, tag = "2")]
    pub vm: u64,
    /// The endpoint where its stream lives; 0 when none.
    #[prost(fixed64, tag = "3")]
    pub endpoint: u64,
    /// The stream's name there; empty when none.
    #[prost(string, tag = "4")]
    pub stream: String,
    /// How it ended; 0 while it runs, else a `basilbank_core` outcome code.
    #[prost(uint32, tag = "5")]
    pub outcome: u32,
    /// The VM's incarnation when it was accepted.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// It may be run more than once.
    #[prost(bool, tag = "7")]
    pub repeatable: bool,
}

/// Tells the voters about a key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Settle {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// What is known now.
    #[prost(message, optional, tag = "2")]
    pub record: Option<KeyRecord>,
}
