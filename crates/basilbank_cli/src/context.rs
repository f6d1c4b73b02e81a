//! What a command works with.

use std::{
    fmt,
    io::{Read, Write},
    time::Duration,
};

/// What a command reads from and writes to.
pub struct CommandContext<'a> {
    /// Standard input.
    pub input: &'a mut dyn Read,
    /// Standard output.
    pub out: &'a mut dyn Write,
    /// Standard error.
    pub err: &'a mut dyn Write,
    /// Looks an environment variable up.
    pub env: &'a dyn Fn(&str) -> Option<String>,
    /// Waits.
    pub sleep: &'a dyn Fn(Duration),
}

impl fmt::Debug for CommandContext<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CommandContext").finish_non_exhaustive()
    }
}
