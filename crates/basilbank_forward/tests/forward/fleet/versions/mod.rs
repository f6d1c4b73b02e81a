//! Streams that break off and go on, at endpoints of several versions of their software.

mod endpoints;
mod load;
mod streams;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use basilbank_forward::prelude::*;

use super::{Fleet, Step};
use crate::rig::table_with_memory;

pub use self::load::{Change, Got, Load, Trouble};

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
            .with_late_lists(load.lateness)
            .with_history(load.history);
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
}
