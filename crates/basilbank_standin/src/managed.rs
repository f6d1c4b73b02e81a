//! Stand-ins for the users' platform: its store, its endpoints, and a daemon beside them.
//!
//! They speak plain sockets, so that they can also say what no HTTP library would: half an answer,
//! two answers, bytes that are none.

mod bad_entry;
mod configuration;
mod endpoint;
mod http;
mod misdeed;
mod served;
mod store;
mod world;

pub use self::{
    bad_entry::BadEntry,
    configuration::{DESK, HOST, WRITER, configuration},
    endpoint::{Caches, DEADLY, EndpointSpec, ManagedEndpoint},
    http::{Answer, Request, call, exchange, read_answer},
    misdeed::Misdeed,
    served::{Arrival, PauseRequest, Served},
    store::{Lost, ManagedStore, NarrowWay, StoreFault},
    world::{World, WorldSpec, key},
};
