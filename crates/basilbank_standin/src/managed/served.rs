//! What an endpoint has served.

use std::time::{Duration, Instant};

use super::http::Request;

/// What an endpoint has served.
#[derive(Clone, Debug, Default)]
pub struct Served {
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
    /// All requests that reached it: when, and the method and the path.
    pub arrived: Vec<(Instant, String)>,
    /// When an answer first said that it leaves.
    pub said_leaving: Option<Instant>,
    /// When it turned a request away and asked for a pause, and for how long.
    pub asked_pauses: Vec<(Instant, Duration)>,
    /// When a call crashed it, and the call's id.
    pub crashed: Option<(Instant, String)>,
    /// Calls that it ran while it named a limit: when, the limit, and the call's id.
    pub limited: Vec<(Instant, f64, String)>,
}
