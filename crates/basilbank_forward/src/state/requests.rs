//! Calls in progress.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Usage, forecast::Forecast};
use crate::{
    call::Call,
    endpoint::{EndpointKey, SoftwareVersion},
    rank::Rank,
    reason::Refusal,
    route::Route,
    team::{QuotaUnit, Team},
    topic::Revision,
};

/// Time that callers wait for a stream's first event, as a multiple of the route's target time.
pub(super) const FIRST_EVENT_TARGETS: u32 = 4;

/// Minimum time that callers wait for a stream's first event.
const MIN_FIRST_EVENT_WAIT: Duration = Duration::from_secs(2);

/// The router's record of one call in progress.
#[derive(Debug)]
pub struct Request {
    /// The caller's call.
    pub call: Call,
    /// Its route, as configured when the call arrived.
    pub route: Route,
    /// The service that it goes to.
    pub service: String,
    /// The version of the configuration by which the route and the service were chosen.
    pub version: u64,
    /// The team that calls; `None` where no key is needed.
    pub team: Option<Arc<Team>>,
    /// Its rank; `None` where all calls that compete with it are equally urgent.
    pub rank: Option<Rank>,
    /// The state of its part of the team's quota.
    pub quota: QuotaStage,
    /// When it arrived.
    pub arrived: Duration,
    /// When it is answered at the latest, whatever the answer is.
    pub deadline: Duration,
    /// Attempts in progress.
    pub active_attempts: Vec<ActiveAttempt>,
    /// Number of attempts so far, which is the number of the next one.
    pub attempt_count: u32,
    /// Number of attempts so far that count against the route's maximum.
    pub counted_attempts: u32,
    /// Number of refused attempts that have not been charged to the retry budget yet. The first
    /// attempt that isn't refused is free, and so is a prefill; each refused one makes an extra
    /// call necessary.
    pub uncharged_refusals: u32,
    /// Endpoints that it was sent to, in order.
    pub tried: Vec<EndpointKey>,
    /// Whether an endpoint may have run it in an earlier attempt.
    pub maybe_run: bool,
    /// Whether its attempt was stopped because of a silence, and no other endpoint has run it since.
    pub awaits_successor: bool,
    /// Number of attempts in a row that a peer was asked to make and did not make.
    pub proxy_failures: u32,
    /// Whether its answer has begun.
    pub answering: bool,
    /// Whether the version that began the stream which it continues is known.
    pub origin: OriginStage,
    /// Peers that were asked for that version and have not answered.
    pub asked_peers: Vec<SocketAddr>,
    /// What peers that don't know that version take for the only one.
    pub inferred: Vec<PeerVersion>,
    /// The version of the endpoints' software at which its stream must go on; `None` while any will
    /// do.
    pub pinned: Option<SoftwareVersion>,
    /// The version at which its stream begins, if the service has several: the version can be computed
    /// again when nobody remembers the stream.
    pub assigned: Option<SoftwareVersion>,
    /// The last failure.
    pub last_failure: Option<Refusal>,
    /// Its progress, if it is a completion.
    pub completion: Completion,
    /// When it resumes, if it is waiting for a fixed time.
    pub resume_at: Option<Duration>,
    /// Until when it waits for a permit.
    pub permit_deadline: Option<Duration>,
    /// Time after which its caller can be served, if that is known.
    pub retry_after: Option<Duration>,
    /// Whether it was refused before and returns as it was told.
    pub returned: bool,
    /// Whether it is known if it returns as it was told.
    pub return_stage: ReturnStage,
    /// Peers that were asked and have not answered.
    pub asked_keepers: Vec<SocketAddr>,
    /// When its caller's first try arrived.
    pub first_arrived: Duration,
    /// The first forecast of its start.
    pub forecast: Option<Forecast>,
    /// Timers that were set for it.
    pub timers: Vec<Duration>,
}

/// The only version of a service that a peer has known for as long as a stream may last.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PeerVersion {
    /// The peer.
    pub peer: SocketAddr,
    /// The version.
    pub version: SoftwareVersion,
    /// The revision up to which the peer knows the list of endpoints; none if it didn't say.
    pub known_to: Revision,
}

/// Whether the version that began a continued stream is known.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum OriginStage {
    /// Nothing was looked up.
    #[default]
    New,
    /// The store is asked whether the list of endpoints, which names one version, is current.
    Confirming {
        /// When peers are asked.
        until: Duration,
    },
    /// Peers were asked.
    Asked {
        /// Until when answers are awaited.
        until: Duration,
        /// When the question is sent again, once.
        resend_at: Option<Duration>,
    },
    /// No peer knows it; the store is asked which versions serve or have served.
    Reading {
        /// Until when the store's answers are awaited.
        until: Duration,
    },
    /// It is known, or doesn't matter.
    Settled,
}

/// Whether it is known if a call returns as it was told.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum ReturnStage {
    /// Nothing was looked up.
    #[default]
    New,
    /// The keepers were asked.
    Asked {
        /// Until when answers are awaited.
        until: Duration,
        /// When the question is sent again, once.
        resend_at: Option<Duration>,
    },
    /// It is known, or counts as new.
    Settled,
}

