//! Owns the reducer's state, passes events to the reducer and carries out its effects.

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::HashMap,
    fmt,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use basilbank::{
    callers::{body_budget::BodyBudget, connections::Connections},
    logs::Line,
};
use basilbank_forward::{effect::Target, event::Acceptance, prelude::*};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    attempt::send_control,
    connections::{CallError, ConnectionPool},
    dialect::{Dialect, OutRequest},
    gossip,
    intake::{max_connections, max_descriptors},
    liveness::LivenessChecks,
    metrics::Metrics,
    progress::Progress,
    proxy_client::ProxyClient,
    source::{ReadError, Reading, Source},
};

/// Maximum sleep of the timer.
const MAX_TIMER_SLEEP: Duration = Duration::from_millis(500);

/// Timeout of calls that release a resource: some round trips.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Timeout of a read of old changes of the list: longer than a call waits for all of them.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size in bytes of old changes of the list: some thousand records.
const MAX_HISTORY_BYTES: usize = 2 << 20;

/// An effect for one request's task.
#[derive(Debug)]
pub enum RequestEffect {
    /// Start an attempt.
    Start(Box<Attempt>),
    /// Stop an attempt.
    Stop(u32),
    /// Forward an attempt's answer.
    Deliver(u32),
    /// Drop the body, which no further attempt will send.
    DropBody,
    /// Respond with a refusal or failure.
    Refuse(Refusal, Option<Duration>),
    /// Abort a stream that can't be completed.
    AbortStream,
}

/// Runs the reducer; nothing else does.
pub struct Router {
    /// The platform's requests and formats.
    pub dialect: Dialect,
    /// Connections to endpoints.
    pub connections: ConnectionPool,
    /// Liveness requests on behalf of calls that wait.
    pub(crate) liveness: LivenessChecks,
    /// Connections to peers that call endpoints for this daemon.
    pub proxy_client: ProxyClient,
    /// Bound on the memory that request bodies take.
    pub bodies: BodyBudget,
    /// Open connections of callers.
    pub callers: Connections,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    state: RefCell<State>,
    pub(crate) clock: Box<dyn Clock>,
    request_effects: RefCell<HashMap<RequestId, mpsc::UnboundedSender<RequestEffect>>>,
    next_id: Cell<u64>,
    timer_changed: Notify,
    readers: RefCell<Readers>,
    /// Notified when a topic's reader has to check for changes.
    reader_wakeups: PerTopic<Notify>,
    socket: OnceCell<Rc<UdpSocket>>,
    /// Where old changes of the list of endpoints are read.
    history_source: OnceCell<Source>,
}

impl fmt::Debug for Router {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Router").field("state", &self.state).finish_non_exhaustive()
    }
}

impl Router {
    /// Creates a router with a state.
    #[must_use]
    pub fn new(
        state: State,
        dialect: Dialect,
        clock: Box<dyn Clock>,
        metrics: Arc<Metrics>,
    ) -> Rc<Router> {
        let bodies = BodyBudget::default();
        let max_callers = max_connections(None, max_descriptors());
        Rc::new(Router {
            dialect,
            connections: ConnectionPool::default(),
            liveness: LivenessChecks::default(),
            proxy_client: ProxyClient::default(),
            callers: Connections::new(max_callers, bodies.clone()),
            bodies,
            metrics,
            state: RefCell::new(state),
            clock,
            request_effects: RefCell::default(),
            next_id: Cell::new(0),
            timer_changed: Notify::new(),
            readers: RefCell::default(),
            reader_wakeups: PerTopic::default(),
            socket: OnceCell::new(),
            history_source: OnceCell::new(),
        })
    }

    /// Sends and receives gossip over this socket from now on.
    pub fn start_gossip(self: &Rc<Self>, socket: UdpSocket) {
        let socket = Rc::new(socket);
        if self.socket.set(Rc::clone(&socket)).is_ok() {
            spawn_local(gossip::receive(Rc::clone(self), socket));
        }
    }

    /// Reads old changes of the list of endpoints from this source from now on.
    pub fn set_history_source(&self, source: Source) {
        let _ = self.history_source.set(source);
    }

    /// Registers a new request. Returns its id and the receiver of its effects.
    pub fn register(&self) -> (RequestId, mpsc::UnboundedReceiver<RequestEffect>) {
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (sender, effects) = mpsc::unbounded_channel();
        self.request_effects.borrow_mut().insert(id, sender);
        (id, effects)
    }

    /// Removes a request whose task has ended.
    pub fn unregister(&self, id: RequestId) {
        self.request_effects.borrow_mut().remove(&id);
    }

