//! Calls that share a part of their prompts which crashes each endpoint that begins an answer on it,
//! beside drafts that share all their other parts.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use basilbank_forward::{event::Liveness, prelude::*, tuning::WRITING_TIME};

use super::{Fleet, Step, WAY, call_of, contact};
use crate::rig::{model, prompt, table_with_memory};

/// The part that all prompts begin with.
pub const FIRST: u64 = 0xf1;

/// The first of the parts that crash endpoints.
pub const BAD: u64 = 0xbad0;

/// The first of the parts that all prompts share besides.
const SHARED: u64 = 0x5000_0000;

/// The first of the parts in the middle of sound prompts, and their number.
const MIDDLE: u64 = 0x3140;
const MIDDLES: usize = 6;

/// Time from the beginning of an answer to the endpoint's end.
const ENDS: Duration = Duration::from_millis(60);

/// How long endpoints are away.
const AWAY: Duration = Duration::from_secs(3);

/// When the entry of one that has ended lapses.
const LAPSES: Duration = Duration::from_millis(1500);

/// Time from a process's start to the time when its daemon counts as in touch, without `contact`.
const RESTART: Duration = Duration::from_millis(1500);

const HOLD: Duration = Duration::from_millis(4);
const READ: Duration = Duration::from_millis(150);
const FIRST_EVENT: Duration = Duration::from_millis(15);

/// When all daemons have met, and have used up what they may tell ahead.
const STARTED: Duration = Duration::from_secs(8);

/// Where the bad part stands in a prompt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Place {
    AfterFirst,
    Middle,
}

/// The fewest sound drafts that a share is taken of.
const MIN_SOUND: usize = 20;

/// A load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub daemons: usize,
    pub decode: usize,
    /// Sound drafts in a second.
    pub drafts: f64,
    /// Calls with each bad part in a second.
    pub bad: f64,
    /// Number of bad parts.
    pub parts: u64,
    pub place: Place,
    /// Number of parts behind the first that all prompts have in common as well.
    pub shared: u64,
    /// When bad calls begin and end to come.
    pub comes: (Duration, Duration),
    pub lasts: Duration,
    pub loss: f64,
    /// Daemons are restarted, and others cut off.
    pub trouble: bool,
    /// Pause between crashes that no call causes, and how many endpoints crash at once.
    pub crashes: Option<(Duration, usize)>,
    /// When all daemons are killed and start again.
    pub restart_all: Option<Duration>,
    /// When all calls come at one daemon, from and until.
    pub crowd: Option<(Duration, Duration)>,
}

impl Load {
    pub fn new(daemons: usize, decode: usize) -> Load {
        Load {
            daemons,
            decode,
            drafts: 2.0 * decode as f64,
            bad: 1.5,
            parts: 1,
            place: Place::AfterFirst,
            shared: 0,
            comes: (Duration::from_secs(4), Duration::from_secs(22)),
            lasts: Duration::from_secs(26),
            loss: 0.001,
            trouble: false,
            crashes: None,
            restart_all: None,
            crowd: None,
        }
    }
}

/// A call of a caller.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Duration,
    daemon: usize,
    /// The bad part, if it has one.
    bad: Option<u64>,
    begun: bool,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Got {
    /// Crashes by each bad part.
    pub ends: HashMap<u64, Vec<Duration>>,
    /// When calls with each bad part were sent to endpoints, by daemons in touch.
    pub sent: HashMap<u64, Vec<Duration>>,
    /// Sound drafts: when each one arrived, whether its answer began, and whether its daemon was in touch.
    pub sound: Vec<(Duration, bool, bool)>,
    /// Sound drafts that were refused as if they had crashed endpoints.
    pub blamed: usize,
    /// Most bytes in a second that a daemon received of its peers.
    pub heard: f64,
    /// Digests in quarantine at any daemon at the end.
    pub quarantined: usize,
}

impl Got {
    /// Calls with a bad part that reached endpoints too late after its fifth crash; the most of any part.
    pub fn late(&self, contact: Duration) -> usize {
        let late = |(part, ends): (&u64, &Vec<Duration>)| {
            let Some(fifth) = ends.get(4) else { return 0 };
            let sent = self.sent.get(part).into_iter().flatten();
            sent.filter(|at| *fifth + contact < **at).count()
        };
        self.ends.iter().map(late).max().unwrap_or_default()
    }

