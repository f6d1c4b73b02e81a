//! Fake endpoints: what all kinds have in common.

use std::time::Duration;

use basilbank_core::prelude::*;

use super::{Decode, Due, Node, PlainService, Prefill, Spec, World, daemon::Process};

/// The second of two doubled answers comes this much later.
const ECHO: Duration = Duration::from_millis(5);

/// Whether an endpoint runs.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Power {
    /// It runs.
    On,
    /// Its process died: connections break at once and new ones are refused.
    Dead,
    /// Its machine is gone: nothing comes back.
    Lost,
}

/// How an endpoint misbehaves.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum EngineFault {
    /// Nothing comes out of it.
    Stall,
    /// Transfers of KV cache from it or to it make no progress.
    StallTransfer,
    /// Its answers come this much later.
    Late(Duration),
    /// Each answer comes twice.
    Doubled,
    /// Answers overtake each other by up to this much.
    Disorder(Duration),
    /// KV caches are evicted as soon as they are made.
    Evict,
    /// It runs orders whatever their fencing number.
    IgnoreFencing,
}

/// What an endpoint works on.
pub enum FakeKind {
    /// Prefill.
    Prefill(Box<Prefill>),
    /// Decode.
    Decode(Decode),
    /// A plain service.
    Plain(PlainService),
}

/// An endpoint.
pub struct Fake {
    /// Its id.
    pub id: EndpointId,
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub centre: usize,
    /// Its side of a partition.
    pub side: u8,
    /// Whether it runs.
    pub power: Power,
    /// Counts its processes.
    pub life: u32,
    /// How it misbehaves.
    pub faults: Vec<EngineFault>,
    /// It is leaving and refuses new work.
    pub leaving: bool,
    /// When it was marked as leaving, by itself or by the catalogue.
    pub marked: Option<Duration>,
    /// The highest fencing number that it has taken.
    pub fence: u64,
    /// The model version that it serves; empty while it loads.
    pub version: String,
    /// The adapter that it has loaded.
    pub adapter: String,
    /// Orders taken: when, and with which number.
    pub orders: Vec<(Duration, u64)>,
    /// It refuses old fencing numbers.
    pub fencing: bool,
    /// When its link is free.
    pub link_free: Duration,
    /// Bytes a second of its link.
    pub link_rate: u64,
    /// New work that it refused because it was full.
    pub refused: u64,
    /// Most requests at once.
    pub peak: u32,
    /// What it works on.
    pub kind: FakeKind,
    /// Version and adapter that are being loaded.
    pub(super) loading: (String, String),
    shown: Shown,
    lag: Duration,
}

/// The load as the next report tells it.
#[derive(Clone, Copy, Debug, Default)]
struct Shown {
    at: Duration,
    running: u32,
    queued: u32,
}

/// Where a call came from.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    /// The process.
    pub process: Process,
    /// Its number of the attempt within the request.
    pub number: u32,
}

/// Who waits for an attempt's answers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Reader {
    /// The process.
    pub process: Process,
    /// Its attempt.
    pub attempt: AttemptKey,
}

/// Work at an endpoint that is due.
#[derive(Clone, Copy, Debug)]
pub enum EngineDue {
    /// A prefill is done.
    Prefilled(u64),
    /// A KV cache is evicted.
    Evict(u64),
    /// A stream's transfer has the link.
    Transfer(u64),
    /// A stream's KV cache has been imported.
    Imported(u64),
    /// One decode step is done.
    Step,
    /// A finished stream is forgotten.
    Forget(u64),
    /// A plain call is done.
    Called(u64),
    /// An ordered model is loaded.
    Loaded,
}

/// All endpoints of a world, in the catalogue's order.
pub fn build(spec: &Spec) -> Vec<Fake> {
    spec.catalogue().endpoints.iter().map(|e| Fake::new(spec, e)).collect()
}

