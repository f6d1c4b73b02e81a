//! Lines of an answer, each of bounded size.

use std::io::{self, BufRead, BufReader, Read};

use serde::de::DeserializeOwned;

/// Longest line in bytes.
const LINE: u64 = 1 << 20;

/// Reads an answer line by line.
pub struct Lines<R> {
    reader: BufReader<R>,
    line: Vec<u8>,
}

impl<R: Read> Lines<R> {
    /// Reads lines from an answer's body.
    pub fn new(body: R) -> Lines<R> {
        Lines { reader: BufReader::new(body), line: Vec::new() }
    }

    /// The next line, decoded.
    ///
    /// # Errors
    /// There is none; see [`NoLine`].
    pub fn next<T: DeserializeOwned>(&mut self) -> Result<T, NoLine> {
        self.line.clear();
        let read = self.reader.by_ref().take(LINE).read_until(b'\n', &mut self.line);
        read.map_err(|error| NoLine::from(&error))?;
        if self.line.last() != Some(&b'\n') {
            return Err(NoLine::Broken);
        }
        serde_json::from_slice(&self.line).map_err(|_| NoLine::Broken)
    }
}

/// Why there is no next line.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NoLine {
    /// The endpoint was silent too long.
    Silent,
    /// The answer ended or broke, or the line is too long or not of this kind.
    Broken,
}

impl From<&io::Error> for NoLine {
    fn from(error: &io::Error) -> NoLine {
        let cause = error.get_ref().and_then(|e| e.downcast_ref());
        let is_silent = matches!(cause, Some(ureq::Error::Timeout(_)));
        if is_silent { NoLine::Silent } else { NoLine::Broken }
    }
}
