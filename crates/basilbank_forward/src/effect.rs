//! All that the decisions ask of the shell.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use basilbank_wire::LoadBeat;

use crate::{
    call::RequestId,
    endpoint::{EndpointKey, Stage},
    log_line::LogLine,
    reason::Refusal,
};

/// One effect.
#[derive(Clone, PartialEq, Debug)]
pub enum Effect {
    /// Send a call to an endpoint.
    Start {
        /// The request.
        request: RequestId,
        /// What to send.
        attempt: Attempt,
    },
    /// Stop an attempt, whose answer is not wanted any more.
    Stop {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Pass on the answer that the shell holds for this attempt.
    Deliver {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Answer with a refusal or failure of the router's own, at once.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        refusal: Refusal,
        /// When another try may succeed.
        retry_after: Option<Duration>,
    },
    /// End a stream that has begun and can't be finished, so that it doesn't look complete.
    AbortStream {
        /// The request.
        request: RequestId,
        /// Why.
        refusal: Refusal,
    },
    /// Free a KV cache that nobody will take.
    FreeKv {
        /// The endpoint.
        target: Target,
        /// The KV cache's name.
        handle: String,
    },
    /// Give a held slot back.
    ReleaseHold {
        /// The endpoint.
        target: Target,
        /// The hold's name.
        hold: String,
    },
    /// Ask an endpoint whether it lives; `Event::Probed` is the answer.
    Probe(Target),
    /// Order an endpoint to change its stage.
    Order {
        /// The endpoint.
        target: Target,
        /// The stage that it shall have.
        stage: Stage,
        /// The fencing number.
        fence: u64,
    },
    /// Send a datagram to peers.
    SendGossip {
        /// To whom.
        to: Vec<SocketAddr>,
        /// What to say.
        gossip: Box<LoadBeat>,
    },
    /// An endpoint is gone: close what is kept open to it once it is idle.
    CloseConnections(EndpointKey),
    /// A line for the log, and a counter.
    Log(LogLine),
}

/// An endpoint, as calls need it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Target {
    /// Its key.
    pub endpoint: EndpointKey,
    /// Its instance.
    pub instance: String,
    /// Its address.
    pub addr: SocketAddr,
}

/// One call to an endpoint.
#[derive(Clone, PartialEq, Debug)]
pub struct Attempt {
    /// Its number within the request, from 0.
    pub number: u32,
    /// Where to.
    pub target: Target,
    /// What to do.
    pub op: Op,
    /// The team that calls, for the endpoint.
    pub team: Option<Arc<str>>,
    /// How long the caller still waits: the endpoint stops its work then.
    pub remaining: Duration,
    /// How long to wait for an answer, or for a stream's first bytes, before the endpoint is asked
    /// whether it lives. One that lives is waited for.
    pub answer_timeout: Duration,
    /// A stream that is silent for this long counts as broken off, unless its endpoint says that it
    /// lives; `None` when it can't go on
    /// elsewhere, and its silence is no reason to end it.
    pub stall_timeout: Option<Duration>,
}

/// What an endpoint shall do.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Op {
    /// Run the call and answer whole.
    Plain,
    /// Run the call and answer with a stream; a prompt is read there as well.
    Stream {
        /// The slot that is held for it.
        hold: Option<String>,
    },
    /// Hold a slot and memory ahead of a call.
    Hold {
        /// Tokens of memory.
        tokens: u32,
        /// For how long.
        ttl: Duration,
    },
    /// Read the prompt and keep its KV cache.
    Prefill,
    /// Take a KV cache and stream.
    Decode {
        /// The endpoint that keeps it.
        source: SocketAddr,
        /// The KV cache's name there.
        handle: String,
        /// The slot that is held for it.
        hold: Option<String>,
    },
}

impl Op {
    /// The stable name, for logs and metric labels.
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
