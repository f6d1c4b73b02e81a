//! All that can happen to the router of forwarded calls.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use basilbank_wire::LoadBeat;

use crate::{
    call::{Call, RequestId},
    endpoint::{EndpointInfo, EndpointKey},
    route::RouteTable,
    state::OrderRight,
    topic::{Revision, Revisions, Topic},
};

/// One event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time went on. The shell sends it when `State::wake_at` is reached.
    Tick,
    /// A call came in, whole.
    Arrived(Box<Call>),
    /// The caller left, or its answer has been written to its end.
    CallerLeft(RequestId),
    /// An attempt came to something. An attempt that streams gives two: its start and its end.
    AttemptOutcome {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
        /// What came.
        outcome: Outcome,
    },
    /// The configuration was read.
    RoutesRead {
        /// Where.
        revisions: Revisions,
        /// It, unless it has not changed.
        table: Option<Arc<RouteTable>>,
    },
    /// The store has answered a question about the configuration: the one in force was the newest then.
    RoutesConfirmed {
        /// When the question went out.
        asked_at: Duration,
    },
    /// The whole list of endpoints was read.
    EndpointsRead {
        /// Where.
        revisions: Revisions,
        /// All that are listed.
        list: Vec<EndpointInfo>,
    },
    /// Changes of the list were read.
    EndpointsChanged {
        /// Where.
        revisions: Revisions,
        /// New or changed entries.
        updated: Vec<EndpointInfo>,
        /// Instances that are no longer listed.
        removed: Vec<String>,
    },
    /// The list of endpoints could not be read.
    StoreLost,
    /// The store has no change of a topic with this revision, though a peer has told of it.
    RevisionNotFound {
        /// The topic.
        topic: Topic,
        /// The revision.
        revision: Revision,
    },
    /// An endpoint was asked whether it lives.
    Probed {
        /// The endpoint.
        endpoint: EndpointKey,
        /// What came of it.
        liveness: Liveness,
    },
    /// An answer says how many calls a second its endpoint takes from all daemons together.
    CallLimit {
        /// The endpoint.
        endpoint: EndpointKey,
        /// That many; `None` when it takes as many as come.
        rate: Option<f64>,
    },
    /// An order to an endpoint was answered.
    OrderAnswered {
        /// The endpoint.
        endpoint: EndpointKey,
        /// It was accepted.
        acceptance: Acceptance,
    },
    /// A peer's datagram.
    Gossip {
        /// Where it came from.
        from: SocketAddr,
        /// What it says.
        gossip: Box<LoadBeat>,
    },
    /// The settings say whether this daemon orders endpoints.
    OrderRight(OrderRight),
    /// SIGTERM.
    Shutdown {
        /// Time until what is still in progress is cut.
        grace: Duration,
    },
}

impl Event {
    /// A datagram of a peer.
    #[must_use]
    pub fn gossip(from: SocketAddr, gossip: LoadBeat) -> Event {
        Event::Gossip { from, gossip: Box::new(gossip) }
    }
}

/// Whether an endpoint answered when it was asked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Liveness {
    /// It answered, whatever it said.
    Alive,
    /// No connection, or no answer in time.
    Unreachable,
}

/// How an endpoint answered an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Acceptance {
    /// It is carried out, or already holds.
    Accepted,
    /// It was refused.
    Refused,
    /// No answer: it may have been accepted.
    Unknown,
}

/// What an attempt came to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// The endpoint holds a slot ahead of the call.
    Held {
        /// The hold's name there.
        hold: String,
    },
    /// The prompt was read, and its KV cache waits.
    Prefilled {
        /// The KV cache's name there.
        handle: String,
        /// Prompt tokens.
        tokens: u32,
    },
    /// A whole answer; the shell holds it.
    Answered {
        /// The HTTP status.
        status: u16,
    },
    /// A stream began; its events wait at the shell.
    Streaming,
    /// A stream ended whole.
    Finished,
    /// The endpoint did not run it.
    NotRun(NotRun),
    /// No connection could be made: nothing was sent.
    Unreachable,
    /// The connection broke after something was sent, or the answer was damaged.
    Broken(Damage),
    /// No answer within the limit.
    Silent,
}

impl Outcome {
    /// The stable name, for logs and metric labels.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Outcome::Held { .. } => "held",
            Outcome::Prefilled { .. } => "prefilled",
            Outcome::Answered { .. } => "answered",
            Outcome::Streaming => "streaming",
            Outcome::Finished => "finished",
            Outcome::NotRun(NotRun::Busy { .. }) => "busy",
            Outcome::NotRun(NotRun::WrongInstance) => "wrong_instance",
            Outcome::NotRun(NotRun::Other { .. }) => "not_run",
            Outcome::Unreachable => "unreachable",
            Outcome::Broken(_) => "broken",
            Outcome::Silent => "silent",
        }
    }
}

/// What was wrong with an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Damage {
    /// The connection ended before the answer's head.
    Closed,
    /// What came is no HTTP.
    Garbled,
    /// It carries another call's id, or lacks what marks an endpoint's answer.
    Foreign,
    /// It broke off before its end, or fell silent.
    CutOff,
}

impl Damage {
    /// The stable name, for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Damage::Closed => "closed",
            Damage::Garbled => "garbled",
            Damage::Foreign => "foreign",
            Damage::CutOff => "cut_off",
        }
    }
}

/// Why an endpoint did not run a call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NotRun {
    /// It is full, leaving, or lacks the KV cache: it doesn't say which.
    Busy {
        /// When it says that another try may succeed.
        retry_after: Option<Duration>,
    },
    /// Another instance has the address, or it has another stage by now.
    WrongInstance,
    /// Another refusal.
    Other {
        /// The HTTP status.
        status: u16,
    },
}
