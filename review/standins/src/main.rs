//! Stand-ins and drivers of the review's scripts, without dependencies.
//!
//! `review-standins CASE RECORD` plays a case and exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod client;
mod http;
mod record;
mod runner;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let [name, record, rest @ ..] = &args[..] else { return ExitCode::from(2) };
    let path = Path::new(record);
    if name == "runner" {
        let Some(spec) = runner::Spec::from_args(rest) else { return ExitCode::from(2) };
        let served = Record::open(path).and_then(|record| runner::run(spec, record));
        return if served.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(2) };
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match name.as_str() {
        "versions" => cases::versions::play(path, trouble),
        "silence" => cases::silence::play(path, trouble),
        "answers" => cases::answers::play(path, trouble),
        _ => return ExitCode::from(2),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
