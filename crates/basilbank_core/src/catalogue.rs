//! The compiled form of the operators' catalogue. It is plain data; `basilbank_config` parses and
//! checks it.

use std::time::Duration;

use crate::ids::{ClassId, DataCentreId, EndpointId, EntryId, ModelId, ServiceId, TeamId};

/// SHA-256 of a caller's bearer key.
pub type KeyHash = [u8; 32];

/// One revision of the catalogue. Its vectors are sorted by name.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Catalogue {
    /// Revision of the catalogue on the platform; it only increases.
    pub revision: u64,
    /// Teams that are charged for use.
    pub teams: Vec<Team>,
    /// Classes of service with their latency targets.
    pub classes: Vec<Class>,
    /// Models that endpoints serve.
    pub models: Vec<ModelSpec>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Entries: which team may use what, and how much of it.
    pub entries: Vec<Entry>,
    /// Endpoints that run the work.
    pub endpoints: Vec<Endpoint>,
    /// Bytes per second that the weight store can send to all endpoints together; 0 if it is not
    /// limited.
    pub weight_rate: u64,
}

/// A team: it owns entries and is charged for what its callers use.
#[derive(Clone, PartialEq, Debug)]
pub struct Team {
    /// Hash of the name.
    pub id: TeamId,
    /// Name of the team.
    pub name: String,
    /// Hashes of the bearer keys that its callers present.
    pub keys: Vec<KeyHash>,
}

/// A class of service: latency targets, waiting time and priority.
#[derive(Clone, PartialEq, Debug)]
pub struct Class {
    /// Hash of the name.
    pub id: ClassId,
    /// Name of the class.
    pub name: String,
    /// Target for the time to the first token, or for the time to the whole answer of a plain call.
    pub ttft: Duration,
    /// Target for the time between tokens.
    pub tbt: Duration,
    /// Time that a request may wait for capacity beyond its target before it is refused. Zero for a
    /// class whose requests are refused at once when the target can't be met.
    pub max_wait: Duration,
    /// Priority at the engines; a higher number goes first.
    pub priority: u8,
}

/// A model as the operators want it served.
#[derive(Clone, PartialEq, Debug)]
pub struct ModelSpec {
    /// Hash of the name.
    pub id: ModelId,
    /// Name of the model.
    pub name: String,
    /// Version that endpoints must serve.
    pub version: String,
    /// Adapter that endpoints must have loaded; empty for none.
    pub adapter: String,
    /// Size of the weights in bytes, to compare with the weight store's rate.
    pub weight_bytes: u64,
    /// Bytes of KV cache per token.
    pub token_bytes: u64,
    /// Tokens per block of the prefix cache.
    pub block_tokens: u32,
}

/// A plain HTTP service.
#[derive(Clone, PartialEq, Debug)]
pub struct Service {
    /// Hash of the name.
    pub id: ServiceId,
    /// Name of the service.
    pub name: String,
    /// Prefix of the callers' paths that are routed to the service, for example `/desk/`.
    pub path_prefix: String,
    /// Methods whose calls may be repeated, in upper case.
    pub repeatable_methods: Vec<String>,
}

/// An entry: it lets a team use a model or a service within limits, under the targets of a class.
#[derive(Clone, PartialEq, Debug)]
pub struct Entry {
    /// Hash of the name.
    pub id: EntryId,
    /// Name of the entry; for a model's entry, callers send it in the `model` field.
    pub name: String,
    /// Team that owns the entry and is charged for its use.
    pub team: TeamId,
    /// Class whose targets apply.
    pub class: ClassId,
    /// Model or service that the entry gives access to.
    pub target: EntryTarget,
    /// Limits on the team's use of the entry.
    pub limits: Limits,
}

/// What an entry gives access to.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum EntryTarget {
    /// Completions by a model.
    Model(ModelId),
    /// Calls to a plain service.
    Service(ServiceId),
}

/// Limits of an entry over all daemons together. Zero means that there is no limit, except for
/// `owed`.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Limits {
    /// Requests per second.
    pub requests: f64,
    /// Prompt tokens and generated tokens per second.
    pub tokens: f64,
    /// Requests in progress.
    pub concurrent: u32,
    /// Fraction of the target's capacity that is guaranteed to the team, from 0 to 1.
    pub owed: f64,
}

/// The kind of work that an endpoint does.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Role {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens from a KV cache.
    Decode,
    /// Answers plain calls.
    Plain,
}

/// One endpoint.
#[derive(Clone, PartialEq, Debug)]
pub struct Endpoint {
    /// Hash of the name.
    pub id: EndpointId,
    /// Name of the endpoint.
    pub name: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Data centre that it is in.
    pub data_centre: DataCentreId,
    /// Kind of work that it does.
    pub role: Role,
    /// Model or service that it serves.
    pub serves: EntryTarget,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Prompt tokens per second; for prefill endpoints only.
    pub prefill_rate: f64,
    /// Bytes per second of its network link.
    pub link_rate: u64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it accepts orders to load a model or to change its role.
    pub accepts_orders: bool,
    /// Whether the operators are removing it; it then gets no new work.
    pub leaving: bool,
}
