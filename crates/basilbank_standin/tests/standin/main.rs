//! The stand-ins do what `docs/PROTOCOLS.md` says, over real sockets.

mod client;
mod command;
mod engine;
mod platform;
mod site;
mod support;
