//! A team's quota over all daemons: what passes in each window, and what is refused below it.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use basilbank_forward::prelude::*;

use super::{Fleet, Step, WAY, call_of};
use crate::rig::{plain, table};

/// The window in which what passes is counted.
const WINDOW: Duration = Duration::from_secs(8);

/// What may pass beyond the quota, as a part of it.
const OVERSHOOT: f64 = 0.25;

/// The same as a part of what comes in a second by the rate: the least that operators allow a team, against
/// the largest quota.
const SLACK: f64 = 0.5;

/// How long an endpoint works on a call.
const WORK: Duration = Duration::from_millis(30);

/// When callers begin.
const BEGIN: Duration = Duration::from_secs(3);

/// Units a second of the quota of the tests.
pub const RATE: f64 = 200_000.0;

const CALL: u64 = 0;
const TROUBLE: u64 = 1;
const RESTART: u64 = 2;
const CHANGE: u64 = 3;
const SPLIT: u64 = 4;

const KEY: KeyHash = KeyHash([1; 16]);

/// A load.
#[derive(Clone)]
pub struct Load {
    pub daemons: usize,
    /// What is asked for, as a part of the quota's rate, from a time on.
    pub asks: Vec<(Duration, f64)>,
    /// Least and most of a call, in units.
    pub amount: (f64, f64),
    /// Daemons by which callers come; all, or some.
    pub by: usize,
    pub loss: f64,
    pub trouble: bool,
    /// All start again at once.
    pub restart: Option<Duration>,
    /// The fleet falls into two halves.
    pub split: Option<Duration>,
    /// The quota's rate changes by this factor.
    pub change: Option<(Duration, f64)>,
    pub lasts: Duration,
}

impl Load {
    pub fn new(daemons: usize, asks: f64) -> Load {
        Load {
            daemons,
            asks: vec![(Duration::ZERO, asks)],
            amount: (3000.0, 9000.0),
            by: daemons,
            loss: 0.001,
            trouble: false,
            restart: None,
            split: None,
            change: None,
            lasts: Duration::from_secs(25),
        }
    }
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Got {
    pub calls: usize,
    pub passed: usize,
    pub refused: usize,
    /// Those refused that a bucket of the quota, kept in one place, would have let pass.
    pub refused_below: usize,
    /// Units that passed, as a part of those that such a bucket lets pass.
    pub used: f64,
    /// The most that passed in a window, as a part of what is allowed.
    pub worst: f64,
    /// The longest that a call that passed waited before it was sent.
    pub waited: Duration,
    /// Most bytes that a daemon received of its peers.
    pub heard: usize,
}

pub struct Play {
    fleet: Fleet,
    load: Load,
    rate: f64,
    got: Got,
    came: HashMap<RequestId, (Duration, f64, bool)>,
    window: VecDeque<(Duration, f64)>,
    in_window: f64,
    /// The quota as a bucket in one place.
    level: f64,
    filled: Duration,
    ideal: f64,
    next: u64,
    start: Duration,
    refusals: BTreeMap<&'static str, usize>,
}

fn quota(rate: f64) -> Quota {
    Quota { rate, burst: rate, unit: QuotaUnit::Tokens { unspecified: 200 } }
}

fn keyed(version: u64, rate: f64) -> RouteTable {
    let team = Team::new("team-1").with_quota(quota(rate));
    table(version).with_teams(Teams::default().with_team(team, [KEY]))
}

impl Play {
    pub fn run(load: Load, seed: u64) -> Got {
        let fleet = Fleet::new(load.daemons, keyed(1, RATE), seed).with_loss(load.loss);
        let start = fleet.now();
        let mut play = Play {
            fleet,
            rate: RATE,
            got: Got::default(),
            came: HashMap::new(),
            window: VecDeque::new(),
            in_window: 0.0,
            level: RATE,
            filled: start,
            ideal: 0.0,
            next: 0,
            start,
            refusals: BTreeMap::new(),
            load,
        };
        play.fleet.list(&[plain("a", 1), plain("b", 2)], &[]);
        play.fleet.mark(BEGIN, CALL);
        if play.load.trouble {
            play.fleet.mark(BEGIN, TROUBLE);
        }
        for (at, mark) in [
            (play.load.restart, RESTART),
            (play.load.split, SPLIT),
            (play.load.change.map(|(at, _)| at), CHANGE),
        ] {
            if let Some(at) = at {
                play.fleet.mark(at, mark);
            }
        }
        let end = start + play.load.lasts;
        while let Some(step) = play.fleet.step(end) {
            match step {
                Step::Asks { daemon, effect } => play.asked(daemon, *effect),
                Step::Mark(CALL) => play.arrive(),
                Step::Mark(TROUBLE) => {
                    play.fleet.mark(Duration::from_millis(1500), TROUBLE);
                    play.fleet.trouble();
                }
                Step::Mark(RESTART) => play.fleet.restart_all(),
                Step::Mark(SPLIT) => play.fleet.split(),
                Step::Mark(_) => play.change(),
            }
        }
        play.got.used /= play.ideal.max(1.0);
        play.got.heard = play.fleet.most_heard();
        assert!(play.refusals.keys().all(|name| *name == "over_quota"), "{:?}", play.refusals);
        play.got
    }

