//! Collects the findings of a check.

use std::collections::HashMap;

use crate::finding::{Finding, Findings, Severity};

/// A position in one of the checked texts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub(crate) struct Position {
    /// Index of the text in the report's sources.
    pub file: usize,
    /// Byte offset in the text.
    pub offset: usize,
}

/// A text to check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source<'a> {
    /// Name of the file, or key of the document.
    pub name: &'a str,
    /// Contents of the file or document.
    pub text: &'a str,
}

/// A finding whose line and column have not been computed yet.
#[derive(Debug)]
struct PendingFinding {
    pos: Position,
    related: Option<Position>,
    severity: Severity,
    message: String,
    help: String,
}

/// The findings collected so far. Lines and columns are computed at the end in one pass over each
/// text, so that the time per finding doesn't grow with the size of the text.
#[derive(Debug)]
pub(crate) struct Report<'a> {
    sources: Vec<Source<'a>>,
    pending: Vec<PendingFinding>,
}

impl<'a> Report<'a> {
    /// Creates a report without findings.
    pub fn new(sources: Vec<Source<'a>>) -> Report<'a> {
        Report { sources, pending: Vec::new() }
    }

    /// Returns a text by its index.
    pub fn source(&self, file: usize) -> Source<'a> {
        self.sources[file]
    }

    /// Adds an error with a description of the problem and a suggested correction.
    pub fn error(&mut self, pos: Position, message: impl Into<String>, help: impl Into<String>) {
        self.add(pos, None, Severity::Error, message.into(), help.into());
    }

    /// Adds an error that involves a second position, which the message will name.
    pub fn conflict(
        &mut self,
        pos: Position,
        related: Position,
        message: impl Into<String>,
        help: impl Into<String>,
    ) {
        self.add(pos, Some(related), Severity::Error, message.into(), help.into());
    }

    /// Adds a warning with a description of the problem and a suggested correction.
    pub fn warning(&mut self, pos: Position, message: impl Into<String>, help: impl Into<String>) {
        self.add(pos, None, Severity::Warning, message.into(), help.into());
    }

    fn add(
        &mut self,
        pos: Position,
        related: Option<Position>,
        severity: Severity,
        message: String,
        help: String,
    ) {
        self.pending.push(PendingFinding { pos, related, severity, message, help });
    }

    /// Returns all findings with their lines and columns, sorted by position.
    pub fn finish(self) -> Findings {
        let line_columns = self.line_columns();
        let mut pending = self.pending;
        pending.sort_by(|a, b| (a.pos, &a.message).cmp(&(b.pos, &b.message)));
        let finding = |pending: PendingFinding| {
            let (line, column) = line_columns[&pending.pos];
            let mut message = pending.message;
            if let Some(related) = pending.related {
                let (line, column) = line_columns[&related];
                let name = self.sources[related.file].name;
                message.push_str(&format!(" (the other is at {name}:{line}:{column})"));
            }
            let file = self.sources[pending.pos.file].name.to_owned();
            Finding { file, line, column, severity: pending.severity, message, help: pending.help }
        };
        Findings { items: pending.into_iter().map(finding).collect() }
    }

    /// Returns the line and column of every position that a finding refers to.
    fn line_columns(&self) -> HashMap<Position, (usize, usize)> {
        let mut positions: Vec<Position> = self
            .pending
            .iter()
            .flat_map(|pending| [Some(pending.pos), pending.related])
            .flatten()
            .collect();
        positions.sort_unstable();
        positions.dedup();
        let files = positions.chunk_by(|a, b| a.file == b.file);
        files
            .flat_map(|positions| locate(self.sources[positions[0].file].text, positions))
            .collect()
    }
}

/// Returns the lines and columns of sorted positions in one text.
fn locate(text: &str, positions: &[Position]) -> Vec<(Position, (usize, usize))> {
    let (mut line, mut column, mut scanned) = (1, 1, 0);
    let mut located = Vec::with_capacity(positions.len());
    for pos in positions {
        let end = text.floor_char_boundary(pos.offset);
        for c in text[scanned..end].chars() {
            column += 1;
            if c == '\n' {
                line += 1;
                column = 1;
            }
        }
        scanned = end;
        located.push((*pos, (line, column)));
    }
    located
}
