//! Requests in progress and their attempts.

use std::{collections::HashMap, time::Duration};

use slotmap::SlotMap;

use crate::{
    event::{Call, Draft},
    ids::{AttemptKey, CallerId, EndpointId, EntryId, RequestId, RequestKey, TeamId},
};

/// One accepted request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, the same on all daemons.
    pub id: RequestId,
    /// Who waits for it.
    pub caller: CallerId,
    /// Who is charged.
    pub team: TeamId,
    /// The entry it runs under.
    pub entry: EntryId,
    /// The draft; `None` for a plain call.
    pub draft: Option<Draft>,
    /// It may be run more than once.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub idempotency: Option<String>,
    /// When it was accepted.
    pub accepted: Duration,
    /// When the first token went out.
    pub first: Option<Duration>,
    /// When the last token went out.
    pub last: Option<Duration>,
    /// Tokens delivered.
    pub delivered: u32,
    /// Prompt tokens, once an endpoint has counted them.
    pub prompt: u32,
    /// Prompt tokens that came from the prefix cache.
    pub cached: u32,
    /// Attempts so far.
    pub attempts: u32,
    /// What it is doing.
    pub stage: RequestStage,
}

/// What a request is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestStage {
    /// It waits for a slot or a backoff.
    Waiting,
    /// An attempt runs.
    Running(AttemptKey),
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub request: RequestKey,
    /// Its number, from 0.
    pub number: u32,
    /// Where it runs now.
    pub endpoint: EndpointId,
    /// What it is doing.
    pub stage: AttemptStage,
    /// Tokens that the caller had when it started.
    pub base: u32,
    /// Tokens of this attempt's stream that were taken.
    pub taken: u32,
}

/// What an attempt is doing.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum AttemptStage {
    /// The prefill runs.
    Prefill,
    /// The decode endpoint imports the KV cache or streams.
    Decode {
        /// The KV cache's name, then the stream's.
        held: Option<String>,
    },
    /// A plain service works on it.
    Plain,
}

/// The arenas of requests and attempts.
#[derive(Debug, Default)]
pub struct Requests {
    /// Requests.
    pub arena: SlotMap<RequestKey, Request>,
    /// Attempts.
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Requests by caller.
    pub callers: HashMap<CallerId, RequestKey>,
    /// Requests ever accepted by this incarnation.
    pub counter: u64,
}

impl Requests {
    /// Adds a request for a call.
    pub fn insert(&mut self, request: Request) -> RequestKey {
        let caller = request.caller;
        let key = self.arena.insert(request);
        self.callers.insert(caller, key);
        key
    }

    /// Removes a request with its attempts' keys, so that late answers are dropped.
    pub fn remove(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.arena.remove(key)?;
        self.callers.remove(&request.caller);
        if let RequestStage::Running(attempt) = request.stage {
            self.attempts.remove(attempt);
        }
        Some(request)
    }
}

impl Request {
    /// A request that was just accepted.
    #[must_use]
    pub fn new(id: RequestId, call: &Call, team: TeamId, entry: EntryId, at: Duration) -> Request {
        Request {
            id,
            caller: call.caller,
            team,
            entry,
            draft: None,
            repeatable: false,
            idempotency: call.idempotency.clone(),
            accepted: at,
            first: None,
            last: None,
            delivered: 0,
            prompt: 0,
            cached: 0,
            attempts: 0,
            stage: RequestStage::Waiting,
        }
    }
}
