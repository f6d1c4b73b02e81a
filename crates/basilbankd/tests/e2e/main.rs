//! The real daemon between a caller and stand-ins, over real sockets.

#[path = "../common/mod.rs"]
mod common;
mod daemons;
mod drafts;
mod faults;
mod harness;
mod plain;
mod shutdown;
