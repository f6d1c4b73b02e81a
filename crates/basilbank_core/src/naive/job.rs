//! One request of the baseline.

use std::time::Duration;

use crate::{
    catalogue::EntryTarget,
    event::{Call, CallKind, Completion},
    ids::{AttemptKey, CallerId, EndpointId, EntryId, RequestId, TeamId},
};

/// One request of the baseline.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the request.
    pub id: RequestId,
    /// The caller that waits for it.
    pub caller: CallerId,
    /// The team that is charged.
    pub team: TeamId,
    /// The catalogue entry under which it runs.
    pub entry: EntryId,
    /// The model or service that it needs.
    pub target: EntryTarget,
    /// The completion call; `None` for a plain call.
    pub completion: Option<Completion>,
    /// When this daemon accepted it.
    pub accepted_at: Duration,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Number of tokens sent to the caller.
    pub delivered: u32,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that came from the prefix cache.
    pub cached_tokens: u32,
    /// When the first token was sent to the caller.
    pub first_token_at: Option<Duration>,
    /// Stage of the request.
    pub stage: Stage,
}

/// Stage of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    /// It waits for its first attempt or for a retry.
    Waiting,
    /// An attempt runs at an endpoint.
    Running(AttemptKey, EndpointId),
}

impl Job {
    /// Creates a request that was just accepted.
    #[must_use]
    pub fn new(
        id: RequestId,
        call: Call,
        team: TeamId,
        entry: EntryId,
        target: EntryTarget,
        accepted_at: Duration,
    ) -> Job {
        let completion = match call.kind {
            CallKind::Completion(completion) => Some(completion),
            CallKind::Plain(_) => None,
        };
        Job {
            id,
            caller: call.caller,
            team,
            entry,
            target,
            completion,
            accepted_at,
            attempts: 0,
            delivered: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            first_token_at: None,
            stage: Stage::Waiting,
        }
    }
}
