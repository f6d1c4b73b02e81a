//! Entry point of the operators' command. The commands are in the library, so that tests can call
//! them.

use std::{env, io, process::ExitCode, thread};

use basilbank_cli::{CommandContext, run};

fn main() -> ExitCode {
    let (mut input, mut out, mut err) =
        (io::stdin().lock(), io::stdout().lock(), io::stderr().lock());
    let mut ctx = CommandContext {
        input: &mut input,
        out: &mut out,
        err: &mut err,
        env: &|name| env::var(name).ok(),
        sleep: &thread::sleep,
    };
    let status = run(&mut ctx, env::args_os().skip(1).collect());
    ExitCode::from(status.code())
}
