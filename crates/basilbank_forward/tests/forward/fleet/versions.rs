//! Streams that break off and go on, at endpoints of several versions of their software.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use basilbank_forward::{event::Liveness, prelude::*};

use super::{EPOCH, Fleet, Step, Told, WAY, call_of, contact};
use crate::rig::{model, prompt, table_with_memory};

/// Longest time in which a caller is told that its stream can't go on.
const AT_ONCE: Duration = Duration::from_millis(150);

/// When the record of an endpoint that has crashed lapses.
const LAPSES: Duration = Duration::from_millis(1500);

/// How long an endpoint that has crashed is away.
const AWAY: Duration = Duration::from_secs(2);

const HOLD: Duration = Duration::from_millis(4);
const READ: Duration = Duration::from_millis(60);
const FIRST: Duration = Duration::from_millis(15);

/// How long the shortest stream lasts, and by how much more the longest.
const SHORTEST: Duration = Duration::from_millis(200);
const LONGER: Duration = Duration::from_millis(1800);

/// Parts of the streams that are cut off by their endpoint, and on the way to their caller.
const CUT_OFF: f64 = 0.15;
const CALLER_LOST: f64 = 0.25;

/// How often a caller tries.
const TRIES: u32 = 3;

/// How long a caller pauses before a try, at least and at most.
const PAUSE: [f64; 2] = [0.03, 0.3];

/// What becomes of the endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Change {
    Nothing,
    /// One after the other crashes, and comes back under a new id with its version.
    Crashes,
    /// All decode endpoints of the first version but one crash, for good.
    AllButOne,
    /// The first version is replaced by a new one in steps.
    Replaced,
    /// The endpoints of the first version go, one after the other.
    LastGoes,
    /// All decode endpoints of the first version crash at once, for good.
    AllCrash,
}

/// What befalls the daemons.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Trouble {
    Nothing,
    /// One after the other is killed.
    Restarts,
    /// All are killed at once, over and over.
    AllAtOnce,
    /// One daemon is killed, another one is cut off, over and over.
    CutOff,
    /// Two halves don't hear each other, every other while.
    Halves,
}

/// A load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub daemons: usize,
    pub versions: usize,
    /// Decode endpoints of each version.
    pub decode: usize,
    /// Streams that begin, in a second.
    pub begins: f64,
    /// When changes and troubles begin.
    pub starts: Duration,
    pub lasts: Duration,
    /// Between two changes, or troubles.
    pub every: Duration,
    /// How long after a change a trouble begins.
    pub after: Duration,
    /// Datagrams that are lost, as a part of all.
    pub loss: f64,
    /// How much later than the others some daemons learn of changes of the list.
    pub lateness: Duration,
    /// Whether endpoints' records state no version.
    pub unstated: bool,
    pub change: Change,
    pub trouble: Trouble,
    /// Part of the streams that are cut off before their first event.
    pub no_event: f64,
}

impl Load {
    pub fn new(daemons: usize, change: Change, trouble: Trouble) -> Load {
        Load {
            daemons,
            versions: 2,
            decode: 4,
            begins: 60.0,
            starts: Duration::from_secs(4),
            lasts: Duration::from_secs(14),
            every: Duration::from_millis(1200),
            after: Duration::from_millis(600),
            loss: 0.001,
            lateness: Duration::ZERO,
            unstated: false,
            change,
            trouble,
            no_event: 0.0,
        }
    }
}

/// Calls of one kind, and those of them that an endpoint answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    pub calls: u32,
    pub served: u32,
}

impl Share {
    pub fn part(self) -> f64 {
        f64::from(self.served) / f64::from(self.calls.max(1))
    }

