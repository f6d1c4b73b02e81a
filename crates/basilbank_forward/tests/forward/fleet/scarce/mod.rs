//! Streams that begin and streams that are taken up compete for the memory of decode endpoints of
//! two versions.

mod callers;
mod engines;
mod load;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use basilbank_forward::{event::Liveness, prelude::*};

pub use self::load::{Got, Load};
use self::{
    callers::{Caller, Try},
    engines::Node,
    load::table,
};
use super::{Fleet, Step, WAY};

enum Mark {
    Begin,
    Crash,
    Recover,
    KillDaemon,
    Come(usize),
    End(u64),
}

/// A stream that an endpoint writes.
struct Run {
    daemon: usize,
    request: RequestId,
    attempt: u32,
    instance: String,
}

pub struct Play {
    fleet: Fleet,
    load: Load,
    got: Got,
    start: Duration,
    marks: HashMap<u64, Mark>,
    nodes: BTreeMap<String, Node>,
    callers: Vec<Caller>,
    tries: BTreeMap<RequestId, Try>,
    runs: BTreeMap<u64, Run>,
    next: u64,
}

impl Play {
    pub fn run(load: Load, seed: u64) -> Got {
        let fleet = Fleet::new(load.daemons, table(&load), seed).with_loss(0.001);
        let mut play = Play {
            start: fleet.now(),
            fleet,
            load,
            got: Got::default(),
            marks: HashMap::new(),
            nodes: BTreeMap::new(),
            callers: Vec::new(),
            tries: BTreeMap::new(),
            runs: BTreeMap::new(),
            next: 0,
        };
        play.set_up();
        let end = play.start + load.lasts;
        while let Some(step) = play.fleet.step(end) {
            match step {
                Step::Asks { daemon, effect } => play.asked(daemon, *effect),
                Step::Mark(mark) => play.marked(mark),
            }
        }
        play.got
    }

    fn set_up(&mut self) {
        let list = self.list();
        self.fleet.list(&list, &[]);
        self.mark(Duration::from_secs(2), Mark::Begin);
        self.mark(self.load.crashes, Mark::Crash);
        self.mark(self.load.crashes + self.load.away, Mark::Recover);
        for n in 0..self.load.kills {
            let after = Duration::from_millis(500) * n;
            self.mark(self.load.crashes + after, Mark::KillDaemon);
        }
    }

    fn mark(&mut self, after: Duration, mark: Mark) {
        self.next += 1;
        self.marks.insert(self.next, mark);
        self.fleet.mark(after, self.next);
    }

    fn marked(&mut self, number: u64) {
        match self.marks.remove(&number) {
            Some(Mark::Begin) => self.begin(),
            Some(Mark::Crash) => self.crash(),
            Some(Mark::Recover) => self.nodes.values_mut().for_each(|node| node.runs = true),
            Some(Mark::KillDaemon) => self.kill_daemon(),
            Some(Mark::Come(caller)) => self.come(caller),
            Some(Mark::End(run)) => self.end_run(run),
            None => {}
        }
    }

    fn begin(&mut self) {
        let since = self.fleet.now().saturating_sub(self.start);
        let rate = self.load.rate_at(since);
        self.next += 1;
        self.marks.insert(self.next, Mark::Begin);
        self.fleet.mark_at_rate(rate, self.next);
        let caller = self.new_caller();
        self.callers.push(caller);
        self.come(self.callers.len() - 1);
    }

    fn asked(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Start { request, attempt } => self.start(daemon, request, &attempt),
            Effect::Deliver { request, .. } => self.deliver(request),
            Effect::Refuse { request, refusal, retry_after } => {
                self.refused(request, refusal, retry_after);
            }
            Effect::AbortStream { request, .. } => self.lost(request),
            Effect::Stop { request, attempt } => self.stop(request, attempt),
            Effect::ReleaseHold { target, hold } => self.release(&target.instance, &hold),
            Effect::Probe(target) => {
                let runs = self.nodes.get(&target.instance).is_some_and(|node| node.runs);
                let liveness = if runs { Liveness::Alive } else { Liveness::Unreachable };
                let event = Event::Probed { endpoint: target.endpoint, liveness };
                self.fleet.feed_later(daemon, WAY * 2, event);
            }
            _ => {}
        }
    }

    /// The attempt's outcome reaches its daemon.
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
