//! The stand-ins do what `docs/PROTOCOLS.md` says, over real sockets.

mod command;
mod engine;
mod platform;
mod site;
mod support;
