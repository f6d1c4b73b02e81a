//! The gossip datagram by which daemons that forward calls share their load at endpoints.

use crate::direct::{
    ConfigurationAge, OriginQuery, QuotaState, QuotaUse, RefusedCall, ReturnAnswer, ReturnQuery,
    StreamOrigin,
};

/// The load that one daemon has at endpoints, and some of the peers that it knows.
///
/// Each datagram carries the whole load, so that the next datagram makes up for a lost one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadGossip {
    /// The sender's incarnation: the start time of its process, in milliseconds since the Unix
    /// epoch.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Increases with each datagram of one incarnation; receivers drop older datagrams. Datagrams
    /// that carry only direct messages have no sequence number.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Whether the sender is shutting down. It then takes no new work, and stops being a peer once
    /// it has no calls at endpoints.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Endpoints at which the sender has calls, as hashes of instance and incarnation, so that load
    /// at a former incarnation isn't counted at the new one. `tokens`, `calls` and `left` hold the
    /// load at the same indices: parallel lists take seven bytes for an endpoint instead of
    /// eighteen.
    #[prost(fixed32, repeated, tag = "8")]
    pub endpoints: Vec<u32>,
    /// Tokens of the sender's calls at each of `endpoints`.
    #[prost(uint32, repeated, tag = "9")]
    pub tokens: Vec<u32>,
    /// Number of the sender's calls at each of `endpoints`.
    #[prost(uint32, repeated, tag = "10")]
    pub calls: Vec<u32>,
    /// Number of tokens at each of `endpoints` that are still to be generated.
    #[prost(uint32, repeated, tag = "13")]
    pub left: Vec<u32>,
    /// Generation speed of the sender's completions, by service.
    #[prost(message, repeated, tag = "14")]
    pub paces: Vec<ServiceGenerationStats>,
    /// The first completion of each service that waits for capacity.
    #[prost(message, repeated, tag = "15")]
    pub waiting: Vec<WaitingCompletion>,
    /// Some of the peers that the sender knows.
    #[prost(message, repeated, tag = "5")]
    pub peers: Vec<PeerAddress>,
    /// Endpoints that the sender knows to refuse work.
    #[prost(message, repeated, tag = "6")]
    pub shunned: Vec<AvoidedEndpoint>,
    /// The store's revision at which the sender knows the latest change of an endpoint record,
    /// heartbeats excepted; none when an earlier datagram reported it. Tags 7, 11 and 12 were
    /// revisions without an era and are not reused.
    #[prost(message, optional, tag = "16")]
    pub endpoints_news: Option<StoreRevision>,
    /// The store's revision at which the sender knows the latest change of the configuration; none
    /// when an earlier datagram reported it.
    #[prost(message, optional, tag = "17")]
    pub routes_news: Option<StoreRevision>,
    /// The version of the configuration that the sender has in force; 0 when an earlier datagram
    /// reported it.
    #[prost(uint64, tag = "18")]
    pub version: u64,
    /// Whether the sender watches the store for other daemons and the store answers it.
    #[prost(bool, tag = "19")]
    pub watching: bool,
    /// Calls that were running at endpoints when these crashed, as the sender has recently seen.
    #[prost(message, repeated, tag = "20")]
    pub crashes: Vec<CrashReport>,
    /// Digests of calls that were in such reports but have recently run to completion.
    #[prost(fixed64, repeated, tag = "21")]
    pub cleared: Vec<u64>,
    /// Parts of prompts that were in such reports but on which an answer has recently been written.
    #[prost(fixed64, repeated, tag = "33")]
    pub cleared_parts: Vec<u64>,
    /// Calls and parts of prompts that are in quarantine.
    #[prost(message, repeated, tag = "22")]
    pub quarantined: Vec<QuarantinedCall>,
    /// Call limits that endpoints have recently stated to the sender.
    #[prost(message, repeated, tag = "23")]
    pub limits: Vec<CallLimitReport>,
    /// Direct messages about permits for single calls to endpoints with a call limit. A datagram
    /// with direct messages has no sequence number and carries nothing else.
    #[prost(message, repeated, tag = "24")]
    pub permits: Vec<Permit>,
    /// Direct messages: questions and answers about the age of the configuration.
    #[prost(message, repeated, tag = "25")]
    pub ages: Vec<ConfigurationAge>,
    /// Direct messages: what the sender's callers have taken of quotas.
    #[prost(message, repeated, tag = "26")]
    pub quota_uses: Vec<QuotaUse>,
    /// Direct messages: the state of quotas that the sender owns.
    #[prost(message, repeated, tag = "27")]
    pub quota_states: Vec<QuotaState>,
    /// Maximum number of daemons that the sender has known at once, less those that have left; 0 if it
    /// can't tell, and between heartbeats.
    #[prost(uint32, tag = "28")]
    pub fleet: u32,
    /// The same with those that have left; 0 if the count doesn't go back to the first start of the
    /// whole system, and between heartbeats.
    #[prost(uint32, tag = "47")]
    pub fleet_peak: u32,
    /// Hashes of the names of services most of whose endpoints the sender can't reach, so that it
    /// can't call them for others.
    #[prost(fixed32, repeated, tag = "29")]
    pub unreached: Vec<u32>,
    /// Direct messages: versions that began streams, for the daemons that keep them.
    #[prost(message, repeated, tag = "30")]
    pub origins: Vec<StreamOrigin>,
    /// Direct messages: questions for versions that began streams.
    #[prost(message, repeated, tag = "31")]
    pub origin_queries: Vec<OriginQuery>,
    /// Direct messages: answers to these questions.
    #[prost(message, repeated, tag = "32")]
    pub origin_answers: Vec<StreamOrigin>,
    /// The sender's demand at services where completions wait, grouped by service.
    #[prost(message, repeated, tag = "34")]
    pub demand: Vec<DemandReport>,
    /// Direct messages: refused calls, for the daemons that recognize their return.
    #[prost(message, repeated, tag = "35")]
    pub refused_calls: Vec<RefusedCall>,
    /// Direct messages: questions whether calls return as they were told.
    #[prost(message, repeated, tag = "36")]
    pub return_queries: Vec<ReturnQuery>,
    /// Direct messages: answers to these questions.
    #[prost(message, repeated, tag = "37")]
    pub return_answers: Vec<ReturnAnswer>,
    /// Hash of the name of the sender's data centre; 0 when it is unknown, or when an earlier
    /// datagram reported it.
    #[prost(fixed32, tag = "41")]
    pub data_centre: u32,
    /// Number of times that the datagram is still to be passed on, to the peers of the receiver's
    /// data centre.
    #[prost(uint32, tag = "42")]
    pub hops: u32,
    /// The peer that composed the datagram, if the sender only passes it on.
    #[prost(message, optional, tag = "43")]
    pub origin: Option<PeerAddress>,
    /// Whether the sender's settings give it the right to order endpoints.
    #[prost(enumeration = "OrderClaim", tag = "44")]
    pub order_claim: i32,
    /// The daemon that goes first of several from which the sender has heard such claims. One of them may
    /// not hear the other.
    #[prost(message, optional, tag = "48")]
    pub order_rival: Option<PeerAddress>,
    /// What waits at the sender for the endpoints of one version while their service has several.
    #[prost(message, repeated, tag = "46")]
    pub bound: Vec<WaitingForVersion>,
}

