//! A few daemons in virtual time with a message queue between them, for tests of what they agree on.

use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, SystemTime},
};

use basilbank_core::{
    effect::{Answer, EngineCall},
    prelude::*,
};
use basilbank_wire::VmRecord;

use crate::world::{EPOCH_MS, Spec};

/// One message on its way.
#[derive(Clone, Debug)]
pub struct Parcel {
    pub from: usize,
    pub incarnation: u64,
    pub to: usize,
    pub message: Message,
}

/// Daemons, and the messages between them.
pub struct Fleet {
    pub states: Vec<State>,
    pub mono: Duration,
    pub parcels: VecDeque<Parcel>,
    /// Daemons that neither send nor receive nor wake up.
    pub down: BTreeSet<usize>,
    /// Parcels for which this is true stay in `held`.
    pub holds: fn(&Parcel) -> bool,
    pub held: Vec<Parcel>,
    pub answers: Vec<(usize, CallerId, Answer)>,
    pub calls: Vec<(usize, EngineCall)>,
    pub notes: Vec<(usize, &'static str)>,
    pub exits: Vec<usize>,
    /// All messages that were sent.
    pub traffic: Vec<Message>,
    tuning: Tuning,
    catalogue: Catalogue,
    callers: u64,
    revision: u64,
}

impl Fleet {
    /// Daemons that have just come up, and know the VM list and the catalogue.
    pub fn new(count: usize, tuning: Tuning, catalogue: Catalogue) -> Fleet {
        let mut fleet = Fleet {
            states: Vec::new(),
            mono: Duration::from_secs(1),
            parcels: VecDeque::new(),
            down: BTreeSet::new(),
            holds: |_| false,
            held: Vec::new(),
            answers: Vec::new(),
            calls: Vec::new(),
            notes: Vec::new(),
            exits: Vec::new(),
            traffic: Vec::new(),
            tuning,
            catalogue,
            callers: 0,
            revision: 0,
        };
        for index in 0..count {
            let state = fleet.fresh(index);
            fleet.states.push(state);
        }
        let names: Vec<_> = (0..count).collect();
        for index in 0..count {
            fleet.start(index, &names);
        }
        fleet
    }

    /// A daemon's process is replaced by a new one that knows the list and the catalogue.
    pub fn restart(&mut self, index: usize) {
        self.parcels.retain(|p| p.to != index);
        let names: Vec<_> = (0..self.states.len()).collect();
        self.states[index] = self.fresh(index);
        self.start(index, &names);
    }

    /// The platform's list as one daemon sees it.
    pub fn list(&mut self, index: usize, names: &[usize]) {
        let record = |i: &usize| VmRecord {
            name: Spec::vm_name(*i),
            address: format!("127.0.0.1:{}", 7000 + i),
            data_centre: "hall-a".to_owned(),
            leaving: false,
        };
        let vms = names.iter().map(record).collect();
        self.revision += 1;
        let event = PlatformEvent::Vms { revision: self.revision, vms };
        self.feed(index, Event::Platform(event));
    }

    fn fresh(&self, index: usize) -> State {
        let local = Local::default()
            .with_name(&Spec::vm_name(index))
            .with_incarnation(EPOCH_MS + self.mono.as_millis() as u64)
            .with_tuning(self.tuning.clone());
        State::new(local, self.now())
    }

    fn start(&mut self, index: usize, names: &[usize]) {
        self.list(index, names);
        let result = Ok(self.catalogue.clone().into());
        let revision = self.catalogue.revision;
        self.feed(index, Event::Platform(PlatformEvent::Checked { revision, result }));
    }

    pub fn now(&self) -> Now {
        let epoch = SystemTime::UNIX_EPOCH + Duration::from_millis(EPOCH_MS);
        Now { mono: self.mono, wall: epoch + self.mono }
    }

    /// One event at one daemon.
    pub fn feed(&mut self, index: usize, event: Event) {
        let mut effects = Vec::new();
        let now = self.now();
        reduce(&mut self.states[index], now, event, &mut effects);
        let incarnation = self.states[index].local.incarnation;
        for effect in effects {
            match effect {
                Effect::Answer { caller, answer } => self.answers.push((index, caller, answer)),
                Effect::Engine(call) => self.calls.push((index, call)),
                Effect::Send { to, message } => {
                    let to = (0..self.states.len()).find(|i| vm(*i) == to);
                    let Some(to) = to else { continue };
                    self.traffic.push(message.clone());
                    self.parcels.push_back(Parcel { from: index, incarnation, to, message });
                }
                Effect::Progress(Progress::Note { name, .. }) => self.notes.push((index, name)),
                Effect::Exit => self.exits.push(index),
                _ => {}
            }
        }
    }

    /// Delivers all messages, at once.
    pub fn deliver(&mut self) {
        while let Some(parcel) = self.parcels.pop_front() {
            if self.down.contains(&parcel.from) || self.down.contains(&parcel.to) {
                continue;
            }
            if (self.holds)(&parcel) {
                self.held.push(parcel);
                continue;
            }
            self.hand_over(parcel);
        }
    }

