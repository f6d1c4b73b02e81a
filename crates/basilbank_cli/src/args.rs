//! Parsing of the command line.

use std::{ffi::OsString, fs, time::Duration};

use pico_args::Arguments;

use crate::failure::Failure;

/// Default time between two polls of `watch`.
const DEFAULT_WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// Output format.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Format {
    /// Aligned tables.
    Table,
    /// JSON.
    Json,
}

/// Options that all commands accept.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Options {
    /// Admin address of the daemon.
    pub admin: Option<String>,
    /// Admin key of the daemon.
    pub key: Option<String>,
    /// Output format.
    pub format: Format,
}

/// A list that the admin API serves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum List {
    /// Entries of the catalogue in force.
    Catalogue,
    /// Endpoints with their slots and health.
    Endpoints,
    /// Teams with their requests in progress.
    Teams,
    /// VMs of the system.
    Peers,
    /// Requests in progress, and some recently ended ones.
    Requests,
    /// Steering orders to endpoints.
    Orders,
}

/// How often and how many times `watch` polls.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WatchOptions {
    /// Number of polls before `watch` ends; `None` if it runs until it is interrupted.
    pub count: Option<u64>,
    /// Time between two polls.
    pub interval: Duration,
}

/// Subject of a help text.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Topic {
    /// All commands.
    Overview,
    /// `check`
    Check,
    /// `diff`
    Diff,
    /// `status`
    Status,
    /// One of the lists.
    List(List),
    /// `explain`
    Explain,
    /// `trace`
    Trace,
    /// `watch`
    Watch,
    /// `hash-key`
    HashKey,
}

/// A command with its arguments.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Command {
    /// Prints a help text.
    Help(Topic),
    /// Checks settings and catalogue documents.
    Check {
        /// Files to check.
        files: Vec<String>,
    },
    /// Compares two catalogues.
    Diff {
        /// Documents of the old catalogue.
        old: Vec<String>,
        /// Documents of the new catalogue.
        new: Vec<String>,
    },
    /// Has a daemon compare a catalogue with the one it has in force.
    DryRun {
        /// Documents of the catalogue.
        files: Vec<String>,
    },
    /// Shows the state of the daemon.
    Status,
    /// Shows a list.
    List(List),
    /// Shows the events of a request.
    Explain {
        /// Id that the daemon gave the request.
        request_id: String,
    },
    /// Shows a request as it appears in the logs of daemons.
    Trace {
        /// Id of the request at the caller, or its digest.
        id_or_digest: String,
        /// Log files; `-` is standard input.
        files: Vec<String>,
    },
    /// Polls the daemon and shows changes.
    Watch(WatchOptions),
    /// Hashes a bearer key.
    HashKey,
}

/// A parsed command line.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Invocation {
    /// Options common to all commands.
    pub options: Options,
    /// Command to run.
    pub command: Command,
}

impl List {
    /// Returns the name of the list, which is the same on the command line and in the admin API.
    pub fn name(self) -> &'static str {
        match self {
            List::Catalogue => "catalogue",
            List::Endpoints => "endpoints",
            List::Teams => "teams",
            List::Peers => "peers",
            List::Requests => "requests",
            List::Orders => "orders",
        }
    }
}

impl Invocation {
    /// Parses a command line.
    ///
    /// # Errors
    ///
    /// Returns an error if the command line is invalid or the key file can't be read.
    pub fn parse(
        mut args: Vec<OsString>,
        env: &dyn Fn(&str) -> Option<String>,
    ) -> Result<Invocation, Failure> {
        // `--` separates the two lists of files of `diff`; no other command accepts it.
        let after_separator = args.iter().position(|arg| arg == "--").map(|at| args.split_off(at));
        let mut args = Arguments::from_vec(args);
        let help = args.contains(["-h", "--help"]);
        let options = read_options(&mut args, env)?;
        let count = args.opt_value_from_str("--count")?;
        let seconds: Option<f64> = args.opt_value_from_str("--interval")?;
        let watch = WatchOptions { count, interval: parse_interval(seconds)? };
        let name = args.subcommand()?;
        let Some(topic) = parse_topic(name.as_deref())? else {
            let command = Command::Help(Topic::Overview);
            return help.then_some(Invocation { options, command }).ok_or_else(no_command_error);
        };
        if help {
            return Ok(Invocation { options, command: Command::Help(topic) });
        }
        if topic != Topic::Watch && (count.is_some() || seconds.is_some()) {
            return Err(Failure::Usage("--count and --interval go with `watch`".to_owned()));
        }
        let rest = into_strings(args.finish())?;
        let after_separator = after_separator
            .map(|args| into_strings(args.into_iter().skip(1).collect()))
            .transpose()?;
        Ok(Invocation { options, command: build_command(topic, rest, after_separator, watch)? })
    }
}

