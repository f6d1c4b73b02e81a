//! The datagram by which daemons that forward calls share what they have at endpoints.

use crate::direct::{ConfigurationAge, QuotaState, QuotaUse};

/// All that one daemon has at endpoints, and some peers that it knows.
///
/// It is the whole state each time, so that a lost datagram is mended by the next one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadGossip {
    /// The sender's incarnation: its process's start, milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Rises with each datagram of one incarnation; older ones are dropped.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The sender is shutting down: it takes no new work, and is no longer a peer once it has nothing at
    /// endpoints.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Endpoints at which the sender has calls: hashes of their instances and starts, so that what it
    /// has at a former start isn't taken for load of the new one. What it has there stands at the same
    /// places of the next two lists; so an entry takes seven bytes instead of eighteen.
    #[prost(fixed32, repeated, tag = "8")]
    pub endpoints: Vec<u32>,
    /// Tokens there.
    #[prost(uint32, repeated, tag = "9")]
    pub tokens: Vec<u32>,
    /// Calls there.
    #[prost(uint32, repeated, tag = "10")]
    pub calls: Vec<u32>,
    /// Those of the tokens there that are still to be generated.
    #[prost(uint32, repeated, tag = "13")]
    pub left: Vec<u32>,
    /// How fast the sender's drafts were generated.
    #[prost(message, repeated, tag = "14")]
    pub paces: Vec<ServiceGenerationStats>,
    /// The first draft of each service that waits for room.
    #[prost(message, repeated, tag = "15")]
    pub waiting: Vec<WaitingCompletion>,
    /// Some peers that the sender knows.
    #[prost(message, repeated, tag = "5")]
    pub peers: Vec<PeerAddress>,
    /// Endpoints that the sender knows to refuse work.
    #[prost(message, repeated, tag = "6")]
    pub shunned: Vec<AvoidedEndpoint>,
    /// The store's revision at which the last change of an endpoint's entry was seen, other than its
    /// heartbeat; none when it was told before. Tags 7, 11 and 12 were revisions without an era, and are
    /// not used again.
    #[prost(message, optional, tag = "16")]
    pub endpoints_news: Option<StoreRevision>,
    /// The same of the configuration.
    #[prost(message, optional, tag = "17")]
    pub routes_news: Option<StoreRevision>,
    /// The version of the configuration that the sender has in force; 0 when it was told before.
    #[prost(uint64, tag = "18")]
    pub version: u64,
    /// The sender watches the store for others, and the store answers it.
    #[prost(bool, tag = "19")]
    pub watching: bool,
    /// Calls that were running at endpoints when these crashed, as the sender has seen it lately.
    #[prost(message, repeated, tag = "20")]
    pub crashes: Vec<CrashReport>,
    /// Digests of calls that have run to their end lately, though they were in such reports.
    #[prost(fixed64, repeated, tag = "21")]
    pub cleared: Vec<u64>,
    /// Calls that are in quarantine.
    #[prost(message, repeated, tag = "22")]
    pub quarantined: Vec<QuarantinedCall>,
    /// What endpoints have lately said to the sender of the calls that they take.
    #[prost(message, repeated, tag = "23")]
    pub limits: Vec<CallLimitReport>,
    /// Words about single calls to endpoints with a limit. A datagram with such words has no sequence, and
    /// tells nothing else.
    #[prost(message, repeated, tag = "24")]
    pub permits: Vec<Permit>,
    /// Questions and answers about the configuration's age; in such a datagram, too.
    #[prost(message, repeated, tag = "25")]
    pub ages: Vec<ConfigurationAge>,
    /// What was taken of quotas; in such a datagram, too.
    #[prost(message, repeated, tag = "26")]
    pub quota_uses: Vec<QuotaUse>,
    /// What is said of quotas; in such a datagram, too.
    #[prost(message, repeated, tag = "27")]
    pub quota_states: Vec<QuotaState>,
    /// The most daemons that the sender has known at once, less those that have left; 0 when it was told
    /// before.
    #[prost(uint32, tag = "28")]
    pub fleet: u32,
}

/// A moment in the platform's store's history.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct StoreRevision {
    /// How often the store has come back from a copy; its numbers are given out again then.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// Its counter of changes.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

