//! Endpoints as they are discovered. An endpoint is one start of a server, never an address.

use std::net::SocketAddr;

slotmap::new_key_type! {
    /// One endpoint. Dead keys stay dead: an address that is used again belongs to another key.
    pub struct EndpointKey;
}

/// What an endpoint does for drafts.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Stage {
    /// It reads prompts.
    Prefill,
    /// It generates tokens.
    Decode,
}

impl Stage {
    /// The stable name, for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Prefill => "prefill",
            Stage::Decode => "decode",
        }
    }
}

/// One entry of the list of endpoints.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EndpointInfo {
    /// The instance's id. It may start again under it.
    pub instance: String,
    /// Its start, milliseconds since the Unix epoch, if it says so.
    pub born: Option<u64>,
    /// The service that it serves.
    pub service: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It is leaving: no new work.
    pub draining: bool,
    /// Its stage; `None` for plain services.
    pub stage: Option<Stage>,
}
