//! Memory, by resident size of this process over many daemons.

use std::fs;

use crate::fleet::{SETTLED, SIZES, spec};
use crate::world::World;

/// Bytes of a page.
const PAGE: u64 = 4096;

/// Prints all figures.
pub fn run() {
    for size in SIZES.into_iter().skip(2) {
        let before = resident();
        let mut world = World::new(spec(size));
        world.run_until(SETTLED);
        let grown = resident().saturating_sub(before);
        println!("state.{size}.rss_bytes_per_daemon={}", grown / size as u64);
    }
}

/// Resident bytes of this process; 0 where the system does not tell.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}