    fn count(&mut self, is_served: bool) {
        self.calls += 1;
        self.served += u32::from(is_served);
    }
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Got {
    /// Streams that went on at another version, each with what daemons knew.
    pub mixed: Vec<String>,
    /// KV caches that another version was asked to decode.
    pub foreign: Vec<String>,
    /// New streams at daemons that hear peers.
    pub new: Share,
    /// Streams that came back to such daemons while two endpoints of their version serve.
    pub back: Share,
    /// Streams that came back otherwise.
    pub back_others: Share,
    /// Why calls of streams that came back were refused.
    pub refused: BTreeMap<&'static str, u32>,
    /// Refusals and aborts later than at once, by whether the daemon lists endpoints of the version.
    pub late_gone: Vec<String>,
    pub late_listed: u32,
    /// The longest time to a refusal or an abort by a daemon that lists such endpoints.
    pub longest: Duration,
    /// Streams that were aborted.
    pub aborted: u32,
    /// Most bytes in a second that a daemon received of its peers.
    pub heard: f64,
    /// Most records that a daemon had.
    pub records: usize,
    pub told: Told,
    /// Streams that began.
    pub began: u32,
}

enum Mark {
    Begin,
    Heard,
    Change(u32),
    Trouble(u32),
    Lapse(String),
    Return(usize),
    End(u64),
    Back(usize),
}

struct Node {
    version: usize,
    stage: Stage,
    runs: bool,
}

#[derive(Default)]
struct Stream {
    /// The attempt that brought the first event, its daemon, and its endpoint's version.
    began: Option<(String, usize, usize)>,
    tries: u32,
    /// Attempts at endpoints that began to stream, in words.
    attempts: Vec<String>,
}

struct Try {
    stream: usize,
    daemon: usize,
    came: Duration,
    /// When the last attempt ended, if the call has been answered in part.
    broke: Duration,
    counts: bool,
    is_back: bool,
    is_answered: bool,
}

struct Run {
    daemon: usize,
    request: RequestId,
    attempt: u32,
    instance: String,
    has_event: bool,
}

pub struct Play {
    fleet: Fleet,
    load: Load,
    got: Got,
    start: Duration,
    marks: HashMap<u64, Mark>,
    nodes: BTreeMap<String, Node>,
    streams: Vec<Stream>,
    tries: HashMap<RequestId, Try>,
    runs: BTreeMap<u64, Run>,
    /// Daemons that were in trouble, until they have met the others again.
    out: HashMap<usize, Duration>,
    next: u64,
    heard: usize,
}

impl Play {
    pub fn run(load: Load, seed: u64) -> Got {
        let fleet = Fleet::new(load.daemons, table_with_memory(1, 10_000_000), seed)
            .with_loss(load.loss)
            .with_late_lists(load.lateness);
        let mut play = Play {
            start: fleet.now(),
            fleet,
            load,
            got: Got::default(),
            marks: HashMap::new(),
            nodes: BTreeMap::new(),
            streams: Vec::new(),
            tries: HashMap::new(),
            runs: BTreeMap::new(),
            out: HashMap::new(),
            next: 0,
            heard: 0,
        };
        play.set_up();
        let end = play.start + load.lasts;
        while let Some(step) = play.fleet.step(end) {
            match step {
                Step::Asks { daemon, effect } => play.asked(daemon, *effect),
                Step::Mark(mark) => play.marked(mark),
            }
        }
        play.conclude()
    }

    fn set_up(&mut self) {
        let mut list = Vec::new();
        for version in 0..self.load.versions {
            list.extend((0..=self.load.decode / 2).map(|_| self.node(version, Stage::Prefill, 1)));
            list.extend((0..self.load.decode).map(|_| self.node(version, Stage::Decode, 1)));
        }
        self.fleet.list(&list, &[]);
        self.mark(Duration::from_millis(500), Mark::Begin);
        self.mark(self.load.starts, Mark::Heard);
        self.mark(self.load.starts, Mark::Change(0));
        self.mark(self.load.starts + self.load.after, Mark::Trouble(0));
    }

    fn conclude(mut self) -> Got {
        let now = self.fleet.now();
        let waits = |call: &Try| !call.is_answered && call.came + Duration::from_secs(1) < now;
        let stuck: Vec<_> =
            self.tries.iter().filter(|(_, call)| waits(call)).map(|(id, _)| *id).collect();
        stuck.into_iter().for_each(|id| self.count(id, false));
        let time = self.load.lasts.saturating_sub(self.load.starts).as_secs_f64();
        self.got.heard = self.fleet.most_heard().saturating_sub(self.heard) as f64 / time;
        self.got.told = self.fleet.told;
        let records = (0..self.fleet.len()).map(|n| self.fleet.state(n).origins.len());
        self.got.records = records.max().unwrap_or_default();
        self.got
    }

