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
    pub start_time: Option<u64>,
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

/// What an entry says of a known start of its instance.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StartOrder {
    /// It is of this start.
    Same,
    /// It is of a start before it.
    Earlier,
    /// It is of a later start.
    Later,
    /// It is of another start, and does not show which came first.
    Different,
}

impl EndpointInfo {
    /// What the entry `told` says of this start.
    ///
    /// A start has one service for its whole life, and says its time in all its entries or in none. So
    /// an entry that begins to say it is another start's: taking it for the same one would keep holds
    /// that may be another's by now, while the reverse mistake costs some prompts, once. An entry that
    /// leaves it out says nothing about the start: it is the known one, unless the address differs.
    #[must_use]
    pub fn compare_start(&self, record: &EndpointInfo) -> StartOrder {
        match (self.start_time, record.start_time) {
            (Some(known), Some(stated)) if stated < known => StartOrder::Earlier,
            (Some(known), Some(stated)) if known < stated => StartOrder::Later,
            (None, Some(_)) => StartOrder::Different,
            (Some(_), None) if self.addr != record.addr => StartOrder::Different,
            _ if self.service != record.service => StartOrder::Different,
            _ => StartOrder::Same,
        }
    }
}
