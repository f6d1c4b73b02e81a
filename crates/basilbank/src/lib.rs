//! The shell of basilbank: threads that turn sockets, timers and watches into events, and carry the
//! core's effects out.

pub mod callers;
pub mod clock;
pub mod engine;
pub mod logs;
pub mod published;

mod admin;
mod daemon;
mod event_loop;
mod history;
mod inbox;
mod metrics;
mod names;
mod observer;
mod peers;
mod platform;
mod pool;
mod queries;
mod sync;

pub use daemon::{Daemon, Shutdown};
