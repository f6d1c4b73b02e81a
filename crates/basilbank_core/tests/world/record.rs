//! What happened, for the checker and the report.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use basilbank_core::prelude::*;

use super::{End, Moment, World};

/// What endpoints ran for one accepted request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Runs {
    /// Prefills started.
    pub prefills: u32,
    /// Streams started.
    pub streams: u32,
    /// Plain calls started.
    pub plains: u32,
}

/// What endpoints ran for one thing that a caller asked, over all tries.
#[derive(Clone, Debug, Default)]
pub struct AskRuns {
    /// The place in the answer at which each stream started.
    pub streams: Vec<u32>,
    /// Plain calls started.
    pub plains: u32,
}

/// Engine memory that was held after its caller's try had ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HeldPast {
    /// The try.
    pub holder: usize,
    /// How it had ended.
    pub end: End,
    /// Its daemon's process was gone.
    pub orphan: bool,
    /// Since when nobody wanted it and nothing was cut off or paused.
    pub since: Duration,
    /// Until when it was held.
    pub until: Duration,
}

/// New work that reached an endpoint that was marked as leaving.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LateWork {
    /// The endpoint.
    pub endpoint: usize,
    /// When it was marked.
    pub marked: Duration,
    /// When the work came.
    pub at: Duration,
    /// When the sender was last started, thawed or joined again.
    pub calm: Duration,
}

/// One prefill.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PrefillUse {
    /// What it was for.
    pub ask: usize,
    /// How long it took.
    pub spent: Duration,
    /// A token that came of it was sent to a caller that still waited.
    pub used: bool,
}

/// One published revision of the catalogue.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Revision {
    /// Its number.
    pub number: u64,
    /// When it was published.
    pub at: Duration,
    /// It passes the check.
    pub accepted: bool,
}

/// All of it.
#[derive(Default)]
pub struct Record {
    /// The caller's try of each accepted request.
    pub requests: HashMap<RequestId, usize>,
    /// Runs by request.
    pub runs: HashMap<RequestId, Runs>,
    /// Runs by ask.
    pub asks: BTreeMap<usize, AskRuns>,
    /// All prefills.
    pub prefills: Vec<PrefillUse>,
    /// Tries that read a stream again after another one had taken it over.
    pub taken_back: Vec<usize>,
    /// Memory held for nobody.
    pub held: Vec<HeldPast>,
    /// Work sent to endpoints that were leaving.
    pub late: Vec<LateWork>,
    /// Daemons that exited with callers still served, and how many.
    pub cut: Vec<(usize, usize)>,
    /// Requests refused for a shutdown after they had been accepted.
    pub dropped: Vec<RequestId>,
    /// Published revisions.
    pub revisions: Vec<Revision>,
    /// Revisions as they came into force at each daemon.
    pub force: Vec<Vec<(Duration, u64)>>,
    /// A daemon served an older revision than its VM had served before: daemon, newer, older.
    pub reverted: Vec<(usize, u64, u64)>,
    /// A daemon had a revision checked with other documents than the platform's.
    pub mixed: Vec<(usize, u64)>,
    /// When each daemon ran and could be reached (`true`) or not.
    pub reach: Vec<Vec<(Duration, bool)>>,
    /// When the platform was well (`true`) or not.
    pub platform: Vec<(Duration, bool)>,
    /// When the last pause, partition or fault of an endpoint ended.
    pub calm: Duration,
    /// Requests settled: how, with prompt and generated tokens charged.
    pub settled: BTreeMap<RequestId, Vec<(Outcome, u32, u32)>>,
    /// Refusals by reason.
    pub refusals: BTreeMap<Refusal, u64>,
    /// Retries by reason.
    pub retries: BTreeMap<Retry, u64>,
    /// Waste by cause, as the daemons count it: how often, prefill time, tokens.
    pub wastes: BTreeMap<Waste, (u64, Duration, u64)>,
    /// Notes by name.
    pub notes: BTreeMap<&'static str, u64>,
}

