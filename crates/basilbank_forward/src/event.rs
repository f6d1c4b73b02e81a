//! Events that the reducer for forwarded calls handles.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use basilbank_wire::LoadGossip;

use crate::{
    call::{Call, RequestId, SharedTraits},
    endpoint::{EndpointInfo, EndpointKey},
    gossip_bounds,
    route::RouteTable,
    state::{OrderRight, history::ListChange},
    topic::{Revision, Revisions, Topic},
};

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. The I/O layer sends this event when `State::wake_at` is reached.
    Tick,
    /// A call was received completely.
    Arrived(Box<Call>),
    /// The caller disconnected, or its answer was written completely.
    CallerLeft(RequestId),
    /// An attempt reported an outcome. A streaming attempt reports two: the start of the stream and
    /// its end.
    AttemptOutcome {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
        /// The outcome.
        outcome: Outcome,
    },
    /// An attempt's stream has brought its first event, which is about to be passed on.
    FirstEvent {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
    },
    /// An attempt's stream has brought events for some time, see
    /// [`WRITING_TIME`](crate::tuning::WRITING_TIME).
    WroteOn {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
    },
    /// An attempt's endpoint has sent nothing for some time and doesn't answer a liveness request
    /// either. The attempt goes on; while the silence lasts, the event comes again.
    AttemptSilent {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
        /// Time since the attempt was sent, or since its endpoint last sent something.
        silent_for: Duration,
    },
    /// The endpoint of a silent attempt has sent something again.
    AttemptResumed {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
    },
    /// The configuration was read from the store.
    RoutesRead {
        /// The store's revisions at the read.
        revisions: Revisions,
        /// The configuration, or `None` if it is unchanged.
        table: Option<Arc<RouteTable>>,
    },
    /// The store answered a query about the configuration: the one in force was the newest when the
    /// query was sent.
    RoutesConfirmed {
        /// When the query was sent.
        asked_at: Duration,
    },
    /// The whole list of endpoints was read from the store.
    EndpointsRead {
        /// The store's revisions at the read.
        revisions: Revisions,
        /// All listed endpoints.
        list: Vec<EndpointInfo>,
    },
    /// Endpoint records were read that a later change in the same answer replaces. They are never
    /// used here, but other daemons may have used them.
    RecordsReplaced(Vec<EndpointInfo>),
    /// Changes of the list of endpoints were read from the store.
    EndpointsChanged {
        /// The store's revisions at the read.
        revisions: Revisions,
        /// New or changed endpoint records.
        updated: Vec<EndpointInfo>,
        /// Instances that are no longer listed.
        removed: Vec<String>,
    },
    /// The configuration could not be read.
    RoutesReadFailed,
    /// The list of endpoints could not be read.
    EndpointsReadFailed,
    /// The store answered [`Effect::ReadHistory`](crate::effect::Effect::ReadHistory), or didn't.
    HistoryRead {
        /// The store's era, if the answer states it.
        era: Option<u64>,
        /// What it answered.
        answer: HistoryAnswer,
    },
    /// The store answered [`Effect::ConfirmList`](crate::effect::Effect::ConfirmList), or didn't.
    ListConfirmed {
        /// When the read was asked for.
        asked_at: Duration,
        /// The store's era, if the answer states it.
        era: Option<u64>,
        /// The changes; `None` if there was no valid answer, or the store no longer has them all.
        unread: Option<UnreadChanges>,
    },
    /// The store has no change of a topic with this revision, although a peer reported it.
    RevisionNotFound {
        /// The topic.
        topic: Topic,
        /// The revision that the peer reported.
        revision: Revision,
    },
    /// A probe of an endpoint ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Whether the endpoint answered the probe.
        liveness: Liveness,
    },
    /// A probe that a peer made for this daemon ended.
    ProbedByPeer {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The peer.
        peer: SocketAddr,
        /// Why there was no answer; `None` if the endpoint answered.
        failure: Option<NotProxied>,
    },
    /// This daemon begins to make a call for a peer.
    ProxiedCallStarted,
    /// A call that this daemon made for a peer ended.
    ProxiedCallEnded {
        /// The endpoint.
        endpoint: EndpointKey,
        /// What the call may share with others; `None` if the peer called for itself, such as for a
        /// probe.
        traits: Option<SharedTraits>,
        /// Whether the endpoint had been writing the answer for some time.
        wrote_on: bool,
        /// How long the call took.
        duration: Duration,
        /// How it ended.
        end: ProxiedEnd,
    },
    /// An answer stated how many calls per second its endpoint accepts from all daemons together.
    CallLimit {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Calls per second; `None` if the endpoint has no limit.
        rate: Option<f64>,
    },
    /// An endpoint's answer said that the endpoint is leaving.
    EndpointLeaving(EndpointKey),
    /// An endpoint turned something away and wants nothing from this daemon for this long.
    PauseRequested {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The time from the answer on.
        pause: Duration,
    },
    /// An order to an endpoint was answered.
    OrderAnswered {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Whether the endpoint accepted the order.
        acceptance: Acceptance,
    },
    /// A datagram of a peer was received.
    Gossip {
        /// The peer's address.
        from: SocketAddr,
        /// The datagram's content.
        gossip: Box<LoadGossip>,
    },
    /// The settings determine whether this daemon orders endpoints to change their stage.
    OrderRight(OrderRight),
    /// The process received SIGTERM.
    Shutdown {
        /// Time until calls that are still in progress are aborted.
        grace: Duration,
    },
    /// The shutdown's grace period is over: calls that are still in progress are aborted now.
    ShutdownOver,
}

