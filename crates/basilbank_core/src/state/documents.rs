//! The catalogue's documents and the VM list, with their revisions.

/// The catalogue's documents and the VM list, with their revisions.
#[derive(Debug, Default)]
pub struct Documents {}
