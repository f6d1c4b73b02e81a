//! Prints the tables of fields for `docs/OPERATORS.md`.
//!
//! `cargo run -p basilbank_config --example reference`

use std::io::{self, Write as _};

use basilbank_config::{CATALOGUE, SETTINGS};

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    for (name, schema) in [("catalogue", &CATALOGUE), ("settings", &SETTINGS)] {
        for (path, schema) in schema.with_nested() {
            let title = if path.is_empty() { name } else { &path };
            writeln!(out, "### `{title}`\n\n{}", schema.markdown_table())?;
        }
    }
    Ok(())
}
