//! Requests in progress and their attempts.

use std::{collections::HashMap, time::Duration};

use slotmap::SlotMap;

use crate::{
    event::{Call, Completion},
    ids::{AttemptKey, CallerId, EndpointId, EntryId, RequestId, RequestKey, TeamId},
    state::Attempt,
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
    pub completion: Option<Completion>,
    /// It may be run more than once.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// It reads the stream of its key's first request.
    pub joined: bool,
    /// When it was accepted.
    pub accepted_at: Duration,
    /// When its first token, or a plain call's answer, is due by its class's target.
    pub due: Duration,
    /// How long it may wait for capacity before it is refused.
    pub wait_deadline: Duration,
    /// When the first token went out.
    pub first_token_at: Option<Duration>,
    /// When the last token went out.
    pub last_token_at: Option<Duration>,
    /// Tokens delivered.
    pub delivered: u32,
    /// Prompt tokens, once an endpoint has counted them.
    pub prompt_tokens: u32,
    /// Prompt tokens that came from the prefix cache.
    pub cached_tokens: u32,
    /// Attempts so far; each has its own number.
    pub attempts: u32,
    /// Failures since a token was last delivered.
    pub failures: u32,
    /// Part of it may have run: it can't be called not run any more.
    pub may_have_run: bool,
    /// Tokens that were taken from the entry's limit.
    pub limit_tokens: u32,
    /// The entry's steward refused it, perhaps too late.
    pub limit_refused: bool,
    /// It counts as waiting for capacity.
    pub queued: bool,
    /// What it is doing.
    pub stage: RequestStage,
    /// Endpoints where attempts failed; others are preferred.
    pub failed_endpoints: Vec<EndpointId>,
}

/// What a request is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestStage {
    /// Its idempotency key is being claimed.
    Claiming,
    /// It waits for a backoff.
    Waiting,
    /// An attempt waits for slots or runs.
    Running(AttemptKey),
}

/// The arenas of requests and attempts.
#[derive(Debug)]
pub struct Requests {
    /// Requests.
    pub arena: SlotMap<RequestKey, Request>,
    /// Attempts.
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Requests by caller.
    pub callers: HashMap<CallerId, RequestKey>,
    /// Requests ever accepted by this incarnation.
    pub accepted_count: u64,
    /// Requests that wait for capacity.
    pub queued: usize,
    /// Retries that may be made now; successes add to it.
    pub retry_budget: f64,
}

/// Retries that a daemon which has just started may make.
const INITIAL_RETRY_BUDGET: f64 = 10.0;

impl Default for Requests {
    fn default() -> Requests {
        Requests {
            arena: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            callers: HashMap::new(),
            accepted_count: 0,
            queued: 0,
            retry_budget: INITIAL_RETRY_BUDGET,
        }
    }
}

impl Requests {
    /// Adds a request for a call.
    pub fn insert(&mut self, request: Request) -> RequestKey {
        let caller = request.caller;
        let key = self.arena.insert(request);
        self.callers.insert(caller, key);
        self.set_queued(key);
        key
    }

    /// A request waits for capacity from now on.
    pub fn set_queued(&mut self, key: RequestKey) {
        let Some(request) = self.arena.get_mut(key) else { return };
        self.queued += usize::from(!request.queued);
        request.queued = true;
    }

    /// An endpoint works for a request from now on.
    pub fn set_served(&mut self, key: RequestKey) {
        let Some(request) = self.arena.get_mut(key) else { return };
        self.queued -= usize::from(request.queued);
        request.queued = false;
    }

    /// Removes a request with its attempt's key, so that late answers are dropped.
    pub fn remove(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.arena.remove(key)?;
        self.callers.remove(&request.caller);
        self.queued -= usize::from(request.queued);
        if let RequestStage::Running(attempt) = request.stage {
            self.attempts.remove(attempt);
        }
        Some(request)
    }

    /// Starts a request's next attempt.
    ///
    /// # Panics
    /// When the request's key is dead.
    pub fn begin_attempt(&mut self, key: RequestKey, now: Duration) -> AttemptKey {
        let request = &mut self.arena[key];
        let attempt = Attempt::new(key, request.attempts, request.delivered, now);
        request.attempts += 1;
        let attempt = self.attempts.insert(attempt);
        request.stage = RequestStage::Running(attempt);
        attempt
    }

    /// Gives an attempt a new key and number, so that answers to its earlier calls are dropped.
    ///
    /// Without it an answer of the endpoint that was given up could pass for one of its successor.
    ///
    /// # Panics
    /// When the attempt's key is dead.
    pub fn renew_attempt(&mut self, key: AttemptKey) -> AttemptKey {
        let mut attempt = self.attempts.remove(key).expect("the caller checked that it lives");
        let request = &mut self.arena[attempt.request];
        attempt.number = request.attempts;
        request.attempts += 1;
        let request_key = attempt.request;
        let key = self.attempts.insert(attempt);
        self.arena[request_key].stage = RequestStage::Running(key);
        key
    }

    /// Moves the attempts' time limits on by a pause of this process.
    ///
    /// What endpoints sent meanwhile is still to be read. Without this a stream that never stopped
    /// would count as silent and be read again, perhaps away from a daemon that has taken it over.
    pub fn shift_times(&mut self, pause: Duration) {
        for attempt in self.attempts.values_mut() {
            attempt.stage_since += pause;
            attempt.last_progress += pause;
        }
    }

    /// A request's current attempt.
    #[must_use]
    pub fn current_attempt(&self, key: RequestKey) -> Option<(AttemptKey, &Attempt)> {
        let RequestStage::Running(attempt) = self.arena.get(key)?.stage else { return None };
        Some((attempt, self.attempts.get(attempt)?))
    }

    /// Where a request's stream lives and its name there, once it has one.
    #[must_use]
    pub fn stream(&self, key: RequestKey) -> Option<(EndpointId, &str)> {
        let (_, attempt) = self.current_attempt(key)?;
        Some((attempt.slot?.endpoint, attempt.stream.as_deref()?))
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
            completion: None,
            repeatable: false,
            idempotency_key: call.idempotency.clone(),
            joined: false,
            accepted_at: at,
            due: at,
            wait_deadline: at,
            first_token_at: None,
            last_token_at: None,
            delivered: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            attempts: 0,
            failures: 0,
            may_have_run: false,
            limit_refused: false,
            limit_tokens: 0,
            queued: false,
            stage: RequestStage::Waiting,
            failed_endpoints: Vec::new(),
        }
    }

    /// Most tokens that it still may generate.
    #[must_use]
    pub fn remaining_tokens(&self) -> u32 {
        self.completion.as_ref().map_or(0, |d| d.max_tokens.saturating_sub(self.delivered))
    }

    /// Tokens that a prefill has to turn into KV cache: the prompt, and what was delivered since.
    #[must_use]
    pub fn prefill_tokens(&self) -> u32 {
        self.completion.as_ref().map_or(0, |d| d.prompt_tokens.saturating_add(self.delivered))
    }
}
