//! Owns the decisions' state, feeds events in and hands effects out.

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::HashMap,
    fmt,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use basilbank::logs::Line;
use basilbank_forward::{effect::Target, event::Acceptance, prelude::*};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
    task::spawn_local,
    time::sleep,
};

use crate::{
    calls::send_off,
    dialect::{Dialect, OutRequest},
    links::{CallError, Links},
    metrics::Metrics,
    peers,
};

/// Longest sleep of the timer.
const IDLE: Duration = Duration::from_millis(500);

/// Limit of calls that give something back: some round trips.
const GIVE_BACK: Duration = Duration::from_millis(300);

/// Limit of an order.
const ORDER: Duration = Duration::from_millis(1000);

/// An effect for one request's task.
#[derive(Debug)]
pub enum Step {
    /// Carry an attempt out.
    Start(Attempt),
    /// Stop an attempt.
    Stop(u32),
    /// Pass an attempt's answer on.
    Deliver(u32),
    /// Answer with a refusal or failure.
    Refuse(Refusal, Option<Duration>),
    /// End a stream that can't be finished.
    Cut,
}

/// The one place that runs the reducer.
pub struct Router {
    /// How the platform spells things.
    pub dialect: Dialect,
    /// Connections to endpoints.
    pub links: Links,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    state: RefCell<State>,
    clock: Box<dyn Clock>,
    steps: RefCell<HashMap<RequestId, mpsc::UnboundedSender<Step>>>,
    next: Cell<u64>,
    changed: Notify,
    readers: RefCell<Readers>,
    /// There are news for a topic's reader.
    nudges: PerTopic<Notify>,
    socket: OnceCell<Rc<UdpSocket>>,
}

impl fmt::Debug for Router {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Router").field("state", &self.state).finish_non_exhaustive()
    }
}

impl Router {
    /// A router around a state.
    #[must_use]
    pub fn new(
        state: State,
        dialect: Dialect,
        clock: Box<dyn Clock>,
        metrics: Arc<Metrics>,
    ) -> Rc<Router> {
        Rc::new(Router {
            dialect,
            links: Links::default(),
            metrics,
            state: RefCell::new(state),
            clock,
            steps: RefCell::default(),
            next: Cell::new(0),
            changed: Notify::new(),
            readers: RefCell::default(),
            nudges: PerTopic::default(),
            socket: OnceCell::new(),
        })
    }

    /// Talks to peers over this socket from now on.
    pub fn talk(self: &Rc<Self>, socket: UdpSocket) {
        let socket = Rc::new(socket);
        if self.socket.set(Rc::clone(&socket)).is_ok() {
            spawn_local(peers::hear(Rc::clone(self), socket));
        }
    }

    /// A number for a request that comes in, and its effects.
    pub fn register(&self) -> (RequestId, mpsc::UnboundedReceiver<Step>) {
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        let (sender, steps) = mpsc::unbounded_channel();
        self.steps.borrow_mut().insert(id, sender);
        (id, steps)
    }

    /// The request's task is over.
    pub fn unregister(&self, id: RequestId) {
        self.steps.borrow_mut().remove(&id);
    }

