//! Exit status and errors of commands.

use std::{fmt, io};

/// Exit status of the process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ExitStatus {
    /// The command succeeded.
    Ok,
    /// A document or settings file has errors, or the requested object does not exist.
    InvalidOrNotFound,
    /// The command line is invalid, a file can't be read, or the key is refused.
    Usage,
    /// The daemon can't be reached, or its answer is invalid.
    Unreachable,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            ExitStatus::Ok => 0,
            ExitStatus::InvalidOrNotFound => 1,
            ExitStatus::Usage => 2,
            ExitStatus::Unreachable => 3,
        }
    }
}

/// Reason why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// The command line is invalid.
    Usage(String),
    /// A file can't be read.
    File {
        /// Name of the file as given on the command line, or `standard input`.
        name: String,
        /// Error of the read.
        error: io::Error,
    },
    /// The daemon refuses the key.
    KeyRefused,
    /// The requested object does not exist.
    NotFound(String),
    /// The daemon can't be reached, or its answer is invalid.
    Unreachable(String),
    /// Standard input can't be read, or an output stream can't be written.
    Output(io::Error),
}

impl Failure {
    /// Returns the exit status for this failure.
    #[must_use]
    pub fn status(&self) -> ExitStatus {
        match self {
            Failure::Usage(_) | Failure::File { .. } | Failure::KeyRefused => ExitStatus::Usage,
            Failure::NotFound(_) => ExitStatus::InvalidOrNotFound,
            Failure::Unreachable(_) => ExitStatus::Unreachable,
            // A reader such as `head` closes the pipe once it has enough lines: this is no failure.
            Failure::Output(error) if error.kind() == io::ErrorKind::BrokenPipe => ExitStatus::Ok,
            Failure::Output(_) => ExitStatus::Usage,
        }
    }
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Failure {
        Failure::Output(error)
    }
}

impl From<pico_args::Error> for Failure {
    fn from(error: pico_args::Error) -> Failure {
        Failure::Usage(error.to_string())
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Usage(message) => write!(f, "{message}; `basilbank --help` tells more"),
            Failure::File { name, error } => write!(f, "{name}: {error}"),
            Failure::KeyRefused => {
                write!(
                    f,
                    "the daemon refuses the key; give its admin_key by --key-file or BASILBANK_KEY"
                )
            }
            Failure::NotFound(what) => write!(f, "the daemon does not know {what}"),
            Failure::Unreachable(message) => write!(f, "{message}"),
            Failure::Output(error) => write!(f, "output: {error}"),
        }
    }
}

impl std::error::Error for Failure {}