    pub fn crashes(&self) -> usize {
        self.ends.values().map(Vec::len).sum()
    }

    /// The share of the sound drafts of some time that begin; all if they are too few to tell.
    pub fn share(&self, from: Duration, to: Duration) -> f64 {
        let sound = || self.sound.iter().filter(|(at, _, touch)| from <= *at && *at < to && *touch);
        match sound().count() {
            0..MIN_SOUND => 1.0,
            count => sound().filter(|(_, begun, _)| *begun).count() as f64 / count as f64,
        }
    }

    /// The share while bad calls come and daemons have had time to learn of them, as a part of the share before.
    pub fn share_while_bad(&self, load: &Load) -> f64 {
        let (comes, ends) = (START + load.comes.0, START + load.comes.1);
        let mut crashes: Vec<_> = self.ends.values().flatten().copied().collect();
        crashes.sort();
        let Some(last) = crashes.get(4).or(crashes.last()) else { return 1.0 };
        let before = self.share(START + Duration::from_secs(1), comes);
        self.share(*last + contact(load.daemons) * 2, ends) / before
    }
}

/// When virtual time begins.
const START: Duration = Duration::from_secs(100);

const HEARD: u64 = 3;
const COMES: u64 = 0;
const DRAFT: u64 = 1;
const TROUBLE: u64 = 2;
const CRASH: u64 = 4;
const RESTART_ALL: u64 = 5;
/// Marks from here on are endpoints' returns, and from the second on ends of what they run.
const BACK: u64 = 1000;
const ENDED: u64 = 1_000_000;

/// When a stream that lives has brought events for some time.
const WRITES_ON: Duration = FIRST_EVENT.saturating_add(WRITING_TIME);

/// An endpoint's decode.
struct Run {
    daemon: usize,
    request: RequestId,
    attempt: u32,
    bad: Option<u64>,
}

pub struct Play {
    fleet: Fleet,
    load: Load,
    got: Got,
    calls: HashMap<RequestId, Sent>,
    runs: HashMap<u64, (String, Run)>,
    decode: BTreeSet<String>,
    down: BTreeSet<String>,
    births: u64,
    /// Bytes that had been heard when all had started.
    started: usize,
    next: u64,
    out: HashMap<usize, Duration>,
}

impl Play {
    pub fn run(load: Load, seed: u64) -> Got {
        let fleet = Fleet::new(load.daemons, table_with_memory(1, 1_000_000), seed);
        let mut play = Play {
            fleet: fleet.with_loss(load.loss),
            load,
            got: Got::default(),
            calls: HashMap::new(),
            runs: HashMap::new(),
            decode: BTreeSet::new(),
            down: BTreeSet::new(),
            births: 0,
            started: 0,
            next: 10 * BACK,
            out: HashMap::new(),
        };
        play.begin();
        let end = play.fleet.now() + load.lasts;
        while let Some(step) = play.fleet.step(end) {
            match step {
                Step::Asks { daemon, effect } => play.asked(daemon, *effect),
                Step::Mark(mark) => play.marked(mark),
            }
        }
        play.finish_all()
    }

    fn begin(&mut self) {
        let load = self.load;
        let readers = (0..load.decode / 2 + 1).map(|n| model(&format!("p{n}"), 1, Stage::Prefill));
        let mut list: Vec<_> = readers.collect();
        list.extend((0..load.decode).map(|n| model(&format!("d{n}"), 1, Stage::Decode)));
        list.iter_mut().zip(1..u16::MAX).for_each(|(info, port)| info.addr.set_port(port));
        self.decode = (0..load.decode).map(|n| format!("d{n}")).collect();
        self.fleet.list(&list, &[]);
        self.fleet.mark(load.comes.0, COMES);
        self.fleet.mark(Duration::from_millis(500), DRAFT);
        self.fleet.mark(STARTED, HEARD);
        if load.trouble {
            self.fleet.mark(Duration::from_secs(4), TROUBLE);
        }
        if let Some((pause, _)) = load.crashes {
            self.fleet.mark(load.comes.0 + pause / 2, CRASH);
        }
        if let Some(at) = load.restart_all {
            self.fleet.mark(at, RESTART_ALL);
        }
    }

