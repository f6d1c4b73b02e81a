//! Runs commands through the library function that `main` calls.

mod admin_api;
mod broken_answers;
mod common;
mod files;
mod real_daemon;
mod trace;
