//! A prompt that ends each endpoint that begins it, beside drafts that end none.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use basilbank_forward::{event::Liveness, prelude::*};

use super::{Fleet, Step, WAY, call_of, contact};
use crate::rig::{model, prompt, table_with_memory};

/// What the prompt that ends endpoints has for its digest.
pub const DEADLY: Digest = Digest(7);

/// How long an endpoint lives that has begun the prompt.
const ENDS: Duration = Duration::from_millis(60);

/// How long endpoints are away.
const AWAY: Duration = Duration::from_secs(3);

/// When the entry of one that has ended lapses.
const LAPSES: Duration = Duration::from_millis(1500);

const HOLD: Duration = Duration::from_millis(4);
const READ: Duration = Duration::from_millis(150);
const FIRST: Duration = Duration::from_millis(15);

/// A load.
#[derive(Clone, Copy)]
pub struct Load {
    pub daemons: usize,
    pub decode: usize,
    /// Other drafts, in a second.
    pub drafts: f64,
    /// Between two attempts of the prompt that ends endpoints.
    pub comes: Duration,
    pub lasts: Duration,
    pub loss: f64,
    /// Daemons are restarted, and others cut off.
    pub trouble: bool,
}

impl Load {
    pub fn new(daemons: usize, decode: usize) -> Load {
        Load {
            daemons,
            decode,
            drafts: 2.0 * decode as f64,
            comes: Duration::from_millis(700),
            lasts: Duration::from_secs(14),
            loss: 0.001,
            trouble: false,
        }
    }
}

/// When all daemons have met, and have used up what they may tell ahead.
const STARTED: Duration = Duration::from_secs(8);

const HEARD: u64 = 3;
const COMES: u64 = 0;
const DRAFT: u64 = 1;
const TROUBLE: u64 = 2;
/// Marks from here on are endpoints' returns, and from the second on ends of what they run.
const BACK: u64 = 1000;
const ENDED: u64 = 1_000_000;

