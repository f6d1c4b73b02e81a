//! Endpoints that take so many calls a second from all daemons together.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use basilbank_forward::prelude::*;

use super::{Fleet, Step, WAY, call_of, contact};
use crate::rig::{plain, table};

/// The window in which an endpoint's calls are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// How long a daemon may take to act on an answer that it has passed on.
const TOLD: Duration = Duration::from_millis(500);

/// How long an endpoint works on a call.
const WORK: Duration = Duration::from_millis(30);

/// When endpoints begin to name their limits.
pub const NAMES: Duration = Duration::from_secs(4);

/// Calls in a window beyond one and a half times the limit that are borne.
const SLACK: f64 = 5.0;

/// A load.
#[derive(Clone)]
pub struct Load {
    pub daemons: usize,
    /// Calls in a second.
    pub calls: f64,
    /// What each endpoint takes.
    pub limits: Vec<Option<f64>>,
    /// When they take as many as come again.
    pub until: Duration,
    pub lasts: Duration,
    pub loss: f64,
    pub trouble: bool,
}

impl Load {
    pub fn new(daemons: usize, limits: &[Option<f64>]) -> Load {
        Load {
            daemons,
            calls: 66.0,
            limits: limits.to_vec(),
            until: Duration::from_secs(1000),
            lasts: Duration::from_secs(18),
            loss: 0.001,
            trouble: false,
        }
    }
}

const CALL: u64 = 0;
const TROUBLE: u64 = 1;
const HEARD: u64 = 2;
const STARTED: Duration = Duration::from_secs(8);

/// What came of it.
#[derive(Debug, Default)]
pub struct Got {
    pub calls: usize,
    pub served: usize,
    pub refused: BTreeMap<&'static str, usize>,
    /// Calls that were refused later than a third of what their callers wait.
    pub held: usize,
    /// The most, as a part of what is allowed, that an endpoint got in a window.
    pub worst: f64,
    /// Calls that each endpoint got since daemons could know.
    pub each: Vec<usize>,
    /// Most bytes in a second that a daemon received of its peers.
    pub heard: f64,
}

pub struct Play {
    fleet: Fleet,
    load: Load,
    got: Got,
    start: Duration,
    came: BTreeMap<RequestId, Duration>,
    /// When daemons passed the first answer on that named a limit, by daemon and endpoint.
    told: BTreeMap<(usize, usize), Duration>,
    /// When endpoints got calls of daemons that were told.
    windows: Vec<VecDeque<Duration>>,
    out: BTreeMap<usize, Duration>,
    next: u64,
    started: usize,
}

impl Play {
    pub fn run(load: Load, seed: u64) -> Got {
        let count = load.limits.len();
        let mut play = Play {
            fleet: Fleet::new(load.daemons, table(1), seed).with_loss(load.loss),
            got: Got { each: vec![0; count], ..Got::default() },
            start: Duration::ZERO,
            came: BTreeMap::new(),
            told: BTreeMap::new(),
            windows: vec![VecDeque::new(); count],
            out: BTreeMap::new(),
            next: 0,
            started: 0,
            load,
        };
        play.start = play.fleet.now();
        let list: Vec<_> =
            (0..count).zip(1..).map(|(n, port)| plain(&n.to_string(), port)).collect();
        play.fleet.list(&list, &[]);
        play.fleet.mark(Duration::from_millis(500), CALL);
        play.fleet.mark(STARTED, HEARD);
        if play.load.trouble {
            play.fleet.mark(Duration::from_secs(5), TROUBLE);
        }
        let end = play.start + play.load.lasts;
        while let Some(step) = play.fleet.step(end) {
            match step {
                Step::Asks { daemon, effect } => play.asked(daemon, *effect),
                Step::Mark(CALL) => play.arrive(),
                Step::Mark(HEARD) => play.started = play.fleet.most_heard(),
                Step::Mark(_) => play.trouble(),
            }
        }
        let time = play.load.lasts.saturating_sub(STARTED).as_secs_f64();
        play.got.heard = play.fleet.most_heard().saturating_sub(play.started) as f64 / time;
        play.got
    }

    /// A daemon restarts, another one is cut off for a second and a half.
    fn trouble(&mut self) {
        self.fleet.mark(Duration::from_millis(1500), TROUBLE);
        let [restarts, cut] = self.fleet.trouble();
        let until = self.fleet.now() + Duration::from_millis(1500) + contact(self.load.daemons);
        self.out.extend([(restarts, until), (cut, until)]);
        self.told.retain(|(daemon, _), _| *daemon != restarts);
    }

    fn arrive(&mut self) {
        self.fleet.mark_at_rate(self.load.calls, CALL);
        let id = RequestId(self.next);
        self.next += 1;
        let daemon = self.fleet.rng.index(self.load.daemons);
        if !self.fleet.is_sound(daemon) {
            return;
        }
        self.got.calls += 1;
        self.came.insert(id, self.fleet.now());
        let call = call_of(id, Digest(id.0), "/stock/1");
        self.fleet.feed_later(daemon, WAY, Event::Arrived(Box::new(call)));
    }

    fn asked(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Start { request, attempt } => self.start(daemon, request, &attempt),
            Effect::Deliver { .. } => self.got.served += 1,
            Effect::Refuse { request, refusal, retry_after } => {
                *self.got.refused.entry(refusal.as_str()).or_default() += 1;
                assert!(
                    retry_after.is_some_and(|after| !after.is_zero()),
                    "refused without a time to come back"
                );
                let came = self.came.get(&request).copied().unwrap_or_default();
                let held = self.fleet.now().saturating_sub(came);
                self.got.held += usize::from(Duration::from_millis(340) < held);
            }
            _ => {}
        }
    }

    fn limit(&self, endpoint: usize, at: Duration) -> Option<f64> {
        let since = at.saturating_sub(self.start);
        self.load.limits[endpoint].filter(|_| NAMES <= since && since < self.load.until)
    }

    fn start(&mut self, daemon: usize, request: RequestId, attempt: &Attempt) {
        let endpoint: usize = attempt.target.instance.parse().expect("a number");
        let now = self.fleet.now();
        let rate = self.limit(endpoint, now);
        let key = attempt.target.endpoint;
        self.fleet.feed_later(daemon, WORK, Event::CallLimit { endpoint: key, rate });
        let outcome = Outcome::Answered { status: 200 };
        let event = Event::AttemptOutcome { request, attempt: attempt.number, outcome };
        self.fleet.feed_later(daemon, WORK, event);
        self.count(daemon, endpoint, now);
        if rate.is_some() {
            self.told.entry((daemon, endpoint)).or_insert(now + WORK);
        }
    }

    /// Counts a call as the endpoint does.
    fn count(&mut self, daemon: usize, endpoint: usize, now: Duration) {
        let Some(limit) = self.limit(endpoint, now) else { return };
        if now < self.start + NAMES + contact(self.load.daemons) {
            return;
        }
        self.got.each[endpoint] += 1;
        let told = self.told.get(&(daemon, endpoint)).is_some_and(|at| *at + TOLD <= now);
        let out = self.out.get(&daemon).is_some_and(|until| now < *until);
        if !told || out {
            return;
        }
        let window = &mut self.windows[endpoint];
        window.push_back(now);
        while window.front().is_some_and(|at| *at + WINDOW <= now) {
            window.pop_front();
        }
        let allowed = limit * WINDOW.as_secs_f64() * 1.5 + SLACK;
        self.got.worst = self.got.worst.max(window.len() as f64 / allowed);
    }
}
