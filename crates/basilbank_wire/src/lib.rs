//! The messages that daemons exchange, and how they become bytes.
//!
//! ```
//! use basilbank_wire::{Body, Heartbeat, Message};
//!
//! let message = Message::from(Body::Heartbeat(Heartbeat { counter: 7, ..Default::default() }));
//! assert!(message.body.is_some());
//! ```

mod message;

pub use message::*;
