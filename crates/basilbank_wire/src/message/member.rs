//! Membership: heartbeats and member records.

/// Shows that the sender is alive, and carries its revisions and part of its membership table.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The sender's heartbeat counter.
    #[prost(uint64, tag = "1")]
    pub counter: u64,
    /// The catalogue revision in force at the sender.
    #[prost(uint64, tag = "2")]
    pub catalogue: u64,
    /// The VM list revision that the sender knows.
    #[prost(uint64, tag = "3")]
    pub vms: u64,
    /// Whether the sender is shutting down: it accepts no new work and owns no subjects.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Full records of other members.
    #[prost(message, repeated, tag = "5")]
    pub seen: Vec<MemberRecord>,
    /// Whether the sender lacks members' records: the receiver should answer with all that it has.
    #[prost(bool, tag = "6")]
    pub probe: bool,
    /// Summary of the live members, four bytes each: the upper 16 bits of the id, 5 bits that
    /// identify the incarnation, the low 6 bits of the heartbeat counter, and 5 bits for the time
    /// since the member was last seen, as a fraction of the time after which a member counts as
    /// dead.
    #[prost(bytes = "vec", tag = "7")]
    pub beats: Vec<u8>,
    /// The revision of the newest documents that the sender has, accepted or not.
    #[prost(uint64, tag = "8")]
    pub documents: u64,
    /// Milliseconds since the platform last confirmed, to any daemon that the sender knows of, that
    /// the documents were the newest; 0 if it never did.
    #[prost(uint32, tag = "9")]
    pub confirmed: u32,
    /// Whether it answers another heartbeat.
    #[prost(bool, tag = "10")]
    pub reply: bool,
}

/// What one daemon knows of another one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberRecord {
    /// Id of the VM.
    #[prost(fixed64, tag = "1")]
    pub vm: u64,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its highest heartbeat counter.
    #[prost(uint64, tag = "3")]
    pub counter: u64,
    /// Whether it is shutting down.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Milliseconds since the heartbeat with this counter.
    #[prost(uint32, tag = "5")]
    pub age: u32,
}