impl Event {
    /// Creates an event for a datagram of a peer, whose values are bounded.
    #[must_use]
    pub fn gossip(from: SocketAddr, mut gossip: LoadGossip) -> Event {
        gossip_bounds::bound(&mut gossip);
        Event::Gossip { from, gossip: Box::new(gossip) }
    }
}

/// Changes of the list of endpoints that weren't known.
#[derive(Clone, PartialEq, Debug)]
pub struct UnreadChanges {
    /// The number of the store's revision at the read.
    pub revision: u64,
    /// The changes, those of one instance in their order.
    pub changes: Vec<ListChange>,
}

/// The store's answer to a read of old changes of the list of endpoints.
#[derive(Clone, PartialEq, Debug)]
pub enum HistoryAnswer {
    /// All changes after the revision, those of one instance in their order.
    Changes(Vec<ListChange>),
    /// The store no longer has them.
    Gone,
    /// The store could not be reached, or returned an invalid answer or an error.
    Failed,
}

/// Whether an endpoint answered a probe.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Liveness {
    /// The endpoint answered, whatever the answer was.
    Alive,
    /// No connection could be made, or it broke.
    Unreachable,
    /// A connection was made, and no answer came in time: the endpoint's machine answers and its
    /// process doesn't.
    Silent,
    /// The probe was not sent, as the endpoint wants a pause.
    Withheld,
}

/// Why a peer did not make a call for this daemon.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NotProxied {
    /// The peer could not be reached.
    NoPeer,
    /// The peer makes no such calls now.
    Declined,
    /// The peer can't reach the endpoint either.
    EndpointUnreachable,
}

impl NotProxied {
    /// Returns the stable name for logs and metric labels.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            NotProxied::NoPeer => "no_peer",
            NotProxied::Declined => "declined",
            NotProxied::EndpointUnreachable => "unreachable_by_peer",
        }
    }
}

/// How a call ended that this daemon made for a peer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ProxiedEnd {
    /// The answer was passed on whole.
    Answered,
    /// The peer, or its caller, no longer wanted it.
    Cancelled,
    /// Nothing was sent, since the endpoint wants nothing of this kind.
    Withheld,
    /// The endpoint could not be reached.
    Unreachable,
    /// The connection broke, or the answer was damaged.
    Broken,
    /// No answer came in time.
    Silent,
}

