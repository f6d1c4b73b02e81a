//! Daemons: a process around the decisions, which carries their effects out.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use basilbank_core::prelude::*;

use super::{Brain, Due, EPOCH_MS, End, Moment, Spec, Try, World};

/// Longest time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// A tick that is due at once comes this much later, so that time goes on.
const SOON: Duration = Duration::from_micros(10);
/// Datagrams that wait for a paused process before more are dropped.
const DATAGRAMS: usize = 256;

/// One life of a daemon.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Process {
    /// The daemon.
    pub daemon: usize,
    /// Counts its processes.
    pub life: u32,
}

/// Control traffic.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes, with all headers.
    pub bytes: u64,
}

impl Traffic {
    /// Counts a message.
    pub fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// The shell's side of an attempt at an endpoint.
pub struct Connection {
    /// Its number; rises over all connections.
    pub id: u64,
    /// The endpoint.
    pub endpoint: usize,
    /// When something last came.
    pub progress: Duration,
    /// How long nothing may come.
    pub timeout: Duration,
    /// The failure that a timeout is.
    pub failure: Failure,
}

/// A daemon.
pub struct Daemon {
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub centre: usize,
    /// Its side of a partition.
    pub side: u8,
    /// The decisions; `None` while no process runs.
    pub brain: Option<Box<dyn Brain>>,
    /// Counts its processes.
    pub life: u32,
    /// Its incarnation number.
    pub incarnation: u64,
    /// The incarnation numbers of all its processes.
    pub incarnations: Vec<u64>,
    /// It is paused.
    pub frozen: bool,
    /// It got SIGTERM.
    pub leaving: bool,
    /// When it was last started, thawed or joined again.
    pub calm: Duration,
    /// Tries that it serves.
    pub open: BTreeSet<usize>,
    /// Messages that it sent to peers.
    pub sent: Traffic,
    /// Messages that peers sent to it.
    pub received: Traffic,
    /// Events that it took in.
    pub events: u64,
    pub(super) connections: HashMap<AttemptKey, Connection>,
    pub(super) numbers: HashMap<AttemptKey, u32>,
    pub(super) answers: HashMap<AttemptKey, usize>,
    pub(super) cursors: HashMap<usize, u64>,
    inbox: Vec<Event>,
    tick_at: Option<Duration>,
}

impl Daemon {
    /// Its current process.
    #[must_use]
    pub fn process(&self, daemon: usize) -> Process {
        Process { daemon, life: self.life }
    }

    /// The product's state.
    ///
    /// # Panics
    /// When no process runs, or it is not the product.
    #[must_use]
    pub fn core(&self) -> &State {
        self.brain.as_ref().and_then(|b| b.state()).expect("the product runs here")
    }

    /// Whether the balancer sends callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.brain.as_ref().is_some_and(|b| b.is_ready())
    }
}

/// All daemons of a world, not yet started.
pub fn build(spec: &Spec) -> Vec<Daemon> {
    let one = |i: usize| Daemon {
        vm: VmId::of(&Spec::vm_name(i)),
        centre: i % spec.centres.len(),
        side: 0,
        brain: None,
        life: 0,
        incarnation: 0,
        incarnations: Vec::new(),
        frozen: false,
        leaving: false,
        calm: Duration::ZERO,
        open: BTreeSet::new(),
        sent: Traffic::default(),
        received: Traffic::default(),
        events: 0,
        connections: HashMap::new(),
        numbers: HashMap::new(),
        answers: HashMap::new(),
        cursors: HashMap::new(),
        inbox: Vec::new(),
        tick_at: None,
    };
    (0..spec.daemons).map(one).collect()
}

impl World {
    /// Starts a process where none runs.
    pub(super) fn start(&mut self, number: usize) {
        let clock = self.clock();
        let daemon = &mut self.daemons[number];
        if daemon.brain.is_some() {
            return;
        }
        daemon.life += 1;
        let millis = EPOCH_MS + self.now.as_millis() as u64;
        daemon.incarnation = millis.max(daemon.incarnation + 1);
        daemon.incarnations.push(daemon.incarnation);
        daemon.frozen = false;
        daemon.leaving = false;
        daemon.calm = self.now;
        daemon.tick_at = None;
        let mut local = Local::default()
            .with_name(&Spec::vm_name(number))
            .with_data_centre(self.spec.centres[daemon.centre])
            .with_tuning(self.spec.tuning.clone())
            .with_incarnation(daemon.incarnation);
        local.seed ^= self.spec.seed.rotate_left(32);
        daemon.brain = Some((self.spec.brain)(local, clock));
        let process = daemon.process(number);
        self.note_reach(number);
        self.schedule(process);
    }

    /// Ends a process at once.
    pub(super) fn kill(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        if daemon.brain.take().is_none() {
            return;
        }
        daemon.frozen = false;
        daemon.inbox.clear();
        daemon.connections.clear();
        daemon.numbers.clear();
        daemon.answers.clear();
        daemon.cursors.clear();
        let process = daemon.process(number);
        let open = std::mem::take(&mut daemon.open);
        for number in open {
            self.after(self.spec.client_latency, Due::Ended(number, End::Broken));
        }
        self.note_reach(number);
        self.readers_gone(process);
    }

    /// Notes whether a daemon runs and hears the platform.
    pub(super) fn note_reach(&mut self, number: usize) {
        let daemon = &self.daemons[number];
        let runs = daemon.brain.is_some() && !daemon.frozen && !daemon.leaving;
        self.record.reach(number, self.now, runs && daemon.side == 0);
    }

    /// Pauses a process.
    pub(super) fn freeze(&mut self, number: usize) {
        self.daemons[number].frozen = true;
        self.note_reach(number);
    }

