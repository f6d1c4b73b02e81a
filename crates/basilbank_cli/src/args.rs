//! The command line.

use std::{ffi::OsString, fs, time::Duration};

use pico_args::Arguments;

use crate::failure::Failure;

/// Time between two rounds of `watch` when none is given.
const DEFAULT_WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// How output looks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Format {
    /// Aligned tables.
    Table,
    /// JSON.
    Json,
}

/// What all commands take.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Options {
    /// The daemon's admin address.
    pub admin: Option<String>,
    /// The operators' key.
    pub key: Option<String>,
    /// How output looks.
    pub format: Format,
}

/// A list that the admin API has.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum List {
    /// Entries of the catalogue in force.
    Catalogue,
    /// Endpoints.
    Endpoints,
    /// Teams.
    Teams,
    /// Peers.
    Peers,
    /// Requests in progress, and some that ended.
    Requests,
    /// Orders to endpoints.
    Orders,
}

/// How often `watch` looks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WatchOptions {
    /// Rounds before it ends; `None` for no end.
    pub count: Option<u64>,
    /// Time between two rounds.
    pub interval: Duration,
}

/// What a help text is about.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Topic {
    /// The whole.
    Overview,
    /// `check`
    Check,
    /// `diff`
    Diff,
    /// `status`
    Status,
    /// A list
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

/// One command.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Command {
    /// Tell how a command is used.
    Help(Topic),
    /// Check texts.
    Check {
        /// The files.
        files: Vec<String>,
    },
    /// Compare two catalogues.
    Diff {
        /// The one catalogue's files.
        old: Vec<String>,
        /// The other's.
        new: Vec<String>,
    },
    /// Compare a catalogue with the one that a daemon has in force.
    DryRun {
        /// The catalogue's files.
        files: Vec<String>,
    },
    /// Show the daemon's state.
    Status,
    /// Show a list.
    List(List),
    /// Tell what became of a request.
    Explain {
        /// Its id.
        request_id: String,
    },
    /// Show a request's way by logs.
    Trace {
        /// Its id at the caller.
        id_or_digest: String,
        /// The logs.
        files: Vec<String>,
    },
    /// Show changes as they happen.
    Watch(WatchOptions),
    /// Hash a bearer key.
    HashKey,
}

/// A command with its options.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Invocation {
    /// The options.
    pub options: Options,
    /// The command.
    pub command: Command,
}

impl List {
    /// Its name, on the command line and in the admin API.
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
    /// Reads a command line.
    ///
    /// # Errors
    ///
    /// The command line is wrong, or the key's file can't be read.
    pub fn parse(
        mut args: Vec<OsString>,
        env: &dyn Fn(&str) -> Option<String>,
    ) -> Result<Invocation, Failure> {
        // Only `diff` has a second list of files.
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

/// Reads a file that the command line names.
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