    /// Delivers what was held back.
    pub fn release(&mut self) {
        self.holds = |_| false;
        for parcel in std::mem::take(&mut self.held) {
            self.hand_over(parcel);
        }
        self.deliver();
    }

    /// One daemon says something to another, with nothing in between.
    pub fn say(&mut self, from: usize, to: usize, message: Message) {
        let incarnation = self.states[from].local.incarnation;
        self.hand_over(Parcel { from, incarnation, to, message });
    }

    fn hand_over(&mut self, parcel: Parcel) {
        let Parcel { from, incarnation, to, message } = parcel;
        self.feed(to, Event::Peer { from: vm(from), incarnation, message });
    }

    /// Lets time go on, with messages and timers. Each daemon ticks at least every 100 ms.
    pub fn run(&mut self, time: Duration) {
        let end = self.mono + time;
        self.deliver();
        while self.mono < end {
            let up = (0..self.states.len()).filter(|i| !self.down.contains(i));
            let up: Vec<_> = up.collect();
            let due = up.iter().filter_map(|i| self.states[*i].wake_at()).min();
            let latest = end.min(self.mono + Duration::from_millis(100));
            let soonest = latest.min(self.mono + Duration::from_millis(1));
            self.mono = due.unwrap_or(latest).clamp(soonest, latest);
            for index in up {
                self.feed(index, Event::Tick);
            }
            self.deliver();
        }
    }

    /// Lets time go by with nothing happening.
    pub fn skip(&mut self, time: Duration) {
        self.mono += time;
    }

    /// A call arrives at a daemon.
    pub fn call(&mut self, index: usize, key: Option<&str>, work: Work) -> CallerId {
        self.callers += 1;
        let caller = CallerId(self.callers);
        let call = Call {
            caller,
            key: Spec::key(TEAM),
            idempotency: key.map(str::to_owned),
            repeatable: None,
            work,
        };
        self.feed(index, Event::Caller(CallerEvent::Arrived(Box::new(call))));
        caller
    }

    /// The last that a caller was told.
    pub fn last_answer(&self, caller: CallerId) -> &Answer {
        let mut all = self.answers.iter().rev();
        &all.find(|(_, c, _)| *c == caller).expect("every call is answered").2
    }

    /// Ends the prefill of a draft's run, by its place in `runs`: the decode endpoint is called.
    pub fn import(&mut self, run: usize) {
        let (index, attempt) = self.runs()[run];
        let prefilled = EngineEvent::Prefilled {
            attempt,
            handle: "kv1".to_owned(),
            tokens: 100,
            cached: 0,
            bytes: 1000,
            spent: Duration::from_millis(10),
        };
        self.feed(index, Event::Engine(prefilled));
    }

    /// The decode endpoint of a draft's run streams.
    pub fn stream(&mut self, run: usize, stream: &str) {
        let (index, _) = self.runs()[run];
        let attempt = self.decoding();
        let started = EngineEvent::Started { attempt, stream: stream.to_owned() };
        self.feed(index, Event::Engine(started));
        self.deliver();
    }

    /// The latest attempt that a decode endpoint was called for.
    pub fn decoding(&self) -> AttemptKey {
        let mut attempts = self.calls.iter().rev().filter_map(|(_, call)| match call {
            EngineCall::Decode { draft, .. } => Some(draft.attempt),
            _ => None,
        });
        attempts.next().expect("a KV cache goes to its decode endpoint")
    }

    /// Calls to endpoints that run something.
    pub fn runs(&self) -> Vec<(usize, AttemptKey)> {
        let runs = self.calls.iter().filter_map(|(index, call)| match call {
            EngineCall::Prefill(draft) => Some((*index, draft.attempt)),
            EngineCall::Plain { attempt, .. } => Some((*index, *attempt)),
            _ => None,
        });
        runs.collect()
    }
}

/// A daemon's VM.
pub fn vm(index: usize) -> VmId {
    VmId::of(&Spec::vm_name(index))
}

/// A call to the plain service that may not be repeated.
pub fn stock_order() -> Work {
    Work::Plain(Plain { method: "POST".to_owned(), path: format!("/{}/orders", spec().service) })
}

/// A draft.
pub fn draft() -> Work {
    Work::Draft(Draft {
        model: spec().entry(TEAM),
        tokens: 100,
        blocks: Vec::new().into(),
        max_tokens: 50,
        resume: None,
    })
}

/// The team that calls.
const TEAM: usize = 0;

/// Its id.
pub fn team() -> TeamId {
    TeamId::of(spec().teams[TEAM].name)
}

/// Its entry for drafts.
pub fn draft_entry() -> EntryId {
    EntryId::of(&spec().entry(TEAM))
}

/// One endpoint of each role, and classes that wait.
pub fn spec() -> Spec {
    let mut spec = Spec { unfenced: 0, ..Spec::kitafuji() };
    for pool in [&mut spec.prefill, &mut spec.decode, &mut spec.plain] {
        pool.count = 1;
    }
    for class in [&mut spec.drafts, &mut spec.calls] {
        class.ttft = Duration::from_secs(2);
        class.wait = Duration::from_secs(30);
    }
    spec
}

/// The catalogue of that.
pub fn catalogue() -> Catalogue {
    spec().catalogue()
}
