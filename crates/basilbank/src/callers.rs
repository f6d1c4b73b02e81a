//! The callers' side: HTTP, server-sent events, cursors.

mod registry;

pub use registry::{Callers, Delivery, HeldDraft, HeldPlain, PlainAnswer, Reply};
