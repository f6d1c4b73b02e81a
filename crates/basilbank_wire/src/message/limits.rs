//! Limits over all daemons: messages between the daemons that use a limit and its owner.

/// Asks for a lease of an entry's limit, and reports what was taken without one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AskLimit {
    /// Id of the catalogue entry.
    #[prost(fixed64, tag = "1")]
    pub entry: u64,
    /// Requests a second that the sender's callers want, in thousandths; 0 if no lease is wanted.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
    /// Tokens a second that the sender's callers want.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Requests that the sender's callers have in progress or want to start.
    #[prost(uint64, tag = "4")]
    pub concurrent: u64,
    /// Number of the sender's requests in progress.
    #[prost(uint32, tag = "5")]
    pub running: u32,
    /// Requests taken without a lease since the last message.
    #[prost(uint32, tag = "6")]
    pub taken: u32,
    /// Tokens taken without a lease, minus returned ones.
    #[prost(sint64, tag = "7")]
    pub taken_tokens: i64,
    /// Requests a second that are leased to the sender now, in thousandths.
    #[prost(uint64, tag = "8")]
    pub held: u64,
    /// Tokens a second that are leased to the sender now.
    #[prost(uint64, tag = "9")]
    pub held_tokens: u64,
}

/// The owner's answer to `AskLimit`.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum LimitAnswer {
    /// A lease is granted.
    Leased = 0,
    /// A lease would be too small: calls may be taken, and each must be reported.
    Trusted = 1,
    /// Demand exceeds the limit: a small lease of longer duration.
    Rationed = 2,
    /// Like `Rationed`, and the calls that were taken without a lease are refused: too many
    /// requests a second.
    NoRequests = 3,
    /// Like `NoRequests`, but for too many tokens a second.
    NoTokens = 4,
    /// Like `NoRequests`, but for too many concurrent requests.
    NoSlots = 5,
    /// A lease is granted, and there is ample capacity beyond it: more may be taken if it is
    /// reported.
    Ample = 6,
}

/// A lease of an entry's limit, or the refusal of what was taken without one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitLease {
    /// Id of the catalogue entry.
    #[prost(fixed64, tag = "1")]
    pub entry: u64,
    /// Requests a second that are leased, in thousandths.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
    /// Tokens a second that are leased.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Maximum number of requests in progress.
    #[prost(uint64, tag = "4")]
    pub concurrent: u64,
    /// Duration of the lease in milliseconds, from its receipt.
    #[prost(uint32, tag = "5")]
    pub ttl: u32,
    /// Kind of the answer.
    #[prost(enumeration = "LimitAnswer", tag = "6")]
    pub answer: i32,
}