/// Whether a daemon claims the right to order endpoints. The values are part of the wire format.
#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
pub enum OrderClaim {
    /// It doesn't.
    None = 0,
    /// It does, and orders endpoints.
    Held = 1,
    /// It does, but leaves the right to another daemon that claims it as well.
    Yielded = 2,
}

/// A point in the history of the platform's store.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct StoreRevision {
    /// Number of times that the store has been restored from a copy. A restored store gives out the
    /// numbers since the copy a second time.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// The store's change counter.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

impl LoadGossip {
    /// Adds the sender's load at endpoints.
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

    /// Returns the sender's load at endpoints.
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

    /// Returns the number of bytes on the wire, including the IPv4 and UDP headers.
    #[must_use]
    pub fn wire_bytes(&self) -> usize {
        prost::Message::encoded_len(self) + HEADER_BYTES
    }
}

/// Size of an IPv4 header and a UDP header.
pub const HEADER_BYTES: usize = 28;

/// An endpoint that refuses work for some time, because its stage is changing or it loses KV
/// caches.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AvoidedEndpoint {
    /// Hash of the endpoint's instance and incarnation.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Milliseconds for which it continues to refuse work.
    #[prost(uint32, tag = "2")]
    pub left: u32,
}

/// Reports that a call was running at an endpoint when the endpoint crashed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashReport {
    /// Hash of the endpoint's instance and incarnation.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// The call's digest.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Milliseconds for which the call had been running there.
    #[prost(uint32, tag = "3")]
    pub ran: u32,
    /// Ids of the parts of its prompt, in order; none if it had been writing its answer for some time,
    /// which shows that they are not the cause.
    #[prost(fixed64, repeated, tag = "4")]
    pub parts: Vec<u64>,
    /// Number of parts of its prompt before these. They are reported in others, or in those of other
    /// calls at the same endpoint.
    #[prost(uint32, tag = "5")]
    pub before: u32,
    /// Number of parts behind these.
    #[prost(uint32, tag = "6")]
    pub behind: u32,
}

/// A call that is not sent to endpoints, or a part of prompts whose calls are not.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuarantinedCall {
    /// The call's digest, or the part's id.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// Seconds for which the call stays in quarantine.
    #[prost(uint32, tag = "2")]
    pub left: u32,
    /// Whether `digest` is the id of a part.
    #[prost(bool, tag = "3")]
    pub is_part: bool,
    /// Milliseconds since a daemon found it to be the cause of crashes.
    #[prost(uint32, tag = "4")]
    pub ago: u32,
}

