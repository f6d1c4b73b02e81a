//! The peers' messages: `prost` structs, annotated by hand so that the build needs no generator.
//!
//! Identifiers are 64-bit stable hashes of names (see `basilbank_core::ids`); durations are
//! milliseconds. Every request message is idempotent: its receiver may see it twice.

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

/// Liveness and revisions, with part of the sender's membership table.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The sender's own heartbeat counter.
    #[prost(uint64, tag = "1")]
    pub counter: u64,
    /// The catalogue revision in force at the sender.
    #[prost(uint64, tag = "2")]
    pub catalogue: u64,
    /// The VM list revision that the sender knows.
    #[prost(uint64, tag = "3")]
    pub vms: u64,
    /// The sender is shutting down: it takes no new work and no stewardship.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// What the sender knows of others.
    #[prost(message, repeated, tag = "5")]
    pub seen: Vec<Seen>,
    /// The sender lacks members' records: the receiver should answer with all that it has.
    #[prost(bool, tag = "6")]
    pub probe: bool,
    /// Live members in short form, four bytes each: upper 16 bits of the id, 5 bits that tell the
    /// incarnation, low 6 bits of the counter, 5 bits for the age of the news in parts of the time
    /// after which a member counts as dead.
    #[prost(bytes = "vec", tag = "7")]
    pub beats: Vec<u8>,
    /// The revision of the newest documents that the sender knows, accepted or not.
    #[prost(uint64, tag = "8")]
    pub documents: u64,
    /// Milliseconds since the platform confirmed that a daemon's documents were the newest, as far
    /// as the sender has heard; 0 when it never did.
    #[prost(uint32, tag = "9")]
    pub confirmed: u32,
    /// It answers another heartbeat.
    #[prost(bool, tag = "10")]
    pub reply: bool,
}

/// What one daemon knows of another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Seen {
    /// The VM.
    #[prost(fixed64, tag = "1")]
    pub vm: u64,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its highest heartbeat counter.
    #[prost(uint64, tag = "3")]
    pub counter: u64,
    /// It is shutting down.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Milliseconds since that heartbeat.
    #[prost(uint32, tag = "5")]
    pub age: u32,
}

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

/// Asks a peer for documents.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FetchCatalogue {
    /// The revision that the sender has.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// It wants the whole of the catalogue in force at the receiver, because it has the newest
    /// documents and they were rejected.
    #[prost(bool, tag = "2")]
    pub accepted: bool,
}

/// Documents that changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CatalogueDelta {
    /// The revision that the receiver must have; 0 when the delta is the whole.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// The revision that the receiver has afterwards.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The documents.
    #[prost(message, repeated, tag = "3")]
    pub documents: Vec<Document>,
}

/// One document of the catalogue, as the platform holds it.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Document {
    /// The platform's key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The text; `None` when the document was removed.
    #[prost(string, optional, tag = "2")]
    pub text: Option<String>,
    /// The platform's revision at the document's last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// Asks a peer for the VM list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FetchVms {
    /// The revision that the sender has.
    #[prost(uint64, tag = "1")]
    pub after: u64,
}

/// The VM list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VmList {
    /// The platform's revision of the list.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The VMs.
    #[prost(message, repeated, tag = "2")]
    pub vms: Vec<VmRecord>,
}

/// One VM of the system, as the platform lists it.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct VmRecord {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Where its daemon hears peers, `ip:port`; UDP and TCP use the same number.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// The platform is about to take it away.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
}

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
