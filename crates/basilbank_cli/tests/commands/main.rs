//! Commands, run as `main` runs them.

mod common;
mod daemon;
mod files;
mod real;
mod trace;
