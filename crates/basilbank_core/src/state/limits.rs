//! Entries' limits.

/// Entries' limits.
#[derive(Debug, Default)]
pub struct LimitTable {}