    fn mark(&mut self, after: Duration, mark: Mark) {
        let number = self.add(mark);
        self.fleet.mark(after, number);
    }

    fn add(&mut self, mark: Mark) -> u64 {
        self.next += 1;
        self.marks.insert(self.next, mark);
        self.next
    }

    fn marked(&mut self, number: u64) {
        match self.marks.remove(&number) {
            Some(Mark::Begin) => {
                let mark = self.add(Mark::Begin);
                self.fleet.mark_at_rate(self.load.begins, mark);
                self.streams.push(Stream::default());
                self.come(self.streams.len() - 1);
            }
            Some(Mark::Heard) => self.heard = self.fleet.most_heard(),
            Some(Mark::Change(n)) => self.change(n),
            Some(Mark::Trouble(n)) => self.trouble(n),
            Some(Mark::Lapse(instance)) => self.fleet.list(&[], &[instance]),
            Some(Mark::Return(version)) => self.add_node(version, Stage::Decode),
            Some(Mark::End(run)) => self.end_run(run),
            Some(Mark::Back(stream)) => self.come(stream),
            None => {}
        }
    }

    /// An endpoint's record; the endpoint runs from now on.
    fn node(&mut self, version: usize, stage: Stage, start_time: u64) -> EndpointInfo {
        self.next += 1;
        let instance = format!("v{version}-{}", self.next);
        self.nodes.insert(instance.clone(), Node { version, stage, runs: true });
        let port = u16::try_from(self.next % 60_000).unwrap_or_default() + 1;
        let info = model(&instance, port, stage);
        EndpointInfo { start_time: Some(start_time), version: self.name(version), ..info }
    }

    /// What records state as a version.
    fn name(&self, version: usize) -> String {
        if self.load.unstated { String::new() } else { format!("v{version}") }
    }

    fn add_node(&mut self, version: usize, stage: Stage) {
        let unix_ms = EPOCH + u64::try_from(self.fleet.now().as_millis()).unwrap_or_default();
        let info = self.node(version, stage, unix_ms);
        self.fleet.list(&[info], &[]);
    }

    fn serving(&self, version: usize, stage: Stage) -> Vec<String> {
        let serves = |node: &Node| node.runs && node.version == version && node.stage == stage;
        let serving = self.nodes.iter().filter(|(_, node)| serves(node));
        serving.map(|(instance, _)| instance.clone()).collect()
    }

    fn change(&mut self, n: u32) {
        self.mark(self.load.every, Mark::Change(n + 1));
        match self.load.change {
            Change::Nothing => {}
            Change::Crashes => {
                let version = self.fleet.rng.index(self.load.versions);
                let serving = self.serving(version, Stage::Decode);
                if let Some(instance) = serving.first() {
                    self.crash(instance);
                    self.mark(AWAY, Mark::Return(version));
                }
            }
            Change::AllButOne if n == 0 => {
                let serving = self.serving(0, Stage::Decode);
                serving.iter().skip(1).for_each(|instance| self.crash(instance));
            }
            Change::AllCrash if n == 0 => {
                let serving = self.serving(0, Stage::Decode);
                serving.iter().for_each(|instance| self.crash(instance));
            }
            Change::AllButOne | Change::AllCrash => {}
            Change::Replaced => {
                for stage in [Stage::Prefill, Stage::Decode] {
                    if self.leave(0, stage) {
                        self.add_node(self.load.versions, stage);
                    }
                }
            }
            Change::LastGoes => {
                self.leave(0, Stage::Prefill);
                self.leave(0, Stage::Decode);
            }
        }
    }

    /// An endpoint ends with all that it runs; its record lapses later.
    fn crash(&mut self, instance: &str) {
        self.stop(instance);
        self.mark(LAPSES, Mark::Lapse(instance.to_owned()));
    }

