//! The shell of basilbank: threads that turn sockets, timers and watches into events, and carry the
//! core's effects out.

pub mod callers;
