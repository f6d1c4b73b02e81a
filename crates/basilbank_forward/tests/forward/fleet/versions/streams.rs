//! Streams, their attempts at endpoints, and their callers' tries.

use std::time::Duration;

use basilbank_forward::{event::Liveness, prelude::*};

use super::{Mark, Play, Run, Try};
use crate::{
    fleet::{WAY, call_of},
    rig::{model, prompt},
};

/// Longest time in which a caller is told that its stream can't go on.
const AT_ONCE: Duration = Duration::from_millis(150);

const HOLD: Duration = Duration::from_millis(4);
const READ: Duration = Duration::from_millis(60);
const FIRST: Duration = Duration::from_millis(15);

/// How long the shortest stream lasts, and by how much more the longest.
const SHORTEST: Duration = Duration::from_millis(200);
const LONGER: Duration = Duration::from_millis(1800);

/// Parts of the streams that are cut off by their endpoint, and on the way to their caller.
const CUT_OFF: f64 = 0.15;
const CALLER_LOST: f64 = 0.25;

/// How often a caller tries.
const TRIES: u32 = 3;

/// How long a caller pauses before a try, at least and at most.
const PAUSE: [f64; 2] = [0.03, 0.3];

impl Play {
    /// The callers of daemons that were killed come back.
    pub(super) fn lose_callers(&mut self, killed: &[usize]) {
        self.runs.retain(|_, run| !killed.contains(&run.daemon));
        let mut lost: Vec<_> = self.tries.iter().collect();
        lost.retain(|(_, call)| killed.contains(&call.daemon));
        let mut lost: Vec<_> = lost.into_iter().map(|(id, _)| *id).collect();
        lost.sort_unstable();
        lost.into_iter().for_each(|id| self.come_back(id));
    }

    /// A caller comes to some daemon, for the first time or with a stream that broke off.
    pub(super) fn come(&mut self, stream: usize) {
        let running: Vec<_> =
            (0..self.fleet.len()).filter(|n| self.fleet.daemons[*n].runs).collect();
        if running.is_empty() {
            return self.mark(Duration::from_millis(100), Mark::Back(stream));
        }
        let daemon = running[self.fleet.rng.index(running.len())];
        let number = self.streams[stream].tries;
        self.streams[stream].tries += 1;
        self.next += 1;
        let id = RequestId(self.next);
        let began = self.streams[stream].began.clone();
        let is_fair = began
            .as_ref()
            .is_none_or(|(.., version)| 2 <= self.serving(*version, Stage::Decode).len());
        let now = self.fleet.now();
        let came = now + WAY;
        let call = Try {
            stream,
            daemon,
            came,
            broke: came,
            counts: is_fair && self.hears(daemon),
            is_back: began.is_some(),
            is_answered: false,
        };
        self.tries.insert(id, call);
        let resumption = began.map(|(began_as, ..)| Resumption { began_as });
        let session = Some(stream as u64);
        let call = Call {
            trace_id: format!("stream-{stream}-try-{number}"),
            caller_timeout: Some(Duration::from_secs(14)),
            prompt: Some(Prompt { session, ..prompt(1000) }),
            resumption,
            ..call_of(id, Digest(stream as u64), "/draft/1")
        };
        self.fleet.feed_later(daemon, WAY, Event::Arrived(Box::new(call)));
    }

    /// A daemon has met the others and hears them.
    pub(super) fn hears(&self, daemon: usize) -> bool {
        let is_out = self.out.get(&daemon).is_some_and(|until| self.fleet.now() < *until);
        self.fleet.is_sound(daemon) && !is_out && self.fleet.half.is_none()
    }

    /// Counts whether an endpoint answers a call.
    pub(super) fn count(&mut self, id: RequestId, is_served: bool) {
        let Some(call) = self.tries.get(&id) else { return };
        match (call.is_back, call.counts) {
            (true, true) => self.got.back.count(is_served),
            (true, false) => self.got.back_others.count(is_served),
            (false, true) => self.got.new.count(is_served),
            (false, false) => {}
        }
    }