    /// The first endpoint of a version ends, and its record with it.
    fn leave(&mut self, version: usize, stage: Stage) -> bool {
        let Some(instance) = self.serving(version, stage).into_iter().next() else { return false };
        self.fleet.list(&[], std::slice::from_ref(&instance));
        self.stop(&instance);
        true
    }

    fn stop(&mut self, instance: &str) {
        if let Some(node) = self.nodes.get_mut(instance) {
            node.runs = false;
        }
        let broken: Vec<_> =
            self.runs.iter().filter(|(_, run)| run.instance == instance).map(|(n, _)| *n).collect();
        for number in broken {
            if let Some(run) = self.runs.remove(&number) {
                self.cut_off(&run);
            }
        }
    }

    fn trouble(&mut self, n: u32) {
        self.mark(self.load.every, Mark::Trouble(n + 1));
        let until = self.fleet.now() + self.load.every + contact(self.load.daemons);
        let count = self.fleet.len();
        let killed: Vec<_> = match self.load.trouble {
            Trouble::Nothing => return,
            Trouble::Restarts => vec![self.fleet.rng.index(count)],
            Trouble::AllAtOnce if n.is_multiple_of(3) => (0..count).collect(),
            Trouble::AllAtOnce => return,
            Trouble::CutOff => {
                let [killed, cut] = self.fleet.trouble();
                self.out.insert(cut, until);
                self.out.insert(killed, until);
                return self.lose_callers(&[killed]);
            }
            Trouble::Halves => {
                self.fleet.half = n.is_multiple_of(2).then_some(count / 2);
                return;
            }
        };
        for daemon in &killed {
            self.fleet.restart(*daemon);
            self.out.insert(*daemon, until);
        }
        self.lose_callers(&killed);
    }

    /// The callers of daemons that were killed come back.
    fn lose_callers(&mut self, killed: &[usize]) {
        self.runs.retain(|_, run| !killed.contains(&run.daemon));
        let mut lost: Vec<_> = self.tries.iter().collect();
        lost.retain(|(_, call)| killed.contains(&call.daemon));
        let mut lost: Vec<_> = lost.into_iter().map(|(id, _)| *id).collect();
        lost.sort_unstable();
        lost.into_iter().for_each(|id| self.come_back(id));
    }

    /// A caller comes to some daemon, for the first time or with a stream that broke off.
    fn come(&mut self, stream: usize) {
        let running: Vec<_> =
            (0..self.fleet.len()).filter(|n| self.fleet.daemons[*n].runs).collect();
        if running.is_empty() {
            return self.mark(Duration::from_millis(100), Mark::Back(stream));
        }
        let daemon = running[self.fleet.rng.index(running.len())];
        let number = self.streams[stream].tries;
        self.streams[stream].tries += 1;
        self.next += 1;
        let id = RequestId(self.next);
        let began = self.streams[stream].began.clone();
        let is_fair = began
            .as_ref()
            .is_none_or(|(.., version)| 2 <= self.serving(*version, Stage::Decode).len());
        let now = self.fleet.now();
        let came = now + WAY;
        let call = Try {
            stream,
            daemon,
            came,
            broke: came,
            counts: is_fair && self.hears(daemon),
            is_back: began.is_some(),
            is_answered: false,
        };
        self.tries.insert(id, call);
        let resumption = began.map(|(began_as, ..)| Resumption { began_as });
        let session = Some(stream as u64);
        let call = Call {
            trace_id: format!("stream-{stream}-try-{number}"),
            caller_timeout: Some(Duration::from_secs(14)),
            prompt: Some(Prompt { session, ..prompt(1000) }),
            resumption,
            ..call_of(id, Digest(stream as u64), "/draft/1")
        };
        self.fleet.feed_later(daemon, WAY, Event::Arrived(Box::new(call)));
    }

    /// A daemon has met the others and hears them.
    fn hears(&self, daemon: usize) -> bool {
        let is_out = self.out.get(&daemon).is_some_and(|until| self.fleet.now() < *until);
        self.fleet.is_sound(daemon) && !is_out && self.fleet.half.is_none()
    }