impl ProxiedEnd {
    /// Returns the stable name for logs and metric labels.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ProxiedEnd::Answered => "answered",
            ProxiedEnd::Cancelled => "cancelled",
            ProxiedEnd::Withheld => "withheld",
            ProxiedEnd::Unreachable => "unreachable",
            ProxiedEnd::Broken => "broken",
            ProxiedEnd::Silent => "silent",
        }
    }
}

/// An endpoint's answer to an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Acceptance {
    /// The endpoint carries the order out, or already has the ordered stage.
    Accepted,
    /// The endpoint refused the order.
    Refused,
    /// No answer came: the endpoint may have accepted the order.
    Unknown,
}

/// The outcome of an attempt.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// The endpoint holds a slot ahead of the call.
    Held {
        /// The endpoint's name for the hold.
        hold: String,
    },
    /// The endpoint has read the prompt and keeps its KV cache.
    Prefilled {
        /// The endpoint's name for the KV cache.
        handle: String,
        /// Number of prompt tokens.
        tokens: u32,
    },
    /// A complete answer was received; the I/O layer keeps it.
    Answered {
        /// The HTTP status.
        status: u16,
    },
    /// A stream has begun; the I/O layer buffers its events.
    Streaming,
    /// A stream ended completely.
    Finished,
    /// The endpoint did not run the call.
    NotRun(NotRun),
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// The peer that was asked to make the call did not make it.
    NotProxied(NotProxied),
    /// Nothing was sent: meanwhile the endpoint has said that it wants no work.
    Withheld,
    /// The connection broke after something was sent, or the answer was damaged.
    Broken(Damage),
    /// No answer came within the answer timeout. For work that is the caller's time.
    TimedOut,
}

impl Outcome {
    /// Returns the stable name for logs and metric labels.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Outcome::Held { .. } => "held",
            Outcome::Prefilled { .. } => "prefilled",
            Outcome::Answered { .. } => "answered",
            Outcome::Streaming => "streaming",
            Outcome::Finished => "finished",
            Outcome::NotRun(NotRun::Busy) => "busy",
            Outcome::NotRun(NotRun::WrongInstance) => "wrong_instance",
            Outcome::NotRun(NotRun::Other { .. }) => "not_run",
            Outcome::Unreachable => "unreachable",
            Outcome::NotProxied(failure) => failure.as_str(),
            Outcome::Withheld => "withheld",
            Outcome::Broken(_) => "broken",
            Outcome::TimedOut => "silent",
        }
    }
}

/// How an answer was damaged. The gateway's logs contain the variants' names as `Debug` prints them.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Damage {
    /// The connection ended before the answer's header.
    Closed,
    /// The received data is not valid HTTP.
    Garbled,
    /// The answer carries another call's id, or lacks the mark that endpoints' answers carry.
    Foreign,
    /// The answer broke off before its end, or stalled.
    CutOff,
    /// What came is more than an answer to the call can be.
    Endless,
    /// The ids of the stream's events don't rise.
    OutOfOrder,
    /// The stream doesn't go on after the last event that the caller has.
    NotResumed,
}

impl Damage {
    /// Returns the stable name for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Damage::Closed => "closed",
            Damage::Garbled => "garbled",
            Damage::Foreign => "foreign",
            Damage::CutOff => "cut_off",
            Damage::Endless => "endless",
            Damage::OutOfOrder => "out_of_order",
            Damage::NotResumed => "not_resumed",
        }
    }
}

/// Why an endpoint did not run a call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NotRun {
    /// The endpoint is full, is leaving, or doesn't have the KV cache; its answer doesn't say
    /// which.
    Busy,
    /// Another instance has the address now, or the endpoint's stage has changed.
    WrongInstance,
    /// The endpoint refused the call for another reason.
    Other {
        /// The HTTP status.
        status: u16,
    },
}
