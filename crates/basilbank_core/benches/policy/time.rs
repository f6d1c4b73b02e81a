//! Decision time per event.

/// Prints all figures.
pub fn run() {}
