//! The messages between daemons: `prost` structs, annotated by hand so that the build needs no
//! generator.
//!
//! Identifiers are 64-bit stable hashes of names (see `basilbank_core::ids`); durations are in
//! milliseconds. Every request message is idempotent: its receiver may get it twice.

mod claims;
mod documents;
mod limits;
mod member;
mod slots;

pub use claims::*;
pub use documents::*;
pub use limits::*;
pub use member::*;
pub use slots::*;

/// One datagram or frame: its sender, the sender's incarnation, and messages.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Packet {
    /// Id of the sending VM.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// The sender's incarnation: the start of its process, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Rises with each packet of one incarnation; a receiver drops packets that it has seen.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Id of the VM that the packet is sent to; a packet that is replayed to another VM is dropped.
    #[prost(fixed64, tag = "4")]
    pub to: u64,
    /// The messages, in order.
    #[prost(message, repeated, tag = "5")]
    pub messages: Vec<Message>,
}

/// One message of a packet.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Content of the message; `None` if a newer peer sent a kind of message that is unknown here.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17")]
    pub body: Option<Body>,
}

impl From<Body> for Message {
    fn from(body: Body) -> Message {
        Message { body: Some(body) }
    }
}

/// All kinds of messages between peers.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Shows that the sender is alive, and what it knows of other members.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// To an endpoint's owner: requests a slot.
    #[prost(message, tag = "2")]
    Reserve(Reserve),
    /// From an endpoint's owner: grants a slot.
    #[prost(message, tag = "3")]
    Grant(Grant),
    /// From an endpoint's owner: denies a slot.
    #[prost(message, tag = "4")]
    Deny(Deny),
    /// To an endpoint's owner: returns a slot, or withdraws the request for one.
    #[prost(message, tag = "5")]
    Release(Release),
    /// From a new owner of an endpoint to all: asks for the slots that are held there.
    #[prost(message, tag = "6")]
    AskHolds(AskHolds),
    /// To an endpoint's owner: reports all slots that the sender holds there, and renews their
    /// leases.
    #[prost(message, tag = "7")]
    Holds(Holds),
    /// To a voter: asks whether a request may run under an idempotency key.
    #[prost(message, tag = "8")]
    Claim(Claim),
    /// From a voter: answers `Claim`, or acknowledges `Settle`.
    #[prost(message, tag = "9")]
    Vote(Vote),
    /// To the voters: reports where the key's request runs, or its outcome.
    #[prost(message, tag = "10")]
    Settle(Settle),
    /// Asks for the catalogue's documents that changed after a revision. Sent over TCP.
    #[prost(message, tag = "11")]
    FetchCatalogue(FetchCatalogue),
    /// The documents that were asked for. Sent over TCP.
    #[prost(message, tag = "12")]
    Catalogue(CatalogueDelta),
    /// Asks for the VM list. Sent over TCP.
    #[prost(message, tag = "13")]
    FetchVms(FetchVms),
    /// The VM list that was asked for. Sent over TCP.
    #[prost(message, tag = "14")]
    Vms(VmList),
    /// To the owner of an entry's limit: reports how much of the limit the sender uses.
    #[prost(message, tag = "15")]
    AskLimit(AskLimit),
    /// From the owner of an entry's limit: allows the use of up to this much until the lease ends.
    #[prost(message, tag = "16")]
    Lease(LimitLease),
    /// From an endpoint's owner to a holder: takes a slot back.
    #[prost(message, tag = "17")]
    Preempt(Preempt),
}