    fn finish_all(mut self) -> Got {
        let time = self.load.lasts.saturating_sub(STARTED).as_secs_f64();
        self.got.heard = self.fleet.most_heard().saturating_sub(self.started) as f64 / time;
        let kept = (0..self.load.daemons).map(|daemon| self.fleet.state(daemon).quarantine.len());
        self.got.quarantined = kept.max().unwrap_or_default();
        // Calls of the last seconds may still wait for their answers.
        let end = self.fleet.now() - Duration::from_secs(2);
        for call in self.calls.values().filter(|call| call.bad.is_none() && call.at < end) {
            let touch = self.out.get(&call.daemon).is_none_or(|until| *until < call.at);
            self.got.sound.push((call.at, call.begun, touch));
        }
        self.got
    }

    fn marked(&mut self, mark: u64) {
        match mark {
            COMES => self.bad_arrives(),
            DRAFT => {
                self.fleet.mark_at_rate(self.load.drafts, DRAFT);
                self.arrive(None);
            }
            TROUBLE => self.trouble(),
            HEARD => self.started = self.fleet.most_heard(),
            CRASH => self.crash_some(),
            RESTART_ALL => {
                self.fleet.restart_all();
                let until = self.fleet.now() + RESTART + contact(self.load.daemons);
                self.out.extend((0..self.load.daemons).map(|daemon| (daemon, until)));
            }
            ENDED.. => self.finish(mark),
            _ => self.back(mark),
        }
    }

    fn bad_arrives(&mut self) {
        if START + self.load.comes.1 < self.fleet.now() {
            return;
        }
        self.fleet.mark_at_rate(self.load.bad * self.load.parts as f64, COMES);
        let part = BAD + self.fleet.rng.next_u64() % self.load.parts;
        self.arrive(Some(part));
    }

    /// Some endpoints crash by themselves.
    fn crash_some(&mut self) {
        let Some((pause, count)) = self.load.crashes else { return };
        let pause = pause.mul_f64(0.5 + self.fleet.rng.unit());
        self.fleet.mark(pause, CRASH);
        for _ in 0..count {
            let up: Vec<_> = self.decode.difference(&self.down).cloned().collect();
            if 2 < up.len() {
                let drawn = self.fleet.rng.index(up.len());
                self.end(up[drawn].clone());
            }
        }
    }

    /// A daemon restarts, another one is cut off for some time.
    fn trouble(&mut self) {
        self.fleet.mark(Duration::from_millis(1500), TROUBLE);
        // A daemon is in touch again so long after its trouble.
        let until = self.fleet.now() + RESTART + contact(self.load.daemons);
        self.out.extend(self.fleet.trouble().map(|daemon| (daemon, until)));
    }

    fn arrive(&mut self, bad: Option<u64>) {
        let id = RequestId(self.next);
        self.next += 1;
        let middle = MIDDLE + self.fleet.rng.index(MIDDLES) as u64;
        let own = 0x1_0000 + id.0;
        let (front, back) = match (bad, self.load.place) {
            (None, _) => (vec![FIRST], vec![middle, own]),
            (Some(bad), Place::AfterFirst) => (vec![FIRST, bad], vec![middle, own]),
            (Some(bad), Place::Middle) => (vec![FIRST], vec![middle, bad, own]),
        };
        let shared = (0..self.load.shared).map(|n| SHARED + n);
        let parts = front.into_iter().chain(shared).chain(back).collect();
        let prompt = Prompt { session: Some(own), parts, ..prompt(1000) };
        let call = Call {
            caller_timeout: Some(Duration::from_secs(14)),
            prompt: Some(prompt),
            ..call_of(id, Digest(own), "/draft/1")
        };
        let now = self.fleet.now() - START;
        let is_crowded = self.load.crowd.is_some_and(|(from, to)| from <= now && now < to);
        let drawn = self.fleet.rng.index(self.load.daemons);
        let daemon = if is_crowded { 0 } else { drawn };
        self.calls.insert(id, Sent { at: self.fleet.now(), daemon, bad, begun: false });
        self.fleet.feed_later(daemon, WAY, Event::Arrived(Box::new(call)));
    }

