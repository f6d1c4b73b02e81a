//! What is known of endpoints.

/// What is known of endpoints.
#[derive(Debug, Default)]
pub struct Health {}
