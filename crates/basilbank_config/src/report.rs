//! Findings while they are collected.

use std::collections::HashMap;

use crate::finding::{Finding, Findings, Severity};

/// A place in one of the texts that are checked.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub(crate) struct Spot {
    /// Position among the texts.
    pub file: usize,
    /// Byte offset.
    pub start: usize,
}

/// A text that is checked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source<'a> {
    /// The file's name, or the document's key.
    pub name: &'a str,
    /// The text.
    pub text: &'a str,
}

#[derive(Debug)]
struct Raw {
    spot: Spot,
    other: Option<Spot>,
    severity: Severity,
    message: String,
    help: String,
}

/// The findings so far. Lines and columns are worked out at the end, in one pass over each text, so
/// that a large text with many findings takes no longer than a small one for each.
#[derive(Debug)]
pub(crate) struct Report<'a> {
    sources: Vec<Source<'a>>,
    raw: Vec<Raw>,
}

impl<'a> Report<'a> {
    /// No findings yet.
    pub fn new(sources: Vec<Source<'a>>) -> Report<'a> {
        Report { sources, raw: Vec::new() }
    }

    /// The texts.
    pub fn source(&self, file: usize) -> Source<'a> {
        self.sources[file]
    }

    /// Adds an error: what is wrong, and what to write instead.
    pub fn error(&mut self, spot: Spot, message: impl Into<String>, help: impl Into<String>) {
        self.add(spot, None, Severity::Error, message.into(), help.into());
    }

    /// Adds an error that another place has a part in.
    pub fn clash(
        &mut self,
        spot: Spot,
        other: Spot,
        message: impl Into<String>,
        help: impl Into<String>,
    ) {
        self.add(spot, Some(other), Severity::Error, message.into(), help.into());
    }

    /// Adds a warning.
    pub fn warning(&mut self, spot: Spot, message: impl Into<String>, help: impl Into<String>) {
        self.add(spot, None, Severity::Warning, message.into(), help.into());
    }

    fn add(
        &mut self,
        spot: Spot,
        other: Option<Spot>,
        severity: Severity,
        message: String,
        help: String,
    ) {
        self.raw.push(Raw { spot, other, severity, message, help });
    }

    /// All findings, with their places, in order.
    pub fn finish(self) -> Findings {
        let places = self.places();
        let mut raw = self.raw;
        raw.sort_by(|a, b| (a.spot, &a.message).cmp(&(b.spot, &b.message)));
        let finding = |raw: Raw| {
            let (line, column) = places[&raw.spot];
            let mut message = raw.message;
            if let Some(other) = raw.other {
                let (line, column) = places[&other];
                let name = self.sources[other.file].name;
                message.push_str(&format!(" (the other is at {name}:{line}:{column})"));
            }
            let file = self.sources[raw.spot.file].name.to_owned();
            Finding { file, line, column, severity: raw.severity, message, help: raw.help }
        };
        Findings { items: raw.into_iter().map(finding).collect() }
    }

    fn places(&self) -> HashMap<Spot, (usize, usize)> {
        let mut spots: Vec<Spot> =
            self.raw.iter().flat_map(|raw| [Some(raw.spot), raw.other]).flatten().collect();
        spots.sort_unstable();
        spots.dedup();
        let files = spots.chunk_by(|a, b| a.file == b.file);
        files.flat_map(|spots| locate(self.sources[spots[0].file].text, spots)).collect()
    }
}

/// Lines and columns of sorted spots in one text.
fn locate(text: &str, spots: &[Spot]) -> Vec<(Spot, (usize, usize))> {
    let (mut line, mut column, mut at) = (1, 1, 0);
    let mut found = Vec::with_capacity(spots.len());
    for spot in spots {
        let end = text.floor_char_boundary(spot.start);
        for c in text[at..end].chars() {
            column += 1;
            if c == '\n' {
                line += 1;
                column = 1;
            }
        }
        at = end;
        found.push((*spot, (line, column)));
    }
    found
}
