//! Measures how daemons act together, in virtual time: the same figures on each run, but for those
//! named `wall_…` and `rss_…`.
//!
//! `cargo bench -p basilbank_core --bench fleet` prints one `name=value` line for each figure. A word
//! after `--` keeps only the parts whose name contains it: `steady`, `catalogue`, `restart`, `centre`,
//! `death`, `limit`, `load`, `state`.
#![allow(clippy::print_stdout)]

mod catalogue;
mod centre;
mod death;
mod fleet;
mod limit;
mod load;
mod restart;
mod state;
mod steady;
mod timed;
#[path = "../../tests/world/mod.rs"]
mod world;

fn main() {
    let word = std::env::args().skip(1).find(|a| !a.starts_with('-')).unwrap_or_default();
    let parts: [(&str, fn()); 8] = [
        ("state", state::run),
        ("steady", steady::run),
        ("catalogue", catalogue::run),
        ("restart", restart::run),
        ("centre", centre::run),
        ("death", death::run),
        ("limit", limit::run),
        ("load", load::run),
    ];
    for (name, run) in parts {
        if name.contains(&word) {
            run();
        }
    }
}
