//! An endpoint whose answers alone say that it leaves, and one that asks for pauses.

use std::{collections::BTreeMap, time::Duration};

use basilbank_forward::prelude::*;

use super::{Fleet, Step, WAY, call_of};
use crate::rig::{plain, table};

/// How long an endpoint works on a call.
const WORK: Duration = Duration::from_millis(30);

/// When the first endpoint begins to say that it leaves, and the second one to turn calls away.
const SAYS: Duration = Duration::from_secs(4);

/// Part of its calls that the second endpoint turns away.
const TURNED_AWAY: f64 = 0.45;

/// The pause that it asks for.
const PAUSE: Duration = Duration::from_secs(3);

/// When a pause begins, after it was asked for.
const PAUSE_BEGINS: Duration = Duration::from_millis(500);

const CALL: u64 = 0;
const TROUBLE: u64 = 1;

/// A load.
#[derive(Clone, Copy)]
pub struct Load {
    pub daemons: usize,
    /// Calls in a second.
    pub calls: f64,
    pub loss: f64,
    pub trouble: bool,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Got {
    pub calls: usize,
    pub served: usize,
    /// Calls to the leaving endpoint by daemons that had passed on an answer of it.
    pub to_leaver: usize,
    /// The most calls of one daemon in a pause that it was asked for.
    pub in_pause: usize,
    /// Answers that asked for a pause.
    pub pauses: usize,
}

pub struct Play {
    fleet: Fleet,
    load: Load,
    got: Got,
    start: Duration,
    next: u64,
    /// When daemons got the first answer of the leaving endpoint.
    told: BTreeMap<usize, Duration>,
    /// Pauses that daemons were asked for, and the calls in each.
    pauses: BTreeMap<usize, Vec<(Duration, usize)>>,
}

impl Play {
    pub fn run(load: Load, seed: u64) -> Got {
        let fleet = Fleet::new(load.daemons, table(1), seed).with_loss(load.loss);
        let start = fleet.now();
        let (got, told, pauses) = (Got::default(), BTreeMap::new(), BTreeMap::new());
        let mut play = Play { fleet, load, got, start, next: 0, told, pauses };
        let list: Vec<_> = (0..4).zip(1..).map(|(n, port)| plain(&n.to_string(), port)).collect();
        play.fleet.list(&list, &[]);
        play.fleet.mark(Duration::from_millis(500), CALL);
        if load.trouble {
            play.fleet.mark(SAYS, TROUBLE);
        }
        let end = start + Duration::from_secs(18);
        while let Some(step) = play.fleet.step(end) {
            match step {
                Step::Asks { daemon, effect } => play.asked(daemon, *effect),
                Step::Mark(CALL) => play.arrive(),
                Step::Mark(_) => play.trouble(),
            }
        }
        play.got
    }

    /// A daemon restarts, and knows nothing of before; another one is cut off from its peers.
    fn trouble(&mut self) {
        self.fleet.mark(Duration::from_millis(1500), TROUBLE);
        let [restarts, _] = self.fleet.trouble();
        self.told.remove(&restarts);
        self.pauses.remove(&restarts);
    }

    fn arrive(&mut self) {
        self.fleet.mark_at_rate(self.load.calls, CALL);
        let id = RequestId(self.next);
        self.next += 1;
        let daemon = self.fleet.rng.index(self.load.daemons);
        if self.fleet.is_sound(daemon) {
            self.got.calls += 1;
            let call = call_of(id, Digest(id.0), "/stock/1");
            self.fleet.feed_later(daemon, WAY, Event::Arrived(Box::new(call)));
        }
    }

    fn asked(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Start { request, attempt } => self.answer(daemon, request, &attempt),
            Effect::Deliver { .. } => self.got.served += 1,
            _ => {}
        }
    }

    fn answer(&mut self, daemon: usize, request: RequestId, attempt: &Attempt) {
        let endpoint = attempt.target.endpoint;
        let says = self.start + SAYS <= self.fleet.now();
        let mut outcome = Outcome::Answered { status: 200 };
        match attempt.target.instance.as_str() {
            "0" if says => {
                self.count_leaver(daemon);
                self.fleet.feed_later(daemon, WORK, Event::EndpointLeaving(endpoint));
            }
            "1" if says => {
                self.count_in_pause(daemon);
                if self.fleet.rng.unit() < TURNED_AWAY {
                    self.ask_pause(daemon, endpoint);
                    outcome = Outcome::NotRun(NotRun::Busy);
                }
            }
            _ => {}
        }
        let event = Event::AttemptOutcome { request, attempt: attempt.number, outcome };
        self.fleet.feed_later(daemon, WORK, event);
    }

    fn count_leaver(&mut self, daemon: usize) {
        let now = self.fleet.now();
        let told = *self.told.entry(daemon).or_insert(now + WORK);
        self.got.to_leaver += usize::from(told < now);
    }

    fn ask_pause(&mut self, daemon: usize, endpoint: EndpointKey) {
        self.got.pauses += 1;
        self.pauses.entry(daemon).or_default().push((self.fleet.now(), 0));
        self.fleet.feed_later(daemon, WORK, Event::PauseRequested { endpoint, pause: PAUSE });
    }

    fn count_in_pause(&mut self, daemon: usize) {
        let now = self.fleet.now();
        for (asked, calls) in self.pauses.entry(daemon).or_default() {
            *calls += usize::from(*asked + PAUSE_BEGINS < now && now < *asked + PAUSE);
            self.got.in_pause = self.got.in_pause.max(*calls);
        }
    }
}
