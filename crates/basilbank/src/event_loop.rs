//! The one thread that owns the state: it feeds events to the reducer and hands effects out.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender},
    },
    time::{Duration, Instant},
};

use basilbank_core::{
    effect::{Effect, EngineCall},
    event::{CallerEvent, Event},
    ids::CallerId,
    reduce,
    state::State,
    time::Clock,
};

use crate::{
    callers::{Callers, Delivery},
    engine::Engine,
    inbox::Inbox,
    observer::Observer,
    peers::Peers,
    platform::Platform,
    published::Published,
    queries::Query,
};

/// The core wants a tick at least this often, to notice pauses of the process.
const LONGEST_WAIT: Duration = Duration::from_millis(100);

/// Events taken in before messages to peers go out: enough that a burst shares its packets, few
/// enough that no message waits for long.
const BATCH: usize = 64;

/// What the event loop hands effects to.
#[derive(Debug)]
pub struct Parts {
    /// Open calls.
    pub callers: Arc<Callers>,
    /// The endpoints' side.
    pub engine: Engine,
    /// The peers' side.
    pub peers: Peers,
    /// The platform's side.
    pub platform: Platform,
    /// Metrics, logs and requests' histories.
    pub observer: Observer,
    /// Snapshots for other threads.
    pub published: Arc<Published>,
}

/// The event loop's own data.
pub struct EventLoop {
    state: State,
    clock: Arc<dyn Clock>,
    inbox: Inbox,
    queries: Receiver<Query>,
    parts: Parts,
    control: LoopControl,
    effects: Vec<Effect>,
    /// Events that carrying out an effect made. They can't go through the inbox: it may be full, and
    /// the loop is the one to empty it.
    made: VecDeque<Event>,
    /// The core is done.
    exited: bool,
}

/// How the loop's owner and the loop tell each other about the end.
#[derive(Debug)]
pub struct LoopControl {
    /// The loop says that the core is done. It goes on: callers who come now must be told that
    /// nothing was run, until their server has closed.
    pub done: SyncSender<()>,
    /// The owner tells the loop to end.
    pub stop: Arc<AtomicBool>,
}

impl EventLoop {
    /// A loop that takes events from `inbox` and questions from `queries`. Whoever asks a question
    /// sends an `Event::Tick` after it, so that the loop wakes up.
    #[must_use]
    pub fn new(
        state: State,
        clock: Arc<dyn Clock>,
        inbox: Inbox,
        queries: Receiver<Query>,
        parts: Parts,
        control: LoopControl,
    ) -> EventLoop {
        let (effects, made) = (Vec::new(), VecDeque::new());
        EventLoop { state, clock, inbox, queries, parts, control, effects, made, exited: false }
    }

    /// Runs until the owner tells it to end, or until nobody can send events any more.
    pub fn run(mut self) {
        while !self.control.stop.load(Ordering::Relaxed) {
            let event = match self.inbox.recv_timeout(self.patience()) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) => Event::Tick,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            self.step(event);
            for _ in 0..BATCH {
                let Some(event) = self.inbox.try_recv() else { break };
                self.step(event);
            }
            self.parts.peers.learn(&self.state.documents.vms);
            self.parts.peers.flush();
            self.parts.published.publish(&self.state);
            self.parts.observer.metrics.measure(&self.state);
            for query in self.queries.try_iter() {
                query(&self.state);
            }
        }
        if self.exited {
            self.parts.engine.drain();
        }
    }

    fn patience(&self) -> Duration {
        let Some(wake) = self.state.wake_at() else { return LONGEST_WAIT };
        wake.saturating_sub(self.clock.now().mono).min(LONGEST_WAIT)
    }

    fn step(&mut self, event: Event) {
        self.made.push_back(event);
        while let Some(event) = self.made.pop_front() {
            let start = Instant::now();
            reduce(&mut self.state, self.clock.now(), event, &mut self.effects);
            self.parts.observer.decided(start.elapsed());
            let mut effects = std::mem::take(&mut self.effects);
            for effect in effects.drain(..) {
                self.carry(effect);
            }
            self.effects = effects;
        }
    }

    fn carry(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { caller, answer } => {
                let delivery = self.parts.callers.answer(caller, answer);
                self.delivered(caller, delivery);
            }
            Effect::Engine(call) => self.call(call),
            Effect::Send { to, message } => self.parts.peers.send(to, message),
            Effect::WatchCatalogue { after } => self.parts.platform.watch(after),
            Effect::ReadVms => self.parts.platform.read_vms(),
            Effect::CheckCatalogue { revision, documents } => {
                self.parts.platform.check(revision, documents);
            }
            Effect::Progress(progress) => self.parts.observer.progress(self.clock.now(), &progress),
            Effect::Exit => self.exit(),
        }
    }

    fn exit(&mut self) {
        self.exited = true;
        // A full channel holds the same word already.
        let _ = self.control.done.try_send(());
    }

    fn call(&mut self, call: EngineCall) {
        // The endpoint's address may stand in a catalogue that came into force just now.
        self.parts.published.publish(&self.state);
        self.made.extend(self.parts.engine.call(call).map(Event::Engine));
    }

    fn delivered(&mut self, caller: CallerId, delivery: Delivery) {
        if delivery == Delivery::Gone {
            self.made.push_back(Event::Caller(CallerEvent::Left(caller)));
        }
    }
}
