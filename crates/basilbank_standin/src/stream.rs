//! Streams of a decode engine, and their readers.

use std::{sync::Arc, time::Instant};

use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, task::AbortHandle};

/// Which daemon a stream or KV cache belongs to.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Owner {
    pub(crate) vm: String,
    pub(crate) incarnation: u64,
}

/// One stream.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) name: String,
    pub(crate) owner: Owner,
    pub(crate) request: String,
    pub(crate) attempt: u32,
    pub(crate) texts: Vec<String>,
    /// When each of them was generated.
    pub(crate) times: Vec<Instant>,
    pub(crate) done: Option<&'static str>,
    /// Number of its latest reader; earlier ones are cut off.
    pub(crate) reader: u64,
    pub(crate) read_at: Instant,
    /// Generates the tokens.
    pub(crate) job: AbortHandle,
    pub(crate) changed: Arc<Notify>,
}

/// What a reader finds.
#[derive(Debug)]
pub(crate) enum Found {
    /// New tokens.
    Texts(Vec<String>),
    /// The end.
    Done { reason: &'static str, tokens: usize },
    /// Nothing yet.
    Nothing,
    /// Another reader has the stream now.
    Taken,
}

impl Stream {
    /// Makes the caller of this the stream's reader and returns its number.
    pub(crate) fn take_over(&mut self, owner: Option<Owner>) -> u64 {
        if let Some(owner) = owner {
            self.owner = owner;
        }
        self.reader += 1;
        self.read_at = Instant::now();
        self.changed.notify_waiters();
        self.reader
    }

    /// What there is for a reader from an offset.
    pub(crate) fn read(&mut self, reader: u64, offset: usize) -> Found {
        if reader != self.reader {
            return Found::Taken;
        }
        if offset < self.texts.len() {
            self.read_at = Instant::now();
            return Found::Texts(self.texts[offset..].to_vec());
        }
        let tokens = self.texts.len();
        self.done.map_or(Found::Nothing, |reason| Found::Done { reason, tokens })
    }
}

impl Drop for Stream {
    /// A stream that goes takes its generation with it, and wakes its reader to see that it is gone.
    fn drop(&mut self) {
        self.job.abort();
        self.changed.notify_waiters();
    }
}
