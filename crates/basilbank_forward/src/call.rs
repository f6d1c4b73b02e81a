//! A forwarded call, as far as decisions need it.

use std::{fmt, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::team::{Credential, TeamId};

/// The shell's number for a call in progress; never used again within a process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Names what a call asks for: calls with the same digest have the same method, host, path, team and body. A
/// caller that sends a call again gives each attempt another id, but not another digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Debug)]
pub struct Digest(pub u64);

impl Digest {
    /// The digest of the same call by a team: another team's call is another one.
    #[must_use]
    pub fn for_team(self, team: TeamId) -> Digest {
        Digest(xxh3_64_with_seed(&team.0.to_le_bytes(), self.0))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One call of a caller. The shell keeps headers and body.
#[derive(Clone, Debug)]
pub struct Call {
    /// The shell's number for it.
    pub id: RequestId,
    /// The caller's own id of the attempt, for logs.
    pub trace_id: String,
    /// What it asks for.
    pub digest: Digest,
    /// The host that was asked for, in lowercase and without a port.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// What the caller shows to be let in.
    pub credential: Credential,
    /// How long the caller waits; `None` when it doesn't say.
    pub caller_timeout: Option<Duration>,
    /// The prompt's sizes, for calls to model endpoints.
    pub prompt: Option<Prompt>,
}

/// The sizes of a prompt whose text is opaque.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// Prompt tokens.
    pub tokens: u32,
    /// Most tokens to generate.
    pub max_output: u32,
    /// The caller's estimate of the tokens to generate; right at the median, often far off.
    pub output_hint: Option<u32>,
    /// Names the part of the prompt that belongs to this call or its session alone; a call that its
    /// caller repeats has the same.
    pub session: Option<u64>,
}

impl Prompt {
    /// Tokens that are expected to be generated.
    #[must_use]
    pub fn expected_output(&self) -> u32 {
        self.output_hint.unwrap_or(self.max_output).min(self.max_output)
    }
}
