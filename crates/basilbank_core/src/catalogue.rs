//! What the operators' catalogue says, compiled. Plain data; `basilbank_config` parses and checks it.

use std::time::Duration;

use crate::ids::{ClassId, DataCentreId, EndpointId, EntryId, ModelId, ServiceId, TeamId};

/// SHA-256 of a caller's bearer key.
pub type KeyHash = [u8; 32];

/// One revision of the catalogue. Vectors are sorted by name.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Catalogue {
    /// The platform's revision; it only rises.
    pub revision: u64,
    /// Who is charged.
    pub teams: Vec<Team>,
    /// What is promised.
    pub classes: Vec<Class>,
    /// What endpoints serve.
    pub models: Vec<ModelSpec>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Which team may use what, and how much.
    pub entries: Vec<Entry>,
    /// Where work runs.
    pub endpoints: Vec<Endpoint>,
    /// Bytes a second that the weight store gives to all endpoints together; 0 when not limited.
    pub weight_rate: u64,
}

/// A team: it owns entries, and its callers' use is charged to it.
#[derive(Clone, PartialEq, Debug)]
pub struct Team {
    /// Hash of the name.
    pub id: TeamId,
    /// The name.
    pub name: String,
    /// Hashes of the bearer keys that its callers present.
    pub keys: Vec<KeyHash>,
}

/// A class of service.
#[derive(Clone, PartialEq, Debug)]
pub struct Class {
    /// Hash of the name.
    pub id: ClassId,
    /// The name.
    pub name: String,
    /// Target for the time to the first token, or to a plain call's whole answer.
    pub ttft: Duration,
    /// Target for the time between tokens.
    pub tbt: Duration,
    /// How long a request may wait for capacity beyond its target before it is refused; zero for a
    /// class that is refused at once when its target can't be met.
    pub max_wait: Duration,
    /// Higher goes first at the engines.
    pub priority: u8,
}

/// A model as the operators want it served.
#[derive(Clone, PartialEq, Debug)]
pub struct ModelSpec {
    /// Hash of the name.
    pub id: ModelId,
    /// The name.
    pub name: String,
    /// The version that endpoints shall serve.
    pub version: String,
    /// The adapter that endpoints shall have loaded; empty for none.
    pub adapter: String,
    /// Size of the weights in bytes, for the weight store's rate.
    pub weight_bytes: u64,
    /// KV cache bytes of one token.
    pub token_bytes: u64,
    /// Tokens of one block of the prefix cache.
    pub block_tokens: u32,
}

/// A plain service.
#[derive(Clone, PartialEq, Debug)]
pub struct Service {
    /// Hash of the name.
    pub id: ServiceId,
    /// The name.
    pub name: String,
    /// Callers' paths that start with this go to the service, for example `/desk/`.
    pub path_prefix: String,
    /// Methods whose calls may be repeated, in upper case.
    pub repeatable_methods: Vec<String>,
}

/// One entry: a team may use a model or a service, within limits, under a class's promise.
#[derive(Clone, PartialEq, Debug)]
pub struct Entry {
    /// Hash of the name.
    pub id: EntryId,
    /// The name; for a model's entry it is what callers put into the `model` field.
    pub name: String,
    /// Who owns it and is charged.
    pub team: TeamId,
    /// What is promised.
    pub class: ClassId,
    /// What it gives access to.
    pub target: EntryTarget,
    /// The owner's limits here.
    pub limits: Limits,
}

/// What an entry gives access to.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum EntryTarget {
    /// Drafts by a model.
    Model(ModelId),
    /// Calls to a plain service.
    Service(ServiceId),
}

/// An entry's limits over the whole fleet. Zero means not limited, but for `owed`.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Limits {
    /// Requests a second.
    pub requests: f64,
    /// Prompt and generated tokens a second.
    pub tokens: f64,
    /// Requests in progress.
    pub concurrent: u32,
    /// Share of the target's capacity that is owed, 0 to 1.
    pub owed: f64,
}

/// What an endpoint does.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Role {
    /// Turns prompts into KV cache.
    Prefill,
    /// Turns KV cache into tokens.
    Decode,
    /// Answers plain calls.
    Plain,
}

/// One endpoint.
#[derive(Clone, PartialEq, Debug)]
pub struct Endpoint {
    /// Hash of the name.
    pub id: EndpointId,
    /// The name.
    pub name: String,
    /// `ip:port`.
    pub address: String,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// What it does.
    pub role: Role,
    /// What it serves.
    pub serves: EntryTarget,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Prompt tokens a second; prefill only.
    pub prefill_rate: f64,
    /// Bytes a second on its link.
    pub link_rate: u64,
    /// It refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// It takes orders to load a model or to change role.
    pub accepts_orders: bool,
    /// The operators are taking it away: no new work.
    pub leaving: bool,
}
