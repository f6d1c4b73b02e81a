//! Several cores in virtual time: an in-memory network between them, a fake platform, fake endpoints
//! and scripted callers. One seed gives one history, the same on each run.
//!
//! Shared by tests and benches: `#[path = "../tests/world/mod.rs"] mod world;`
//!
//! ```ignore
//! let mut world = World::new(Spec::kitafuji());
//! let ask = world.ask(Ask::draft(0, 1500, 40).at(Duration::from_secs(3)));
//! world.when(ask, Moment::Decoding(5), Step::Kill { daemon: Who::Home(ask), back: None });
//! world.run_until(Duration::from_secs(30));
//! assert_eq!(world.report().asks[ask].end, Some(End::Done));
//! ```
// Each test binary compiles this module for itself and uses part of it.
#![allow(dead_code, unused_imports)]

mod ask;
mod brain;
mod callers;
mod check;
mod daemon;
mod decode;
mod endpoint;
mod engine;
mod faults;
mod net;
mod plain;
mod platform;
mod prefill;
mod queue;
mod record;
mod report;
mod spec;
mod step;
mod streams;

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use basilbank_core::{prelude::*, state::Rng};

pub use self::{
    ask::{Ask, End, Job},
    brain::Brain,
    callers::{Callers, Route, Try},
    check::{Bounds, Finding, Promise, check},
    daemon::{Daemon, Traffic},
    decode::Decode,
    endpoint::{EngineFault, Fake, FakeKind, Power},
    net::{Net, Node, PACKET_OVERHEAD},
    plain::PlainService,
    platform::{Platform, PlatformMode},
    prefill::Prefill,
    record::{AskRuns, HeldPast, LateWork, PrefillUse, Record, Revision, Runs},
    report::{AskReport, DaemonReport, Report},
    spec::{Pool, Spec, TeamSpec},
    step::{Listing, Moment, Place, Step, Who},
};
use self::{
    daemon::Process,
    endpoint::{EngineDue, Origin},
    queue::Queue,
};

/// Milliseconds since the Unix epoch at which the virtual time starts.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

/// Something that is due at a moment.
enum Due {
    /// A scripted step.
    Step(Step),
    /// A daemon's timer.
    Tick(Process),
    /// Something reaches a daemon.
    Event(Process, Event),
    /// A call reaches an endpoint.
    Call(Origin, EngineCall),
    /// A daemon's shell gives a call up.
    Timeout { process: Process, attempt: AttemptKey, connection: u64 },
    /// Work at an endpoint goes on. The number is the endpoint's life.
    Engine(usize, u32, EngineDue),
    /// A watch at the platform is answered with nothing new.
    WatchOver(u64),
    /// A caller sends its request, again perhaps.
    Send(usize),
    /// A caller gives up waiting.
    Leave(usize),
    /// A caller learns how a try of its ended.
    Ended(usize, End),
}

/// The whole.
pub struct World {
    /// What it was made from.
    pub spec: Spec,
    /// The current moment.
    pub now: Duration,
    /// The daemons, by number.
    pub daemons: Vec<Daemon>,
    /// The endpoints, in the catalogue's order.
    pub endpoints: Vec<Fake>,
    /// The platform.
    pub platform: Platform,
    /// Callers and what they got.
    pub callers: Callers,
    /// What the checker and the report need to know.
    pub record: Record,
    /// The network.
    pub net: Net,
    queue: Queue<Due>,
    rng: Rng,
    spare: Vec<Effect>,
    moments: Vec<(usize, Moment, Step)>,
    connections: u64,
    /// What waits for a way that is cut.
    stuck: Vec<(Node, Node, Due)>,
    cut_at: Duration,
    vms: HashMap<VmId, usize>,
    ids: HashMap<EndpointId, usize>,
}

impl World {
    /// A world in which all daemons have just started.
    #[must_use]
    pub fn new(spec: Spec) -> World {
        let platform = Platform::new(&spec);
        let endpoints = endpoint::build(&spec);
        let daemons = daemon::build(&spec);
        let rng = Rng::new(spec.seed);
        let mut world = World {
            now: Duration::ZERO,
            net: Net::default(),
            callers: Callers::default(),
            record: Record::new(daemons.len()),
            queue: Queue::default(),
            spare: Vec::new(),
            moments: Vec::new(),
            connections: 0,
            stuck: Vec::new(),
            cut_at: Duration::ZERO,
            vms: daemons.iter().enumerate().map(|(i, d)| (d.vm, i)).collect(),
            ids: endpoints.iter().enumerate().map(|(i, e)| (e.id, i)).collect(),
            spec,
            daemons,
            endpoints,
            platform,
            rng,
        };
        for daemon in 0..world.daemons.len() {
            world.start(daemon);
        }
        world
    }

    /// Has a step happen at a moment.
    pub fn at(&mut self, at: Duration, step: Step) {
        self.queue.push(at, Due::Step(step));
    }

    /// Adds a caller's request and gives its number.
    pub fn ask(&mut self, ask: Ask) -> usize {
        let number = self.callers.asks.len();
        self.queue.push(ask.at, Due::Send(number));
        self.callers.asks.push(ask);
        self.callers.progress.push(Route::default());
        number
    }

    /// Has a step happen when a request reaches a moment for the first time.
    pub fn when(&mut self, ask: usize, moment: Moment, step: Step) {
        self.moments.push((ask, moment, step));
    }

    /// Lets time go on.
    pub fn run_until(&mut self, end: Duration) {
        while self.queue.next().is_some_and(|at| at <= end) {
            let Some((at, due)) = self.queue.pop() else { break };
            self.now = at;
            self.happen(due);
        }
        self.now = end;
    }

    /// What came out so far.
    #[must_use]
    pub fn report(&self) -> Report {
        Report::new(self)
    }

    /// The moment on both clocks, as all daemons see it.
    #[must_use]
    pub fn clock(&self) -> Now {
        let wall = SystemTime::UNIX_EPOCH + Duration::from_millis(EPOCH_MS) + self.now;
        Now { mono: self.now, wall }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Step(step) => self.step(step),
            Due::Tick(process) => self.tick(process),
            Due::Event(process, event) => self.deliver(process, event),
            Due::Call(origin, call) => self.call_arrives(origin, call),
            Due::Timeout { process, attempt, connection } => {
                self.timed_out(process, attempt, connection);
            }
            Due::Engine(endpoint, life, due) => self.engine_due(endpoint, life, due),
            Due::WatchOver(watch) => self.watch_over(watch),
            Due::Send(ask) => self.send_try(ask),
            Due::Leave(number) => self.leave(number),
            Due::Ended(number, end) => self.try_ended(number, end),
        }
    }

    /// Whether a request has reached a moment that something waited for.
    #[must_use]
    pub fn is_met(&self, ask: usize, moment: Moment) -> bool {
        !self.moments.iter().any(|(a, m, _)| *a == ask && *m == moment)
    }

    fn after(&mut self, delay: Duration, due: Due) {
        self.queue.push(self.now + delay, due);
    }

    /// A request reached a moment: what waited for it happens now.
    fn reached(&mut self, ask: usize, moment: Moment) {
        if self.moments.is_empty() {
            return;
        }
        let mut due = Vec::new();
        self.moments.retain(|(a, m, step)| {
            let met = *a == ask && *m == moment;
            if met {
                due.push(step.clone());
            }
            !met
        });
        for step in due {
            self.queue.push(self.now, Due::Step(step));
        }
    }
}
