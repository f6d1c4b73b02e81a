//! The basilbank daemon: command line, settings and signals around [`basilbank::Daemon`].

mod arguments;
mod signals;

use std::{
    fs,
    io::{self, Write},
    process::ExitCode,
};

use anyhow::Context;
use basilbank::{Daemon, logs};
use basilbank_config::Settings;

use crate::arguments::{Arguments, Command, PlatformArguments, USAGE};

/// Exit code of a daemon that failed.
const FAILED: u8 = 1;

/// Exit code for a wrong command line or wrong settings.
const WRONG: u8 = 2;

fn main() -> ExitCode {
    let command = match Arguments::from_env() {
        Ok(command) => command,
        Err(error) => return complain(&format!("basilbankd: {error}\n\n{USAGE}"), WRONG),
    };
    match command {
        Command::Help => say(USAGE),
        Command::Version => say(concat!("basilbankd ", env!("CARGO_PKG_VERSION"), "\n")),
        Command::Run(arguments) => run(&arguments),
        Command::Platform(arguments) => run_on_platform(&arguments),
    }
}

fn run_on_platform(arguments: &PlatformArguments) -> ExitCode {
    let checked = basilbank_platform::settings::Settings::read(&arguments.settings);
    if let Err(error) = checked {
        return complain(&format!("basilbankd: {error:#}\n"), WRONG);
    }
    if arguments.check {
        return say(&format!("{}: no findings\n", arguments.settings.display()));
    }
    let log = match logs::start_to(&arguments.level, Box::new(io::stdout())) {
        Ok(log) => log,
        Err(error) => return complain(&format!("basilbankd: {error:#}\n"), WRONG),
    };
    let ended = basilbank_platform::daemon::run(&arguments.settings, arguments.metrics);
    log.flush();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => complain(&format!("basilbankd: {error:#}\n"), FAILED),
    }
}

fn run(arguments: &Arguments) -> ExitCode {
    let file = arguments.settings.display().to_string();
    let text = match fs::read_to_string(&arguments.settings) {
        Ok(text) => text,
        Err(error) => return complain(&format!("{file}: {error}\n"), WRONG),
    };
    let settings = match Settings::parse(&file, &text) {
        Ok(settings) => settings,
        Err(findings) => return complain(&format!("{findings}\n"), WRONG),
    };
    if arguments.check {
        return say(&format!("{file}: no findings\n"));
    }
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => complain(&format!("basilbankd: {error:#}\n"), FAILED),
    }
}

/// Serves until a signal, and then until all in progress is done.
fn serve(settings: Settings) -> anyhow::Result<()> {
    let log = logs::start(&settings.log).context("logs")?;
    let name = settings.name.clone();
    let daemon = Daemon::start(settings)?;
    signals::watch(&daemon, log.clone()).context("signals")?;
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

fn say(text: &str) -> ExitCode {
    let written = io::stdout().write_all(text.as_bytes());
    if written.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(FAILED) }
}

fn complain(text: &str, code: u8) -> ExitCode {
    let _ = io::stderr().write_all(text.as_bytes());
    ExitCode::from(code)
}
