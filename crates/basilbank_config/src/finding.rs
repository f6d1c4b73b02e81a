//! Errors and warnings found by a check.

use std::{error::Error, fmt};

/// Severity of a finding.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Severity {
    /// The text is not accepted.
    Error,
    /// The text is accepted, but probably doesn't do what was intended.
    Warning,
}

impl Severity {
    /// Returns the stable name of the severity, for output.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
        }
    }
}

/// An error or warning about one position in a text.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Finding {
    /// Name of the file, or key of the document.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Whether it is an error or a warning.
    pub severity: Severity,
    /// Description of the problem.
    pub message: String,
    /// Suggested correction.
    pub help: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { file, line, column, severity, message, help } = self;
        write!(f, "{file}:{line}:{column}: {}: {message}; {help}", severity.as_str())
    }
}

/// All findings of one check, sorted by file, line and column.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Findings {
    /// The findings in order.
    pub items: Vec<Finding>,
}

impl Findings {
    /// Returns the number of findings that are errors.
    #[must_use]
    pub fn error_count(&self) -> usize {
        self.items.iter().filter(|f| f.severity == Severity::Error).count()
    }

    /// Returns whether there are neither errors nor warnings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the number of errors and warnings.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }
}

impl fmt::Display for Findings {
    /// Writes one finding per line.
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
