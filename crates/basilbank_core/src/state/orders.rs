//! Orders to endpoints.

/// Orders to endpoints.
#[derive(Debug, Default)]
pub struct Orders {}
