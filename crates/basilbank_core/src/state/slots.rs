//! Slots at endpoints.

/// Slots at endpoints.
#[derive(Debug, Default)]
pub struct Slots {}
