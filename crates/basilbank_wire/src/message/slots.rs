//! Slots at endpoints: messages between the daemons that need slots and the endpoint's owner.

/// Asks an endpoint's owner for a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reserve {
    /// Id of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Id of the request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// Number of the request's attempt, from 0.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// Id of the catalogue entry whose share of the slots it uses.
    #[prost(fixed64, tag = "4")]
    pub entry: u64,
    /// Number of tokens that are expected to be held or prefilled.
    #[prost(uint32, tag = "5")]
    pub tokens: u32,
    /// How long the sender can wait for the slot; 0 asks for an immediate answer.
    #[prost(uint32, tag = "6")]
    pub wait: u32,
    /// Milliseconds left until the request's target for the first token.
    #[prost(sint32, tag = "7")]
    pub slack: i32,
    /// Milliseconds from the grant until the slot will be used.
    #[prost(uint32, tag = "8")]
    pub lead: u32,
    /// Number of tokens whose KV cache will be transferred from the endpoint over its network link
    /// afterwards.
    #[prost(uint32, tag = "9")]
    pub sent: u32,
    /// A block near the end of the prompt; 0 for none. If the endpoint has it cached, `cached`
    /// fewer tokens are prefilled.
    #[prost(fixed64, tag = "10")]
    pub block: u64,
    /// Number of prompt tokens up to the end of that block.
    #[prost(uint32, tag = "11")]
    pub cached: u32,
    /// Whether the caller has part of the answer, so that the request continues from there.
    #[prost(bool, tag = "12")]
    pub begun: bool,
    /// Whether this owner was asked first. Only that owner may preempt a slot for the request;
    /// otherwise each owner that was asked would do so.
    #[prost(bool, tag = "13")]
    pub first: bool,
}

/// A granted slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Grant {
    /// Id of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Id of the request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// Number of the request's attempt.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// Duration of the lease; `Holds` renews it.
    #[prost(uint32, tag = "4")]
    pub lease: u32,
    /// Number of free slots left after this grant, a hint for placement.
    #[prost(uint32, tag = "5")]
    pub free: u32,
    /// Whether the slot is lent: its entry held its owed share already, so the slot may be
    /// preempted.
    #[prost(bool, tag = "6")]
    pub lent: bool,
}

/// Reason of an owner for denying a slot.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum DenyReason {
    /// No slot became free in time.
    Full = 0,
    /// Free slots are reserved for teams that are owed them.
    Owed = 1,
    /// The endpoint is leaving or unknown.
    Leaving = 2,
    /// The receiver of the request is not the endpoint's owner.
    NotSteward = 3,
    /// The owner is still collecting information about held slots.
    Rebuilding = 4,
    /// The owner was paused or is isolated.
    Isolated = 5,
}

/// A denied slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Deny {
    /// Id of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Id of the request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// Number of the request's attempt.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// The reason.
    #[prost(enumeration = "DenyReason", tag = "4")]
    pub reason: i32,
    /// Time until another request may succeed.
    #[prost(uint32, tag = "5")]
    pub retry: u32,
}

/// Returns a slot, or withdraws the request for one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Release {
    /// Id of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Id of the request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// Number of the request's attempt.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// Id of the other endpoint of a transfer that made no progress; 0 if no transfer stalled.
    #[prost(fixed64, tag = "4")]
    pub stalled: u64,
    /// Whether the endpoint refused the work as full although the slot was granted.
    #[prost(bool, tag = "5")]
    pub full: bool,
}

/// Asks, as the new owner of an endpoint, for the slots that the receiver holds there.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AskHolds {
    /// Id of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
}

/// All slots that one daemon holds at one endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Holds {
    /// Id of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// The held slots.
    #[prost(message, repeated, tag = "2")]
    pub holds: Vec<Hold>,
}

/// One held slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hold {
    /// Id of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the request's attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Id of the catalogue entry.
    #[prost(fixed64, tag = "3")]
    pub entry: u64,
    /// Number of tokens that are expected to be held.
    #[prost(uint32, tag = "4")]
    pub tokens: u32,
}

/// Takes a slot back from its holder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Preempt {
    /// Id of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Id of the request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// Number of the request's attempt.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
}
