//! Daemons that can't reach endpoints which their peers reach.

use std::{collections::BTreeMap, time::Duration};

use basilbank_forward::{
    effect::Target,
    event::{Liveness, ProxiedEnd},
    prelude::*,
};

use super::{Fleet, Step, WAY, call_of, number};
use crate::rig::{plain, table};

/// How long an endpoint works on a call.
const WORK: Duration = Duration::from_millis(30);

/// When the cut begins, from the start of the calls.
const BEGINS: Duration = Duration::from_secs(4);

/// Time that a daemon has to get over the cut.
const CONTACT: Duration = Duration::from_secs(3);

/// When the cut ends.
const ENDS: Duration = Duration::from_secs(14);

/// When the calls end.
const LASTS: Duration = Duration::from_secs(18);

/// A load and a cut.
#[derive(Clone)]
pub struct Cut {
    pub daemons: usize,
    /// Daemons that are cut off: the first ones.
    pub cut: usize,
    pub endpoints: usize,
    /// Endpoints that they don't reach: the first ones.
    pub unreached: usize,
    /// Calls in a second.
    pub calls: f64,
    /// Time until a connection over a cut path has failed.
    pub fails_after: Duration,
    pub loss: f64,
    /// Daemons restart, and others lose their peers, all the while.
    pub trouble: bool,
}

impl Cut {
    pub fn new(daemons: usize, cut: usize) -> Cut {
        Cut {
            daemons,
            cut,
            endpoints: 4,
            unreached: 4,
            calls: 8.0 * daemons as f64,
            fails_after: Duration::from_millis(250),
            loss: 0.001,
            trouble: false,
        }
    }
}

/// Calls at some daemons.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    pub calls: u32,
    pub served: u32,
}

impl Share {
    pub fn part(self) -> f64 {
        f64::from(self.served) / f64::from(self.calls.max(1))
    }
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Got {
    /// Calls that came at daemons which are cut off, while they are and may be expected to cope.
    pub cut: Share,
    /// Calls at the others meanwhile.
    pub others: Share,
    /// Calls that a peer still made a while after the cut.
    pub late_hops: u32,
    /// Most calls that one daemon made at once for its peers.
    pub most_served: usize,
    /// Most attempts that a call took.
    pub most_attempts: u32,
    /// Calls that ran more often than once.
    pub twice: u32,
}

const CALL: u64 = 0;
const TROUBLE: u64 = 1;

pub struct Play {
    fleet: Fleet,
    cut: Cut,
    start: Duration,
    got: Got,
    /// Calls under way: the daemon, when they came, and how often they ran.
    calls: BTreeMap<RequestId, (usize, Duration, u32)>,
    /// Daemons that have just been restarted or lost their peers.
    out: BTreeMap<usize, Duration>,
    next: u64,
}

impl Play {
    pub fn run(cut: Cut, seed: u64) -> Got {
        let fleet = Fleet::new(cut.daemons, table(1), seed).with_loss(cut.loss);
        let start = fleet.now();
        let (got, calls, out) = (Got::default(), BTreeMap::new(), BTreeMap::new());
        let mut play = Play { fleet, cut, start, got, calls, out, next: 0 };
        let endpoints = play.cut.endpoints;
        let list: Vec<_> =
            (0..endpoints).zip(1..).map(|(n, port)| plain(&n.to_string(), port)).collect();
        play.fleet.list(&list, &[]);
        play.fleet.mark(Duration::from_millis(500), CALL);
        if play.cut.trouble {
            play.fleet.mark(BEGINS, TROUBLE);
        }
        let end = play.start + LASTS;
        while let Some(step) = play.fleet.step(end) {
            match step {
                Step::Asks { daemon, effect } => play.asked(daemon, *effect),
                Step::Mark(CALL) => play.arrive(),
                Step::Mark(_) => play.trouble(),
            }
        }
        play.got
    }

    fn trouble(&mut self) {
        self.fleet.mark(Duration::from_millis(1500), TROUBLE);
        let until = self.fleet.now() + Duration::from_millis(1500) + CONTACT;
        self.out.extend(self.fleet.trouble().map(|daemon| (daemon, until)));
    }

    fn since(&self) -> Duration {
        self.fleet.now() - self.start
    }

    fn arrive(&mut self) {
        self.fleet.mark_at_rate(self.cut.calls, CALL);
        let id = RequestId(self.next);
        self.next += 1;
        let daemon = self.fleet.rng.index(self.cut.daemons);
        if !self.fleet.is_sound(daemon) {
            return;
        }
        self.calls.insert(id, (daemon, self.fleet.now(), 0));
        if let Some(share) = self.share(id) {
            share.calls += 1;
        }
        let call = call_of(id, Digest(id.0), "/stock/1");
        self.fleet.feed_later(daemon, WAY, Event::Arrived(Box::new(call)));
    }