    /// Counts whether an endpoint answers a call.
    fn count(&mut self, id: RequestId, is_served: bool) {
        let Some(call) = self.tries.get(&id) else { return };
        match (call.is_back, call.counts) {
            (true, true) => self.got.back.count(is_served),
            (true, false) => self.got.back_others.count(is_served),
            (false, true) => self.got.new.count(is_served),
            (false, false) => {}
        }
    }

    /// The answer to a caller has ended too early.
    fn come_back(&mut self, id: RequestId) {
        let Some(call) = self.tries.remove(&id) else { return };
        if self.streams[call.stream].tries < TRIES {
            let [least, most] = PAUSE;
            let pause = least + (most - least) * self.fleet.rng.unit();
            self.mark(Duration::from_secs_f64(pause), Mark::Back(call.stream));
        }
    }

    fn asked(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Start { request, attempt } => self.start(daemon, request, &attempt),
            Effect::Deliver { request, attempt } => self.deliver(request, attempt),
            Effect::Refuse { request, refusal, .. } => {
                if self.tries.get(&request).is_some_and(|call| call.is_back) {
                    *self.got.refused.entry(refusal.as_str()).or_default() += 1;
                    self.count_late(request, refusal);
                }
                self.count(request, false);
                self.come_back(request);
            }
            Effect::AbortStream { request, refusal } => {
                self.got.aborted += 1;
                self.count_late(request, refusal);
                self.come_back(request);
            }
            Effect::Probe(target) => {
                let runs = self.nodes.get(&target.instance).is_some_and(|node| node.runs);
                let liveness = if runs { Liveness::Alive } else { Liveness::Unreachable };
                let event = Event::Probed { endpoint: target.endpoint, liveness };
                self.fleet.feed_later(daemon, WAY * 2, event);
            }
            _ => {}
        }
    }

    fn count_late(&mut self, id: RequestId, refusal: Refusal) {
        let Some(call) = self.tries.get(&id) else { return };
        let now = self.fleet.now();
        let after = now.saturating_sub(call.broke);
        let Some((_, _, version)) = &self.streams[call.stream].began else { return };
        if after <= AT_ONCE + self.fleet.lateness[call.daemon] {
            return;
        }
        if self.lists(call.daemon, *version) {
            self.got.late_listed += 1;
            self.got.longest = self.got.longest.max(after);
        } else {
            let at = now.saturating_sub(self.start);
            let text = format!("{at:?}: {refusal:?} after {after:?} at {}", call.daemon);
            self.got.late_gone.push(text);
        }
    }

    /// A daemon lists decode endpoints of a version.
    fn lists(&self, daemon: usize, version: usize) -> bool {
        let name = self.name(version);
        let mut listed = self.fleet.state(daemon).directory.listed();
        listed.any(|(_, e)| e.info.version == name && e.info.stage == Some(Stage::Decode))
    }

    fn deliver(&mut self, id: RequestId, attempt: u32) {
        let run = self.runs.values().find(|run| run.request == id && run.attempt == attempt);
        let Some(run) = run else { return };
        let (version, has_event) = (self.nodes[&run.instance].version, run.has_event);
        let Some(call) = self.tries.get_mut(&id) else { return };
        let was_answered = std::mem::replace(&mut call.is_answered, true);
        let (stream, daemon) = (call.stream, call.daemon);
        if has_event && self.streams[stream].began.is_none() {
            let number = self.streams[stream].tries - 1;
            let trace = format!("stream-{stream}-try-{number}");
            self.streams[stream].began = Some((trace, daemon, version));
            self.got.began += 1;
        }
        if !was_answered {
            self.count(id, true);
        }
    }

    fn start(&mut self, daemon: usize, request: RequestId, attempt: &Attempt) {
        let Some(call) = self.tries.get(&request) else { return };
        let stream = call.stream;
        let instance = attempt.target.instance.clone();
        let Some(node) = self.nodes.get(&instance) else { return };
        let version = node.version;
        if !node.runs {
            return self.tell(daemon, WAY * 2, request, attempt.number, Outcome::Unreachable);
        }
        match &attempt.op {
            Op::Hold { .. } => {
                let hold = "hold".to_owned();
                self.tell(daemon, HOLD, request, attempt.number, Outcome::Held { hold });
            }
            Op::Prefill => {
                let outcome = Outcome::Prefilled { handle: version.to_string(), tokens: 1000 };
                self.tell(daemon, READ, request, attempt.number, outcome);
            }
            op => {
                if let Op::Decode { handle, .. } = op
                    && *handle != version.to_string()
                {
                    self.got.foreign.push(format!("v{handle} at v{version} by {daemon}"));
                }
                self.check(daemon, stream, version);
                self.begin_run(daemon, request, attempt.number, instance);
            }
        }
    }

