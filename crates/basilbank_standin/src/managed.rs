//! Stand-ins for the users' platform: its store, its endpoints, and a daemon beside them.
//!
//! They speak plain sockets, so that they can also say what no HTTP library would: half an answer,
//! two answers, bytes that are none.

mod bad_entry;
mod configuration;
mod ending;
mod endless;
mod endpoint;
mod given_answer;
mod http;
mod inside;
mod misdeed;
mod paths;
mod ports;
mod proxy;
mod second_answer;
mod served;
mod serving;
mod silence;
mod slow_clock;
mod store;
mod world;

pub use self::{
    bad_entry::BadEntry,
    configuration::{DESK, HOST, WRITER, configuration},
    ending::{BreakKind, BreakPlace, BreakShare, Ending, Framing},
    endless::Endless,
    endpoint::{EndpointSpec, FIRST_VERSION, ManagedEndpoint},
    given_answer::GivenAnswer,
    http::{Answer, Request, call, exchange, read_answer},
    inside::Caches,
    misdeed::Misdeed,
    paths::Paths,
    ports::Ports,
    proxy::{Proxy, Weather},
    second_answer::{AnsweredTwice, SecondAnswer},
    served::{Arrival, PauseRequest, Served, TakenCache},
    serving::{DEADLY, DEADLY_PART, event_text},
    store::{Lost, ManagedStore, NarrowWay, StoreFault, StoreView},
    world::{World, WorldSpec, key},
};
