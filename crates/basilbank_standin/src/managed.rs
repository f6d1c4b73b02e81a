//! Stand-ins for the users' platform: its store, its endpoints, and a daemon beside them.
//!
//! They speak plain sockets, so that they can also say what no HTTP library would: half an answer,
//! two answers, bytes that are none.

mod configuration;
mod endpoint;
mod http;
mod store;
mod world;

pub use self::{
    configuration::{DESK, HOST, WRITER, configuration},
    endpoint::{Caches, EndpointSpec, ManagedEndpoint, Misdeed, Served},
    http::{Answer, Request, call, exchange, read_answer},
    store::{ManagedStore, NarrowWay, StoreFault},
    world::{World, WorldSpec},
};
