//! Figures of a run.

use std::{collections::BTreeMap, time::Duration};

use basilbank_core::prelude::*;

use super::{End, FakeKind, Job, Traffic, Try, World};

/// One thing that a caller asked.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct AskReport {
    /// The team's number.
    pub team: usize,
    /// It is a draft.
    pub draft: bool,
    /// When it was asked.
    pub at: Duration,
    /// How its latest try ended, or the one that got the whole answer.
    pub end: Option<End>,
    /// From the first try's start to the first token, or to a plain call's whole answer.
    pub ttft: Option<Duration>,
    /// Mean time between tokens.
    pub tbt: Duration,
    /// Longest time between tokens.
    pub gap: Duration,
    /// Tokens received.
    pub tokens: u32,
    /// Tries.
    pub tries: u32,
}

impl AskReport {
    /// Whether the whole answer came within both targets of a class.
    #[must_use]
    pub fn is_good(&self, class: &Class) -> bool {
        let in_time = self.ttft.is_some_and(|ttft| ttft <= class.ttft);
        self.end == Some(End::Done) && in_time && (!self.draft || self.tbt <= class.tbt)
    }
}

/// One daemon.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct DaemonReport {
    /// Sent to peers.
    pub sent: Traffic,
    /// Received from peers.
    pub received: Traffic,
    /// Events taken in.
    pub events: u64,
}

/// The figures.
#[derive(Clone, PartialEq, Debug)]
pub struct Report {
    /// By ask.
    pub asks: Vec<AskReport>,
    /// By daemon.
    pub daemons: Vec<DaemonReport>,
    /// Prefill time that endpoints spent.
    pub prefill_spent: Duration,
    /// Of that, time of which a waiting caller got tokens.
    pub prefill_used: Duration,
    /// Of that, time spent for callers that got their whole answer.
    pub prefill_done: Duration,
    /// Work that decode endpoints refused because they were full.
    pub decode_full: u64,
    /// Work that decode endpoints took.
    pub decode_taken: u64,
    /// Work that plain services refused because they were full.
    pub plain_full: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
    /// Calls to the platform in the busiest second.
    pub platform_peak: u32,
    /// Refusals by reason.
    pub refusals: BTreeMap<Refusal, u64>,
    /// Retries by reason.
    pub retries: BTreeMap<Retry, u64>,
    /// Waste by cause, as the daemons count it: how often, prefill time, tokens.
    pub wastes: BTreeMap<Waste, (u64, Duration, u64)>,
    /// Notes by name.
    pub notes: BTreeMap<&'static str, u64>,
}

impl Report {
    /// Reads a world.
    #[must_use]
    pub fn new(world: &World) -> Report {
        let done = |ask: usize| world.callers.progress[ask].done;
        let prefills = &world.record.prefills;
        let full = |is_it: fn(&FakeKind) -> bool| {
            world.endpoints.iter().filter(|e| is_it(&e.kind)).map(|e| e.refused).sum()
        };
        let taken = world.endpoints.iter().map(|e| match &e.kind {
            FakeKind::Decode(decode) => decode.taken,
            _ => 0,
        });
        let daemons = world.daemons.iter().map(|d| DaemonReport {
            sent: d.sent,
            received: d.received,
            events: d.events,
        });
        Report {
            asks: asks(world),
            daemons: daemons.collect(),
            prefill_spent: prefills.iter().map(|p| p.spent).sum(),
            prefill_used: prefills.iter().filter(|p| p.used).map(|p| p.spent).sum(),
            prefill_done: prefills.iter().filter(|p| done(p.ask)).map(|p| p.spent).sum(),
            decode_full: full(|k| matches!(k, FakeKind::Decode(_))),
            decode_taken: taken.sum(),
            plain_full: full(|k| matches!(k, FakeKind::Plain(_))),
            platform_calls: world.platform.calls.iter().map(|c| u64::from(*c)).sum(),
            platform_peak: world.platform.peak(),
            refusals: world.record.refusals.clone(),
            retries: world.record.retries.clone(),
            wastes: world.record.wastes.clone(),
            notes: world.record.notes.clone(),
        }
    }
}

fn asks(world: &World) -> Vec<AskReport> {
    let callers = &world.callers;
    let each = callers.asks.iter().zip(&callers.progress);
    let mut all: Vec<_> = each
        .map(|(ask, place)| AskReport {
            team: ask.team,
            draft: matches!(ask.job, Job::Draft { .. }),
            at: ask.at,
            end: None,
            ttft: None,
            tbt: Duration::ZERO,
            gap: Duration::ZERO,
            tokens: 0,
            tries: place.tries,
        })
        .collect();
    for one in &callers.tries {
        all[one.ask].add(one);
    }
    all
}

impl AskReport {
    /// Takes one more try in.
    fn add(&mut self, one: &Try) {
        if self.end == Some(End::Done) {
            return;
        }
        self.end = one.end.map(|(_, end)| end);
        if one.start == 0 {
            self.ttft = None;
            self.tokens = 0;
        }
        self.ttft = self.ttft.or(one.first.map(|first| first - self.at));
        self.tokens += one.next;
        self.gap = self.gap.max(one.gap);
        if let Some(first) = one.first.filter(|_| 1 < one.next) {
            self.tbt = (one.last - first) / (one.next - 1);
        }
    }
}
