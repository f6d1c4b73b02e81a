//! The command line.

use std::path::PathBuf;

use anyhow::{Context, bail};
use basilbank_platform::settings::SETTINGS_PATH_VARIABLE;

/// What `--help` prints.
pub const USAGE: &str = "\
Usage: basilbankd --settings FILE [--check]
       basilbankd --platform [--settings FILE] [--check] [--log LEVEL] [--metrics PORT]

Runs one daemon of the router.

  --settings FILE  the daemon's settings, JSON with comments
  --platform       run on the users' platform: the settings have its format, and without --settings
                   stand where the environment says
  --log LEVEL      lines to write with --platform: error, warn, info (default), debug
  --metrics PORT   serve /metrics at this port too, with --platform; the ready address always does
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
    /// Run on the users' platform, or check the settings that it wrote.
    Platform(PlatformArguments),
}

/// How to run on the users' platform.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PlatformArguments {
    /// The settings' file.
    pub settings_path: PathBuf,
    /// Only check the settings.
    pub check_only: bool,
    /// Lines to write.
    pub log_level: String,
    /// A port for metrics alone.
    pub metrics_port: Option<u16>,
}

/// How to run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Arguments {
    /// The settings' file.
    pub settings_path: PathBuf,
    /// Only check the settings.
    pub check_only: bool,
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
        let check_only = arguments.contains("--check");
        let platform = arguments.contains("--platform");
        let settings_path: Option<PathBuf> =
            arguments.opt_value_from_str("--settings").context("--settings FILE is needed")?;
        // Options of the platform's daemons stay unknown arguments elsewhere.
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