/// The limit that an endpoint has stated for the calls that it takes.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct CallLimitReport {
    /// Hash of the endpoint's instance and incarnation.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Calls per second from all daemons together; none when the endpoint has no limit.
    #[prost(double, optional, tag = "2")]
    pub rate: Option<f64>,
    /// Milliseconds since the endpoint stated it.
    #[prost(uint32, tag = "3")]
    pub ago: u32,
}

/// A message about calls to an endpoint with a call limit, between a daemon and the permit issuer.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Permit {
    /// Hash of the endpoint's instance and incarnation.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// The kind of message.
    #[prost(enumeration = "PermitKind", tag = "2")]
    pub word: i32,
    /// Milliseconds. In a request: the maximum time that the sender waits for a permit. In an
    /// answer: the time that the receiver has to wait.
    #[prost(uint32, tag = "3")]
    pub wait: u32,
}

/// The kind of a [`Permit`] message.
#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
pub enum PermitKind {
    /// Unknown.
    Unspecified = 0,
    /// The sender requests a permit.
    Ask = 1,
    /// The time that the receiver waits for a permit. If it exceeds the receiver's maximum wait,
    /// the receiver doesn't get one.
    Wait = 2,
    /// The receiver may send one call.
    Grant = 3,
}

/// The load that one daemon has at one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EndpointLoad {
    /// Hash of the endpoint's instance and incarnation.
    pub endpoint: u32,
    /// Tokens: those to be read at a prefill endpoint, those in memory at a decode endpoint.
    pub tokens: u32,
    /// Calls in progress.
    pub calls: u32,
    /// Number of the tokens that are still to be generated.
    pub tokens_left: u32,
}

/// A completion that waits for capacity.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct WaitingCompletion {
    /// Hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Milliseconds until its first token is due; negative when it is late.
    #[prost(sint32, tag = "2")]
    pub due: i32,
    /// Its rank; none where all completions are equally urgent.
    #[prost(uint32, optional, tag = "3")]
    pub rank: Option<u32>,
    /// The id of its team; none where no key is needed.
    #[prost(fixed64, optional, tag = "4")]
    pub team: Option<u64>,
    /// Whether it can't be on time.
    #[prost(bool, tag = "5")]
    pub late: bool,
}

/// Completions that wait for capacity and have to go on at one version of the endpoints' software.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct WaitingForVersion {
    /// Hash of service and version.
    #[prost(fixed32, tag = "1")]
    pub version: u32,
    /// Milliseconds until the first token of the first one is due; negative when it is late.
    #[prost(sint32, tag = "2")]
    pub due: i32,
    /// Number of completions.
    #[prost(uint32, tag = "3")]
    pub calls: u32,
    /// Tokens that they need.
    #[prost(uint32, tag = "4")]
    pub tokens: u32,
}

/// What the completions of one rank and team at a service need and use, as far as the sender has
/// them.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct DemandReport {
    /// Hash of the service's name; 0 if it is that of the row before.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Their rank; none where all completions are equally urgent.
    #[prost(uint32, optional, tag = "2")]
    pub rank: Option<u32>,
    /// The id of their team; none where no key is needed, 0 if the row sums up several teams.
    #[prost(fixed64, optional, tag = "3")]
    pub team: Option<u64>,
    /// Number of completions that wait for capacity.
    #[prost(uint32, tag = "4")]
    pub calls: u32,
    /// Number of these that can't be on time.
    #[prost(uint32, tag = "5")]
    pub late: u32,
    /// Tokens that the waiting ones need.
    #[prost(uint32, tag = "6")]
    pub tokens: u32,
    /// Tokens of those that have a slot at a decode endpoint.
    #[prost(uint32, tag = "7")]
    pub used: u32,
}

/// Generation speed of a service's completions, and the error of their estimated lengths.
///
/// All sums weight newer completions more, so their size also says how much weight the sender's
/// measurement has beside those of others.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ServiceGenerationStats {
    /// Hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Generated tokens, by the callers' estimates.
    #[prost(float, tag = "2")]
    pub tokens: f32,
    /// Seconds that their generation took.
    #[prost(float, tag = "3")]
    pub seconds: f32,
    /// Sum of the squared estimates that could be compared with the generated length.
    #[prost(float, tag = "4")]
    pub squares: f32,
    /// Sum of the squared errors of these estimates.
    #[prost(float, tag = "5")]
    pub errors: f32,
}

/// The address at which a daemon listens for its peers.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct PeerAddress {
    /// The IPv4 address.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// The UDP port.
    #[prost(uint32, tag = "2")]
    pub port: u32,
}
