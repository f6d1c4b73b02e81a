//! Streams and KV caches without a live owner.

/// Streams and KV caches without a live owner.
#[derive(Debug, Default)]
pub struct Reaper {}
