//! Measures the decisions against the baseline, in virtual time: the same figures on each run, but
//! for those named `wall_…`.
//!
//! `cargo bench -p basilbank_core --bench policy` prints one `name=value` line for each figure. A
//! word after `--` keeps only the parts whose name contains it: `sweep`, `surge`, `faults`, `time`.
#![allow(clippy::print_stdout)]

mod faults;
mod figures;
mod mix;
mod surge;
mod sweep;
mod time;
#[path = "../../tests/world/mod.rs"]
mod world;

fn main() {
    let word = std::env::args().skip(1).find(|a| !a.starts_with('-')).unwrap_or_default();
    let parts: [(&str, fn()); 4] = [
        ("sweep", sweep::run),
        ("surge", surge::run),
        ("faults", faults::run),
        ("time", time::run),
    ];
    for (name, run) in parts {
        if name.contains(&word) {
            run();
        }
    }
}
