//! The endpoints' side: carries the core's engine calls out over HTTP.
//!
//! Each call runs on a worker thread of its own and ends in the events that the core expects of it.
//! Calls that free something, and reports, have pools of their own, so that neither waits behind
//! streams.

pub(crate) mod agent;
mod attempts;
mod control;
mod dial;
mod draft;
mod lines;
mod plain;
mod protocol;
pub(crate) mod received;
mod report;
mod unmarked;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use basilbank_core::{
    effect::{CompletionCall, EngineCall},
    event::{EngineEvent, EngineReport, Event, Failure},
    ids::{AttemptKey, EndpointId},
    state::Local,
};
use ureq::Agent;

use self::{
    attempts::{Attempts, Phase},
    protocol::Owner,
};
use crate::{callers::Callers, inbox::Feed, pool::Pool, published::Published};

/// Drafts and plain calls at once.
const CALLS: usize = 2048;

/// Cancellations, reapings and orders at once, and how many may wait.
const CONTROLS: usize = 32;
const CONTROL_BACKLOG: usize = 4096;

/// Reports read at once, and how many may wait.
const REPORTS: usize = 64;
const REPORT_BACKLOG: usize = 1024;

/// Longest silence of an endpoint that is to answer or to stream.
pub const SILENCE: Duration = Duration::from_secs(10);

/// Longest wait for cancellations at the exit.
const DRAIN: Duration = Duration::from_secs(5);

/// Longest answer time of a control call or report.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// What the endpoints' side is told at its start.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EngineConfig {
    /// Who owns what is started.
    pub owner: Owner,
    /// Where this daemon is, by name.
    pub data_centre: String,
    /// Bytes of a plain service's answer.
    pub answer: usize,
    /// Longest silence of an endpoint that is to answer or to stream.
    pub silence: Duration,
}

impl EngineConfig {
    /// For one incarnation of a VM.
    #[must_use]
    pub fn new(local: &Local) -> EngineConfig {
        EngineConfig {
            owner: Owner::new(local.vm, local.incarnation),
            data_centre: String::new(),
            answer: 8 << 20,
            silence: SILENCE,
        }
    }

    /// Sets the data centre's name.
    #[must_use]
    pub fn with_data_centre(mut self, name: &str) -> EngineConfig {
        self.data_centre = name.to_owned();
        self
    }

    /// Sets the size limit of plain answers.
    #[must_use]
    pub fn with_answer(mut self, bytes: usize) -> EngineConfig {
        self.answer = bytes;
        self
    }

    /// Sets the longest silence.
    #[must_use]
    pub fn with_silence(mut self, silence: Duration) -> EngineConfig {
        self.silence = silence;
        self
    }
}

/// The endpoints' side.
#[derive(Debug)]
pub struct Engine {
    worker: Arc<Worker>,
    calls: Pool,
    reports: Pool,
}

/// What the worker threads share.
#[derive(Debug)]
struct Worker {
    config: EngineConfig,
    /// For drafts and plain calls.
    agent: Agent,
    /// For control calls and reports.
    control: Agent,
    controls: Pool,
    attempts: Attempts,
    /// Last cache event number seen, by endpoint; absent while a report is being read.
    cursors: Mutex<HashMap<EndpointId, Cursor>>,
    callers: Arc<Callers>,
    published: Arc<Published>,
    feed: Feed,
}

/// How far an endpoint's cache events have been read.
#[derive(Clone, Copy, Default, Debug)]
struct Cursor {
    sequence: u64,
    reading: bool,
}

impl Engine {
    /// Starts without threads; they come with the calls.
    #[must_use]
    pub fn new(
        config: EngineConfig,
        callers: Arc<Callers>,
        published: Arc<Published>,
        feed: Feed,
    ) -> Engine {
        let worker = Worker {
            agent: agent::agent(config.silence),
            control: agent::agent(CONTROL_TIMEOUT),
            controls: Pool::new("engine-control", CONTROLS, CONTROL_BACKLOG),
            attempts: Attempts::default(),
            cursors: Mutex::default(),
            config,
            callers,
            published,
            feed,
        };
        Engine {
            worker: Arc::new(worker),
            calls: Pool::new("engine-call", CALLS, 0),
            reports: Pool::new("engine-report", REPORTS, REPORT_BACKLOG),
        }
    }

