//! The basilbank daemon: reads the command line and the settings, runs [`basilbank::Daemon`], and
//! handles signals.

mod arguments;
mod signals;

use std::{
    fs,
    io::{self, Write},
    process::ExitCode,
};

use anyhow::Context;
use basilbank::{Daemon, clock::SystemClock, logs};
use basilbank_config::Settings;
use basilbank_platform::{daemon::Host, settings::Settings as PlatformSettings};

use crate::arguments::{Arguments, Command, PlatformArguments, USAGE};

/// Exit code if the daemon fails to start or while it runs, or if standard output can't be written.
const EXIT_FAILURE: u8 = 1;

/// Exit code if the command line or the settings are invalid.
const EXIT_INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    let command = match Arguments::from_env() {
        Ok(command) => command,
        Err(error) => {
            return print_error(&format!("basilbankd: {error}\n\n{USAGE}"), EXIT_INVALID_INPUT);
        }
    };
    match command {
        Command::Help => print(USAGE),
        Command::Version => print(concat!("basilbankd ", env!("CARGO_PKG_VERSION"), "\n")),
        Command::Run(arguments) => run(&arguments),
        Command::Platform(arguments) => run_on_platform(&arguments),
    }
}

fn run_on_platform(arguments: &PlatformArguments) -> ExitCode {
    if arguments.check_only {
        return match PlatformSettings::read(&arguments.settings_path) {
            Ok(_) => print(&format!("{}: no findings\n", arguments.settings_path.display())),
            Err(error) => print_error(&format!("basilbankd: {error:#}\n"), EXIT_INVALID_INPUT),
        };
    }
    // First of all: until then, a signal kills the process.
    let host = match Host::new() {
        Ok(host) => host,
        Err(error) => return print_error(&format!("basilbankd: {error:#}\n"), EXIT_FAILURE),
    };
    let settings = match PlatformSettings::read(&arguments.settings_path) {
        Ok(settings) => settings,
        Err(error) => return print_error(&format!("basilbankd: {error:#}\n"), EXIT_INVALID_INPUT),
    };
    let log = match logs::start_to(&arguments.log_level, Box::new(io::stdout())) {
        Ok(log) => log,
        Err(error) => return print_error(&format!("basilbankd: {error:#}\n"), EXIT_INVALID_INPUT),
    };
    let clock = Box::new(SystemClock::default());
    let result = host.run(&arguments.settings_path, settings, arguments.metrics_port, clock);
    log.flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => print_error(&format!("basilbankd: {error:#}\n"), EXIT_FAILURE),
    }
}

fn run(arguments: &Arguments) -> ExitCode {
    let file = arguments.settings_path.display().to_string();
    let text = match fs::read_to_string(&arguments.settings_path) {
        Ok(text) => text,
        Err(error) => return print_error(&format!("{file}: {error}\n"), EXIT_INVALID_INPUT),
    };
    let settings = match Settings::parse(&file, &text) {
        Ok(settings) => settings,
        Err(findings) => return print_error(&format!("{findings}\n"), EXIT_INVALID_INPUT),
    };
    if arguments.check_only {
        return print(&format!("{file}: no findings\n"));
    }
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => print_error(&format!("basilbankd: {error:#}\n"), EXIT_FAILURE),
    }
}

/// Runs the daemon until a signal arrives, and then until all requests in progress have finished.
fn serve(settings: Settings) -> anyhow::Result<()> {
    let log = logs::start(&settings.log).context("logs")?;
    let name = settings.name.clone();
    let daemon = Daemon::start(settings)?;
    signals::spawn_handler(&daemon, log.clone()).context("signals")?;
    let line = logs::Line::new("started")
        .with("vm", name)
        .with("callers", daemon.callers())
        .with("peers", daemon.peers())
        .with("admin", daemon.admin());
    log::info!("{line}");
    daemon.wait()?;
    log::info!("{}", logs::Line::new("stopped"));
    log.flush();
    Ok(())
}

/// Writes to standard output. Returns the exit code of the process.
fn print(text: &str) -> ExitCode {
    let result = io::stdout().write_all(text.as_bytes());
    if result.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILURE) }
}

/// Writes to standard error. Returns `code` as the exit code of the process.
fn print_error(text: &str, code: u8) -> ExitCode {
    let _ = io::stderr().write_all(text.as_bytes());
    ExitCode::from(code)
}