    /// The answer to a caller has ended too early.
    pub(super) fn come_back(&mut self, id: RequestId) {
        let Some(call) = self.tries.remove(&id) else { return };
        if self.streams[call.stream].tries < TRIES {
            let [least, most] = PAUSE;
            let pause = least + (most - least) * self.fleet.rng.unit();
            self.mark(Duration::from_secs_f64(pause), Mark::Back(call.stream));
        }
    }

    pub(super) fn asked(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Start { request, attempt } => self.start(daemon, request, &attempt),
            Effect::Deliver { request, attempt } => self.deliver(request, attempt),
            Effect::Refuse { request, refusal, .. } => {
                if self.tries.get(&request).is_some_and(|call| call.is_back) {
                    *self.got.refused.entry(refusal.as_str()).or_default() += 1;
                    self.count_late(request, refusal);
                }
                self.count(request, false);
                self.come_back(request);
            }
            Effect::AbortStream { request, refusal } => {
                self.got.aborted += 1;
                self.count_late(request, refusal);
                self.come_back(request);
            }
            Effect::Probe(target) => {
                let runs = self.nodes.get(&target.instance).is_some_and(|node| node.runs);
                let liveness = if runs { Liveness::Alive } else { Liveness::Unreachable };
                let event = Event::Probed { endpoint: target.endpoint, liveness };
                self.fleet.feed_later(daemon, WAY * 2, event);
            }
            _ => {}
        }
    }

    pub(super) fn count_late(&mut self, id: RequestId, refusal: Refusal) {
        let Some(call) = self.tries.get(&id) else { return };
        let now = self.fleet.now();
        let after = now.saturating_sub(call.broke);
        let Some((_, _, version)) = &self.streams[call.stream].began else { return };
        if after <= AT_ONCE + self.fleet.lateness[call.daemon] {
            return;
        }
        if self.lists(call.daemon, *version) {
            self.got.late_listed += 1;
            self.got.longest = self.got.longest.max(after);
        } else {
            let at = now.saturating_sub(self.start);
            let text = format!("{at:?}: {refusal:?} after {after:?} at {}", call.daemon);
            self.got.late_gone.push(text);
        }
    }

    /// A daemon lists decode endpoints of a version.
    pub(super) fn lists(&self, daemon: usize, version: usize) -> bool {
        let name = self.name(version);
        let mut listed = self.fleet.state(daemon).directory.listed();
        listed.any(|(_, e)| e.info.version == name && e.info.stage == Some(Stage::Decode))
    }

    pub(super) fn deliver(&mut self, id: RequestId, attempt: u32) {
        let run = self.runs.values().find(|run| run.request == id && run.attempt == attempt);
        let Some(run) = run else { return };
        let (version, has_event) = (self.nodes[&run.instance].version, run.has_event);
        let Some(call) = self.tries.get_mut(&id) else { return };
        let was_answered = std::mem::replace(&mut call.is_answered, true);
        let (stream, daemon) = (call.stream, call.daemon);
        if has_event && self.streams[stream].began.is_none() {
            let number = self.streams[stream].tries - 1;
            let trace = format!("stream-{stream}-try-{number}");
            self.streams[stream].began = Some((trace, daemon, version));
            self.got.began += 1;
        }
        if !was_answered {
            self.count(id, true);
        }
    }

    pub(super) fn start(&mut self, daemon: usize, request: RequestId, attempt: &Attempt) {
        let Some(call) = self.tries.get(&request) else { return };
        let stream = call.stream;
        let instance = attempt.target.instance.clone();
        let Some(node) = self.nodes.get(&instance) else { return };
        let version = node.version;
        if !node.runs {
            return self.tell(daemon, WAY * 2, request, attempt.number, Outcome::Unreachable);
        }
        match &attempt.op {
            Op::Hold { .. } => {
                let hold = "hold".to_owned();
                self.tell(daemon, HOLD, request, attempt.number, Outcome::Held { hold });
            }
            Op::Prefill => {
                let outcome = Outcome::Prefilled { handle: version.to_string(), tokens: 1000 };
                self.tell(daemon, READ, request, attempt.number, outcome);
            }
            op => {
                if let Op::Decode { handle, .. } = op
                    && *handle != version.to_string()
                {
                    self.got.foreign.push(format!("v{handle} at v{version} by {daemon}"));
                }
                self.check(daemon, stream, version);
                self.begin_run(daemon, request, attempt.number, instance);
            }
        }
    }

    /// A stream goes on at a version of endpoints.
    pub(super) fn check(&mut self, daemon: usize, stream: usize, version: usize) {
        let Some((trace, first, began)) = &self.streams[stream].began else { return };
        if *began == version {
            return;
        }
        let at = self.fleet.now().saturating_sub(self.start);
        let (known, attempts) = (self.knows(trace), &self.streams[stream].attempts);
        let lists = [*began, version].map(|version| self.lists(daemon, version));
        let first_lists = [*began, version].map(|version| self.lists(*first, version));
        self.got.mixed.push(format!(
            "{at:?}: {trace} of v{began} by {first} (lists {first_lists:?}) goes on at v{version} \
             by {daemon} (lists {lists:?}); known {known:?}; {attempts:?}"
        ));
    }

    /// What daemons know of the version that began a stream.
    pub(super) fn knows(&self, trace: &str) -> Vec<String> {
        let known = (0..self.fleet.len()).filter_map(|n| {
            let version = self.fleet.state(n).origins.get(StreamId::of(trace), self.fleet.now())?;
            let has_name = |n: &usize| {
                let info = model("", 1, Stage::Decode);
                EndpointInfo { version: self.name(*n), ..info }.software_version() == version
            };
            let known = (0..=self.load.versions).find(has_name)?;
            Some(format!("{n}: v{known}"))
        });
        known.collect()
    }

    pub(super) fn begin_run(
        &mut self,
        daemon: usize,
        request: RequestId,
        attempt: u32,
        instance: String,
    ) {
        let has_event = self.load.no_event <= self.fleet.rng.unit();
        self.tell(daemon, FIRST, request, attempt, Outcome::Streaming);
        if has_event {
            self.fleet.feed_later(daemon, FIRST + WAY, Event::FirstEvent { request, attempt });
        }
        let time = match has_event {
            true => SHORTEST + LONGER.mul_f64(self.fleet.rng.unit()),
            false => Duration::from_millis(5),
        };
        let at = self.fleet.now().saturating_sub(self.start);
        let stream = self.tries[&request].stream;
        let attempts = &mut self.streams[stream].attempts;
        attempts.push(format!("{at:?}: {instance} by {daemon}, has an event: {has_event}"));
        self.next += 1;
        let run = self.next;
        self.runs.insert(run, Run { daemon, request, attempt, instance, has_event });
        self.mark(FIRST + time, Mark::End(run));
    }

    pub(super) fn end_run(&mut self, number: u64) {
        let Some(run) = self.runs.remove(&number) else { return };
        let drawn = self.fleet.rng.unit();
        if !run.has_event || drawn < CUT_OFF {
            return self.cut_off(&run);
        }
        if drawn < CUT_OFF + CALLER_LOST {
            self.fleet.feed_later(run.daemon, WAY, Event::CallerLeft(run.request));
            return self.come_back(run.request);
        }
        self.tries.remove(&run.request);
        self.tell(run.daemon, WAY, run.request, run.attempt, Outcome::Finished);
    }

    /// A run breaks off.
    pub(super) fn cut_off(&mut self, run: &Run) {
        if let Some(call) = self.tries.get_mut(&run.request) {
            call.broke = self.fleet.now() + WAY;
        }
        // The first bytes came before the end.
        let after = if run.has_event { WAY } else { WAY * 2 };
        self.tell(run.daemon, after, run.request, run.attempt, Outcome::Broken(Damage::CutOff));
    }

    pub(super) fn tell(
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
