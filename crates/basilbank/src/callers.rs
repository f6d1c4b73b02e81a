//! The callers' side: HTTP, server-sent events, cursors.
//!
//! [`Server`] turns sockets into events for the core; [`Callers`] is the way back. Tokio and hyper
//! are used in this module only: everything else works with threads and standard channels.

mod body;
pub mod body_budget;
mod chunk;
pub mod closing;
mod code;
mod config;
mod connection;
pub mod connections;
mod cursor;
mod draft;
pub mod edge;
mod error;
mod form;
mod headers;
mod models;
mod open_call;
mod plain;
mod prompt;
mod registry;
pub mod request_body;
pub mod segments;
mod server;
mod service;
pub mod socket;
mod stream;
mod whole;

pub(crate) use headers::from_service;

pub use code::{EdgeRefusal, ErrorCode};
pub use config::{ModelLookup, RefusalHook, ServerConfig};
pub use prompt::{BLOCK_TOKENS, block_hashes, count_tokens};
pub use registry::{Callers, Delivery, HeldDraft, HeldPlain, PlainAnswer, Reply};
pub use server::Server;
