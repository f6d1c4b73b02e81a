//! The datagram by which daemons that forward calls share what they have at endpoints.

/// All that one daemon has at endpoints, and some peers that it knows.
///
/// It is the whole state each time, so that a lost datagram is mended by the next one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadBeat {
    /// The sender's incarnation: its process's start, milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Rises with each datagram of one incarnation; older ones are dropped.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The sender is shutting down: it takes no new work, and is no longer a peer.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// What the sender has, one entry an endpoint.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<EndpointLoad>,
    /// Some peers that the sender knows.
    #[prost(message, repeated, tag = "5")]
    pub peers: Vec<PeerAddress>,
    /// Endpoints that the sender knows to refuse work.
    #[prost(message, repeated, tag = "6")]
    pub shunned: Vec<Shunned>,
    /// The store's revision at which the last change was seen that matters: of the configuration, or
    /// of an endpoint's entry other than its heartbeat.
    #[prost(uint64, tag = "7")]
    pub news: u64,
}

/// An endpoint that refuses work for some time: its stage is changing, or it loses KV caches.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Shunned {
    /// Stable hash of the endpoint's instance.
    #[prost(fixed64, tag = "1")]
    pub instance: u64,
    /// For how much longer, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub left: u32,
}

/// What a daemon has at one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct EndpointLoad {
    /// Stable hash of the endpoint's instance.
    #[prost(fixed64, tag = "1")]
    pub instance: u64,
    /// Tokens: to be read at a prefill endpoint, in memory at a decode endpoint.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
    /// Calls in progress.
    #[prost(uint32, tag = "3")]
    pub calls: u32,
}

/// Where a daemon listens for its peers.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct PeerAddress {
    /// The IPv4 address.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// The UDP port.
    #[prost(uint32, tag = "2")]
    pub port: u32,
}
