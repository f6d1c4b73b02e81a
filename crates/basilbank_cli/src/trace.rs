//! `trace`: one request's way, from the logs of many daemons.

use std::{
    collections::BTreeSet,
    time::{Duration, SystemTime},
};

use serde_json::{Map, Value, json};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::{
    args::{Format, Options, read_file},
    failure::{Failure, Status},
    shell::Shell,
    show::write_json,
};

/// How long before the request its daemon's circumstances are shown.
const BEFORE: Duration = Duration::from_secs(10);

/// Events about an endpoint that say what happened to it.
const ENDPOINT: [&str; 7] = [
    "endpoint",
    "endpoint_gone",
    "endpoint_dark",
    "endpoint_back",
    "call_limit",
    "order",
    "ordered",
];

/// Events of one daemon that touch all its requests.
const DAEMON: [&str; 13] = [
    "started",
    "stopped",
    "shutdown",
    "reloaded",
    "reload_failed",
    "configuration",
    "clock_jump",
    "quota_counter_silent",
    "store_lost",
    "store_regained",
    "store_read_all",
    "store_watch_stale",
    "log_lines_dropped",
];

/// One line of a log.
struct Line {
    at: SystemTime,
    /// The daemon: what a collector put before the time, else the file's name.
    source: String,
    /// The line without its time and level.
    text: String,
    pairs: Vec<(String, String)>,
}

impl Line {
    /// `None` for a line that has no time or no event: another program's.
    fn parse(text: &str, file: &str) -> Option<Line> {
        let words: Vec<_> = text.split_whitespace().collect();
        let (number, at) = words.iter().enumerate().find_map(|(n, word)| Some((n, time(word)?)))?;
        // A collector's own time may stand before the daemon's name.
        let names = words[..number].iter().filter(|word| word.parse::<f64>().is_err());
        let source = names.copied().collect::<Vec<_>>().join(" ");
        let source = if source.is_empty() { file.to_owned() } else { source };
        let begin = text.find("event=")?;
        let text = text[begin..].trim_end().to_owned();
        let pairs = pairs(&text);
        Some(Line { at, source, text, pairs })
    }

    fn value(&self, key: &str) -> Option<&str> {
        self.pairs.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }

    fn is_one_of(&self, events: &[&str]) -> bool {
        self.value("event").is_some_and(|event| events.contains(&event))
    }
}

fn time(word: &str) -> Option<SystemTime> {
    let likely = word.len() >= 20 && word.as_bytes()[10] == b'T';
    likely.then(|| OffsetDateTime::parse(word, &Rfc3339).ok()).flatten().map(SystemTime::from)
}

/// Pairs of a line; a value in quotes may have spaces.
fn pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = text;
    while let Some((key, after)) = rest.split_once('=') {
        let key = key.trim().to_owned();
        let quoted = after.strip_prefix('"').and_then(|inner| inner.split_once('"'));
        let (value, left) = match quoted {
            Some(parts) => parts,
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        pairs.push((key, value.to_owned()));
        rest = left;
    }
    pairs
}

/// What is traced: one request, or all attempts that share a digest.
struct Traced {
    ids: BTreeSet<String>,
    digests: BTreeSet<String>,
}

impl Traced {
    /// `name` is a request's id or a digest. What is known of a request's digest belongs to it.
    fn find(lines: &[Line], name: &str) -> Traced {
        let named = |line: &&Line| {
            line.value("request") == Some(name)
                || line.value("request").is_some() && line.value("digest") == Some(name)
        };
        let all = |key| {
            let values = lines.iter().filter(named).filter_map(|line| line.value(key));
            values.map(str::to_owned).collect()
        };
        Traced { ids: all("request"), digests: all("digest") }
    }

    fn has(&self, line: &Line) -> bool {
        match line.value("request") {
            Some(request) => self.ids.contains(request),
            None => line.value("digest").is_some_and(|digest| self.digests.contains(digest)),
        }
    }
}

/// Shows the lines of a request, or of all attempts of one, and those that explain them.
pub fn run(
    shell: &mut Shell<'_>,
    options: &Options,
    request: &str,
    files: &[String],
) -> Result<Status, Failure> {
    let mut lines = Vec::new();
    for file in files {
        let text = match file.as_str() {
            "-" => {
                let mut text = String::new();
                shell.input.read_to_string(&mut text)?;
                text
            }
            name => read_file(name)?,
        };
        lines.extend(text.lines().filter_map(|line| Line::parse(line, file)));
    }
    let traced = Traced::find(&lines, request);
    let shown = select(lines, &traced);
    if shown.is_empty() {
        return Err(Failure::NotFound(format!("request {request:?} in these logs")));
    }
    match options.format {
        Format::Json => write_json(shell, &shown.iter().map(to_json).collect())?,
        Format::Table => write_lines(shell, &shown, &traced)?,
    }
    Ok(Status::Ok)
}

/// The request's lines and its circumstances, by time: its daemon's own, and what any daemon noted of
/// the endpoints that it was sent to.
fn select(lines: Vec<Line>, traced: &Traced) -> Vec<Line> {
    let is_own = |line: &Line| traced.has(line);
    let own: Vec<_> = lines.iter().filter(|line| is_own(line)).collect();
    let (Some(begin), Some(end)) = (own.iter().map(|l| l.at).min(), own.iter().map(|l| l.at).max())
    else {
        return Vec::new();
    };
    let sources: BTreeSet<_> = own.iter().map(|line| line.source.clone()).collect();
    let instances = own.iter().filter_map(|line| line.value("instance"));
    let instances: BTreeSet<_> = instances.map(str::to_owned).collect();
    let explains = |line: &Line| {
        let near = begin - BEFORE <= line.at && line.at <= end;
        let of_instance = line.value("instance").is_some_and(|name| instances.contains(name));
        let at_daemon = sources.contains(&line.source);
        // Endpoints' entries reach all daemons alike; what one met at them only itself tells.
        let told = !line.is_one_of(&["endpoint", "endpoint_gone"]) || at_daemon;
        near && ((of_instance && told && line.is_one_of(&ENDPOINT))
            || (at_daemon && line.is_one_of(&DAEMON)))
    };
    let mut shown: Vec<_> =
        lines.into_iter().filter(|line| is_own(line) || explains(line)).collect();
    shown.sort_by_key(|line| line.at);
    shown
}

fn write_lines(shell: &mut Shell<'_>, lines: &[Line], traced: &Traced) -> Result<(), Failure> {
    let first = lines.iter().find(|line| traced.has(line));
    let begin = first.map_or(SystemTime::UNIX_EPOCH, |line| line.at);
    let width = lines.iter().map(|line| line.source.len()).max().unwrap_or(0);
    for line in lines {
        let offset = match line.at.duration_since(begin) {
            Ok(after) => after.as_secs_f64() * 1000.0,
            Err(before) => -before.duration().as_secs_f64() * 1000.0,
        };
        let mark = if traced.has(line) { '*' } else { ' ' };
        writeln!(shell.out, "{offset:>9.1} ms {mark} {:<width$}  {}", line.source, line.text)?;
    }
    Ok(())
}

fn to_json(line: &Line) -> Value {
    let mut object = Map::new();
    let at = OffsetDateTime::from(line.at).format(&Rfc3339).unwrap_or_default();
    object.insert("at".to_owned(), json!(at));
    object.insert("daemon".to_owned(), json!(line.source));
    object.extend(line.pairs.iter().map(|(key, value)| (key.clone(), json!(value))));
    Value::Object(object)
}