impl Record {
    /// An empty one.
    #[must_use]
    pub fn new(daemons: usize) -> Record {
        Record {
            force: vec![Vec::new(); daemons],
            reach: vec![Vec::new(); daemons],
            platform: vec![(Duration::ZERO, true)],
            revisions: vec![Revision { number: 1, at: Duration::ZERO, accepted: true }],
            ..Record::default()
        }
    }

    /// A request was accepted for a try.
    pub fn accepted(&mut self, request: RequestId, number: usize) {
        self.requests.insert(request, number);
    }

    /// Runs of a request.
    pub fn run(&mut self, request: RequestId) -> &mut Runs {
        self.runs.entry(request).or_default()
    }

    /// A stream started for an ask, at a place in its answer.
    pub fn stream_started(&mut self, ask: usize, place: u32) {
        self.asks.entry(ask).or_default().streams.push(place);
    }

    /// A plain call started for an ask.
    pub fn called(&mut self, ask: usize) {
        self.asks.entry(ask).or_default().plains += 1;
    }

    /// The operators published a revision.
    pub fn published(&mut self, number: u64, at: Duration, accepted: bool) {
        self.revisions.push(Revision { number, at, accepted });
    }

    /// A daemon serves with a revision.
    pub fn in_force(&mut self, daemon: usize, revision: u64, at: Duration) {
        let last = self.force[daemon].last().map_or(0, |(_, revision)| *revision);
        if last == revision {
            return;
        }
        if revision < last {
            self.reverted.push((daemon, last, revision));
        }
        self.force[daemon].push((at, revision));
    }

    /// A daemon can be reached from now on, or not.
    pub fn reach(&mut self, daemon: usize, at: Duration, reached: bool) {
        let last = self.reach[daemon].last().is_some_and(|(_, reached)| *reached);
        if last != reached {
            self.reach[daemon].push((at, reached));
        }
    }

    /// The platform is well from now on, or not.
    pub fn platform(&mut self, at: Duration, well: bool) {
        self.platform.push((at, well));
    }
}

impl World {
    /// What a daemon counts and logs.
    pub(super) fn progress(&mut self, progress: &Progress) {
        match *progress {
            Progress::Queued { request } => self.request_reached(request, Moment::Queued),
            Progress::Placed { request, endpoint, role: "decode", .. } => {
                let at = self.ids.get(&endpoint).copied();
                if let Some(number) = self.record.requests.get(&request) {
                    let ask = self.callers.tries[*number].ask;
                    self.callers.progress[ask].decode = at;
                }
                self.request_reached(request, Moment::Reserved);
            }
            Progress::Refused { request, refusal, .. } => {
                *self.record.refusals.entry(refusal).or_default() += 1;
                if let (Some(request), Refusal::ShuttingDown) = (request, refusal) {
                    self.record.dropped.push(request);
                }
            }
            Progress::Retried { retry, .. } => {
                *self.record.retries.entry(retry).or_default() += 1;
            }
            Progress::Wasted { waste, prefill_time: prefill, tokens, .. } => {
                let sum = self.record.wastes.entry(waste).or_default();
                *sum = (sum.0 + 1, sum.1 + prefill, sum.2 + u64::from(tokens));
            }
            Progress::Settled {
                request,
                outcome,
                prompt_tokens: prompt,
                generated_tokens: generated,
                ..
            } => {
                let line = (outcome, prompt, generated);
                self.record.settled.entry(request).or_default().push(line);
                self.request_reached(request, Moment::Settled);
            }
            Progress::Note { name, .. } => *self.record.notes.entry(name).or_default() += 1,
            Progress::Accepted { .. } | Progress::Placed { .. } | Progress::FirstToken { .. } => {}
        }
    }

    fn request_reached(&mut self, request: RequestId, moment: Moment) {
        if let Some(number) = self.record.requests.get(&request) {
            let ask = self.callers.tries[*number].ask;
            self.reached(ask, moment);
        }
    }
}