/// An endpoint's decode.
struct Run {
    daemon: usize,
    request: RequestId,
    attempt: u32,
    deadly: bool,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Got {
    /// Endpoints that the prompt has ended.
    pub ends: Vec<Duration>,
    /// When it was sent, by daemons in touch.
    pub sent: Vec<Duration>,
    pub drafts: usize,
    pub served: usize,
    /// Other drafts that were refused as if they were the prompt's.
    pub blamed: usize,
    /// Most bytes in a second that a daemon received of its peers.
    pub heard: f64,
}

impl Got {
    /// Attempts that were sent on too late.
    pub fn late(&self, contact: Duration) -> usize {
        let Some(third) = self.ends.get(2) else { return 0 };
        self.sent.iter().filter(|at| *third + contact < **at).count()
    }
}

pub struct Play {
    fleet: Fleet,
    load: Load,
    got: Got,
    requests: HashMap<RequestId, Digest>,
    runs: HashMap<u64, (String, Run)>,
    down: BTreeSet<String>,
    births: u64,
    /// Bytes that had been heard then.
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
            requests: HashMap::new(),
            runs: HashMap::new(),
            down: BTreeSet::new(),
            births: 0,
            started: 0,
            next: 10 * BACK,
            out: HashMap::new(),
        };
        let readers = (0..load.decode / 2 + 1).map(|n| model(&format!("p{n}"), 1, Stage::Prefill));
        let mut list: Vec<_> = readers.collect();
        list.extend((0..load.decode).map(|n| model(&format!("d{n}"), 1, Stage::Decode)));
        let ports = 1..u16::MAX;
        list.iter_mut().zip(ports).for_each(|(info, port)| info.addr.set_port(port));
        play.fleet.list(&list, &[]);
        play.fleet.mark(Duration::from_secs(3), COMES);
        play.fleet.mark(Duration::from_millis(500), DRAFT);
        play.fleet.mark(STARTED, HEARD);
        if load.trouble {
            play.fleet.mark(Duration::from_secs(4), TROUBLE);
        }
        let end = play.fleet.now() + load.lasts;
        while let Some(step) = play.fleet.step(end) {
            match step {
                Step::Asks { daemon, effect } => play.asked(daemon, *effect),
                Step::Mark(mark) => play.marked(mark),
            }
        }
        let time = load.lasts.saturating_sub(STARTED).as_secs_f64();
        play.got.heard = play.fleet.most_heard().saturating_sub(play.started) as f64 / time;
        play.got
    }

    fn marked(&mut self, mark: u64) {
        match mark {
            COMES => {
                let pause = self.load.comes.mul_f64(0.5 + self.fleet.rng.unit());
                self.fleet.mark(pause, COMES);
                self.arrive(DEADLY);
            }
            DRAFT => {
                self.fleet.mark_at_rate(self.load.drafts, DRAFT);
                self.got.drafts += 1;
                self.arrive(Digest(100_000 + self.got.drafts as u64));
            }
            TROUBLE => self.trouble(),
            HEARD => self.started = self.fleet.most_heard(),
            ENDED.. => self.finish(mark),
            _ => self.back(mark),
        }
    }

    /// A daemon restarts, another one is cut off for two seconds.
    fn trouble(&mut self) {
        self.fleet.mark(Duration::from_millis(1500), TROUBLE);
        let [restarts, cut] = self.fleet.trouble();
        // A daemon is in touch again so long after its trouble.
        let until = self.fleet.now() + Duration::from_millis(1500) + contact(self.load.daemons);
        self.out.insert(restarts, until);
        self.out.insert(cut, until);
    }

    fn arrive(&mut self, digest: Digest) {
        let id = RequestId(self.next);
        self.next += 1;
        self.requests.insert(id, digest);
        let prompt = Prompt { session: Some(digest.0), ..prompt(1000) };
        let call = Call {
            caller_timeout: Some(Duration::from_secs(14)),
            prompt: Some(prompt),
            ..call_of(id, digest, "/draft/1")
        };
        let daemon = self.fleet.rng.index(self.load.daemons);
        self.fleet.feed_later(daemon, WAY, Event::Arrived(Box::new(call)));
    }

    fn asked(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Start { request, attempt } => self.start(daemon, request, &attempt),
            Effect::Refuse { request, refusal, .. } | Effect::AbortStream { request, refusal } => {
                let other = self.requests.get(&request) != Some(&DEADLY);
                self.got.blamed += usize::from(other && refusal.as_str() == "quarantined");
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
        let deadly = self.requests.get(&request) == Some(&DEADLY);
        let number = attempt.number;
        let tell = |fleet: &mut Fleet, after, outcome| {
            fleet.feed_later(
                daemon,
                after,
                Event::AttemptOutcome { request, attempt: number, outcome },
            );
        };
        if self.down.contains(&attempt.target.instance) {
            return tell(&mut self.fleet, WAY * 2, Outcome::Unreachable);
        }
        match attempt.op {
            Op::Hold { .. } => {
                tell(&mut self.fleet, HOLD, Outcome::Held { hold: "hold".to_owned() });
            }
            Op::Prefill => {
                let handle = "kv".to_owned();
                tell(&mut self.fleet, READ, Outcome::Prefilled { handle, tokens: 1000 });
            }
            _ => {
                tell(&mut self.fleet, FIRST, Outcome::Streaming);
                let run = Run { daemon, request, attempt: number, deadly };
                let mark = ENDED + self.next;
                self.next += 1;
                let seconds = Duration::from_millis(500).mul_f64(1.0 + 8.0 * self.fleet.rng.unit());
                let lasts = if deadly { ENDS } else { seconds };
                self.fleet.mark(lasts, mark);
                self.runs.insert(mark, (attempt.target.instance.clone(), run));
                let out = self.out.get(&daemon).is_some_and(|until| self.fleet.now() < *until);
                if deadly && !out {
                    self.got.sent.push(self.fleet.now());
                }
            }
        }
    }

    /// A decode ends, and with the prompt's the endpoint with all that it runs.
    fn finish(&mut self, mark: u64) {
        let Some((instance, run)) = self.runs.remove(&mark) else { return };
        if !run.deadly {
            self.got.served += 1;
            return self.came(&run, Outcome::Finished);
        }
        self.came(&run, Outcome::Broken(Damage::CutOff));
        let (broken, runs): (HashMap<_, _>, _) =
            self.runs.drain().partition(|(_, (at, _))| *at == instance);
        self.runs = runs;
        for (_, (_, run)) in broken {
            self.came(&run, Outcome::Broken(Damage::CutOff));
        }
        self.got.ends.push(self.fleet.now());
        self.births += 1;
        self.down.insert(instance);
        self.fleet.mark(LAPSES, BACK + 2 * self.births);
        self.fleet.mark(AWAY, BACK + 2 * self.births + 1);
    }

    fn came(&mut self, run: &Run, outcome: Outcome) {
        let Run { request, attempt, .. } = *run;
        self.fleet.feed_later(run.daemon, WAY, Event::AttemptOutcome { request, attempt, outcome });
    }

    /// An entry lapses, or the endpoint is back under another name.
    fn back(&mut self, mark: u64) {
        let (birth, born) = ((mark - BACK) / 2, mark % 2 == 1);
        if born {
            let port = 20_000 + u16::try_from(birth).unwrap_or(0);
            let info = model(&format!("n{birth}"), port, Stage::Decode);
            return self.fleet.list(&[info], &[]);
        }
        let gone: Vec<_> = self.down.iter().cloned().collect();
        self.fleet.list(&[], &gone);
    }
}
