//! How a command ends.

use std::{fmt, io};

/// The exit status.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ExitStatus {
    /// All went well.
    Ok,
    /// Texts have errors, or what was asked for isn't there.
    InvalidOrNotFound,
    /// The command line, a file named on it or the key is wrong.
    Usage,
    /// The daemon can't be reached, or gave no proper answer.
    Unreachable,
}

impl ExitStatus {
    /// The process's exit code.
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

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// The command line is wrong.
    Usage(String),
    /// A file can't be read.
    File {
        /// Its name.
        name: String,
        /// Why.
        error: io::Error,
    },
    /// The daemon does not take the key.
    KeyRefused,
    /// The daemon has no such thing.
    NotFound(String),
    /// The daemon can't be reached, or gave no proper answer.
    Unreachable(String),
    /// Nobody reads the output any more.
    Output(io::Error),
}

impl Failure {
    /// The exit status that goes with it.
    #[must_use]
    pub fn status(&self) -> ExitStatus {
        match self {
            Failure::Usage(_) | Failure::File { .. } | Failure::KeyRefused => ExitStatus::Usage,
            Failure::NotFound(_) => ExitStatus::InvalidOrNotFound,
            Failure::Unreachable(_) => ExitStatus::Unreachable,
            // A reader like `head` that has seen enough is no failure.
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
