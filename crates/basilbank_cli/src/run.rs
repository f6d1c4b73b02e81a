//! Dispatch of commands.

use std::ffi::OsString;

use crate::{
    args::{Command, Invocation},
    check, compare,
    context::CommandContext,
    failure::{ExitStatus, Failure},
    hash_key, help, show, trace, watch,
};

/// Runs a command and returns its exit status. `args` is the command line without the program name.
pub fn run(ctx: &mut CommandContext<'_>, args: Vec<OsString>) -> ExitStatus {
    match Invocation::parse(args, ctx.env).and_then(|invocation| run_invocation(ctx, &invocation)) {
        Ok(status) => status,
        Err(failure) => {
            let status = failure.status();
            if status != ExitStatus::Ok {
                // If standard error is closed, the exit status still reports the failure.
                let _ = writeln!(ctx.err, "basilbank: {failure}");
            }
            status
        }
    }
}

fn run_invocation(
    ctx: &mut CommandContext<'_>,
    invocation: &Invocation,
) -> Result<ExitStatus, Failure> {
    let options = &invocation.options;
    match &invocation.command {
        Command::Help(topic) => {
            ctx.out.write_all(help::text(*topic).as_bytes())?;
            Ok(ExitStatus::Ok)
        }
        Command::Check { files } => check::run(ctx, options, files),
        Command::Diff { old, new } => compare::compare_files(ctx, options, old, new),
        Command::DryRun { files } => compare::dry_run(ctx, options, files),
        Command::List(list) => show::list(ctx, options, *list),
        Command::Status => show::status(ctx, options),
        Command::Explain { request_id } => show::explain(ctx, options, request_id),
        Command::Trace { id_or_digest, files } => trace::run(ctx, options, id_or_digest, files),
        Command::Watch(watch) => watch::run(ctx, options, *watch),
        Command::HashKey => hash_key::run(ctx, options),
    }
}
