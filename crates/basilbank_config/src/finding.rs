//! What a check found.

use std::{error::Error, fmt};

/// How bad a finding is.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Severity {
    /// The text is not accepted.
    Error,
    /// The text is accepted, but probably not what was meant.
    Warning,
}

impl Severity {
    /// The stable name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
        }
    }
}

/// One thing that is wrong with a text.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Finding {
    /// The file's name, or the document's key.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// How bad it is.
    pub severity: Severity,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub help: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { file, line, column, severity, message, help } = self;
        write!(f, "{file}:{line}:{column}: {}: {message}; {help}", severity.as_str())
    }
}

/// All findings of one check, by file, line and column.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Findings {
    /// The findings.
    pub items: Vec<Finding>,
}

impl Findings {
    /// How many of the findings are errors.
    #[must_use]
    pub fn error_count(&self) -> usize {
        self.items.iter().filter(|f| f.severity == Severity::Error).count()
    }

    /// Whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The number of findings.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }
}

impl fmt::Display for Findings {
    /// One finding a line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.items.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl Error for Findings {}
