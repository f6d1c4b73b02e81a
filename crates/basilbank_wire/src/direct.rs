//! Direct messages between two daemons: how new a configuration is, how much of a team's quota is
//! used, and which version of an endpoint's software began a stream.
//!
//! They travel in datagrams of their own, without the sender's load and without a sequence number.

/// A question about how new the receiver's configuration is, or the answer to one.
///
/// The asker measures from the moment at which it asked. So the clocks of two daemons are never
/// compared, and an answer that was delayed on the network, or in the socket of a process that was
/// suspended, confirms nothing newer than it did when it was sent.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ConfigurationAge {
    /// Identifies the question; the answer repeats it.
    #[prost(uint64, tag = "1")]
    pub asked: u64,
    /// In an answer: milliseconds since the answering daemon's configuration was confirmed to be
    /// the newest.
    #[prost(uint32, optional, tag = "2")]
    pub age: Option<u32>,
    /// In an answer: the version of that configuration.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// What the sender's callers have taken of a team's quota, reported to the quota owner.
///
/// The sums are repeated until they are acknowledged. A repeated message counts nothing twice.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuotaUse {
    /// Hash of the team's name.
    #[prost(fixed64, tag = "1")]
    pub team: u64,
    /// Increases when the sender starts a new sum.
    #[prost(uint32, tag = "2")]
    pub epoch: u32,
    /// Sum of what was taken, in the quota's unit, less what was returned.
    #[prost(sint64, tag = "3")]
    pub taken: i64,
    /// The part of the sum that the receiver has acknowledged.
    #[prost(sint64, tag = "4")]
    pub acknowledged: i64,
    /// A request that waits for the owner's answer.
    #[prost(message, optional, tag = "5")]
    pub ask: Option<QuotaRequest>,
}

/// A request that asks the quota owner for its part of a quota.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuotaRequest {
    /// Identifies the request between the two daemons.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// The amount that it takes, in the quota's unit.
    #[prost(uint32, tag = "2")]
    pub amount: u32,
}

/// The state of a team's quota, as its owner reports it.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuotaState {
    /// Hash of the team's name.
    #[prost(fixed64, tag = "1")]
    pub team: u64,
    /// The receiver's epoch and sum that are acknowledged; none in a message to all daemons.
    #[prost(message, optional, tag = "2")]
    pub counted: Option<QuotaCounted>,
    /// Milliseconds for which requests have to ask before they are let through; 0 if they needn't.
    #[prost(uint32, tag = "3")]
    pub ask_for: u32,
    /// The answer to a request that asked.
    #[prost(message, optional, tag = "4")]
    pub answer: Option<QuotaAnswer>,
}

/// A sum that the quota owner has counted.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuotaCounted {
    /// The sum's epoch.
    #[prost(uint32, tag = "1")]
    pub epoch: u32,
    /// The sum.
    #[prost(sint64, tag = "2")]
    pub taken: i64,
}

/// The quota owner's answer to a request.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuotaAnswer {
    /// The ticket of the request.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Whether the request is granted; if so, its amount is counted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// If it isn't granted: milliseconds until the quota has room for it.
    #[prost(uint32, tag = "3")]
    pub wait: u32,
}

/// Says which version of an endpoint's software began a stream: as an announcement, or as the answer
/// to an [`OriginQuery`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct StreamOrigin {
    /// Hash of the caller's id of the attempt that brought the stream's first event.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Hash of service and version; 0 in an answer if the sender doesn't know.
    #[prost(fixed32, tag = "2")]
    pub version: u32,
    /// In an answer without a version: hash of service and version if the service's endpoints have
    /// had no other for as long as a stream may last, as far as the sender knows.
    #[prost(fixed32, tag = "3")]
    pub only: u32,
    /// The revision up to which the sender knows the list of endpoints, beside `only`; 0 if it doesn't
    /// say.
    #[prost(uint64, tag = "4")]
    pub known_to: u64,
    /// The store's era of `known_to`.
    #[prost(uint64, tag = "5")]
    pub era: u64,
}

/// Asks which version began a stream.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct OriginQuery {
    /// Hash of the caller's id of the attempt that brought the stream's first event.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Hash of the name of the service that the stream's route leads to; 0 if there are several. A
    /// daemon that has seen one version of it for long needs no record of the stream.
    #[prost(fixed32, tag = "2")]
    pub service: u32,
}

/// Reports a call that was refused for lack of capacity and told when to return.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RefusedCall {
    /// The call's digest.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// Milliseconds that its caller was told to wait.
    #[prost(uint32, tag = "2")]
    pub wait: u32,
    /// Milliseconds since the caller's first try arrived.
    #[prost(uint32, tag = "3")]
    pub age: u32,
}

/// Asks whether a call returns as it was told.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ReturnQuery {
    /// The call's digest.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// Identifies the call at the sender. A repeated question has the same ticket.
    #[prost(uint64, tag = "2")]
    pub ticket: u64,
}

/// The answer to a [`ReturnQuery`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ReturnAnswer {
    /// The ticket of the question.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Whether the call returns as it was told.
    #[prost(bool, tag = "2")]
    pub returned: bool,
    /// Milliseconds since the caller's first try arrived, if so.
    #[prost(uint32, tag = "3")]
    pub age: u32,
}