fn no_command_error() -> Failure {
    Failure::Usage("no command is given".to_owned())
}

fn parse_interval(seconds: Option<f64>) -> Result<Duration, Failure> {
    let Some(seconds) = seconds else { return Ok(DEFAULT_WATCH_INTERVAL) };
    let invalid_interval =
        || Failure::Usage("--interval is a number of seconds from 0.1".to_owned());
    let interval = Duration::try_from_secs_f64(seconds).map_err(|_| invalid_interval())?;
    if interval < Duration::from_millis(100) {
        return Err(invalid_interval());
    }
    Ok(interval)
}

fn read_options(
    args: &mut Arguments,
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<Options, Failure> {
    let admin: Option<String> = args.opt_value_from_str("--admin")?;
    let key_file: Option<String> = args.opt_value_from_str("--key-file")?;
    let format = if args.contains("--json") { Format::Json } else { Format::Table };
    let key = match key_file {
        Some(name) => Some(read_file(&name)?.trim().to_owned()),
        None => env("BASILBANK_KEY"),
    };
    Ok(Options { admin: admin.or_else(|| env("BASILBANK_ADMIN")), key, format })
}

/// Reads a file that is given on the command line.
pub fn read_file(name: &str) -> Result<String, Failure> {
    fs::read_to_string(name).map_err(|error| Failure::File { name: name.to_owned(), error })
}

fn into_strings(args: Vec<OsString>) -> Result<Vec<String>, Failure> {
    let text = |arg: OsString| {
        let text = arg.into_string();
        text.map_err(|arg| Failure::Usage(format!("{} is not Unicode", arg.display())))
    };
    args.into_iter().map(text).collect()
}

fn parse_topic(name: Option<&str>) -> Result<Option<Topic>, Failure> {
    let Some(name) = name else { return Ok(None) };
    Ok(Some(match name {
        "check" => Topic::Check,
        "diff" => Topic::Diff,
        "status" => Topic::Status,
        "catalogue" => Topic::List(List::Catalogue),
        "endpoints" => Topic::List(List::Endpoints),
        "teams" => Topic::List(List::Teams),
        "peers" => Topic::List(List::Peers),
        "requests" => Topic::List(List::Requests),
        "orders" => Topic::List(List::Orders),
        "explain" => Topic::Explain,
        "trace" => Topic::Trace,
        "watch" => Topic::Watch,
        "hash-key" => Topic::HashKey,
        _ => return Err(Failure::Usage(format!("there is no command {name:?}"))),
    }))
}

fn build_command(
    topic: Topic,
    rest: Vec<String>,
    after_separator: Option<Vec<String>>,
    watch: WatchOptions,
) -> Result<Command, Failure> {
    if let Some(option) = rest.iter().find(|arg| arg.starts_with('-') && *arg != "-") {
        return Err(Failure::Usage(format!("there is no option {option}")));
    }
    if after_separator.is_some() && topic != Topic::Diff {
        return Err(Failure::Usage("only `diff` takes a second list after --".to_owned()));
    }
    match topic {
        Topic::Check => Ok(Command::Check { files: require_files(rest)? }),
        Topic::Diff => match after_separator {
            Some(new) => Ok(Command::Diff { old: require_files(rest)?, new: require_files(new)? }),
            None => Ok(Command::DryRun { files: require_files(rest)? }),
        },
        Topic::Explain => match <[String; 1]>::try_from(rest) {
            Ok([request_id]) => Ok(Command::Explain { request_id }),
            Err(_) => Err(Failure::Usage("`explain` takes one request id".to_owned())),
        },
        Topic::Trace => match rest.split_first() {
            Some((id_or_digest, files)) => {
                let files = require_files(files.to_vec())?;
                Ok(Command::Trace { id_or_digest: id_or_digest.clone(), files })
            }
            None => Err(Failure::Usage("`trace` takes a request id and logs".to_owned())),
        },
        _ if !rest.is_empty() => Err(Failure::Usage(format!("{:?} is one too many", rest[0]))),
        Topic::Status => Ok(Command::Status),
        Topic::List(list) => Ok(Command::List(list)),
        Topic::Watch => Ok(Command::Watch(watch)),
        Topic::HashKey => Ok(Command::HashKey),
        Topic::Overview => Ok(Command::Help(Topic::Overview)),
    }
}

fn require_files(files: Vec<String>) -> Result<Vec<String>, Failure> {
    if files.is_empty() {
        return Err(Failure::Usage("no file is given".to_owned()));
    }
    Ok(files)
}