    /// A stream goes on at a version of endpoints.
    fn check(&mut self, daemon: usize, stream: usize, version: usize) {
        let Some((trace, first, began)) = &self.streams[stream].began else { return };
        if *began == version {
            return;
        }
        let at = self.fleet.now().saturating_sub(self.start);
        let (known, attempts) = (self.knows(trace), &self.streams[stream].attempts);
        let lists = [*began, version].map(|version| self.lists(daemon, version));
        let first_lists = [*began, version].map(|version| self.lists(*first, version));
        self.got.mixed.push(format!(
            "{at:?}: {trace} of v{began} by {first} (lists {first_lists:?}) goes on at v{version} \
             by {daemon} (lists {lists:?}); known {known:?}; {attempts:?}"
        ));
    }

    /// What daemons know of the version that began a stream.
    fn knows(&self, trace: &str) -> Vec<String> {
        let known = (0..self.fleet.len()).filter_map(|n| {
            let version = self.fleet.state(n).origins.get(StreamId::of(trace), self.fleet.now())?;
            let has_name = |n: &usize| {
                let info = model("", 1, Stage::Decode);
                EndpointInfo { version: self.name(*n), ..info }.software_version() == version
            };
            let known = (0..=self.load.versions).find(has_name)?;
            Some(format!("{n}: v{known}"))
        });
        known.collect()
    }

    fn begin_run(&mut self, daemon: usize, request: RequestId, attempt: u32, instance: String) {
        let has_event = self.load.no_event <= self.fleet.rng.unit();
        self.tell(daemon, FIRST, request, attempt, Outcome::Streaming);
        if has_event {
            self.fleet.feed_later(daemon, FIRST + WAY, Event::FirstEvent { request, attempt });
        }
        let time = match has_event {
            true => SHORTEST + LONGER.mul_f64(self.fleet.rng.unit()),
            false => Duration::from_millis(5),
        };
        let at = self.fleet.now().saturating_sub(self.start);
        let stream = self.tries[&request].stream;
        let attempts = &mut self.streams[stream].attempts;
        attempts.push(format!("{at:?}: {instance} by {daemon}, has an event: {has_event}"));
        self.next += 1;
        let run = self.next;
        self.runs.insert(run, Run { daemon, request, attempt, instance, has_event });
        self.mark(FIRST + time, Mark::End(run));
    }

    fn end_run(&mut self, number: u64) {
        let Some(run) = self.runs.remove(&number) else { return };
        let drawn = self.fleet.rng.unit();
        if !run.has_event || drawn < CUT_OFF {
            return self.cut_off(&run);
        }
        if drawn < CUT_OFF + CALLER_LOST {
            self.fleet.feed_later(run.daemon, WAY, Event::CallerLeft(run.request));
            return self.come_back(run.request);
        }
        self.tries.remove(&run.request);
        self.tell(run.daemon, WAY, run.request, run.attempt, Outcome::Finished);
    }

    /// A run breaks off.
    fn cut_off(&mut self, run: &Run) {
        if let Some(call) = self.tries.get_mut(&run.request) {
            call.broke = self.fleet.now() + WAY;
        }
        // The first bytes came before the end.
        let after = if run.has_event { WAY } else { WAY * 2 };
        self.tell(run.daemon, after, run.request, run.attempt, Outcome::Broken(Damage::CutOff));
    }

    fn tell(
        &mut self,
        daemon: usize,
        after: Duration,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
    ) {
        let event = Event::AttemptOutcome { request, attempt, outcome };
        self.fleet.feed_later(daemon, after, event);
    }
}