    /// Reads the state.
    pub fn read<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&self.state.borrow())
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Duration {
        self.clock.now().mono
    }

    /// Passes an event to a topic's reader.
    pub fn step_reader(&self, topic: Topic, event: ReadEvent, effects: &mut Vec<ReadEffect>) {
        let context = self.state.borrow_mut().reader_context(topic);
        let mut readers = self.readers.borrow_mut();
        if readers.step(topic, self.now(), context, event, effects) {
            self.reader_wakeups.get(topic.other()).notify_one();
        }
    }

    /// Returns the store's era in which an answer is used; `None` if the answer is discarded.
    pub fn accepted_era(&self, topic: Topic, read: ReadId, era: Option<u64>) -> Option<u64> {
        self.readers.borrow().accepted_era(topic, read, era)
    }

    /// Returns the time until a topic's reader needs a `Tick`, unless something happens before.
    pub fn reader_pause(&self, topic: Topic) -> Duration {
        self.readers.borrow().wake_at(topic).saturating_sub(self.now())
    }

    /// Returns for how long the store hasn't answered a topic's reader.
    pub fn store_lost_for(&self, topic: Topic) -> Duration {
        let lost_since = self.readers.borrow().lost_since(topic);
        lost_since.map_or(Duration::ZERO, |since| self.now().saturating_sub(since))
    }

    /// Waits until a topic's reader has to check for changes.
    pub async fn wait_for_wakeup(&self, topic: Topic) {
        self.reader_wakeups.get(topic).notified().await;
    }

    /// Updates the tuning constants when settings change.
    pub fn update_tuning(&self, update: impl FnOnce(&mut Tuning)) {
        update(&mut self.state.borrow_mut().tuning);
    }

    /// Runs the reducer for one event, and carries out its effects.
    pub fn dispatch(self: &Rc<Self>, event: Event) {
        let mut effects = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let (previous_wake, latest_changes) = (state.wake_at(), state.latest_changes);
            let follow_state = state.follow_state();
            reduce(&mut state, self.clock.now(), event, &mut effects);
            let next_wake = state.wake_at();
            if next_wake.is_some_and(|next| previous_wake.is_none_or(|previous| next < previous)) {
                self.timer_changed.notify_one();
            }
            let follow_state_changed = follow_state != state.follow_state();
            for topic in Topic::ALL {
                let has_new_change = latest_changes.get(topic) < state.latest_changes.get(topic)
                    && state.is_stale(topic);
                if has_new_change || follow_state_changed {
                    self.reader_wakeups.get(topic).notify_one();
                }
            }
        }
        for effect in effects {
            self.run_effect(effect);
        }
    }

    /// Dispatches ticks when they are due, until the task is dropped.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let now = self.clock.now().mono;
            let wake = self.read(State::wake_at);
            let pause =
                wake.map_or(MAX_TIMER_SLEEP, |at| at.saturating_sub(now)).min(MAX_TIMER_SLEEP);
            if pause.is_zero() {
                self.dispatch(Event::Tick);
                continue;
            }
            tokio::select! {
                () = sleep(pause) => {
                    self.connections.close_expired();
                    self.proxy_client.close_expired();
                    self.dispatch(Event::Tick);
                }
                () = self.timer_changed.notified() => {}
            }
        }
    }

    fn run_effect(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Start { request, attempt } => {
                self.metrics.count_sent(attempt.op.as_str());
                if attempt.target.via.is_some() {
                    self.metrics.count_sent_by_peer(attempt.op.as_str());
                }
                self.send_to_request(request, RequestEffect::Start(Box::new(attempt)));
            }
            Effect::Stop { request, attempt } => {
                self.send_to_request(request, RequestEffect::Stop(attempt));
            }
            Effect::Deliver { request, attempt } => {
                self.send_to_request(request, RequestEffect::Deliver(attempt));
            }
            Effect::DropBody(request) => self.send_to_request(request, RequestEffect::DropBody),
            Effect::Refuse { request, refusal, retry_after } => {
                self.metrics.count_refused(refusal);
                self.send_to_request(request, RequestEffect::Refuse(refusal, retry_after));
            }
            Effect::AbortStream { request, refusal } => {
                self.metrics.count_refused(refusal);
                self.send_to_request(request, RequestEffect::AbortStream);
            }
            Effect::FreeKv { target, handle } => {
                let request = (self.dialect.free_request)(&handle);
                self.release("free", target, request);
            }
            Effect::ReleaseHold { target, hold } => {
                let request = (self.dialect.release_hold_request)(&hold);
                self.release("drop_hold", target, request);
            }
            Effect::Probe(target) => self.probe(target),
            Effect::Order { target, stage, fence } => self.send_order(target, stage, fence),
            Effect::ReadHistory { after } => self.read_history(after),
            Effect::ConfirmList { after, asked_at } => self.confirm_list(after, asked_at),
            Effect::SendGossip { to, gossip } => {
                if let Some(socket) = self.socket.get() {
                    gossip::send(self, socket, &to, &gossip);
                }
            }
            Effect::CloseConnections(endpoint) => self.connections.close_idle(endpoint),
            Effect::DoubtConnections(endpoint) => self.connections.doubt_idle(endpoint),
            Effect::Log(entry) => self.log(&entry),
        }
    }

    /// Sends an effect to a request's task. If the task has ended meanwhile, the effect is dropped.
    fn send_to_request(&self, id: RequestId, effect: RequestEffect) {
        if let Some(sender) = self.request_effects.borrow().get(&id) {
            let _ = sender.send(effect);
        }
    }

    fn release(self: &Rc<Self>, resource: &'static str, target: Target, request: OutRequest) {
        let router = Rc::clone(self);
        spawn_local(async move {
            // If the call fails, the resource expires at the endpoint.
            if let Err(error) =
                send_control(&router, &target, request, RELEASE_TIMEOUT, Purpose::Release).await
            {
                let line = Line::new("not_given_back")
                    .with("what", resource)
                    .with("instance", target.instance)
                    .with("error", format!("{error:?}"));
                log::info!("{line}");
            }
        });
    }

    /// Reads the changes of the list of endpoints after a revision for the search of old ones.
    fn read_history(self: &Rc<Self>, after: u64) {
        let router = Rc::clone(self);
        spawn_local(async move {
            let (era, read) = router.read_changes(after, ReadReason::History).await;
            let answer = match read {
                Ok(reading) => HistoryAnswer::Changes(reading.into_list_changes()),
                Err(ReadError::HistoryGone) => HistoryAnswer::Gone,
                Err(_) => HistoryAnswer::Failed,
            };
            router.dispatch(Event::HistoryRead { era, answer });
        });
    }

    /// Reads the changes of the list of endpoints that aren't known yet.
    fn confirm_list(self: &Rc<Self>, after: u64, asked_at: Duration) {
        let router = Rc::clone(self);
        spawn_local(async move {
            let (era, read) = router.read_changes(after, ReadReason::Confirmation).await;
            let unread = read.ok().map(|reading| UnreadChanges {
                revision: reading.revisions.store.number,
                changes: reading.into_list_changes(),
            });
            router.dispatch(Event::ListConfirmed { asked_at, era, unread });
        });
    }

    /// Reads the changes of the list of endpoints after a revision, apart from the topic's reader. Returns
    /// the store's era, if the answer states it, and the changes.
    async fn read_changes(
        &self,
        after: u64,
        reason: ReadReason,
    ) -> (Option<u64>, Result<Reading, ReadError>) {
        let Some(source) = self.history_source.get() else {
            return (None, Err(ReadError::Failed("no store".to_owned())));
        };
        self.metrics.count_store_read(Topic::Endpoints, reason);
        let progress = Progress::default();
        let query = Query {
            scope: Scope::Changes { after, wait: Duration::ZERO },
            reason,
            connect_timeout: HISTORY_TIMEOUT,
            max_bytes: MAX_HISTORY_BYTES,
        };
        let read = timeout(HISTORY_TIMEOUT, source(query, progress.clone())).await;
        self.count_store_request(&progress);
        let read = read.unwrap_or_else(|_| Err(ReadError::Failed("timeout".to_owned())));
        self.metrics.count_store_call(read.as_ref().map_or_else(ReadError::as_str, |_| "read"));
        (progress.era(), read)
    }

    fn probe(self: &Rc<Self>, target: Target) {
        let router = Rc::clone(self);
        spawn_local(async move {
            let request = (router.dialect.liveness_request)(&target.instance);
            let endpoint = target.endpoint;
            if let Some(peer) = target.via {
                let failure = router.probe_by_peer(&target, request).await;
                return router.dispatch(Event::ProbedByPeer { endpoint, peer, failure });
            }
            let liveness = router.probe_endpoint(&target, request).await;
            router.metrics.count_probe(liveness);
            router.dispatch(Event::Probed { endpoint, liveness });
        });
    }

    fn send_order(self: &Rc<Self>, target: Target, stage: Stage, fence: u64) {
        let router = Rc::clone(self);
        let holder = self.read(|state| state.local.name.clone());
        let request = (self.dialect.order_request)(stage, &holder, fence, &target.instance);
        spawn_local(async move {
            let answer =
                send_control(&router, &target, request, ORDER_TIMEOUT, Purpose::Order).await;
            let acceptance = match &answer {
                Ok(status) if status.is_success() => Acceptance::Accepted,
                Ok(_) | Err(CallError::Unreachable | CallError::Withheld) => Acceptance::Refused,
                Err(_) => Acceptance::Unknown,
            };
            let line = Line::new("ordered")
                .with("instance", &target.instance)
                .with("stage", stage.as_str())
                .with("fence", fence)
                .with("answer", format!("{answer:?}"));
            log::info!("{line}");
            router.dispatch(Event::OrderAnswered { endpoint: target.endpoint, acceptance });
        });
    }

    /// Writes a log line, and records its measurement.
    pub fn log(&self, entry: &LogLine) {
        if let Some(measurement) = entry.measurement {
            self.metrics.record_measurement(measurement);
        }
        if log::log_enabled!(log::Level::Info) {
            let line = Line::new(entry.name);
            let line = entry.pairs.iter().fold(line, |line, (key, value)| line.with(key, value));
            log::info!("{line}");
        }
    }
}