    /// Carries a call out, without waiting. Returns what the core must hear at once, if the call
    /// could not even be started.
    #[must_use]
    pub fn call(&self, call: EngineCall) -> Option<EngineEvent> {
        match call {
            EngineCall::Prefill(call) => {
                let attempt = call.attempt;
                self.begin(attempt, call.attempt_number, Phase::Prefill, move |w| w.prefill(&call))
            }
            EngineCall::Decode { call, source, handle } => self.decode(call, source, handle),
            EngineCall::Resume { attempt, endpoint, stream, offset, .. } => {
                let resume = draft::ResumeCall { attempt, endpoint, stream, offset };
                self.begin(attempt, 0, Phase::Stream, move |w| w.resume(&resume))
            }
            EngineCall::Plain { attempt, caller, request, endpoint, timeout } => {
                let call = plain::PlainCall { attempt, caller, request, endpoint, timeout };
                self.begin(attempt, 0, Phase::Plain, move |w| w.plain(&call))
            }
            EngineCall::Cancel { attempt, endpoint, request, resource } => {
                self.worker.cancel(attempt, endpoint, request, resource);
                None
            }
            EngineCall::Reap { endpoint, stream, vm, incarnation } => {
                self.worker.reap(endpoint, &stream, &Owner::new(vm, incarnation));
                None
            }
            EngineCall::Order { endpoint, fence, model, version, adapter, role } => {
                let order = control::Order { fence, model, version, adapter, role };
                let silent = EngineEvent::Report { endpoint, report: EngineReport::NoResponse };
                let worker = Arc::clone(&self.worker);
                let job = move || worker.order(endpoint, &order);
                self.worker.controls.run(job).is_err().then_some(silent)
            }
            EngineCall::ReadLoad { endpoint } => {
                self.report(endpoint, move |w| w.read_load(endpoint))
            }
            EngineCall::ListStreams { endpoint } => {
                self.report(endpoint, move |w| w.list_streams(endpoint))
            }
        }
    }

    /// Waits until all cancellations have been delivered, but not for ever.
    ///
    /// A caller that leaves just before the exit would otherwise leave its stream behind, and the
    /// endpoint hold its memory until a peer finds that its owner is gone.
    pub fn drain(&self) {
        if !self.worker.controls.wait_idle(DRAIN) {
            log::warn!("event=cancels_unfinished");
        }
    }

    fn decode(
        &self,
        draft: CompletionCall,
        source: EndpointId,
        handle: String,
    ) -> Option<EngineEvent> {
        let attempt = draft.attempt;
        let Some(source) = self.worker.published.address(source) else {
            return Some(EngineEvent::Failed { attempt, failure: Failure::Evicted });
        };
        let number = draft.attempt_number;
        self.begin(attempt, number, Phase::Import, move |w| w.decode(&draft, &source, &handle))
    }

    fn begin(
        &self,
        attempt: AttemptKey,
        number: u32,
        phase: Phase,
        job: impl FnOnce(&Worker) + Send + 'static,
    ) -> Option<EngineEvent> {
        self.worker.attempts.begin(attempt, number, phase);
        let worker = Arc::clone(&self.worker);
        let started = self.calls.run(move || job(&worker));
        if started.is_ok() {
            return None;
        }
        self.worker.attempts.forget(attempt);
        Some(EngineEvent::Failed { attempt, failure: Failure::Unreachable })
    }

    fn report(
        &self,
        endpoint: EndpointId,
        job: impl FnOnce(&Worker) + Send + 'static,
    ) -> Option<EngineEvent> {
        let worker = Arc::clone(&self.worker);
        let started = self.reports.run(move || job(&worker));
        let silent = EngineEvent::Report { endpoint, report: EngineReport::NoResponse };
        started.is_err().then_some(silent)
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        // Readers would go on reading for a core that is gone, and endpoints stream to them.
        self.worker.agent.clone().shutdown();
        self.worker.control.clone().shutdown();
    }
}

impl Worker {
    /// Where an endpoint is, as a URL without a path.
    fn base(&self, endpoint: EndpointId) -> Option<String> {
        self.published.address(endpoint).map(|address| format!("http://{address}"))
    }

    /// Waits while the event loop is behind: a flood of tokens must not fill the memory. An error
    /// means that the loop has ended, and with it everybody's interest.
    fn send(&self, event: EngineEvent) {
        let _ = self.feed.send(Event::Engine(event));
    }

    /// Ends an attempt with a failure, unless it has ended or was cancelled.
    fn fail(&self, attempt: AttemptKey, failure: Failure) {
        if self.attempts.end(attempt).is_some() {
            self.send(EngineEvent::Failed { attempt, failure });
        }
    }

    fn report(&self, endpoint: EndpointId, report: EngineReport) {
        self.send(EngineEvent::Report { endpoint, report });
    }
}