    fn change(&mut self) {
        let Some((_, factor)) = self.load.change else { return };
        self.rate = RATE * factor;
        self.fleet.configure(keyed(2, self.rate));
    }

    fn arrive(&mut self) {
        let since = self.fleet.now() - self.start;
        let asks = self.load.asks.iter().rev().find(|(at, _)| *at <= since);
        let asks = asks.map_or(0.0, |(_, asks)| *asks);
        let (least, most) = self.load.amount;
        let calls = RATE * asks / ((least + most) / 2.0);
        let pause = -(1.0 - self.fleet.rng.unit()).ln() / calls;
        self.fleet.mark(Duration::from_secs_f64(pause.min(1.0)), CALL);
        let amount = (least + (most - least) * self.fleet.rng.unit()).round();
        let daemon = self.fleet.rng.index(self.load.by);
        if !self.fleet.is_sound(daemon) {
            return;
        }
        let id = RequestId(self.next);
        self.next += 1;
        self.got.calls += 1;
        let within = self.take_ideal(amount);
        self.came.insert(id, (self.fleet.now(), amount, within));
        let tokens = amount as u32 - 100;
        let prompt =
            Prompt { tokens, max_output: 100, output_hint: None, session: None, parts: Vec::new() };
        let call = Call {
            credential: Credential::Key(KEY),
            prompt: Some(prompt),
            caller_timeout: Some(Duration::from_secs(2)),
            ..call_of(id, Digest(id.0), "/sheet/1")
        };
        self.fleet.feed_later(daemon, WAY, Event::Arrived(Box::new(call)));
    }

    fn take_ideal(&mut self, amount: f64) -> bool {
        let now = self.fleet.now();
        let passed = (now - self.filled).as_secs_f64();
        self.level = (self.level + self.rate * passed).min(self.rate);
        self.filled = now;
        let within = amount <= self.level;
        if within {
            self.level -= amount;
            self.ideal += amount;
        }
        within
    }

    fn asked(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Start { request, attempt } => {
                let outcome = Outcome::Answered { status: 200 };
                let event = Event::AttemptOutcome { request, attempt: attempt.number, outcome };
                self.fleet.feed_later(daemon, WORK, event);
                if let Some((at, amount, _)) = self.came.remove(&request) {
                    let waited = self.fleet.now() - at - WAY;
                    self.got.waited = self.got.waited.max(waited);
                    self.count(amount);
                }
            }
            Effect::Refuse { request, refusal, retry_after } => {
                assert!(retry_after.is_some_and(|after| !after.is_zero()), "no time to come back");
                *self.refusals.entry(refusal.as_str()).or_default() += 1;
                let within = self.came.remove(&request).is_some_and(|(_, _, within)| within);
                self.got.refused += 1;
                self.got.refused_below += usize::from(within);
            }
            _ => {}
        }
    }

    fn count(&mut self, amount: f64) {
        let now = self.fleet.now();
        self.got.passed += 1;
        self.got.used += amount;
        self.window.push_back((now, amount));
        self.in_window += amount;
        while let Some((at, amount)) = self.window.front().copied()
            && at + WINDOW <= now
        {
            self.window.pop_front();
            self.in_window -= amount;
        }
        // A lower rate binds once a window has passed since.
        let lowered = self.load.change.is_some_and(|(at, _)| now < self.start + at + WINDOW * 2);
        let rate = if lowered { RATE.max(self.rate) } else { self.rate };
        let allowed = rate * (WINDOW.as_secs_f64() + 1.0) * (1.0 + OVERSHOOT) + rate * SLACK;
        self.got.worst = self.got.worst.max(self.in_window / allowed);
    }
}

/// Puts a table in force at all daemons.
impl Fleet {
    fn configure(&mut self, table: RouteTable) {
        self.revision += 1;
        self.table = Arc::new(table);
        let read = Revisions::at(self.revision);
        for daemon in 0..self.len() {
            let table = Some(Arc::clone(&self.table));
            self.feed_later(daemon, WAY, Event::RoutesRead { revisions: read, table });
        }
    }

    /// The two halves don't hear each other any more.
    fn split(&mut self) {
        self.half = Some(self.len() / 2);
    }
}
