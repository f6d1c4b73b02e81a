//! The peers' messages: `prost` structs, annotated by hand so that the build needs no generator.
//!
//! Identifiers are 64-bit stable hashes of names (see `basilbank_core::ids`); durations are
//! milliseconds. Every request message is idempotent: its receiver may see it twice.

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

/// One datagram or frame: who sent it, from which incarnation, and what it says.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Packet {
    /// The sending VM.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// The sender's incarnation: its process's start, milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Rises with each packet of one incarnation; a receiver drops what it has seen.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The VM that the packet is meant for; a packet replayed to another VM is dropped.
    #[prost(fixed64, tag = "4")]
    pub to: u64,
    /// What is said, in order.
    #[prost(message, repeated, tag = "5")]
    pub messages: Vec<Message>,
}

/// One message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What it says; `None` when a newer peer said something that this one does not know.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17")]
    pub body: Option<Body>,
}

impl From<Body> for Message {
    fn from(body: Body) -> Message {
        Message { body: Some(body) }
    }
}

/// All that peers say to each other.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// I am alive, and this is what I know.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// To an endpoint's steward: reserve a slot.
    #[prost(message, tag = "2")]
    Reserve(Reserve),
    /// From an endpoint's steward: the slot is yours.
    #[prost(message, tag = "3")]
    Grant(Grant),
    /// From an endpoint's steward: no slot.
    #[prost(message, tag = "4")]
    Deny(Deny),
    /// To an endpoint's steward: the slot, or the wait for it, is given up.
    #[prost(message, tag = "5")]
    Release(Release),
    /// From a new steward to all: what do you hold at this endpoint?
    #[prost(message, tag = "6")]
    AskHolds(AskHolds),
    /// To an endpoint's steward: all that the sender holds there. Renews its leases.
    #[prost(message, tag = "7")]
    Holds(Holds),
    /// To a voter: may this idempotency key run?
    #[prost(message, tag = "8")]
    Claim(Claim),
    /// From a voter.
    #[prost(message, tag = "9")]
    Vote(Vote),
    /// To the voters: where the key's request runs, or how it ended.
    #[prost(message, tag = "10")]
    Settle(Settle),
    /// Send me the catalogue's documents that changed after a revision. Over TCP.
    #[prost(message, tag = "11")]
    FetchCatalogue(FetchCatalogue),
    /// The documents asked for. Over TCP.
    #[prost(message, tag = "12")]
    Catalogue(CatalogueDelta),
    /// Send me the VM list. Over TCP.
    #[prost(message, tag = "13")]
    FetchVms(FetchVms),
    /// The VM list asked for. Over TCP.
    #[prost(message, tag = "14")]
    Vms(VmList),
    /// To an entry's steward: I use this much of the entry's limit.
    #[prost(message, tag = "15")]
    AskLimit(AskLimit),
    /// From an entry's steward: use up to this much until the lease ends.
    #[prost(message, tag = "16")]
    Lease(LimitLease),
    /// From an endpoint's steward to a holder: this slot is taken back.
    #[prost(message, tag = "17")]
    Preempt(Preempt),
}
