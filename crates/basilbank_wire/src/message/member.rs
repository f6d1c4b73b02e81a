//! Membership: heartbeats, and what they carry.

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
    pub seen: Vec<MemberRecord>,
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
pub struct MemberRecord {
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
