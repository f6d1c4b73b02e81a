//! Slots at endpoints: between those that need one and the endpoint's steward.

/// Asks an endpoint's steward for a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reserve {
    /// The endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// The request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The attempt of the request, from 0.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// The catalogue entry whose share it uses.
    #[prost(fixed64, tag = "4")]
    pub entry: u64,
    /// Tokens expected to be held or prefilled.
    #[prost(uint32, tag = "5")]
    pub tokens: u32,
    /// How long the sender may wait for the slot; 0 asks for an answer at once.
    #[prost(uint32, tag = "6")]
    pub wait: u32,
    /// Milliseconds left until the request's first-token target.
    #[prost(sint32, tag = "7")]
    pub slack: i32,
    /// Milliseconds from the grant until the slot will be used.
    #[prost(uint32, tag = "8")]
    pub lead: u32,
    /// Tokens whose KV cache will leave the endpoint over its link afterwards.
    #[prost(uint32, tag = "9")]
    pub sent: u32,
    /// A block near the prompt's end, 0 for none: when the endpoint has it cached, `cached` fewer
    /// tokens are prefilled.
    #[prost(fixed64, tag = "10")]
    pub block: u64,
    /// Tokens up to that block's end.
    #[prost(uint32, tag = "11")]
    pub cached: u32,
    /// The caller has part of the answer: the request goes on from there.
    #[prost(bool, tag = "12")]
    pub begun: bool,
    /// This steward was asked first. It alone may take a slot back for the request, else each of
    /// those that were asked would.
    #[prost(bool, tag = "13")]
    pub first: bool,
}

/// A granted slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Grant {
    /// The endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// The request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The attempt.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// The lease's length; `Holds` renews it.
    #[prost(uint32, tag = "4")]
    pub lease: u32,
    /// Free slots left after this grant, a hint for placement.
    #[prost(uint32, tag = "5")]
    pub free: u32,
    /// The slot is lent: its entry is above its owed share, so it may be preempted.
    #[prost(bool, tag = "6")]
    pub lent: bool,
}

/// Why a steward denies a slot.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum DenyReason {
    /// No slot came free in time.
    Full = 0,
    /// Free slots are kept for teams that are owed them.
    Owed = 1,
    /// The endpoint is leaving or unknown.
    Leaving = 2,
    /// The receiver is not the endpoint's steward.
    NotSteward = 3,
    /// The steward is still learning what is held.
    Rebuilding = 4,
    /// The steward was paused or is cut off.
    Isolated = 5,
}

/// A denied slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Deny {
    /// The endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// The request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The attempt.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// Why.
    #[prost(enumeration = "DenyReason", tag = "4")]
    pub reason: i32,
    /// When another try may succeed.
    #[prost(uint32, tag = "5")]
    pub retry: u32,
}

/// Gives a slot, or the wait for one, back.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Release {
    /// The endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// The request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The attempt.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// The transfer between the endpoint and this one made no progress; 0 when nothing stalled.
    #[prost(fixed64, tag = "4")]
    pub stalled: u64,
    /// The endpoint refused the work as full, though the slot was granted.
    #[prost(bool, tag = "5")]
    pub full: bool,
}

/// A new steward's question.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AskHolds {
    /// The endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
}

/// All that one daemon holds at one endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Holds {
    /// The endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// The holds.
    #[prost(message, repeated, tag = "2")]
    pub holds: Vec<Hold>,
}

/// One held slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hold {
    /// The request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// The attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// The catalogue entry.
    #[prost(fixed64, tag = "3")]
    pub entry: u64,
    /// Tokens expected to be held.
    #[prost(uint32, tag = "4")]
    pub tokens: u32,
}

/// Takes a slot back from its holder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Preempt {
    /// The endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// The request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The attempt.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
}
