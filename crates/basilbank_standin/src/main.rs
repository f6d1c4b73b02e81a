//! The `basilbank_standin` command: a demo, stand-ins alone, and measurements.
#![allow(clippy::print_stdout, clippy::print_stderr, reason = "a command speaks to its terminal")]

mod demo;
mod demo_platform;
mod local;
mod measure;
mod serve;

use std::{path::PathBuf, process::ExitCode};

use anyhow::{Context, bail};
use pico_args::Arguments;

const HELP: &str = "\
Stand-ins for the platform, model engines and plain services, all on loopback.

USAGE:
  basilbank_standin demo [--once] [--port N] [--daemons N] [--platform]
      Stand-ins and real daemons in one process; shows a streamed draft and serves until Ctrl-C.
      --once       end after one streamed draft, one whole answer and one plain call at each daemon
      --port N     callers' port; further daemons have the ports after it [default: any free one]
      --daemons N  number of daemons [default: 1]
      --platform   on a stand-in of the users' platform; ports are any free ones
  basilbank_standin serve --settings FILE
      Stand-ins only; writes settings for one `basilbankd`.
  basilbank_standin measure [--settings FILE --pid FILE]
      Latency that a daemon adds, as name=value lines. With both options it writes settings, waits
      until somebody has started `basilbankd` with them and written its process id, and measures
      that process's memory too.

EXIT CODE: 0 when all came back right, 1 otherwise, 2 for wrong arguments.
";

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let job = match parse(args) {
        Ok(job) => job,
        Err(error) => {
            eprintln!("{error:#}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    match job.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("failed: {error:#}");
            ExitCode::FAILURE
        }
    }
}

enum Job {
    Demo { mode: demo::Mode, port: u16, daemons: u16 },
    DemoOnPlatform { mode: demo::Mode, daemons: u16 },
    Serve { settings: PathBuf },
    Measure { separate: Option<measure::Separate> },
}

fn parse(mut args: Arguments) -> anyhow::Result<Job> {
    let name = args.subcommand()?.context("a subcommand is missing")?;
    let job = match name.as_str() {
        "demo" if args.contains("--platform") => Job::DemoOnPlatform {
            mode: if args.contains("--once") { demo::Mode::Once } else { demo::Mode::Serve },
            daemons: args.opt_value_from_str("--daemons")?.unwrap_or(1),
        },
        "demo" => Job::Demo {
            mode: if args.contains("--once") { demo::Mode::Once } else { demo::Mode::Serve },
            port: args.opt_value_from_str("--port")?.unwrap_or(0),
            daemons: args.opt_value_from_str("--daemons")?.unwrap_or(1),
        },
        "serve" => Job::Serve { settings: args.value_from_str("--settings")? },
        "measure" => {
            let settings: Option<PathBuf> = args.opt_value_from_str("--settings")?;
            let pid: Option<PathBuf> = args.opt_value_from_str("--pid")?;
            let separate = match (settings, pid) {
                (Some(settings), Some(pid)) => Some(measure::Separate { settings, pid }),
                (None, None) => None,
                _ => bail!("--settings and --pid go together"),
            };
            Job::Measure { separate }
        }
        other => bail!("no subcommand {other}"),
    };
    let rest = args.finish();
    if !rest.is_empty() {
        bail!("unknown arguments: {rest:?}");
    }
    Ok(job)
}

impl Job {
    fn run(self) -> anyhow::Result<()> {
        match self {
            Job::Demo { mode, port, daemons } => demo::run(mode, port, daemons.max(1)),
            Job::DemoOnPlatform { mode, daemons } => demo_platform::run(mode, daemons.max(1)),
            Job::Serve { settings } => serve::run(&settings),
            Job::Measure { separate } => measure::run(separate.as_ref()),
        }
    }
}
