//! The streams and functions that a command uses to reach its environment.

use std::{
    fmt,
    io::{Read, Write},
    time::Duration,
};

/// Input, output, environment and clock of a command. Tests replace them.
pub struct CommandContext<'a> {
    /// Standard input.
    pub input: &'a mut dyn Read,
    /// Standard output.
    pub out: &'a mut dyn Write,
    /// Standard error.
    pub err: &'a mut dyn Write,
    /// Returns the value of an environment variable.
    pub env: &'a dyn Fn(&str) -> Option<String>,
    /// Blocks for a duration.
    pub sleep: &'a dyn Fn(Duration),
}

impl fmt::Debug for CommandContext<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CommandContext").finish_non_exhaustive()
    }
}
