//! What a script may have happen.

use std::time::Duration;

use basilbank_core::prelude::Catalogue;

use super::{EngineFault, Net, Node, PlatformMode};

/// One step of a script.
#[derive(Clone, Debug)]
pub enum Step {
    /// A daemon's process dies; its callers and endpoints see their connections break. Perhaps a new
    /// process starts after a while, with a new incarnation and nothing in memory.
    Kill { daemon: Who, back: Option<Duration> },
    /// A daemon's VM is gone. The platform's list drops it; after a while another one of the same
    /// name is started and listed.
    Replace { daemon: Who, back: Duration },
    /// A new process starts, as soon as none runs there any more.
    Start(usize),
    /// A daemon's process is paused and goes on later: all that reached it meanwhile, then a tick.
    Freeze { daemon: Who, lasting: Duration },
    /// A daemon gets SIGTERM.
    Shutdown(Who),
    /// An endpoint loses power or its process; perhaps it comes back empty.
    Down { endpoint: Place, power: super::Power, back: Option<Duration> },
    /// An endpoint misbehaves for a while.
    Fault { endpoint: Place, fault: EngineFault, lasting: Duration },
    /// An endpoint is leaving: it refuses new work, and says so in its load reports if it has any.
    Leave(Place),
    /// The platform changes.
    Platform { mode: PlatformMode, lasting: Duration },
    /// The operators publish a catalogue. Its revision is set by the platform.
    Publish(Box<Catalogue>),
    /// The operators publish something that does not pass the check.
    PublishBad,
    /// The platform's VM list changes; readers see that after its lag.
    List(usize, Listing),
    /// Nodes go to another side of a partition, for a while.
    Partition { nodes: Vec<Node>, lasting: Duration },
    /// A daemon goes to another side, alone or with half of the endpoints.
    Isolate { daemon: Who, endpoints: Vec<usize>, lasting: Duration },
    /// Messages between daemons are lost, doubled or delayed from now on.
    Net(Net),
    /// A step that comes after a while.
    Later(Duration, Box<Step>),
    /// The caller of a request leaves.
    Cancel(usize),
    #[doc(hidden)]
    Restore(Restore),
}

/// The end of a step that lasts.
#[derive(Clone, Debug)]
pub enum Restore {
    Thaw(usize, u32),
    Up(usize, u32),
    Fault(usize, EngineFault),
    Platform,
    Join(Vec<Node>),
}

/// A daemon.
#[derive(Clone, Copy, Debug)]
pub enum Who {
    /// By number.
    Daemon(usize),
    /// The one that serves a request's latest try.
    Home(usize),
    /// The one that decides on the slots of the endpoint that a request uses.
    Steward(usize),
}

/// An endpoint.
#[derive(Clone, Copy, Debug)]
pub enum Place {
    /// By number.
    Endpoint(usize),
    /// The one where a request's prefill runs or ran last.
    Prefill(usize),
    /// The one where a request is decoded.
    Decode(usize),
    /// The plain service's replica that a request was sent to.
    Plain(usize),
    /// The one that a request uses now: decode, else prefill, else plain, else the first that it
    /// could use.
    Current(usize),
}

/// What the platform's list says of a VM.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Listing {
    /// It is there.
    Present,
    /// It is about to go.
    Leaving,
    /// It is gone.
    Absent,
}

/// Steps on a request's way.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Moment {
    /// A daemon has the call.
    Arrived,
    /// It waits for capacity.
    Queued,
    /// A decode slot was had.
    Reserved,
    /// The prefill runs.
    Prefill,
    /// The KV cache is on its way to the decode endpoint.
    Transfer,
    /// The decode endpoint made so many tokens.
    Decoding(u32),
    /// The decode endpoint made the last token.
    Last,
    /// The daemon has settled it.
    Settled,
    /// A plain call was sent to its service.
    Sent,
    /// A plain service has answered.
    Answered,
}