    /// Lets a paused process go on: what has reached it meanwhile, then a tick, or the tick first.
    pub(super) fn thaw(&mut self, process: Process) {
        if !self.runs(process) {
            return;
        }
        let daemon = &mut self.daemons[process.daemon];
        daemon.frozen = false;
        daemon.calm = self.now;
        daemon.tick_at = None;
        let inbox = std::mem::take(&mut daemon.inbox);
        self.record.calm = self.now;
        self.note_reach(process.daemon);
        if self.rng.unit() < 0.5 {
            self.reduce(process, Event::Tick);
        }
        for event in inbox {
            self.deliver(process, event);
        }
        self.reduce(process, Event::Tick);
    }

    /// Whether a process still runs.
    pub(super) fn runs(&self, process: Process) -> bool {
        let daemon = &self.daemons[process.daemon];
        daemon.life == process.life && daemon.brain.is_some()
    }

    pub(super) fn tick(&mut self, process: Process) {
        let daemon = &self.daemons[process.daemon];
        if daemon.tick_at != Some(self.now) || !self.runs(process) || daemon.frozen {
            return;
        }
        self.daemons[process.daemon].tick_at = None;
        self.reduce(process, Event::Tick);
    }

    /// Something reaches a process.
    pub(super) fn deliver(&mut self, process: Process, event: Event) {
        if !self.runs(process) {
            return;
        }
        let daemon = &mut self.daemons[process.daemon];
        if daemon.frozen {
            let is_datagram = matches!(event, Event::Peer { .. });
            if !is_datagram || daemon.inbox.len() < DATAGRAMS {
                daemon.inbox.push(event);
            }
            return;
        }
        let arrived = match &event {
            Event::Caller(CallerEvent::Arrived(call)) => Some(call.caller),
            _ => None,
        };
        if let Event::Engine(event) = &event {
            self.observe(process, event);
        }
        self.reduce(process, event);
        if let Some(caller) = arrived {
            let ask = self.callers.tries[Try::number(caller)].ask;
            self.reached(ask, Moment::Arrived);
        }
    }

    /// The shell's own view of what comes from an endpoint: connections that end.
    fn observe(&mut self, process: Process, event: &EngineEvent) {
        let daemon = &mut self.daemons[process.daemon];
        let (attempt, ends) = match event {
            EngineEvent::Prefilled { attempt, .. }
            | EngineEvent::Finished { attempt, .. }
            | EngineEvent::Answered { attempt, .. }
            | EngineEvent::Failed { attempt, .. } => (*attempt, true),
            EngineEvent::Started { attempt, .. } | EngineEvent::Tokens { attempt, .. } => {
                (*attempt, false)
            }
            EngineEvent::Report { .. } => return,
        };
        if ends {
            daemon.connections.remove(&attempt);
        } else if let Some(connection) = daemon.connections.get_mut(&attempt) {
            connection.progress = self.now;
            connection.failure = Failure::Broken;
        }
    }

    /// Has a process decide on an event, and carries out what comes of it.
    pub(super) fn reduce(&mut self, process: Process, event: Event) {
        let clock = self.clock();
        let mut effects = std::mem::take(&mut self.spare);
        let daemon = &mut self.daemons[process.daemon];
        let Some(brain) = &mut daemon.brain else { return };
        brain.reduce(clock, event, &mut effects);
        daemon.events += 1;
        if brain.is_ready() {
            self.record.in_force(process.daemon, brain.revision(), self.now);
        }
        let mut exits = false;
        for effect in effects.drain(..) {
            exits |= effect == Effect::Exit;
            self.carry_out(process, effect);
        }
        self.spare = effects;
        if exits {
            self.exit(process.daemon);
        } else {
            self.schedule(process);
        }
    }

    fn exit(&mut self, number: usize) {
        let is_cut = |t: &&usize| {
            let one = &self.callers.tries[**t];
            one.request.is_some() && !one.closed
        };
        let cut = self.daemons[number].open.iter().filter(is_cut).count();
        if 0 < cut {
            self.record.cut.push((number, cut));
        }
        self.kill(number);
    }

    fn schedule(&mut self, process: Process) {
        let now = self.now;
        let daemon = &mut self.daemons[process.daemon];
        let Some(brain) = &daemon.brain else { return };
        let latest = now + TICK;
        let at = brain.wake_at().unwrap_or(latest).clamp(now + SOON, latest);
        if daemon.tick_at.is_some_and(|set| now < set && set <= at) {
            return;
        }
        daemon.tick_at = Some(at);
        self.queue.push(at, Due::Tick(process));
    }

    fn carry_out(&mut self, process: Process, effect: Effect) {
        match effect {
            Effect::Answer { caller, answer } => self.answer(process, caller, answer),
            Effect::Engine(call) => self.call(process, call),
            Effect::Send { to, message } => self.send(process, to, message),
            Effect::WatchCatalogue { after } => self.watch(process, after),
            Effect::ReadVms => self.read_vms(process),
            Effect::CheckCatalogue { revision, documents } => {
                self.check_catalogue(process, revision, documents);
            }
            Effect::Progress(progress) => self.progress(&progress),
            Effect::Exit => {}
        }
    }

    /// The shell's time limit on a connection without progress.
    pub(super) fn timed_out(&mut self, process: Process, attempt: AttemptKey, connection: u64) {
        if !self.runs(process) {
            return;
        }
        let daemon = &self.daemons[process.daemon];
        let Some(open) = daemon.connections.get(&attempt) else { return };
        if open.id != connection {
            return;
        }
        let limit = open.progress + open.timeout;
        if self.now < limit {
            self.queue.push(limit, Due::Timeout { process, attempt, connection });
            return;
        }
        let failure = open.failure;
        let event = EngineEvent::Failed { attempt, failure };
        self.deliver(process, Event::Engine(event));
    }
}
