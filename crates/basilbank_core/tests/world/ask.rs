//! What callers ask for, and how it may end.

use std::{sync::Arc, time::Duration};

use basilbank_core::prelude::*;

use super::EPOCH_MS;

/// What is asked for.
#[derive(Clone, Debug)]
pub enum Job {
    /// A text.
    Draft {
        /// Prompt tokens.
        tokens: u32,
        /// The prompt's blocks.
        blocks: Arc<[u64]>,
        /// Tokens that the model makes of it.
        output: u32,
        /// Most tokens that the caller wants.
        max_tokens: u32,
    },
    /// A call to the plain service.
    Plain {
        /// The method.
        method: &'static str,
    },
}

/// One thing that a caller wants, over all its tries.
#[derive(Clone, Debug)]
pub struct Ask {
    /// When.
    pub at: Duration,
    /// The team's number.
    pub team: usize,
    /// What.
    pub job: Job,
    /// A name for the idempotency key, the same on all tries.
    pub key: Option<String>,
    /// What the caller says on repeating it.
    pub repeatable: Option<bool>,
    /// A try that has not ended after this is left.
    pub patience: Duration,
    /// Tries beyond the first, each through another daemon if there is one.
    pub retries: u32,
    /// Time between tries.
    pub pause: Duration,
    /// Tries after a broken stream resume it where it stopped.
    pub resumes: bool,
    /// The daemon of the first try; else the balancer's choice.
    pub daemon: Option<usize>,
    /// A second copy goes out through another daemon after this, though the first still runs.
    pub copy: Option<Duration>,
}

impl Ask {
    /// A draft.
    #[must_use]
    pub fn draft(team: usize, tokens: u32, output: u32) -> Ask {
        let blocks = Arc::from([]);
        Ask::new(team, Job::Draft { tokens, blocks, output, max_tokens: output })
    }

    /// A plain call.
    #[must_use]
    pub fn plain(team: usize, method: &'static str) -> Ask {
        Ask::new(team, Job::Plain { method })
    }

    fn new(team: usize, job: Job) -> Ask {
        Ask {
            at: Duration::ZERO,
            team,
            job,
            key: None,
            repeatable: None,
            patience: Duration::from_secs(60),
            retries: 0,
            pause: Duration::from_millis(200),
            resumes: false,
            daemon: None,
            copy: None,
        }
    }

    /// Makes a draft's answer some times longer.
    pub fn lengthen(&mut self, times: u32) {
        if let Job::Draft { output, max_tokens, .. } = &mut self.job {
            *output *= times;
            *max_tokens *= times;
        }
    }

    /// Sets the moment.
    #[must_use]
    pub fn at(mut self, at: Duration) -> Ask {
        self.at = at;
        self
    }

    /// Sets the idempotency key and how often the caller tries again.
    #[must_use]
    pub fn with_key(mut self, key: &str, retries: u32) -> Ask {
        self.key = Some(key.into());
        self.retries = retries;
        self
    }

    /// Sets how long the caller waits for one try.
    #[must_use]
    pub fn with_patience(mut self, patience: Duration) -> Ask {
        self.patience = patience;
        self
    }

    /// The idempotency key: a UUIDv7 of the moment of the first try.
    #[must_use]
    pub fn idempotency(&self) -> Option<String> {
        let random = EntryId::of(self.key.as_ref()?).0;
        let made = EPOCH_MS + self.at.as_millis() as u64;
        let (high, low) = (made >> 16, made & 0xffff);
        let (a, b) = (random >> 52, random & 0xffff_ffff_ffff);
        Some(format!("{high:08x}-{low:04x}-7{a:03x}-8000-{b:012x}"))
    }

    /// Tokens of the whole answer.
    #[must_use]
    pub fn total(&self) -> u32 {
        match self.job {
            Job::Draft { output, max_tokens, .. } => output.min(max_tokens),
            Job::Plain { .. } => 0,
        }
    }

    /// Whether this may be run more than once, as the service's methods and the caller say.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.repeatable.unwrap_or(match self.job {
            Job::Draft { .. } => true,
            Job::Plain { method } => matches!(method, "GET" | "HEAD"),
        })
    }
}

/// How a try ended, as its caller sees it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum End {
    /// With the whole answer.
    Done,
    /// Told that it was not run.
    Refused(Refusal),
    /// Told that it may have run.
    Unknown,
    /// The connection broke.
    Broken,
    /// The caller left.
    Left,
}
