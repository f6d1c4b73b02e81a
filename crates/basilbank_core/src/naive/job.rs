//! One request of the baseline.

use std::time::Duration;

use crate::{
    catalogue::EntryTarget,
    event::{Call, CallKind, Completion},
    ids::{AttemptKey, CallerId, EndpointId, EntryId, RequestId, TeamId},
};

/// One request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub id: RequestId,
    /// Who waits for it.
    pub caller: CallerId,
    /// Who is charged.
    pub team: TeamId,
    /// The entry it runs under.
    pub entry: EntryId,
    /// What it needs.
    pub target: EntryTarget,
    /// The draft; `None` for a plain call.
    pub completion: Option<Completion>,
    /// When it was accepted.
    pub accepted_at: Duration,
    /// Attempts so far.
    pub attempts: u32,
    /// Tokens delivered.
    pub delivered: u32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens from the prefix cache.
    pub cached_tokens: u32,
    /// When the first token went out.
    pub first_token_at: Option<Duration>,
    /// What it is doing.
    pub stage: Stage,
}

/// What a request is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    /// It waits to be tried again.
    Waiting,
    /// An attempt runs at an endpoint.
    Running(AttemptKey, EndpointId),
}

impl Job {
    /// A request that was just accepted.
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
