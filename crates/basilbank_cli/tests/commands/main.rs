//! Commands, run as `main` runs them.

mod admin_api;
mod common;
mod files;
mod real_daemon;
mod trace;