/// The state of a request's part of its team's quota.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum QuotaStage {
    /// Nothing was asked for or taken.
    #[default]
    New,
    /// The quota owner was asked.
    Asked {
        /// The ticket of the question.
        ticket: u64,
        /// Until when the answer is awaited.
        until: Duration,
    },
    /// The request's part was taken.
    Taken {
        /// The amount.
        amount: u32,
    },
    /// The team has no quota.
    Unlimited,
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
pub struct ActiveAttempt {
    /// The attempt's number.
    pub number: u32,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointKey,
    /// The usage that is counted for it there.
    pub usage: Usage,
    /// Tokens to be read at a prefill endpoint when the attempt started, including its own.
    pub queued_tokens: u32,
    /// When it started.
    pub started: Duration,
    /// The work that it does.
    pub step: Step,
    /// The peer that makes the call, if this daemon doesn't make it itself.
    pub via: Option<SocketAddr>,
    /// Whether its endpoint has been writing the answer for some time.
    pub wrote_on: bool,
    /// Since when its endpoint has been silent, if it is.
    pub silent_since: Option<Duration>,
}

impl ActiveAttempt {
    /// Returns whether it runs the call.
    #[must_use]
    pub fn is_run(&self) -> bool {
        matches!(self.step, Step::Whole | Step::Decode)
    }
}

/// The work that an attempt does.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// Runs the whole call.
    Whole,
    /// Holds a slot.
    Hold,
    /// Reads the prompt.
    Prefill,
    /// Generates the answer.
    Decode,
}

/// The progress of a completion.
#[derive(Debug, Default)]
pub struct Completion {
    /// The slot that is held for it.
    pub hold: Option<Hold>,
    /// The KV cache that is kept for it.
    pub kv: Option<KvCache>,
    /// Number of prefill endpoints that have read the prompt, or may have.
    pub prefills: u32,
    /// Number of attempts to hold a slot since the last pause.
    pub hold_attempts: u32,
    /// Whether it has waited for capacity.
    pub waited: bool,
}

/// A slot held at a decode endpoint.
#[derive(Clone, Debug)]
pub struct Hold {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The hold's name there.
    pub name: String,
    /// The usage that is counted for it there; `None` once the attempt that takes the slot counts
    /// instead.
    pub usage: Option<Usage>,
}

/// A KV cache at a prefill endpoint.
#[derive(Clone, Debug)]
pub struct KvCache {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The KV cache's name there.
    pub handle: String,
    /// When it was made.
    pub made: Duration,
}

impl Request {
    /// Returns the version of the endpoints' software that it can be sent to; `None` if any will do.
    #[must_use]
    pub fn needed_version(&self) -> Option<SoftwareVersion> {
        self.pinned.or(self.assigned)
    }

    /// Returns the amount that it takes of its team's quota, if there is one.
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

    /// Returns the time until its deadline.
    #[must_use]
    pub fn remaining(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Returns whether an endpoint may have run it. An endpoint that has it now counts, for it may
    /// have started.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.maybe_run || self.active_attempts.iter().any(ActiveAttempt::is_run)
    }

    /// Returns whether an attempt in progress is at a silent endpoint.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.active_attempts.iter().any(|attempt| attempt.silent_since.is_some())
    }

    /// Returns whether it goes on at another endpoint because of a silence, or may do so.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        self.awaits_successor || self.is_silent()
    }

    /// Returns whether an attempt is in progress whose endpoint isn't silent.
    #[must_use]
    pub fn has_live_attempt(&self) -> bool {
        self.active_attempts.iter().any(|attempt| attempt.silent_since.is_none())
    }

    /// Returns whether its next attempt takes over from one at a silent endpoint, and a slot is held
    /// or asked for.
    #[must_use]
    pub fn prepares_takeover(&self) -> bool {
        let is_silent_run =
            |attempt: &ActiveAttempt| attempt.silent_since.is_some() && attempt.is_run();
        let asks = |attempt: &ActiveAttempt| attempt.step == Step::Hold;
        (self.awaits_successor || self.active_attempts.iter().any(is_silent_run))
            && (self.completion.hold.is_some() || self.active_attempts.iter().any(asks))
    }

    /// Returns whether the next attempt is an extra call: an earlier one was refused, or may have
    /// run.
    #[must_use]
    pub fn is_repeat(&self) -> bool {
        self.uncharged_refusals != 0 || self.counted_attempts != 0
    }

    /// Returns whether another attempt may follow one that may have run.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        self.counted_attempts < self.route.max_attempts && self.route.is_repeatable()
    }

    /// Returns when the caller stops waiting: the caller of a stream leaves early if nothing has
    /// arrived, while a stream that has begun may last until its deadline.
    #[must_use]
    pub fn caller_deadline(&self) -> Duration {
        if self.answering {
            return self.deadline;
        }
        let wait = self.route.target.saturating_mul(FIRST_EVENT_TARGETS).max(MIN_FIRST_EVENT_WAIT);
        self.deadline.min(self.arrived + wait)
    }

    /// Returns whether its answer is on time if it begins at `first`.
    #[must_use]
    pub fn is_on_time(&self, first: Duration) -> bool {
        first <= self.due()
    }

    /// Returns when its answer has to begin to be on time.
    #[must_use]
    pub fn due(&self) -> Duration {
        self.first_arrived + self.route.target
    }
}
