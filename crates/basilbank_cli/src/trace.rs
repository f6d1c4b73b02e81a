//! The command `trace`: follows one request through the logs of many daemons.

use std::{
    collections::BTreeSet,
    time::{Duration, SystemTime},
};

use serde_json::{Map, Value, json};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::{
    args::{Format, Options, read_file},
    context::CommandContext,
    failure::{ExitStatus, Failure},
    show::write_json,
};

/// Time before the first line of the request within which related events are shown.
const CONTEXT_BEFORE_REQUEST: Duration = Duration::from_secs(10);

/// Events that report a change of an endpoint.
const ENDPOINT_EVENTS: [&str; 7] = [
    "endpoint",
    "endpoint_gone",
    "endpoint_dark",
    "endpoint_back",
    "call_limit",
    "order",
    "ordered",
];

/// Events of a daemon that affect all its requests.
const DAEMON_EVENTS: [&str; 13] = [
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

/// A parsed line of a daemon's log.
struct LogLine {
    at: SystemTime,
    /// Name of the daemon: the text that a log collector put before the time, or else the name of
    /// the file.
    source: String,
    /// The line from `event=` on, without time and level.
    text: String,
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line. Returns `None` for a line without a time or an event, which another program
    /// wrote.
    fn parse(text: &str, file: &str) -> Option<LogLine> {
        let words: Vec<_> = text.split_whitespace().collect();
        let (number, at) =
            words.iter().enumerate().find_map(|(n, word)| Some((n, parse_time(word)?)))?;
        // A collector may put a time of its own, as a number, before the name of the daemon.
        let names = words[..number].iter().filter(|word| word.parse::<f64>().is_err());
        let source = names.copied().collect::<Vec<_>>().join(" ");
        let source = if source.is_empty() { file.to_owned() } else { source };
        let event_start = text.find("event=")?;
        let text = text[event_start..].trim_end().to_owned();
        let fields = parse_fields(&text);
        Some(LogLine { at, source, text, fields })
    }

    fn value(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }

    fn is_one_of(&self, events: &[&str]) -> bool {
        self.value("event").is_some_and(|event| events.contains(&event))
    }
}

fn parse_time(word: &str) -> Option<SystemTime> {
    let may_be_time = word.len() >= 20 && word.as_bytes()[10] == b'T';
    may_be_time.then(|| OffsetDateTime::parse(word, &Rfc3339).ok()).flatten().map(SystemTime::from)
}

/// Parses the `key=value` fields of a line. A quoted value may contain spaces.
fn parse_fields(text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut rest = text;
    while let Some((key, after)) = rest.split_once('=') {
        let key = key.trim().to_owned();
        let quoted = after.strip_prefix('"').and_then(|inner| inner.split_once('"'));
        let (value, remaining) = match quoted {
            Some(parts) => parts,
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields.push((key, value.to_owned()));
        rest = remaining;
    }
    fields
}

/// Selects the lines of one request, or of all attempts that share a digest.
struct TraceFilter {
    ids: BTreeSet<String>,
    digests: BTreeSet<String>,
}

impl TraceFilter {
    /// Resolves `name`, the id or the digest of a request. The filter also matches lines that have
    /// only the digest of a selected request.
    fn resolve(lines: &[LogLine], name: &str) -> TraceFilter {
        let is_named = |line: &&LogLine| {
            line.value("request") == Some(name)
                || line.value("request").is_some() && line.value("digest") == Some(name)
        };
        let collect_values = |key| {
            let values = lines.iter().filter(is_named).filter_map(|line| line.value(key));
            values.map(str::to_owned).collect()
        };
        TraceFilter { ids: collect_values("request"), digests: collect_values("digest") }
    }

    fn matches(&self, line: &LogLine) -> bool {
        match line.value("request") {
            Some(request) => self.ids.contains(request),
            None => line.value("digest").is_some_and(|digest| self.digests.contains(digest)),
        }
    }
}

/// Prints the lines of a request, or of all attempts that share a digest, and related events.
pub fn run(
    ctx: &mut CommandContext<'_>,
    options: &Options,
    id_or_digest: &str,
    files: &[String],
) -> Result<ExitStatus, Failure> {
    let mut lines = Vec::new();
    for file in files {
        let text = match file.as_str() {
            "-" => {
                let mut text = String::new();
                ctx.input.read_to_string(&mut text)?;
                text
            }
            name => read_file(name)?,
        };
        lines.extend(text.lines().filter_map(|line| LogLine::parse(line, file)));
    }
    let traced = TraceFilter::resolve(&lines, id_or_digest);
    let shown = select_lines(lines, &traced);
    if shown.is_empty() {
        return Err(Failure::NotFound(format!("request {id_or_digest:?} in these logs")));
    }
    match options.format {
        Format::Json => write_json(ctx, &shown.iter().map(to_json).collect())?,
        Format::Table => write_lines(ctx, &shown, &traced)?,
    }
    Ok(ExitStatus::Ok)
}

/// Returns the lines of the request and related events, sorted by time. Related are events of the
/// daemons that served it, and events about the endpoints that it was sent to, from any daemon.
fn select_lines(lines: Vec<LogLine>, traced: &TraceFilter) -> Vec<LogLine> {
    let is_traced = |line: &LogLine| traced.matches(line);
    let request_lines: Vec<_> = lines.iter().filter(|line| is_traced(line)).collect();
    let (Some(begin), Some(end)) =
        (request_lines.iter().map(|l| l.at).min(), request_lines.iter().map(|l| l.at).max())
    else {
        return Vec::new();
    };
    let sources: BTreeSet<_> = request_lines.iter().map(|line| line.source.clone()).collect();
    let instances = request_lines.iter().filter_map(|line| line.value("instance"));
    let instances: BTreeSet<_> = instances.map(str::to_owned).collect();
    let is_circumstance = |line: &LogLine| {
        let is_in_period = begin - CONTEXT_BEFORE_REQUEST <= line.at && line.at <= end;
        let of_instance = line.value("instance").is_some_and(|name| instances.contains(name));
        let at_daemon = sources.contains(&line.source);
        // All daemons log the same changes of endpoint records. Those of the request's own daemons
        // are enough; the other endpoint events are specific to the daemon that logs them.
        let is_relevant = !line.is_one_of(&["endpoint", "endpoint_gone"]) || at_daemon;
        is_in_period
            && ((of_instance && is_relevant && line.is_one_of(&ENDPOINT_EVENTS))
                || (at_daemon && line.is_one_of(&DAEMON_EVENTS)))
    };
    let mut shown: Vec<_> =
        lines.into_iter().filter(|line| is_traced(line) || is_circumstance(line)).collect();
    shown.sort_by_key(|line| line.at);
    shown
}

fn write_lines(
    ctx: &mut CommandContext<'_>,
    lines: &[LogLine],
    traced: &TraceFilter,
) -> Result<(), Failure> {
    let first = lines.iter().find(|line| traced.matches(line));
    let begin = first.map_or(SystemTime::UNIX_EPOCH, |line| line.at);
    let width = lines.iter().map(|line| line.source.len()).max().unwrap_or(0);
    for line in lines {
        let offset = match line.at.duration_since(begin) {
            Ok(elapsed) => elapsed.as_secs_f64() * 1000.0,
            Err(before) => -before.duration().as_secs_f64() * 1000.0,
        };
        let mark = if traced.matches(line) { '*' } else { ' ' };
        writeln!(ctx.out, "{offset:>9.1} ms {mark} {:<width$}  {}", line.source, line.text)?;
    }
    Ok(())
}

fn to_json(line: &LogLine) -> Value {
    let mut object = Map::new();
    let at = OffsetDateTime::from(line.at).format(&Rfc3339).unwrap_or_default();
    object.insert("at".to_owned(), json!(at));
    object.insert("daemon".to_owned(), json!(line.source));
    object.extend(line.fields.iter().map(|(key, value)| (key.clone(), json!(value))));
    Value::Object(object)
}