    /// Where a call counts.
    fn share(&mut self, id: RequestId) -> Option<&mut Share> {
        let (daemon, came, _) = *self.calls.get(&id)?;
        let since = came - self.start;
        let out = self.out.get(&daemon).is_some_and(|until| came < *until);
        let counts = BEGINS + CONTACT <= since && since < ENDS && !out;
        counts.then_some(match daemon < self.cut.cut {
            true => &mut self.got.cut,
            false => &mut self.got.others,
        })
    }

    fn reaches(&self, daemon: usize, endpoint: usize) -> bool {
        let is_cut = BEGINS <= self.since() && self.since() < ENDS;
        !is_cut || self.cut.cut <= daemon || self.cut.unreached <= endpoint
    }

    fn asked(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Start { request, attempt } => self.start(daemon, request, &attempt),
            Effect::Probe(target) => self.probe(daemon, &target),
            Effect::Deliver { request, .. } => {
                if let Some(share) = self.share(request) {
                    share.served += 1;
                }
            }
            _ => {}
        }
    }

    fn start(&mut self, daemon: usize, request: RequestId, attempt: &Attempt) {
        self.got.most_attempts = self.got.most_attempts.max(attempt.number + 1);
        let answer = Outcome::Answered { status: 200 };
        let (after, outcome, end) = self.carry_out(daemon, &attempt.target, Purpose::Work, answer);
        if matches!(outcome, Outcome::Answered { .. })
            && let Some((.., ran)) = self.calls.get_mut(&request)
        {
            *ran += 1;
            self.got.twice += u32::from(*ran == 2);
        }
        if let (Some(peer), Some(end)) = (attempt.target.via, end) {
            self.got.late_hops += u32::from(ENDS + CONTACT < self.since());
            let peer = number(&peer).expect("a daemon");
            self.serve(peer, attempt.target.endpoint, after, end);
            let busy = self.fleet.state(peer).proxies.serving;
            self.got.most_served = self.got.most_served.max(busy);
        }
        let event = Event::AttemptOutcome { request, attempt: attempt.number, outcome };
        self.fleet.feed_later(daemon, after, event);
    }

    /// A peer makes a call.
    fn serve(&mut self, peer: usize, endpoint: EndpointKey, takes: Duration, end: ProxiedEnd) {
        self.fleet.feed_later(peer, WAY, Event::ProxiedCallStarted);
        let event = Event::ProxiedCallEnded {
            endpoint,
            traits: None,
            wrote_on: false,
            duration: takes,
            end,
        };
        self.fleet.feed_later(peer, takes, event);
    }

    fn probe(&mut self, daemon: usize, target: &Target) {
        let answer = Outcome::Answered { status: 200 };
        let (after, outcome, end) = self.carry_out(daemon, target, Purpose::Probe, answer);
        let endpoint = target.endpoint;
        let Some(peer) = target.via else {
            let liveness = match outcome {
                Outcome::Answered { .. } => Liveness::Alive,
                _ => Liveness::Unreachable,
            };
            return self.fleet.feed_later(daemon, after, Event::Probed { endpoint, liveness });
        };
        if let (Some(end), Some(n)) = (end, number(&peer)) {
            self.serve(n, endpoint, after, end);
        }
        let failure = match outcome {
            Outcome::NotProxied(failure) => Some(failure),
            _ => None,
        };
        let event = Event::ProbedByPeer { endpoint, peer, failure };
        self.fleet.feed_later(daemon, after, event);
    }

    /// What comes of something that is sent, when, and what it was for the peer that made the call. All
    /// daemons know endpoints by the same keys.
    fn carry_out(
        &self,
        daemon: usize,
        target: &Target,
        purpose: Purpose,
        answer: Outcome,
    ) -> (Duration, Outcome, Option<ProxiedEnd>) {
        let endpoint: usize = target.instance.parse().expect("a number");
        let Some(peer) = target.via else {
            return match self.reaches(daemon, endpoint) {
                true => (WORK, answer, None),
                false => (self.cut.fails_after, Outcome::Unreachable, None),
            };
        };
        let peer = number(&peer).expect("a daemon");
        let refused = |failure| (WAY * 2, Outcome::NotProxied(failure), None);
        if !self.fleet.is_sound(peer) || !self.fleet.is_sound(daemon) {
            let failure = Outcome::NotProxied(NotProxied::NoPeer);
            return (Duration::from_millis(150), failure, None);
        }
        let now = self.fleet.now();
        match self.fleet.state(peer).admit_proxied(
            &target.instance,
            Some(target.software),
            purpose,
            now,
        ) {
            Err(failure) => refused(failure),
            Ok(_) if self.reaches(peer, endpoint) => {
                (WORK + WAY * 2, answer, Some(ProxiedEnd::Answered))
            }
            Ok(_) => {
                let outcome = Outcome::NotProxied(NotProxied::EndpointUnreachable);
                (self.cut.fails_after + WAY * 2, outcome, Some(ProxiedEnd::Unreachable))
            }
        }
    }
}
