//! Stand-ins for the users' platform: its store, its endpoints, and a daemon beside them.
//!
//! They speak plain sockets, so that they can also say what no HTTP library would: half an answer,
//! two answers, bytes that are none.

mod bad_entry;
mod configuration;
mod endpoint;
mod http;
mod misdeed;
mod paths;
mod proxy;
mod served;
mod store;
mod world;

pub use self::{
    bad_entry::BadEntry,
    configuration::{DESK, HOST, WRITER, configuration},
    endpoint::{Caches, DEADLY, EndpointSpec, ManagedEndpoint},
    http::{Answer, Request, call, exchange, read_answer},
    misdeed::Misdeed,
    paths::Paths,
    proxy::{Proxy, Weather},
    served::{Arrival, PauseRequest, Served},
    store::{Lost, ManagedStore, NarrowWay, StoreFault, StoreView},
    world::{World, WorldSpec, key},
};
