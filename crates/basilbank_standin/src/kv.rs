//! KV caches that wait for a decode engine.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::stream::Owner;

/// What a KV cache was made from; a decode engine generates from it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct KvText {
    pub(crate) prompt: String,
    pub(crate) continuation: String,
}

/// One KV cache.
#[derive(Clone, Debug)]
pub(crate) struct KvCache {
    pub(crate) handle: String,
    pub(crate) owner: Owner,
    pub(crate) request: String,
    pub(crate) attempt: u32,
    pub(crate) text: KvText,
    pub(crate) bytes: u64,
    pub(crate) made: Instant,
}
