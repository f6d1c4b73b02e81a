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

pub const SECOND: Duration = Duration::from_secs(1);
/// How long keys count.
pub const WINDOW: Duration = Duration::from_secs(600);
/// Long enough for a claim, and for a slot also when the endpoint's steward has just died.
pub const STEP: Duration = Duration::from_secs(8);
/// Long enough for both when all is well.
pub const SHORT: Duration = Duration::from_millis(400);

/// One message on its way.
#[derive(Clone, Debug)]
pub struct Parcel {
    pub from: usize,
    pub incarnation: u64,
    pub to: usize,
    pub message: Message,
}

/// Daemons, and the messages between them.
#[derive(Default)]
pub struct Fleet {
    pub states: Vec<State>,
    pub mono: Duration,
    pub parcels: VecDeque<Parcel>,
    /// Daemons that neither send nor receive nor wake up.
    pub down: BTreeSet<usize>,
    /// Parcels for which this is true stay in `held`.
    pub holds: Option<fn(&Parcel) -> bool>,
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
        let mono = Duration::from_secs(1);
        let mut fleet = Fleet { mono, tuning, catalogue, ..Fleet::default() };
        fleet.states = (0..count).map(|index| fleet.fresh(index)).collect();
        (0..count).for_each(|index| fleet.start(index));
        fleet
    }

    /// The same with the usual tuning and catalogue.
    pub fn usual(count: usize) -> Fleet {
        Fleet::new(count, Tuning::default(), catalogue())
    }

    /// Such daemons that have all been voters for a whole key window.
    pub fn settled(count: usize) -> Fleet {
        let mut fleet = Fleet::usual(count);
        fleet.run(WINDOW);
        fleet
    }

    /// A daemon's process is replaced by a new one that knows the list and the catalogue.
    pub fn restart(&mut self, index: usize) {
        self.parcels.retain(|p| p.to != index);
        self.states[index] = self.fresh(index);
        self.start(index);
    }

    /// The daemon that decides on an endpoint.
    pub fn steward(&self, endpoint: &str) -> usize {
        let steward = self.states[0].members.owner(EndpointId::of(endpoint).0);
        (0..self.states.len()).find(|i| Some(vm(*i)) == steward).expect("it is a daemon")
    }

    /// The platform's list as all daemons see it.
    pub fn list_all(&mut self, names: &[usize]) {
        (0..self.states.len()).for_each(|index| self.list(index, names));
    }

    /// A daemon has checked a catalogue, which is sound.
    pub fn publish(&mut self, index: usize, catalogue: Catalogue) {
        let revision = catalogue.revision;
        let result = Ok(catalogue.into());
        self.feed(index, Event::Platform(PlatformEvent::Checked { revision, result }));
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

    fn start(&mut self, index: usize) {
        let names: Vec<_> = (0..self.states.len()).collect();
        self.list(index, &names);
        self.publish(index, self.catalogue.clone());
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
            if self.holds.is_some_and(|holds| holds(&parcel)) {
                self.held.push(parcel);
                continue;
            }
            self.hand_over(parcel);
        }
    }

    /// Delivers what was held back.
    pub fn release(&mut self) {
        self.holds = None;
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
    pub fn call(&mut self, index: usize, key: Option<&str>, work: CallKind) -> CallerId {
        self.callers += 1;
        let caller = CallerId(self.callers);
        let (key, idempotency) = (Spec::key(TEAM), key.map(str::to_owned));
        let call = Call { caller, key, idempotency_key: idempotency, repeatable: None, kind: work };
        self.feed(index, Event::Caller(CallerEvent::Arrived(Box::new(call))));
        caller
    }

    /// An order arrives at a daemon; time goes on until it runs or is answered.
    pub fn order(&mut self, index: usize, key: &str) -> CallerId {
        let caller = self.call(index, Some(key), stock_order());
        self.run(STEP);
        caller
    }

    /// The same; gives why it was refused.
    pub fn refused(&mut self, index: usize, key: &str) -> Option<Refusal> {
        let caller = self.order(index, key);
        self.refusal(caller)
    }

    /// Why the last that a caller was told is a refusal.
    pub fn refusal(&self, caller: CallerId) -> Option<Refusal> {
        match self.last_answer(caller) {
            Answer::Refused { refusal, .. } => Some(*refusal),
            _ => None,
        }
    }

    /// The last that a caller was told.
    pub fn last_answer(&self, caller: CallerId) -> &Answer {
        let mut all = self.answers.iter().rev();
        &all.find(|(_, c, _)| *c == caller).expect("every call is answered").2
    }

    /// The first draft, with the key `draft-1`, streams as `s1`.
    pub fn stream_draft(&mut self, index: usize) {
        self.call(index, Some("draft-1"), draft());
        self.run(SHORT);
        self.import(0);
        self.stream(0, "s1");
    }

    /// Ends the prefill of a draft's run, by its place in `runs`: the decode endpoint is called.
    pub fn import(&mut self, run: usize) {
        let (index, attempt) = self.runs()[run];
        let (handle, spent) = ("kv1".to_owned(), Duration::from_millis(10));
        let prefilled = EngineEvent::Prefilled {
            attempt,
            handle,
            prompt_tokens: 100,
            cached_tokens: 0,
            bytes: 1000,
            prefill_time: spent,
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
            EngineCall::Decode { call: draft, .. } => Some(draft.attempt),
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
pub fn stock_order() -> CallKind {
    CallKind::Plain(PlainCall {
        method: "POST".to_owned(),
        path: format!("/{}/orders", spec().service),
    })
}

/// A draft.
pub fn draft() -> CallKind {
    let (model, blocks) = (spec().entry(TEAM), Vec::new().into());
    CallKind::Completion(Completion {
        model,
        prompt_tokens: 100,
        block_hashes: blocks,
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
        class.max_wait = Duration::from_secs(30);
    }
    spec
}

/// The catalogue of that.
pub fn catalogue() -> Catalogue {
    spec().catalogue()
}