impl LoadGossip {
    /// With what the sender has at endpoints.
    #[must_use]
    pub fn with_loads(mut self, loads: impl IntoIterator<Item = EndpointLoad>) -> LoadGossip {
        for load in loads {
            self.endpoints.push(load.endpoint);
            self.tokens.push(load.tokens);
            self.calls.push(load.calls);
            self.left.push(load.tokens_left);
        }
        self
    }

    /// What the sender has at endpoints.
    pub fn loads(&self) -> impl Iterator<Item = EndpointLoad> {
        let left = self.left.iter().copied().chain(std::iter::repeat(0));
        let counts = self.tokens.iter().zip(&self.calls).zip(left);
        let all = self.endpoints.iter().zip(counts);
        all.map(|(endpoint, ((tokens, calls), left))| EndpointLoad {
            endpoint: *endpoint,
            tokens: *tokens,
            calls: *calls,
            tokens_left: left.min(*tokens),
        })
    }

    /// Bytes that it takes on the wire, with the headers of IPv4 and UDP.
    #[must_use]
    pub fn wire_bytes(&self) -> usize {
        prost::Message::encoded_len(self) + HEADER_BYTES
    }
}

/// Bytes of an IPv4 and a UDP header.
const HEADER_BYTES: usize = 28;

/// An endpoint that refuses work for some time: its stage is changing, or it loses KV caches.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AvoidedEndpoint {
    /// Hash of the endpoint's instance and start.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// For how much longer, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub left: u32,
}

/// A call was running at an endpoint when it crashed.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct CrashReport {
    /// Hash of the endpoint's instance and start.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// The call's digest.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// How long it had been there, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub ran: u32,
}

/// A call that is not sent to endpoints.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuarantinedCall {
    /// Its digest.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// For how much longer, in seconds.
    #[prost(uint32, tag = "2")]
    pub left: u32,
}

/// What an endpoint has said of the calls that it takes.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct CallLimitReport {
    /// Hash of the endpoint's instance and start.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Calls a second from all daemons; none when it takes as many as come.
    #[prost(double, optional, tag = "2")]
    pub rate: Option<f64>,
    /// How long ago it said so, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub ago: u32,
}

/// A word about calls to an endpoint with a limit, between a daemon and the one that gives out permits.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Permit {
    /// Hash of the endpoint's instance and start.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// What the word is.
    #[prost(enumeration = "PermitKind", tag = "2")]
    pub word: i32,
    /// Milliseconds: how long the sender bears to wait, or how long the receiver will.
    #[prost(uint32, tag = "3")]
    pub wait: u32,
}

/// What is said of a permit.
#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
pub enum PermitKind {
    /// Unknown.
    Unspecified = 0,
    /// The sender asks for one.
    Ask = 1,
    /// How long the receiver waits for one. If that is longer than it bears, it doesn't get it.
    Wait = 2,
    /// The receiver may send one call.
    Grant = 3,
}

/// What a daemon has at one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EndpointLoad {
    /// Hash of the endpoint's instance and start.
    pub endpoint: u32,
    /// Tokens: to be read at a prefill endpoint, in memory at a decode endpoint.
    pub tokens: u32,
    /// Calls in progress.
    pub calls: u32,
    /// Those of the tokens that are still to be generated.
    pub tokens_left: u32,
}

/// A draft that waits for room.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct WaitingCompletion {
    /// Hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Milliseconds until its first token is due; negative when it is late.
    #[prost(sint32, tag = "2")]
    pub due: i32,
}

/// How fast drafts of a service were generated: tokens, and the seconds that they took. Both count
/// newer drafts more, so they also say how much the sender's word weighs.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ServiceGenerationStats {
    /// Hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Tokens.
    #[prost(float, tag = "2")]
    pub tokens: f32,
    /// Seconds.
    #[prost(float, tag = "3")]
    pub seconds: f32,
    /// Squares of the estimates that could be compared with what was generated.
    #[prost(float, tag = "4")]
    pub squares: f32,
    /// Squares of what these were wrong by.
    #[prost(float, tag = "5")]
    pub errors: f32,
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
