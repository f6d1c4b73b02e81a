//! The `basilbank_soak` command.
#![allow(clippy::print_stdout, clippy::print_stderr, reason = "a command speaks to its terminal")]

use std::{
    collections::BTreeSet,
    env, fs,
    path::{Path, PathBuf},
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use basilbank_platform::{daemon::Host, settings::Settings};
use basilbank_soak::{
    clock::SteppedClock,
    process::{Program, kill_all},
    soak::{PlayKind, Soak, Verdict},
};
use pico_args::Arguments;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

const HELP: &str = "\
Plays seeds: real daemons, faults from outside, checks of what callers and endpoints saw.

USAGE:
  basilbank_soak [--from SEED] [--seeds N] [--seconds S] [--daemons N] [--callers N] [--keep DIR]
                [--planned] [--without-silence]
      --from SEED   first seed [default: 1]
      --seeds N     how many [default: 1]; those of seeds.txt come first with --regressions
      --seconds S   time of traffic for each [default: 10]
      --daemons N   daemons [default: 3]
      --callers N   callers [default: 12]
      --keep DIR    keep logs of seeds that fail there [default: the temporary directory]
      --planned     play planned work alone, beside endpoints that fall silent: 20 s or more
      --without-silence with --planned, no endpoint falls silent
      --regressions play the seeds that failed before, too
  basilbank_soak daemon --settings FILE
      A daemon of the platform whose time of day is ahead by the milliseconds in FILE's .clock file.

Exit code 1: a seed failed. 2: the command line is wrong, or a site did not start.
";

/// Exit code after SIGINT or SIGTERM, as shells give it.
const ENDED: i32 = 130;

/// Seeds that failed before, each with a line on the cause.
const REGRESSIONS: &str = include_str!("../seeds.txt");

/// What a line of seeds.txt begins with if its seed is one of planned work.
const PLANNED: &str = "planned ";

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let ended = match arguments.subcommand() {
        Ok(Some(name)) if name == "daemon" => run_daemon(arguments).map(|()| true),
        Ok(Some(name)) => Err(anyhow::anyhow!("unknown command {name}")),
        Ok(None) => run(arguments),
        Err(error) => Err(error.into()),
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(2)
        }
    }
}

fn run_daemon(mut arguments: Arguments) -> anyhow::Result<()> {
    let path: PathBuf = arguments.value_from_str("--settings")?;
    refuse_rest(arguments)?;
    let host = Host::new()?;
    let settings = Settings::read(&path)?;
    let log = basilbank::logs::start_to("info", Box::new(std::io::stdout()))?;
    let clock = Box::new(SteppedClock::new(path.with_extension("clock")));
    let ended = host.run(&path, settings, None, clock);
    log.flush();
    ended
}

fn run(mut arguments: Arguments) -> anyhow::Result<bool> {
    end_with_signals()?;
    let from: u64 = arguments.opt_value_from_str("--from")?.unwrap_or(1);
    let count: u64 = arguments.opt_value_from_str("--seeds")?.unwrap_or(1);
    let seconds: f64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(10.0);
    let daemons: usize = arguments.opt_value_from_str("--daemons")?.unwrap_or(3);
    let callers: usize = arguments.opt_value_from_str("--callers")?.unwrap_or(12);
    let keep: Option<PathBuf> = arguments.opt_value_from_str("--keep")?;
    let regressions = arguments.contains("--regressions");
    let kind = match (arguments.contains("--planned"), arguments.contains("--without-silence")) {
        (false, false) => PlayKind::Faults,
        (true, false) => PlayKind::Planned,
        (true, true) => PlayKind::PlannedWithoutSilence,
        (false, true) => bail!("--without-silence needs --planned"),
    };
    refuse_rest(arguments)?;
    let programs = programs(daemons)?;
    let traffic = Duration::try_from_secs_f64(seconds).context("--seconds")?;
    let base = keep.unwrap_or_else(env::temp_dir);
    let mut seeds: BTreeSet<u64> = (from..from + count).collect();
    if regressions {
        seeds.extend(failed_before(kind)?);
    }
    let begun = Instant::now();
    let (mut calls, mut failed) = (0, 0);
    for seed in &seeds {
        let folder = base.join(format!("basilbank-soak-{}-{seed}", std::process::id()));
        let soak = Soak { kind, programs: programs.clone(), callers, traffic, folder };
        let verdict = soak.play(*seed).with_context(|| format!("seed {seed}"))?;
        calls += verdict.calls;
        if let Some(coverage) = verdict.coverage {
            println!("seed={seed} calls={} {coverage:?}", verdict.calls);
        }
        match verdict.findings.is_empty() {
            true => soak.clean()?,
            false => {
                failed += 1;
                report(*seed, &verdict, &soak.folder)?;
            }
        }
    }
    let took = begun.elapsed().as_secs();
    println!("seeds={} failed={failed} calls={calls} seconds={took}", seeds.len());
    Ok(failed == 0)
}

/// Ends the daemons, too, when the soak is told to end.
fn end_with_signals() -> anyhow::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            kill_all();
            std::process::exit(ENDED);
        }
    });
    Ok(())
}

fn refuse_rest(arguments: Arguments) -> anyhow::Result<()> {
    match arguments.finish().first() {
        Some(rest) => bail!("unknown argument {}", rest.to_string_lossy()),
        None => Ok(()),
    }
}

/// The real daemon for all but the last, which has the injected clock.
fn programs(daemons: usize) -> anyhow::Result<Vec<Program>> {
    let own = env::current_exe()?;
    let real = own.with_file_name("basilbankd");
    if !real.exists() {
        bail!("{} is not there: build basilbankd first", real.display());
    }
    let real = Program { path: real, arguments: vec!["--platform".to_owned()] };
    let stepped = Program { path: own, arguments: vec!["daemon".to_owned()] };
    let mut programs = vec![real; daemons.saturating_sub(1)];
    programs.push(stepped);
    Ok(programs)
}

/// The seeds of a kind of play that failed before.
fn failed_before(kind: PlayKind) -> anyhow::Result<Vec<u64>> {
    let lines = REGRESSIONS.lines().filter(|line| !line.starts_with('#') && !line.is_empty());
    let of_kind = lines.filter_map(|line| match (kind, line.strip_prefix(PLANNED)) {
        (PlayKind::Faults, None) => Some(line),
        (PlayKind::Faults, Some(_)) => None,
        (_, planned) => planned,
    });
    let seed = |line: &str| line.split(' ').next().unwrap_or_default().parse().context("a seed");
    of_kind.map(seed).collect()
}

fn report(seed: u64, verdict: &Verdict, folder: &Path) -> anyhow::Result<()> {
    println!("seed {seed} failed, {} calls, logs in {}", verdict.calls, folder.display());
    let text = [verdict.findings.join("\n"), verdict.done.join("\n")].join("\n\n");
    fs::write(folder.join("verdict.txt"), &text)?;
    fs::write(folder.join("calls.txt"), verdict.records.join("\n"))?;
    println!("{text}");
    Ok(())
}
