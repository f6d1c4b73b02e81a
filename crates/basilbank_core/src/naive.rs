//! A baseline with the same events and effects, against which the decisions are measured: round
//! robin, without reservations or queues, with a retry after any failure.

mod call;
mod job;

use std::{collections::HashMap, sync::Arc, time::Duration};

use slotmap::SlotMap;

pub use self::job::{Job, Stage};
use crate::{
    catalogue::{Catalogue, EntryTarget},
    effect::{Answer, Effect, Progress},
    event::{Call, CallKind, CallerEvent, EngineEvent, Event, PlatformEvent},
    ids::{AttemptKey, CallerId, EntryId, RequestId, RequestKey, TeamId},
    reason::Refusal,
    state::{Local, Timer, Timers, View},
    time::Now,
};

/// Delay before a failed request is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time between two reads of the platform while it fails.
const PLATFORM_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A daemon that decides naively.
#[derive(Debug)]
pub struct Naive {
    /// Identity and settings of the daemon.
    pub local: Local,
    /// The catalogue in force.
    pub view: View,
    /// Requests in progress.
    pub jobs: SlotMap<RequestKey, Job>,
    /// The request of each attempt in progress.
    pub attempts: SlotMap<AttemptKey, RequestKey>,
    /// Requests by caller.
    pub callers: HashMap<CallerId, RequestKey>,
    /// Timers.
    pub timers: Timers,
    /// Whether SIGTERM was received.
    pub leaving: bool,
    counter: u64,
    next_index: usize,
}

impl Naive {
    /// Creates the state of a daemon that has just started.
    #[must_use]
    pub fn new(local: Local, now: Now) -> Naive {
        let mut timers = Timers::default();
        timers.set(now.mono, Timer::Platform);
        Naive {
            view: View::default(),
            jobs: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            callers: HashMap::new(),
            timers,
            leaving: false,
            counter: 0,
            next_index: local.seed as usize % 1024,
            local,
        }
    }

    /// Handles one event and pushes the resulting effects.
    pub fn reduce(&mut self, now: Now, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Caller(CallerEvent::Arrived(call)) => self.on_call(now, *call, out),
            Event::Caller(CallerEvent::Left(caller)) => self.on_caller_left(now, caller, out),
            Event::Engine(event) => self.on_engine_event(now, event, out),
            Event::Platform(event) => self.on_platform_event(now, event, out),
            Event::Shutdown => self.leaving = true,
            Event::Tick | Event::Peer { .. } => {}
        }
        while let Some(timer) = self.timers.pop_due(now.mono) {
            match timer {
                Timer::Platform => {
                    out.push(Effect::WatchCatalogue { after: self.view.catalogue.revision });
                }
                Timer::Request(key) => self.start_attempt(key, out),
                _ => {}
            }
        }
        if self.leaving && self.jobs.is_empty() {
            out.push(Effect::Exit);
        }
    }

    /// Whether load balancers may send callers to this daemon.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.leaving && 0 < self.view.catalogue.revision
    }

    fn on_platform_event(&mut self, now: Now, event: PlatformEvent, out: &mut Vec<Effect>) {
        match event {
            PlatformEvent::Documents { base_revision: after, documents, .. } if 0 < after => {
                let seen = if documents.is_empty() { after } else { 0 };
                out.push(Effect::WatchCatalogue { after: seen });
            }
            PlatformEvent::Documents { revision, documents, .. } => {
                out.push(Effect::CheckCatalogue { revision, documents });
            }
            PlatformEvent::Checked { revision, result } => {
                self.on_checked(revision, result);
                out.push(Effect::WatchCatalogue { after: revision });
            }
            PlatformEvent::CatalogueFailed => {
                self.timers.set(now.mono + PLATFORM_RETRY_INTERVAL, Timer::Platform);
            }
            PlatformEvent::Vms { .. } | PlatformEvent::VmsFailed => {}
        }
    }

    fn on_checked(&mut self, revision: u64, result: Result<Arc<Catalogue>, usize>) {
        if let Ok(catalogue) = result
            && self.view.catalogue.revision < revision
        {
            self.view = View::new(catalogue);
        }
    }

    fn on_call(&mut self, now: Now, call: Call, out: &mut Vec<Effect>) {
        let caller = call.caller;
        let (team, entry, target) = match self.authorize(&call) {
            Ok(found) => found,
            Err(refusal) => {
                let progress = Progress::Refused { request: None, team: None, refusal };
                out.push(Effect::Progress(progress));
                let answer = Answer::Refused { refusal, retry_after: None };
                out.push(Effect::Answer { caller, answer });
                return;
            }
        };
        self.counter += 1;
        let id = RequestId::new(self.local.vm, self.local.incarnation, self.counter);
        let job = Job::new(id, call, team, entry, target, now.mono);
        let key = self.jobs.insert(job);
        self.callers.insert(caller, key);
        out.push(Effect::Progress(Progress::Accepted { request: id, team, entry }));
        out.push(Effect::Answer { caller, answer: Answer::Accepted { request: id, entry } });
        self.start_attempt(key, out);
    }

    fn authorize(&self, call: &Call) -> Result<(TeamId, EntryId, EntryTarget), Refusal> {
        if !self.is_ready() {
            return Err(Refusal::NotReady);
        }
        let team = self.view.team(&call.key).ok_or(Refusal::UnknownKey)?;
        let entry = match &call.kind {
            CallKind::Completion(completion) => {
                self.view.completion_entry(team, &completion.model).ok_or(Refusal::UnknownModel)?
            }
            CallKind::Plain(plain) => {
                let service = self.view.service(&plain.path).ok_or(Refusal::UnknownPath)?;
                self.view.plain_entry(team, service).ok_or(Refusal::UnknownPath)?
            }
        };
        Ok((team, entry.id, entry.target))
    }

    fn on_engine_event(&mut self, now: Now, event: EngineEvent, out: &mut Vec<Effect>) {
        match event {
            EngineEvent::Prefilled {
                attempt,
                handle,
                prompt_tokens: tokens,
                cached_tokens: cached,
                ..
            } => {
                self.on_prefilled(attempt, handle, tokens, cached, out);
            }
            EngineEvent::Started { attempt, stream } => self.on_started(attempt, stream, out),
            EngineEvent::Tokens { attempt, offset, texts } => {
                self.on_tokens(now, attempt, offset, texts, out);
            }
            EngineEvent::Finished { attempt, reason, .. } => {
                self.on_finished(now, attempt, reason, out);
            }
            EngineEvent::Answered { attempt, .. } => self.on_answered(now, attempt, out),
            EngineEvent::Failed { attempt, .. } => self.on_failed(now, attempt, out),
            EngineEvent::Report { .. } => {}
        }
    }

    /// Retries after any failure, while attempts are left.
    fn on_failed(&mut self, now: Now, attempt: AttemptKey, out: &mut Vec<Effect>) {
        let Some(key) = self.attempts.remove(attempt) else { return };
        let job = &mut self.jobs[key];
        job.stage = Stage::Waiting;
        if job.attempts < self.local.tuning.attempts {
            self.timers.set(now.mono + RETRY_DELAY, Timer::Request(key));
            return;
        }
        self.finish(now, key, Answer::Unknown, crate::reason::Outcome::Unknown, out);
    }
}
