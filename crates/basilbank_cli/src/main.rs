//! Thin.

fn main() {}