    fn asked(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Start { request, attempt } => self.start(daemon, request, &attempt),
            Effect::Refuse { request, refusal, .. } | Effect::AbortStream { request, refusal } => {
                let sound = self.calls.get(&request).is_some_and(|call| call.bad.is_none());
                self.got.blamed += usize::from(sound && refusal.as_str() == "quarantined");
            }
            Effect::Probe(target) => {
                let dark = self.down.contains(&target.instance);
                let life = if dark { Liveness::Unreachable } else { Liveness::Alive };
                let event = Event::Probed { endpoint: target.endpoint, liveness: life };
                self.fleet.feed_later(daemon, WAY * 2, event);
            }
            _ => {}
        }
    }

    fn start(&mut self, daemon: usize, request: RequestId, attempt: &Attempt) {
        let bad = self.calls.get(&request).and_then(|call| call.bad);
        let is_out = self.out.get(&daemon).is_some_and(|until| self.fleet.now() < *until);
        if let Some(part) = bad.filter(|_| !is_out && !matches!(attempt.op, Op::Hold { .. })) {
            self.got.sent.entry(part).or_default().push(self.fleet.now());
        }
        let run = Run { daemon, request, attempt: attempt.number, bad };
        if self.down.contains(&attempt.target.instance) {
            return self.came(&run, WAY * 2, Outcome::Unreachable);
        }
        match attempt.op {
            Op::Hold { .. } => self.came(&run, HOLD, Outcome::Held { hold: "hold".to_owned() }),
            Op::Prefill => {
                let handle = "kv".to_owned();
                self.came(&run, READ, Outcome::Prefilled { handle, tokens: 1000 });
            }
            _ => self.decode(attempt.target.instance.clone(), run),
        }
    }

    fn decode(&mut self, instance: String, run: Run) {
        self.came(&run, FIRST_EVENT, Outcome::Streaming);
        if let Some(call) = self.calls.get_mut(&run.request) {
            call.begun = true;
        }
        let mark = ENDED + self.next;
        self.next += 1;
        let seconds = Duration::from_millis(500).mul_f64(1.0 + 8.0 * self.fleet.rng.unit());
        self.fleet.mark(if run.bad.is_some() { ENDS } else { seconds }, mark);
        if run.bad.is_none() {
            let Run { request, attempt, .. } = run;
            self.fleet.feed_later(run.daemon, WRITES_ON, Event::WroteOn { request, attempt });
        }
        self.runs.insert(mark, (instance, run));
    }

    /// A decode ends, and one with a bad part ends the endpoint.
    fn finish(&mut self, mark: u64) {
        let Some((instance, run)) = self.runs.remove(&mark) else { return };
        let Some(part) = run.bad else { return self.came(&run, WAY, Outcome::Finished) };
        self.came(&run, WAY, Outcome::Broken(Damage::CutOff));
        self.got.ends.entry(part).or_default().push(self.fleet.now());
        self.end(instance);
    }

    /// An endpoint ends with all that it runs.
    fn end(&mut self, instance: String) {
        let (broken, runs): (HashMap<_, _>, _) =
            self.runs.drain().partition(|(_, (at, _))| *at == instance);
        self.runs = runs;
        let mut broken: Vec<_> = broken.into_iter().collect();
        broken.sort_by_key(|(mark, _)| *mark);
        for (_, (_, run)) in broken {
            self.came(&run, WAY, Outcome::Broken(Damage::CutOff));
        }
        self.births += 1;
        self.down.insert(instance);
        self.fleet.mark(LAPSES, BACK + 2 * self.births);
        self.fleet.mark(AWAY, BACK + 2 * self.births + 1);
    }

    fn came(&mut self, run: &Run, after: Duration, outcome: Outcome) {
        let Run { request, attempt, .. } = *run;
        self.fleet.feed_later(
            run.daemon,
            after,
            Event::AttemptOutcome { request, attempt, outcome },
        );
    }

    /// An entry lapses, or the endpoint is back under another name.
    fn back(&mut self, mark: u64) {
        let (birth, born) = ((mark - BACK) / 2, mark % 2 == 1);
        if born {
            let port = 20_000 + u16::try_from(birth).unwrap_or(0);
            let info = model(&format!("n{birth}"), port, Stage::Decode);
            self.decode.insert(info.instance.clone());
            return self.fleet.list(&[info], &[]);
        }
        let gone: Vec<_> = self.down.iter().cloned().collect();
        self.fleet.list(&[], &gone);
    }
}