    /// Reads the state.
    pub fn read<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.borrow())
    }

    /// The monotonic time.
    pub fn now(&self) -> Duration {
        self.clock.now().mono
    }

    /// Runs the decisions about reads of a topic for one event.
    pub fn step_reader(&self, topic: Topic, event: ReadEvent, effects: &mut Vec<ReadEffect>) {
        let around = self.state.borrow_mut().reader_context(topic);
        let mut readers = self.readers.borrow_mut();
        if readers.step(topic, self.now(), around, event, effects) {
            self.nudges.get(topic.other()).notify_one();
        }
    }

    /// The store's era in which an answer counts; `None` if it doesn't.
    pub fn reading_counts(&self, topic: Topic, read: ReadId, era: Option<u64>) -> Option<u64> {
        self.readers.borrow().counts(topic, read, era)
    }

    /// How long nothing is to be done about a topic's reads, unless something happens.
    pub fn read_pause(&self, topic: Topic) -> Duration {
        self.readers.borrow().wake_at(topic).saturating_sub(self.now())
    }

    /// Waits until something happens that a topic's reader has to know.
    pub async fn read_nudge(&self, topic: Topic) {
        self.nudges.get(topic).notified().await;
    }

    /// Changes constants when settings change.
    pub fn tune(&self, change: impl FnOnce(&mut Tuning)) {
        change(&mut self.state.borrow_mut().tuning);
    }

    /// Runs the reducer for one event, and hands its effects out.
    pub fn dispatch(self: &Rc<Self>, event: Event) {
        let mut effects = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let (before, news) = (state.wake_at(), state.latest_changes);
            let rest = state.follow_state();
            reduce(&mut state, self.clock.now(), event, &mut effects);
            let after = state.wake_at();
            if after.is_some_and(|at| before.is_none_or(|before| at < before)) {
                self.changed.notify_one();
            }
            let roused = rest != state.follow_state();
            for topic in Topic::ALL {
                let behind =
                    news.get(topic) < state.latest_changes.get(topic) && state.is_stale(topic);
                if behind || roused {
                    self.nudges.get(topic).notify_one();
                }
            }
        }
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// Sends ticks when they are due, until the task is dropped.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let now = self.clock.now().mono;
            let wake = self.read(State::wake_at);
            let pause = wake.map_or(IDLE, |at| at.saturating_sub(now)).min(IDLE);
            if pause.is_zero() {
                self.dispatch(Event::Tick);
                continue;
            }
            tokio::select! {
                () = sleep(pause) => {
                    self.links.sweep();
                    self.dispatch(Event::Tick);
                }
                () = self.changed.notified() => {}
            }
        }
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Start { request, attempt } => {
                self.metrics.sent(attempt.op.as_str());
                self.step(request, Step::Start(attempt));
            }
            Effect::Stop { request, attempt } => self.step(request, Step::Stop(attempt)),
            Effect::Deliver { request, attempt } => self.step(request, Step::Deliver(attempt)),
            Effect::Refuse { request, refusal, retry_after } => {
                self.metrics.refused(refusal);
                self.step(request, Step::Refuse(refusal, retry_after));
            }
            Effect::AbortStream { request, refusal } => {
                self.metrics.refused(refusal);
                self.step(request, Step::Cut);
            }
            Effect::FreeKv { target, handle } => {
                let request = (self.dialect.free)(&handle);
                self.give_back("free", target, request);
            }
            Effect::ReleaseHold { target, hold } => {
                let request = (self.dialect.drop_hold)(&hold);
                self.give_back("drop_hold", target, request);
            }
            Effect::Probe(target) => self.probe(target),
            Effect::Order { target, stage, fence } => self.order(target, stage, fence),
            Effect::SendGossip { to, gossip } => {
                if let Some(socket) = self.socket.get() {
                    peers::say(socket, &to, &gossip);
                }
            }
            Effect::CloseConnections(endpoint) => self.links.forget(endpoint),
            Effect::Log(note) => self.log(&note),
        }
    }

    /// Effects for a request whose task is over are dropped: its end crossed them.
    fn step(&self, id: RequestId, step: Step) {
        if let Some(steps) = self.steps.borrow().get(&id) {
            let _ = steps.send(step);
        }
    }

    fn give_back(self: &Rc<Self>, what: &'static str, target: Target, request: OutRequest) {
        let router = Rc::clone(self);
        spawn_local(async move {
            // It lapses by itself at the endpoint when this fails.
            if let Err(error) = send_off(&router, &target, request, GIVE_BACK).await {
                let line = Line::new("not_given_back")
                    .with("what", what)
                    .with("instance", target.instance)
                    .with("error", format!("{error:?}"));
                log::info!("{line}");
            }
        });
    }

    fn probe(self: &Rc<Self>, target: Target) {
        let router = Rc::clone(self);
        spawn_local(async move {
            let request = (router.dialect.alive)(&target.instance);
            let life = router.links.probe(&target, request).await;
            router.metrics.probed(life);
            router.dispatch(Event::Probed { endpoint: target.endpoint, liveness: life });
        });
    }

    fn order(self: &Rc<Self>, target: Target, stage: Stage, fence: u64) {
        let router = Rc::clone(self);
        let holder = self.read(|state| state.local.name.clone());
        let request = (self.dialect.order)(stage, &holder, fence, &target.instance);
        spawn_local(async move {
            let answer = send_off(&router, &target, request, ORDER).await;
            let accepted = match &answer {
                Ok(status) if status.is_success() => Acceptance::Accepted,
                Ok(_) | Err(CallError::Unreachable) => Acceptance::Refused,
                Err(_) => Acceptance::Unknown,
            };
            let line = Line::new("ordered")
                .with("instance", &target.instance)
                .with("stage", stage.as_str())
                .with("fence", fence)
                .with("answer", format!("{answer:?}"));
            log::info!("{line}");
            router
                .dispatch(Event::OrderAnswered { endpoint: target.endpoint, acceptance: accepted });
        });
    }

    /// Logs a line, and counts what it measures.
    pub fn log(&self, note: &LogLine) {
        if let Some(measure) = note.measurement {
            self.metrics.measured(measure);
        }
        if log::log_enabled!(log::Level::Info) {
            let line = Line::new(note.name);
            let line = note.pairs.iter().fold(line, |line, (key, value)| line.with(key, value));
            log::info!("{line}");
        }
    }
}
