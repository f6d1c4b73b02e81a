//! Calls in progress.

use std::{sync::Arc, time::Duration};

use super::{QueuePosition, Usage};
use crate::{
    call::Call,
    endpoint::EndpointKey,
    reason::Refusal,
    route::Route,
    team::{QuotaUnit, Team},
};

/// Times the target that callers wait for a stream's first event.
const FIRST_EVENT_TARGETS: u32 = 4;

/// What they wait at least.
const MIN_FIRST_EVENT_WAIT: Duration = Duration::from_secs(2);

/// One call in progress.
#[derive(Debug)]
pub struct Request {
    /// What was asked for.
    pub call: Call,
    /// Its route, as it was when the call came.
    pub route: Route,
    /// The service that it goes to.
    pub service: String,
    /// The configuration's version that chose them.
    pub version: u64,
    /// The team that calls; none where no key is needed.
    pub team: Option<Arc<Team>>,
    /// Its part of the team's quota.
    pub quota: QuotaStage,
    /// When it came.
    pub arrived: Duration,
    /// Its answer is given by then, whatever it is.
    pub deadline: Duration,
    /// Attempts in progress.
    pub active_attempts: Vec<ActiveAttempt>,
    /// Attempts so far: the next one's number.
    pub attempt_count: u32,
    /// Calls so far that count against the route's attempts.
    pub counted_attempts: u32,
    /// Calls that were refused, and for which the retry budget has not been asked yet. The first call
    /// that isn't refused is free, and so is a prefill; each refused one means one call more.
    pub uncharged_refusals: u32,
    /// Endpoints that had it, in order.
    pub tried: Vec<EndpointKey>,
    /// An endpoint may have run it.
    pub maybe_run: bool,
    /// Its answer has begun.
    pub answering: bool,
    /// The last failure.
    pub last_failure: Option<Refusal>,
    /// The draft's progress.
    pub completion: Completion,
    /// It waits and goes on then.
    pub resume_at: Option<Duration>,
    /// It doesn't wait for a permit after this.
    pub permit_deadline: Option<Duration>,
    /// When its caller can be served, if that is known.
    pub retry_after: Option<Duration>,
    /// Timers that were set for it.
    pub timers: Vec<Duration>,
}

/// How far a request is with its part of its team's quota.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum QuotaStage {
    /// Nothing was asked or taken.
    #[default]
    New,
    /// The daemon that counts was asked.
    Asked {
        /// The question.
        ticket: u64,
        /// The answer isn't waited for any longer.
        until: Duration,
    },
    /// It was taken.
    Taken {
        /// So much of it.
        amount: u32,
    },
    /// The team has none.
    Unlimited,
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
pub struct ActiveAttempt {
    /// Its number.
    pub number: u32,
    /// Where it is.
    pub endpoint: EndpointKey,
    /// What was counted for it there.
    pub usage: Usage,
    /// Tokens that were to be read at a prefill endpoint then, its own included.
    pub queued_tokens: u32,
    /// When it began.
    pub started: Duration,
    /// What it does.
    pub step: Step,
}

/// What an attempt does.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// The whole call.
    Whole,
    /// Holds a slot.
    Hold,
    /// Reads the prompt.
    Prefill,
    /// Generates.
    Decode,
}

/// A draft's progress.
#[derive(Debug, Default)]
pub struct Completion {
    /// The slot that is held for it.
    pub hold: Option<Hold>,
    /// The KV cache that waits for it.
    pub kv: Option<KvCache>,
    /// Prefill endpoints that have read the prompt, or may have.
    pub prefills: u32,
    /// Calls for a slot since the last pause.
    pub hold_attempts: u32,
    /// It has waited for room.
    pub waited: bool,
}

/// A slot held at a decode endpoint.
#[derive(Clone, Debug)]
pub struct Hold {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The hold's name there.
    pub name: String,
    /// What is counted for it there; `None` once the call that takes it counts instead.
    pub usage: Option<Usage>,
}

/// A KV cache at a prefill endpoint.
#[derive(Clone, Debug)]
pub struct KvCache {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its name there.
    pub handle: String,
    /// When it was made.
    pub made: Duration,
}

impl Request {
    /// What it takes of its team's quota, if there is one.
    #[must_use]
    pub fn quota_amount(&self, unit: QuotaUnit) -> u32 {
        match (unit, &self.call.prompt) {
            (QuotaUnit::Requests, _) => 1,
            (QuotaUnit::Tokens { .. }, Some(prompt)) => {
                prompt.tokens.saturating_add(prompt.max_output)
            }
            (QuotaUnit::Tokens { unspecified }, None) => unspecified,
        }
    }

    /// How long the caller still waits.
    #[must_use]
    pub fn remaining(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// An endpoint may have run it: one that has it now counts, for it may have begun.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        let runs = |attempt: &ActiveAttempt| matches!(attempt.step, Step::Whole | Step::Decode);
        self.maybe_run || self.active_attempts.iter().any(runs)
    }

    /// The next call is beyond the first: one was refused before, or may have run.
    #[must_use]
    pub fn is_repeat(&self) -> bool {
        self.uncharged_refusals != 0 || self.counted_attempts != 0
    }

    /// When the caller of a stream leaves if nothing has come. A stream that has begun may go on until
    /// its deadline.
    #[must_use]
    pub fn caller_deadline(&self) -> Duration {
        if self.answering {
            return self.deadline;
        }
        let wait = self.route.target.saturating_mul(FIRST_EVENT_TARGETS).max(MIN_FIRST_EVENT_WAIT);
        self.deadline.min(self.arrived + wait)
    }

    /// Its answer is on time if it begins at `first`.
    #[must_use]
    pub fn is_on_time(&self, first: Duration) -> bool {
        first <= self.due()
    }

    /// Its place among the drafts that wait, if its first token can't come before `soonest`.
    #[must_use]
    pub fn queue_position(&self, soonest: Duration) -> QueuePosition {
        QueuePosition::new(self.due(), soonest)
    }

    /// When its answer should begin to be on time.
    #[must_use]
    pub fn due(&self) -> Duration {
        self.arrived + self.route.target
    }
}
