//! The command `hash-key`: prints the hash of a bearer key.

use std::io::Read as _;

use basilbank_config::key_hash;
use serde_json::json;

use crate::{
    args::{Format, Options},
    context::CommandContext,
    failure::{ExitStatus, Failure},
    show::write_json,
};

/// Maximum length of a key. The headers of a caller, which carry the key, are limited too.
const MAX_KEY_BYTES: u64 = 4096;

/// Reads a key from standard input and prints its hash.
pub fn run(ctx: &mut CommandContext<'_>, options: &Options) -> Result<ExitStatus, Failure> {
    let mut text = String::new();
    let mut input = ctx.input.take(MAX_KEY_BYTES + 1);
    let read = input.read_to_string(&mut text);
    read.map_err(|error| Failure::File { name: "standard input".to_owned(), error })?;
    let key = text.strip_suffix('\n').unwrap_or(&text);
    let key = key.strip_suffix('\r').unwrap_or(key);
    // A key that contains a space or a line break can't be sent in a header. With its hash in the
    // catalogue the team would be locked out, and only a refused call would show it.
    let is_valid = !key.is_empty() && key.chars().all(|c| c.is_ascii_graphic());
    if !is_valid || MAX_KEY_BYTES < text.len() as u64 {
        let message =
            format!("a key has 1 to {MAX_KEY_BYTES} printable ASCII characters, no blanks");
        return Err(Failure::Usage(message));
    }
    let hash: String = key_hash(key).iter().map(|byte| format!("{byte:02x}")).collect();
    match options.format {
        Format::Json => write_json(ctx, &json!({ "hash": hash }))?,
        Format::Table => writeln!(ctx.out, "{hash}")?,
    }
    Ok(ExitStatus::Ok)
}
