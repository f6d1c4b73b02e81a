//! Logs: one line of key=value pairs for each event.
//!
//! A request's id stands in all its lines as `request`. Keys, prompts and answers never do: the
//! core's reports carry none.

mod writer;

use std::{
    fmt::{Display, Write as _},
    fs::OpenOptions,
    io::Write,
    time::Duration,
};

use anyhow::Context;
use basilbank_config::LogSettings;
use basilbank_core::effect::Progress;
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

pub use self::writer::{LineWriter, LogFlush};
use crate::names::Names;

/// Starts the process's logger. What it returns flushes the log, before the process exits.
///
/// # Errors
/// The file can't be opened, the level is unknown, or a logger was started before.
pub fn start(settings: &LogSettings) -> anyhow::Result<LogFlush> {
    start_to(&settings.level, target(settings)?)
}

/// Starts the process's logger on any target.
///
/// # Errors
/// The level is unknown, or a logger was started before.
pub fn start_to(level: &str, target: Box<dyn Write + Send>) -> anyhow::Result<LogFlush> {
    let level: LevelFilter = level.parse().context("log level")?;
    let (writer, flush) = LineWriter::start(target)?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        // The libraries' own lines are not key=value pairs, and may carry headers.
        .add_filter_allow_str("basilbank")
        .build();
    WriteLogger::init(level, config, writer)?;
    Ok(flush)
}

fn target(settings: &LogSettings) -> anyhow::Result<Box<dyn Write + Send>> {
    let Some(path) = &settings.file else { return Ok(Box::new(std::io::stderr())) };
    let file = OpenOptions::new().create(true).append(true).open(path).context("log file")?;
    Ok(Box::new(file))
}

/// One line: an event, and pairs in the order in which they were added.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Line {
    event: String,
    pairs: String,
}

impl Line {
    /// A line for an event.
    #[must_use]
    pub fn new(event: &str) -> Line {
        Line { event: event.to_owned(), pairs: String::new() }
    }

    /// The event's name.
    #[must_use]
    pub fn event(&self) -> &str {
        &self.event
    }

    /// The pairs, without the event.
    #[must_use]
    pub fn detail(&self) -> &str {
        self.pairs.trim_start()
    }

    /// Adds a pair. A value with blanks, quotes or control characters is quoted, so that no value
    /// can pass for another pair or another line.
    #[must_use]
    pub fn with(mut self, key: &str, value: impl Display) -> Line {
        let value = value.to_string();
        let plain = !value.is_empty() && value.chars().all(is_plain);
        let written = match plain {
            true => write!(self.pairs, " {key}={value}"),
            false => write!(self.pairs, " {key}={value:?}"),
        };
        debug_assert!(written.is_ok(), "a string takes all that is written");
        self
    }

    /// Adds a pair if there is a value.
    #[must_use]
    pub fn with_some(self, key: &str, value: Option<impl Display>) -> Line {
        match value {
            Some(value) => self.with(key, value),
            None => self,
        }
    }

    /// Adds a duration in milliseconds.
    #[must_use]
    pub fn with_ms(self, key: &str, value: Duration) -> Line {
        self.with(key, format_args!("{:.3}", value.as_secs_f64() * 1e3))
    }
}

impl Display for Line {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "event={}{}", self.event, self.pairs)
    }
}

fn is_plain(c: char) -> bool {
    !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\')
}

/// The line for a report of the core.
#[must_use]
pub fn line(progress: &Progress, names: &Names) -> Line {
    match progress {
        Progress::Accepted { request, team, entry } => Line::new("accepted")
            .with("request", request)
            .with("team", names.team(*team))
            .with("entry", names.entry(*entry)),
        Progress::Queued { request } => Line::new("queued").with("request", request),
        Progress::Placed { request, endpoint, role, waited } => Line::new("placed")
            .with("request", request)
            .with("endpoint", names.endpoint(*endpoint))
            .with("role", role)
            .with_ms("waited_ms", *waited),
        Progress::Refused { request, team, refusal } => Line::new("refused")
            .with_some("request", *request)
            .with_some("team", team.map(|id| names.team(id)))
            .with("reason", refusal.as_str()),
        Progress::Retried { request, retry, backoff } => Line::new("retried")
            .with("request", request)
            .with("reason", retry.as_str())
            .with_ms("backoff_ms", *backoff),
        Progress::FirstToken { request, entry, ttft } => Line::new("first_token")
            .with("request", request)
            .with("entry", names.entry(*entry))
            .with_ms("ttft_ms", *ttft),
        Progress::Wasted { request, waste, prefill_time, tokens } => Line::new("wasted")
            .with("request", request)
            .with("reason", waste.as_str())
            .with_ms("prefill_ms", *prefill_time)
            .with("tokens", tokens),
        Progress::Settled { .. } => settled(progress, names),
        Progress::Note { name, fields } => {
            fields.iter().fold(Line::new(name), |line, (key, value)| line.with(key, value))
        }
    }
}

fn settled(progress: &Progress, names: &Names) -> Line {
    let line = Line::new("settled");
    let Progress::Settled {
        request,
        team,
        entry,
        outcome,
        duration,
        prompt_tokens,
        generated_tokens,
        tbt,
    } = progress
    else {
        return line;
    };
    line.with("request", request)
        .with("team", names.team(*team))
        .with("entry", names.entry(*entry))
        .with("outcome", outcome.as_str())
        .with_ms("took_ms", *duration)
        .with("prompt", prompt_tokens)
        .with("generated", generated_tokens)
        .with_ms("tbt_ms", *tbt)
}
