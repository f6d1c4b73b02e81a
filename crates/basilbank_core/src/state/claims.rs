//! Idempotency keys: claims that this daemon made, and votes that it gave.

/// Idempotency keys: claims that this daemon made, and votes that it gave.
#[derive(Debug, Default)]
pub struct Claims {}
