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
    /// Id of the request, the same on all daemons.
    pub id: RequestId,
    /// The caller that waits for it.
    pub caller: CallerId,
    /// The team that is charged.
    pub team: TeamId,
    /// The catalogue entry under which it runs.
    pub entry: EntryId,
    /// The completion call; `None` for a plain call.
    pub completion: Option<Completion>,
    /// Whether it may be run more than once.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether it reads the stream of the first request with the same idempotency key.
    pub joined: bool,
    /// When this daemon accepted it.
    pub accepted_at: Duration,
    /// When the first token, or the answer of a plain call, is due according to the target of its
    /// class.
    pub due: Duration,
    /// When it is refused if it still waits for capacity.
    pub wait_deadline: Duration,
    /// When the first token was sent to the caller.
    pub first_token_at: Option<Duration>,
    /// When the latest token was sent to the caller.
    pub last_token_at: Option<Duration>,
    /// Number of tokens sent to the caller.
    pub delivered: u32,
    /// Number of prompt tokens; 0 until an endpoint has counted them.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that came from the prefix cache.
    pub cached_tokens: u32,
    /// Number of attempts so far; each has its own number.
    pub attempts: u32,
    /// Number of failures since a token was last delivered.
    pub failures: u32,
    /// Whether part of it may have run, so that the caller can't be told that it did not run.
    pub may_have_run: bool,
    /// Number of tokens taken from the entry's limit.
    pub limit_tokens: u32,
    /// Whether the owner of the entry's limit refused it, perhaps too late.
    pub limit_refused: bool,
    /// Whether it counts as waiting for capacity.
    pub queued: bool,
    /// Stage of the request.
    pub stage: RequestStage,
    /// Endpoints at which attempts failed; other endpoints are preferred.
    pub failed_endpoints: Vec<EndpointId>,
}

/// Stage of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestStage {
    /// Its idempotency key is being claimed.
    Claiming,
    /// It waits to be started, or for the end of a backoff.
    Waiting,
    /// An attempt waits for slots or runs.
    Running(AttemptKey),
}

/// Arenas of requests and attempts.
#[derive(Debug)]
pub struct Requests {
    /// Accepted requests in progress.
    pub arena: SlotMap<RequestKey, Request>,
    /// Attempts of these requests.
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Requests by caller.
    pub callers: HashMap<CallerId, RequestKey>,
    /// Number of requests that this incarnation has accepted.
    pub accepted_count: u64,
    /// Number of requests that wait for capacity.
    pub queued: usize,
    /// Number of retries that may be made now; successes add to it.
    pub retry_budget: f64,
}

/// Initial retry budget of a daemon.
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
    /// Adds a request that waits for capacity.
    pub fn insert(&mut self, request: Request) -> RequestKey {
        let caller = request.caller;
        let key = self.arena.insert(request);
        self.callers.insert(caller, key);
        self.set_queued(key);
        key
    }

    /// Marks a request as waiting for capacity.
    pub fn set_queued(&mut self, key: RequestKey) {
        let Some(request) = self.arena.get_mut(key) else { return };
        self.queued += usize::from(!request.queued);
        request.queued = true;
    }

    /// Marks a request as served by an endpoint.
    pub fn set_served(&mut self, key: RequestKey) {
        let Some(request) = self.arena.get_mut(key) else { return };
        self.queued -= usize::from(request.queued);
        request.queued = false;
    }

    /// Removes a request and its attempt, so that late answers are ignored.
    pub fn remove(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.arena.remove(key)?;
        self.callers.remove(&request.caller);
        self.queued -= usize::from(request.queued);
        if let RequestStage::Running(attempt) = request.stage {
            self.attempts.remove(attempt);
        }
        Some(request)
    }

    /// Starts the next attempt of a request.
    ///
    /// # Panics
    /// If the request does not exist.
    pub fn begin_attempt(&mut self, key: RequestKey, now: Duration) -> AttemptKey {
        let request = &mut self.arena[key];
        let attempt = Attempt::new(key, request.attempts, request.delivered, now);
        request.attempts += 1;
        let attempt = self.attempts.insert(attempt);
        request.stage = RequestStage::Running(attempt);
        attempt
    }

    /// Gives an attempt a new key and number, so that answers to its earlier calls are ignored.
    ///
    /// Without this, an answer from the endpoint that was given up could be taken for one from its
    /// successor.
    ///
    /// # Panics
    /// If the attempt does not exist.
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
    /// What endpoints sent in the meantime is still to be read. Without this, a stream that never
    /// stopped would count as silent and be read again, perhaps away from a daemon that has taken
    /// it over.
    pub fn shift_times(&mut self, pause: Duration) {
        for attempt in self.attempts.values_mut() {
            attempt.stage_since += pause;
            attempt.last_progress += pause;
        }
    }

    /// Returns the current attempt of a request.
    #[must_use]
    pub fn current_attempt(&self, key: RequestKey) -> Option<(AttemptKey, &Attempt)> {
        let RequestStage::Running(attempt) = self.arena.get(key)?.stage else { return None };
        Some((attempt, self.attempts.get(attempt)?))
    }

    /// Returns the endpoint and the name of a request's stream, once it has one.
    #[must_use]
    pub fn stream(&self, key: RequestKey) -> Option<(EndpointId, &str)> {
        let (_, attempt) = self.current_attempt(key)?;
        Some((attempt.slot?.endpoint, attempt.stream.as_deref()?))
    }
}

impl Request {
    /// Creates a request that was just accepted.
    #[must_use]
    pub fn new(id: RequestId, call: &Call, team: TeamId, entry: EntryId, at: Duration) -> Request {
        Request {
            id,
            caller: call.caller,
            team,
            entry,
            completion: None,
            repeatable: false,
            idempotency_key: call.idempotency_key.clone(),
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

    /// Returns the maximum number of tokens that are still to be generated.
    #[must_use]
    pub fn remaining_tokens(&self) -> u32 {
        self.completion.as_ref().map_or(0, |d| d.max_tokens.saturating_sub(self.delivered))
    }

    /// Returns the number of tokens that a prefill has to process: the prompt and the tokens
    /// delivered since.
    #[must_use]
    pub fn prefill_tokens(&self) -> u32 {
        self.completion.as_ref().map_or(0, |d| d.prompt_tokens.saturating_add(self.delivered))
    }
}