impl Fake {
    fn new(spec: &Spec, endpoint: &Endpoint) -> Fake {
        let named = |c: &&str| DataCentreId::of(c) == endpoint.data_centre;
        let kind = match endpoint.role {
            Role::Prefill => FakeKind::Prefill(Box::new(Prefill::new(spec))),
            Role::Decode => FakeKind::Decode(Decode::new(spec)),
            Role::Plain => FakeKind::Plain(PlainService::new(spec)),
        };
        Fake {
            id: endpoint.id,
            name: endpoint.name.clone(),
            centre: spec.centres.iter().position(named).unwrap_or(0),
            side: 0,
            power: Power::On,
            life: 1,
            faults: Vec::new(),
            leaving: false,
            marked: None,
            fence: 0,
            version: "v1".into(),
            adapter: String::new(),
            orders: Vec::new(),
            fencing: endpoint.checks_fencing,
            link_free: Duration::ZERO,
            link_rate: endpoint.link_rate.max(1),
            refused: 0,
            peak: 0,
            kind,
            loading: (String::new(), String::new()),
            shown: Shown::default(),
            lag: spec.load_lag,
        }
    }

    /// Whether it misbehaves in a way.
    #[must_use]
    pub fn has(&self, fault: EngineFault) -> bool {
        self.faults.contains(&fault)
    }

    /// Requests that run and that wait.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        match &self.kind {
            FakeKind::Prefill(prefill) => prefill.load(),
            FakeKind::Decode(decode) => (decode.active(), 0),
            FakeKind::Plain(plain) => plain.load(),
        }
    }

    /// Keeps the load as it was at the last moment that a report may tell of. To be called before
    /// the load changes.
    pub fn note_load(&mut self, now: Duration) {
        let (running, queued) = self.load();
        self.peak = self.peak.max(running);
        let lag = self.lag.as_nanos().max(1);
        let at = Duration::from_nanos((now.as_nanos() / lag * lag) as u64);
        if self.shown.at < at {
            self.shown = Shown { at, running, queued };
        }
    }

    /// The load report, late as it is.
    pub fn report(&mut self, now: Duration) -> EngineReport {
        self.note_load(now);
        EngineReport::Load {
            running: self.shown.running,
            queued: self.shown.queued,
            age: now - self.shown.at,
            leaving: self.leaving,
            model: String::new(),
            version: self.version.clone(),
            adapter: self.adapter.clone(),
            role: None,
            fence: self.fence,
        }
    }

    /// The decode engine. Must be one.
    pub(super) fn decode(&mut self) -> &mut Decode {
        let FakeKind::Decode(decode) = &mut self.kind else {
            unreachable!("not a decode endpoint")
        };
        decode
    }

    /// The prefill engine. Must be one.
    pub(super) fn prefill(&mut self) -> &mut Prefill {
        let FakeKind::Prefill(prefill) = &mut self.kind else {
            unreachable!("not a prefill endpoint")
        };
        prefill
    }

    /// The plain service. Must be one.
    pub(super) fn plain(&mut self) -> &mut PlainService {
        let FakeKind::Plain(plain) = &mut self.kind else { unreachable!("not a plain service") };
        plain
    }
}

impl World {
    /// An endpoint's answer to an attempt is on its way.
    pub(super) fn reply(&mut self, endpoint: usize, reader: Reader, event: EngineEvent) {
        let (a, b) = (Node::Endpoint(endpoint), Node::Daemon(reader.process.daemon));
        let mut delay = self.latency(a, b);
        let mut doubled = false;
        for i in 0..self.endpoints[endpoint].faults.len() {
            match self.endpoints[endpoint].faults[i] {
                EngineFault::Late(late) => delay += late,
                EngineFault::Disorder(most) => delay += most.mul_f64(self.rng.unit()),
                EngineFault::Doubled => doubled = true,
                _ => {}
            }
        }
        if doubled {
            self.pass(a, b, delay + ECHO, Due::Event(reader.process, Event::Engine(event.clone())));
        }
        self.pass(a, b, delay, Due::Event(reader.process, Event::Engine(event)));
    }

    /// Sends something over a TCP connection: it waits while its way is cut.
    pub(super) fn pass(&mut self, from: Node, to: Node, delay: Duration, due: Due) {
        if self.is_open(from, to) {
            self.after(delay, due);
        } else {
            self.stuck.push((from, to, due));
        }
    }

    /// Lets go what waited for a way that is open again.
    pub(super) fn release(&mut self) {
        for (from, to, due) in std::mem::take(&mut self.stuck) {
            let delay = self.latency(from, to);
            self.pass(from, to, delay, due);
        }
    }

    fn is_open(&self, from: Node, to: Node) -> bool {
        let stalled = match from {
            Node::Endpoint(i) => self.endpoints[i].has(EngineFault::Stall),
            _ => false,
        };
        !stalled && self.connected(from, to)
    }
}
