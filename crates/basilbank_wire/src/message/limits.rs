//! Limits over all daemons: between those that use one and the limit's steward.

/// Asks for part of an entry's limit, or tells what was taken without one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AskLimit {
    /// The catalogue entry.
    #[prost(fixed64, tag = "1")]
    pub entry: u64,
    /// Requests a second that the sender's callers want, in thousandths; 0 when no lease is wanted.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
    /// Tokens a second that they want.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Requests that they have in progress or want to start.
    #[prost(uint64, tag = "4")]
    pub concurrent: u64,
    /// Requests in progress.
    #[prost(uint32, tag = "5")]
    pub running: u32,
    /// Requests taken without a lease since the last message.
    #[prost(uint32, tag = "6")]
    pub taken: u32,
    /// Tokens taken without a lease, less those given back.
    #[prost(sint64, tag = "7")]
    pub taken_tokens: i64,
    /// Requests a second that are leased to the sender now, in thousandths.
    #[prost(uint64, tag = "8")]
    pub held: u64,
    /// Tokens a second that are leased to it.
    #[prost(uint64, tag = "9")]
    pub held_tokens: u64,
}

/// What an entry's steward answers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum LimitAnswer {
    /// A lease.
    Leased = 0,
    /// No lease is worth it: take calls and tell of each.
    Trusted = 1,
    /// More is wanted than there is: a small lease that lasts.
    Rationed = 2,
    /// The same, and what was taken is refused: too many requests a second.
    NoRequests = 3,
    /// The same: too many tokens a second.
    NoTokens = 4,
    /// The same: too many requests in progress.
    NoSlots = 5,
    /// A lease, and plenty beside it: more may be taken if it is told.
    Ample = 6,
}

/// A leased part of an entry's limit, or the refusal of what was taken without one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitLease {
    /// The catalogue entry.
    #[prost(fixed64, tag = "1")]
    pub entry: u64,
    /// Requests a second, in thousandths.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
    /// Tokens a second.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Requests in progress.
    #[prost(uint64, tag = "4")]
    pub concurrent: u64,
    /// How long it holds, from now.
    #[prost(uint32, tag = "5")]
    pub ttl: u32,
    /// What it is.
    #[prost(enumeration = "LimitAnswer", tag = "6")]
    pub answer: i32,
}
