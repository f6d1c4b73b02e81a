//! The command line.

use std::path::PathBuf;

use anyhow::{Context, bail};

/// What `--help` prints.
pub const USAGE: &str = "\
Usage: basilbankd --settings FILE [--check]

Runs one daemon of the router.

  --settings FILE  the daemon's settings, JSON with comments
  --check          check the settings, print all findings, and exit
  --help           print this
  --version        print the version

SIGTERM or SIGINT: takes no new work, finishes all in progress, exits with 0.
A second one: exits at once with 1 and says how many requests it cut.
Exit code 2: the command line or the settings are wrong.
";

/// What the command line asks for.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Command {
    /// Print how to use the program.
    Help,
    /// Print the version.
    Version,
    /// Run, or check the settings.
    Run(Arguments),
}

/// How to run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Arguments {
    /// The settings' file.
    pub settings: PathBuf,
    /// Only check the settings.
    pub check: bool,
}

impl Arguments {
    /// Reads the process's command line.
    ///
    /// # Errors
    /// An argument is missing or unknown.
    pub fn from_env() -> anyhow::Result<Command> {
        let mut arguments = pico_args::Arguments::from_env();
        if arguments.contains(["-h", "--help"]) {
            return Ok(Command::Help);
        }
        if arguments.contains(["-V", "--version"]) {
            return Ok(Command::Version);
        }
        let check = arguments.contains("--check");
        let settings: PathBuf =
            arguments.value_from_str("--settings").context("--settings FILE is needed")?;
        if let Some(rest) = arguments.finish().first() {
            bail!("unknown argument {}", rest.to_string_lossy());
        }
        Ok(Command::Run(Arguments { settings, check }))
    }
}
