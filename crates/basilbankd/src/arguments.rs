//! Command-line arguments of the daemon.

use std::path::PathBuf;

use anyhow::{Context, bail};
use basilbank_platform::settings::SETTINGS_PATH_VARIABLE;

/// Text that `--help` prints.
pub const USAGE: &str = "\
Usage: basilbankd --settings FILE [--check]
       basilbankd --platform [--settings FILE] [--check] [--log LEVEL] [--metrics PORT]

Runs one daemon of the router.

  --settings FILE  the daemon's settings, JSON with comments
  --platform       run on the users' platform: the settings have the platform's format, and without
                   --settings are read from the file that the environment names
  --log LEVEL      lowest level to log with --platform: error, warn, info (default), debug
  --metrics PORT   also serve /metrics at this port, with --platform; the ready address always does
  --check          check the settings, print all findings, and exit
  --help           print this
  --version        print the version

SIGTERM or SIGINT: accepts no new work, finishes all requests in progress, exits with 0.
A second signal: exits at once with 1 and logs how many requests it aborted.
Exit code 2: the command line or the settings are invalid.
";

/// Action that the command line selects.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Command {
    /// Print the usage text.
    Help,
    /// Print the version.
    Version,
    /// Run the daemon, or only check its settings.
    Run(Arguments),
    /// Run the daemon on the users' platform, or only check the settings that the platform wrote.
    Platform(PlatformArguments),
}

/// Arguments for a daemon on the users' platform.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PlatformArguments {
    /// Path of the settings file.
    pub settings_path: PathBuf,
    /// Whether to exit after checking the settings.
    pub check_only: bool,
    /// Lowest level of the log lines that are written.
    pub log_level: String,
    /// Additional port that serves metrics only.
    pub metrics_port: Option<u16>,
}

/// Arguments for a daemon without `--platform`.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Arguments {
    /// Path of the settings file.
    pub settings_path: PathBuf,
    /// Whether to exit after checking the settings.
    pub check_only: bool,
}

impl Arguments {
    /// Parses the command line of the process.
    ///
    /// # Errors
    /// An argument is missing, unknown or has an invalid value.
    pub fn from_env() -> anyhow::Result<Command> {
        let mut arguments = pico_args::Arguments::from_env();
        if arguments.contains(["-h", "--help"]) {
            return Ok(Command::Help);
        }
        if arguments.contains(["-V", "--version"]) {
            return Ok(Command::Version);
        }
        let check_only = arguments.contains("--check");
        let platform = arguments.contains("--platform");
        let settings_path: Option<PathBuf> =
            arguments.opt_value_from_str("--settings").context("--settings FILE is needed")?;
        // Without `--platform`, `--log` and `--metrics` are rejected as unknown arguments.
        let (log_level, metrics_port) = match platform {
            true => {
                (arguments.opt_value_from_str("--log")?, arguments.opt_value_from_str("--metrics")?)
            }
            false => (None, None),
        };
        if let Some(unknown) = arguments.finish().first() {
            bail!("unknown argument {}", unknown.to_string_lossy());
        }
        if platform {
            let settings_path =
                settings_path.or_else(basilbank_platform::daemon::settings_path).with_context(
                    || format!("--settings FILE or {SETTINGS_PATH_VARIABLE} is needed"),
                )?;
            let log_level = log_level.unwrap_or_else(|| "info".to_owned());
            return Ok(Command::Platform(PlatformArguments {
                settings_path,
                check_only,
                log_level,
                metrics_port,
            }));
        }
        let settings_path = settings_path.context("--settings FILE is needed")?;
        Ok(Command::Run(Arguments { settings_path, check_only }))
    }
}
