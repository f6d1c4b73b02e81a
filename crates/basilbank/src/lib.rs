//! The shell of basilbank: threads that turn sockets, timers and watches into events, and carry the
//! core's effects out.

pub mod answer_head;
pub mod callers;
pub mod clock;
pub mod engine;
pub mod excess;
pub mod logs;
pub mod published;

pub mod admin;
mod daemon;
mod event_loop;
pub mod history;
pub mod inbox;
pub mod metrics;
pub mod names;
mod observer;
pub mod pace;
pub mod peers;
pub mod platform;
pub mod pool;
pub mod queries;
mod sync;

pub use daemon::{Daemon, Shutdown};
