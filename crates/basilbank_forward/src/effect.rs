//! Effects that the reducer asks the I/O layer to carry out.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use basilbank_wire::LoadGossip;

use crate::{
    call::RequestId,
    endpoint::{EndpointKey, SoftwareVersion, Stage},
    log_line::LogLine,
    rank::Rank,
    reason::Refusal,
};

/// An output of the reducer.
#[derive(Clone, PartialEq, Debug)]
pub enum Effect {
    /// Send an attempt to an endpoint.
    Start {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt to send.
        attempt: Attempt,
    },
    /// Cancel an attempt whose answer is no longer needed.
    Stop {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
    },
    /// Pass the answer of this attempt, which the I/O layer keeps, on to the caller.
    Deliver {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
    },
    /// Drop the request's body: no further attempt will send it.
    DropBody(RequestId),
    /// Answer the caller immediately with a refusal or failure of the router itself.
    Refuse {
        /// The request to answer.
        request: RequestId,
        /// The reason.
        refusal: Refusal,
        /// Time after which another try may succeed.
        retry_after: Option<Duration>,
    },
    /// End a stream that has begun and can't be finished, in a way that the caller can't mistake
    /// for a complete stream.
    AbortStream {
        /// The request whose stream is aborted.
        request: RequestId,
        /// The reason.
        refusal: Refusal,
    },
    /// Free a KV cache that no attempt will use.
    FreeKv {
        /// The endpoint that keeps the KV cache.
        target: Target,
        /// The endpoint's name for the KV cache.
        handle: String,
    },
    /// Release a held slot.
    ReleaseHold {
        /// The endpoint that holds the slot.
        target: Target,
        /// The endpoint's name for the hold.
        hold: String,
    },
    /// Probe whether an endpoint answers; the result arrives as `Event::Probed`, or as
    /// `Event::ProbedByPeer` if a peer makes the call.
    Probe(Target),
    /// Read the changes of the list of endpoints after a revision, whether this daemon knows them or
    /// not; the result arrives as `Event::HistoryRead`.
    ReadHistory {
        /// The revision.
        after: u64,
    },
    /// Read the changes of the list of endpoints that this daemon doesn't know yet, without waiting for
    /// one; the result arrives as `Event::ListConfirmed`.
    ConfirmList {
        /// The revision up to which the list is known.
        after: u64,
        /// The time now, which the event states.
        asked_at: Duration,
    },
    /// Order an endpoint to change its stage.
    Order {
        /// The endpoint.
        target: Target,
        /// The new stage.
        stage: Stage,
        /// The order's fencing number.
        fence: u64,
    },
    /// Send a datagram to peers.
    SendGossip {
        /// The peers' addresses.
        to: Vec<SocketAddr>,
        /// The datagram's content.
        gossip: Box<LoadGossip>,
    },
    /// An endpoint was removed: close its connections once they are idle.
    CloseConnections(EndpointKey),
    /// An endpoint became unreachable: send no more calls over its idle connections. Those that
    /// live on may prove that its process does.
    DoubtConnections(EndpointKey),
    /// Write a log line and update the metrics that it names.
    Log(LogLine),
}

/// The address and identity of an endpoint, as needed to send it a call.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Target {
    /// The endpoint's key.
    pub endpoint: EndpointKey,
    /// The id of the endpoint's instance.
    pub instance: String,
    /// The address that the endpoint listens on.
    pub addr: SocketAddr,
    /// The version of the endpoint's software, as this daemon knows it.
    pub software: SoftwareVersion,
    /// The peer that makes the call for this daemon; `None` if this daemon makes it itself.
    pub via: Option<SocketAddr>,
}

/// One try of a request at an endpoint.
#[derive(Clone, PartialEq, Debug)]
pub struct Attempt {
    /// The attempt's number within the request, starting at 0.
    pub number: u32,
    /// The endpoint that the attempt is sent to.
    pub target: Target,
    /// The operation that the endpoint carries out.
    pub op: Op,
    /// Name of the calling team, sent to the endpoint.
    pub team: Option<Arc<str>>,
    /// Rank among the calls that compete for the endpoint, if they differ.
    pub rank: Option<Rank>,
    /// Time until the caller stops waiting; the endpoint aborts its work then.
    pub remaining: Duration,
    /// Time to wait for an answer, or for a stream's first bytes, before the endpoint is probed. If
    /// the probe is answered, the wait continues.
    pub answer_timeout: Duration,
    /// A stream without data for this long counts as broken, unless its endpoint answers a probe.
    /// `None` if the stream can't be resumed elsewhere, so that a stall is no reason to end it.
    pub stall_timeout: Option<Duration>,
}

/// An operation at an endpoint.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Op {
    /// Run the call and return a complete answer.
    Plain,
    /// Run the call and return a stream. For a completion the endpoint also reads the prompt.
    Stream {
        /// The slot that is held for the call.
        hold: Option<String>,
    },
    /// Hold a slot and memory ahead of a call.
    Hold {
        /// Tokens of memory to hold.
        tokens: u32,
        /// Time until the hold expires.
        ttl: Duration,
    },
    /// Read the prompt and keep its KV cache.
    Prefill,
    /// Fetch a KV cache and stream the completion.
    Decode {
        /// The endpoint that keeps the KV cache.
        source: SocketAddr,
        /// The name of the KV cache at `source`.
        handle: String,
        /// The slot that is held for the call.
        hold: Option<String>,
    },
}

impl Op {
    /// Returns the stable name for logs and metric labels.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Op::Plain => "plain",
            Op::Stream { .. } => "stream",
            Op::Hold { .. } => "hold",
            Op::Prefill => "prefill",
            Op::Decode { .. } => "decode",
        }
    }
}
