//! Which command runs.

use std::ffi::OsString;

use crate::{
    args::{Command, Invocation},
    check, compare,
    failure::{Failure, Status},
    help, key,
    shell::Shell,
    show, trace, watch,
};

/// Runs one command. `args` are the command line's without the program's name.
pub fn run(shell: &mut Shell<'_>, args: Vec<OsString>) -> Status {
    match Invocation::parse(args, shell.env).and_then(|invocation| start(shell, &invocation)) {
        Ok(status) => status,
        Err(failure) => {
            let status = failure.status();
            if status != Status::Ok {
                // With standard error closed there is nobody left to tell; the status says it.
                let _ = writeln!(shell.err, "basilbank: {failure}");
            }
            status
        }
    }
}

fn start(shell: &mut Shell<'_>, invocation: &Invocation) -> Result<Status, Failure> {
    let options = &invocation.options;
    match &invocation.command {
        Command::Help(topic) => {
            shell.out.write_all(help::text(*topic).as_bytes())?;
            Ok(Status::Ok)
        }
        Command::Check { files } => check::run(shell, options, files),
        Command::Diff { old, new } => compare::files(shell, options, old, new),
        Command::DryRun { files } => compare::dry_run(shell, options, files),
        Command::List(list) => show::list(shell, options, *list),
        Command::Status => show::status(shell, options),
        Command::Explain { request } => show::explain(shell, options, request),
        Command::Trace { request, files } => trace::run(shell, options, request, files),
        Command::Watch(rounds) => watch::run(shell, options, *rounds),
        Command::HashKey => key::run(shell, options),
    }
}
