//! What an endpoint has served.

use std::time::{Duration, Instant};

use super::http::Request;

/// What an endpoint has served.
#[derive(Clone, Debug, Default)]
pub struct Served {
    /// The version of the endpoint's software.
    pub version: &'static str,
    /// KV caches that it took.
    pub taken: Vec<TakenCache>,
    /// Calls that it ran, in order.
    pub ran: Vec<Request>,
    /// Prompts that it read for a later decode.
    pub prefills: u32,
    /// Slots that it held.
    pub holds: u32,
    /// Bodies of the orders that it got.
    pub orders: Vec<serde_json::Value>,
    /// Streams whose caller closed the connection before their end.
    pub abandoned: u32,
    /// Streams that it is sending.
    pub active: u32,
    /// Slots that were given back.
    pub dropped: u32,
    /// KV caches that were freed.
    pub freed: u32,
    /// Second answers that it has written.
    pub seconds: usize,
    /// All requests that reached it.
    pub arrived: Vec<Arrival>,
    /// When an answer first said that it leaves.
    pub said_leaving: Option<Instant>,
    /// Requests that it turned away and asked for a pause.
    pub asked_pauses: Vec<PauseRequest>,
    /// Calls that it ran while its answers said that it leaves: when, and the call's id.
    pub ran_leaving: Vec<(Instant, String)>,
    /// When a call crashed it, and the call's id.
    pub crashed: Option<(Instant, String)>,
    /// Calls that it ran while it named a limit: when, the limit, and the call's id.
    pub limited: Vec<(Instant, f64, String)>,
}

/// A KV cache that an endpoint took from the one that had read the prompt.
#[derive(Clone, Debug)]
pub struct TakenCache {
    /// The call's id.
    pub id: String,
    /// The version of the software that read the prompt.
    pub read_by: &'static str,
}

/// A request that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// The method and the path.
    pub line: String,
    /// The call's id; empty for requests of the daemon's own.
    pub id: String,
}

/// A request that an endpoint turned away and asked for a pause.
#[derive(Clone, Debug)]
pub struct PauseRequest {
    /// When.
    pub at: Instant,
    /// How long the endpoint wants nothing.
    pub pause: Duration,
    /// The call's id; empty for requests of the daemon's own.
    pub id: String,
}
