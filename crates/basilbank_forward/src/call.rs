//! Forwarded calls, with the properties that routing decisions need.

use std::{fmt, time::Duration};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::team::{Credential, TeamId};

/// The I/O layer's number for a call in progress. Numbers are not reused within a process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies what a call asks for: calls with the same digest have the same method, host, path,
/// team and body. A caller that repeats a call gives it another id, but its digest stays the same.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Debug)]
pub struct Digest(pub u64);

impl Digest {
    /// Returns the digest of the same call made by a team. Equal calls of two teams have different
    /// digests.
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

/// What may cause crashes of endpoints: something that calls share.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub enum Cause {
    /// All that a call asks for. Only its repetitions share it.
    Call(Digest),
    /// A part of prompts, by its id.
    Part(u64),
}

impl Cause {
    /// Returns whether it is a part of prompts.
    #[must_use]
    pub fn is_part(self) -> bool {
        matches!(self, Cause::Part(_))
    }
}

impl From<Digest> for Cause {
    fn from(digest: Digest) -> Cause {
        Cause::Call(digest)
    }
}

/// What a call may share with others that crash endpoints.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SharedTraits {
    /// Digest of the whole call.
    pub digest: Digest,
    /// Ids of the parts of its prompt, in order.
    pub parts: Vec<u64>,
}

impl SharedTraits {
    /// Returns each of them as a possible cause of crashes.
    pub fn causes(&self) -> impl Iterator<Item = Cause> {
        let parts = self.parts.iter().map(|part| Cause::Part(*part));
        std::iter::once(Cause::Call(self.digest)).chain(parts)
    }
}

/// A caller's call. The I/O layer keeps its headers and body.
#[derive(Clone, Debug)]
pub struct Call {
    /// The I/O layer's number for the call.
    pub id: RequestId,
    /// The caller's own id of the call, for logs.
    pub trace_id: String,
    /// Digest of what the call asks for.
    pub digest: Digest,
    /// The requested host in lowercase, without a port.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// The key that the caller presented, if any.
    pub credential: Credential,
    /// How long the caller waits; `None` if it doesn't say.
    pub caller_timeout: Option<Duration>,
    /// The sizes of the prompt, for calls to model endpoints.
    pub prompt: Option<Prompt>,
    /// The stream that the call continues; `None` if it begins one, or asks for another answer.
    pub resumption: Option<Resumption>,
}

impl Call {
    /// Returns what it may share with other calls.
    #[must_use]
    pub fn traits(&self) -> SharedTraits {
        let parts = self.prompt.as_ref().map_or_else(Vec::new, |prompt| prompt.parts.clone());
        SharedTraits { digest: self.digest, parts }
    }
}

/// Identifies a stream over all tries of its caller: the caller's id of the attempt that brought the
/// first event, as a hash.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the id of the stream that an attempt began.
    #[must_use]
    pub fn of(trace_id: &str) -> StreamId {
        StreamId(xxh3_64(trace_id.as_bytes()))
    }
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What a caller says of a stream that broke off and that its call continues.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Resumption {
    /// The attempt that brought the stream's first event; empty if the caller doesn't name it.
    pub began_as: String,
}

impl Resumption {
    /// Returns the id of the stream, if the caller names it.
    #[must_use]
    pub fn stream(&self) -> Option<StreamId> {
        (!self.began_as.is_empty()).then(|| StreamId::of(&self.began_as))
    }
}

/// The sizes of a prompt. The router doesn't see the prompt's text.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// Number of prompt tokens.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output: u32,
    /// The caller's estimate of the number of tokens to generate. Its median is right, but single
    /// estimates are often far off.
    pub output_hint: Option<u32>,
    /// Identifies the part of the prompt that belongs only to this call or its session. A call that
    /// its caller repeats has the same value.
    pub session: Option<u64>,
    /// Ids of the prompt's parts in order. Other prompts may share all but the last, which is the
    /// session's.
    pub parts: Vec<u64>,
}

/// Maximum number of tokens of a prompt or an answer that is counted. It is beyond what any model takes,
/// and the tokens of a hundred such calls fit into 32 bits.
const MAX_COUNTED_TOKENS: u32 = 1 << 24;

/// Maximum number of parts of a prompt whose ids are logged.
const MAX_LOGGED_PARTS: usize = 16;

impl Prompt {
    /// Bounds the sizes, which a caller may state as it likes, so that sums of them don't overflow.
    #[must_use]
    pub fn bounded(mut self) -> Prompt {
        for size in [&mut self.tokens, &mut self.max_output] {
            *size = MAX_COUNTED_TOKENS.min(*size);
        }
        self
    }

    /// Returns the ids of the parts, for logs: the first and the last ones of many, and how many there
    /// are between them.
    #[must_use]
    pub fn part_names(&self) -> String {
        let names = |parts: &[u64]| {
            let names: Vec<_> = parts.iter().map(|part| format!("{part:x}")).collect();
            names.join(",")
        };
        let few = MAX_LOGGED_PARTS / 2;
        match self.parts.len().saturating_sub(MAX_LOGGED_PARTS) {
            0 => names(&self.parts),
            left_out => {
                let last = self.parts.len() - few;
                format!("{},({left_out}),{}", names(&self.parts[..few]), names(&self.parts[last..]))
            }
        }
    }

    /// Returns the expected number of generated tokens.
    #[must_use]
    pub fn expected_output(&self) -> u32 {
        self.output_hint.unwrap_or(self.max_output).min(self.max_output)
    }
}
