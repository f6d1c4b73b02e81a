//! Demo.

fn main() {}
