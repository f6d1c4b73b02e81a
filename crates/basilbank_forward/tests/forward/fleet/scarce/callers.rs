//! Callers: they begin streams, and take up those that broke off.

use std::time::Duration;

use basilbank_forward::prelude::*;

use super::{Mark, Play};
use crate::{
    fleet::{WAY, call_of},
    rig::prompt,
};

/// How often a caller comes back with the same request.
const RETRIES: u32 = 3;

/// How long a caller pauses before it takes up a stream, at least and at most.
const PAUSE: [f64; 2] = [0.05, 0.3];

/// Part of the streams that are more urgent where there are ranks.
const EXPRESS: f64 = 0.2;

/// A caller who wants one stream.
pub struct Caller {
    path: &'static str,
    pub(super) prompt: Prompt,
    /// Tokens that are still to be written.
    pub(super) left: u32,
    /// The attempt that brought the first event, and its endpoint's version.
    began: Option<(String, usize)>,
    calls: u32,
    /// Calls since the stream was wanted, or broke off.
    retries: u32,
}

/// A call.
pub struct Try {
    pub(super) caller: usize,
    pub(super) daemon: usize,
    came: Duration,
    pub(super) is_back: bool,
    is_answered: bool,
}

impl Play {
    pub(super) fn new_caller(&mut self) -> Caller {
        let tokens = self.around(3000.0, 0.5).clamp(200.0, 6600.0) as u32;
        let output = self.around(400.0, 0.7).clamp(10.0, 1000.0) as u32;
        let hint = (f64::from(output) * (0.5 + self.fleet.rng.unit())) as u32;
        let is_express = self.load.has_ranks && self.fleet.rng.unit() < EXPRESS;
        let session = Some(self.callers.len() as u64);
        let prompt = Prompt { max_output: 1020, output_hint: Some(hint), ..prompt(tokens) };
        Caller {
            path: if is_express { "/express/1" } else { "/draft/1" },
            prompt: Prompt { session, ..prompt },
            left: output,
            began: None,
            calls: 0,
            retries: 0,
        }
    }

    /// A skewed value with a mean.
    fn around(&mut self, mean: f64, spread: f64) -> f64 {
        let skew = -(1.0 - self.fleet.rng.unit()).ln() - 1.0;
        mean * (1.0 + spread * skew)
    }

    /// A caller comes to some daemon.
    pub(super) fn come(&mut self, number: usize) {
        let running: Vec<_> =
            (0..self.fleet.len()).filter(|n| self.fleet.daemons[*n].runs).collect();
        let daemon = running[self.fleet.rng.index(running.len())];
        self.next += 1;
        let id = RequestId(self.next);
        let caller = &mut self.callers[number];
        caller.calls += 1;
        let is_back = caller.began.is_some();
        let resumption = caller.began.clone().map(|(began_as, _)| Resumption { began_as });
        let call = Call {
            trace_id: format!("stream-{number}-try-{}", caller.calls),
            caller_timeout: Some(Duration::from_secs(14)),
            prompt: Some(caller.prompt.clone()),
            resumption,
            ..call_of(id, Digest(number as u64 + 1), caller.path)
        };
        let (is_first, is_express) = (caller.retries == 0, caller.path == "/express/1");
        let share = self.share(is_back, is_express);
        share.calls += 1;
        share.streams += u32::from(is_first);
        let came = self.fleet.now() + WAY;
        let entry = Try { caller: number, daemon, came, is_back, is_answered: false };
        self.tries.insert(id, entry);
        self.fleet.feed_later(daemon, WAY, Event::Arrived(Box::new(call)));
    }

    fn share(&mut self, is_back: bool, is_express: bool) -> &mut super::load::Share {
        match (is_back, is_express) {
            (true, _) => &mut self.got.back,
            (false, true) => &mut self.got.express,
            (false, false) => &mut self.got.new,
        }
    }

    /// The first part of an answer reaches its caller.
    pub(super) fn deliver(&mut self, id: RequestId) {
        let Some(call) = self.tries.get_mut(&id) else { return };
        if std::mem::replace(&mut call.is_answered, true) {
            return;
        }
        let (number, is_back) = (call.caller, call.is_back);
        let run = self.runs.values().find(|run| run.request == id);
        let version = run.map(|run| self.nodes[&run.instance].version);
        let caller = &mut self.callers[number];
        caller.retries = 0;
        let is_express = caller.path == "/express/1";
        if caller.path == "/draft/1" && caller.began.is_none() {
            let trace = format!("stream-{number}-try-{}", caller.calls);
            caller.began = version.map(|version| (trace, version));
        }
        self.share(is_back, is_express).served += 1;
    }

    /// An endpoint of a version writes on a caller's stream.
    pub(super) fn check(&mut self, number: usize, version: usize) {
        let began = self.callers[number].began.as_ref();
        self.got.mixed += u32::from(began.is_some_and(|(_, began)| *began != version));
    }

    pub(super) fn refused(
        &mut self,
        id: RequestId,
        refusal: Refusal,
        retry_after: Option<Duration>,
    ) {
        let Some(call) = self.tries.remove(&id) else { return };
        let after = self.fleet.now().saturating_sub(call.came);
        if call.is_back {
            *self.got.back_refused.entry(refusal.as_str()).or_default() += 1;
            self.got.refused_after.push(after);
        } else {
            *self.got.new_refused.entry(refusal.as_str()).or_default() += 1;
        }
        let caller = &mut self.callers[call.caller];
        caller.retries += 1;
        if caller.retries <= RETRIES {
            let pause = retry_after.unwrap_or(Duration::from_millis(100));
            self.mark(pause + WAY, Mark::Come(call.caller));
        }
    }

    /// A call ends without a word, or in the middle of its answer; its caller takes the stream up.
    pub(super) fn lost(&mut self, id: RequestId) {
        let Some(call) = self.tries.remove(&id) else { return };
        let caller = &mut self.callers[call.caller];
        if !call.is_answered {
            caller.retries += 1;
        }
        if caller.retries <= RETRIES && caller.path == "/draft/1" {
            let [least, most] = PAUSE;
            let pause = least + (most - least) * self.fleet.rng.unit();
            self.mark(Duration::from_secs_f64(pause), Mark::Come(call.caller));
        }
    }

    /// A daemon is killed, and its callers come back.
    pub(super) fn kill_daemon(&mut self) {
        let running: Vec<_> =
            (0..self.fleet.len()).filter(|n| self.fleet.daemons[*n].runs).collect();
        let killed = running[self.fleet.rng.index(running.len())];
        self.fleet.restart(killed);
        let lost = self.tries.iter().filter(|(_, call)| call.daemon == killed);
        let lost: Vec<_> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            self.forget_work(id);
            self.lost(id);
        }
    }
}
