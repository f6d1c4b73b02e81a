//! Simple engines: prefill endpoints read one prompt after the other, and decode endpoints have
//! some memory.

use std::{collections::BTreeMap, time::Duration};

use basilbank_forward::{event::Damage, prelude::*};

use super::{Mark, Play, Run, load::MEMORY};
use crate::{
    fleet::WAY,
    rig::{BUSY, model},
};

/// Prompt tokens that a prefill endpoint reads in a second; a decode endpoint reads half as many.
const RATE: f64 = 33_333.0;

/// What an idle endpoint adds to the reading of a prompt.
const BASE: Duration = Duration::from_millis(150);

/// A round trip with an endpoint's answer.
const TRIP: Duration = Duration::from_millis(5);

/// Time of one token.
const TOKEN: Duration = Duration::from_millis(7);

/// An endpoint.
pub struct Node {
    pub(super) version: usize,
    stage: Stage,
    pub(super) runs: bool,
    /// When it has read all prompts.
    free_at: Duration,
    /// Tokens that are held for each request, or used by it.
    used: BTreeMap<RequestId, u32>,
}

impl Play {
    /// All endpoints' records.
    pub(super) fn list(&mut self) -> Vec<EndpointInfo> {
        let mut list = Vec::new();
        for version in 0..2 {
            for (stage, count) in
                [(Stage::Prefill, self.load.prefill), (Stage::Decode, self.load.decode)]
            {
                list.extend((0..count[version]).map(|_| self.node(version, stage)));
            }
        }
        list
    }

    fn node(&mut self, version: usize, stage: Stage) -> EndpointInfo {
        self.next += 1;
        let instance = format!("v{version}-{}", self.next);
        let node =
            Node { version, stage, runs: true, free_at: Duration::ZERO, used: BTreeMap::new() };
        self.nodes.insert(instance.clone(), node);
        let port = u16::try_from(self.next).unwrap_or_default() + 1;
        let info = model(&instance, port, stage);
        EndpointInfo { start_time: Some(1), version: format!("v{version}"), slots: 12, ..info }
    }

    pub(super) fn start(&mut self, daemon: usize, request: RequestId, attempt: &Attempt) {
        let Some(call) = self.tries.get(&request) else { return };
        let caller = call.caller;
        let tokens = self.callers[caller].prompt.tokens;
        let (instance, number) = (attempt.target.instance.clone(), attempt.number);
        let now = self.fleet.now();
        let Some(node) = self.nodes.get_mut(&instance) else { return };
        if !node.runs {
            return self.tell(daemon, WAY * 2, request, number, Outcome::Unreachable);
        }
        let version = node.version;
        let begin = node.free_at.max(now);
        match &attempt.op {
            Op::Hold { .. } => {
                let used: u32 = node.used.values().sum();
                let outcome = match used == 0 || used + tokens <= MEMORY {
                    true => Outcome::Held { hold: request.to_string() },
                    false => BUSY,
                };
                if outcome != BUSY {
                    node.used.insert(request, tokens);
                }
                self.tell(daemon, TRIP, request, number, outcome);
            }
            Op::Prefill => {
                node.free_at = begin + Duration::from_secs_f64(f64::from(tokens) / RATE);
                let after = node.free_at + BASE - now;
                let outcome = Outcome::Prefilled { handle: version.to_string(), tokens };
                self.tell(daemon, after, request, number, outcome);
            }
            op => {
                let read = match op {
                    Op::Decode { .. } => TRIP,
                    _ => BASE + Duration::from_secs_f64(f64::from(tokens) / RATE * 2.0),
                };
                node.used.insert(request, tokens);
                self.check(caller, version);
                self.write(daemon, request, number, instance, read);
            }
        }
    }

    fn write(
        &mut self,
        daemon: usize,
        request: RequestId,
        attempt: u32,
        instance: String,
        read: Duration,
    ) {
        let caller = self.tries[&request].caller;
        let left = self.callers[caller].left.max(10);
        // What is written before a stream breaks off need not be written again.
        self.callers[caller].left = left / 2;
        self.tell(daemon, read, request, attempt, Outcome::Streaming);
        let event = Event::FirstEvent { request, attempt };
        self.fleet.feed_later(daemon, read + WAY, event);
        self.next += 1;
        let run = self.next;
        self.runs.insert(run, Run { daemon, request, attempt, instance });
        self.mark_end(run, read + TOKEN * left);
    }

    fn mark_end(&mut self, run: u64, after: Duration) {
        self.mark(after, Mark::End(run));
    }

    pub(super) fn end_run(&mut self, number: u64) {
        let Some(run) = self.runs.remove(&number) else { return };
        self.release(&run.instance, &run.request.to_string());
        self.tries.remove(&run.request);
        self.tell(run.daemon, WAY, run.request, run.attempt, Outcome::Finished);
    }

    /// Some decode endpoints of each version crash, with all that they run.
    pub(super) fn crash(&mut self) {
        for version in 0..2 {
            let is_one = |node: &&mut Node| node.version == version && node.stage == Stage::Decode;
            let count = usize::from(self.load.crashed[version]);
            for node in self.nodes.values_mut().filter(is_one).take(count) {
                node.runs = false;
                node.used.clear();
            }
        }
        let is_broken = |run: &Run| !self.nodes[&run.instance].runs;
        let broken: Vec<_> =
            self.runs.iter().filter(|(_, run)| is_broken(run)).map(|(n, _)| *n).collect();
        for number in broken {
            let Some(run) = self.runs.remove(&number) else { continue };
            let outcome = Outcome::Broken(Damage::CutOff);
            self.tell(run.daemon, WAY, run.request, run.attempt, outcome);
        }
    }

    pub(super) fn stop(&mut self, request: RequestId, attempt: u32) {
        let is_it = |run: &Run| run.request == request && run.attempt == attempt;
        let number = self.runs.iter().find(|(_, run)| is_it(run)).map(|(number, _)| *number);
        let Some(run) = number.and_then(|number| self.runs.remove(&number)) else { return };
        self.release(&run.instance, &request.to_string());
    }

    /// An endpoint frees what a hold, or a stream, has taken.
    pub(super) fn release(&mut self, instance: &str, hold: &str) {
        let id = hold.parse().map(RequestId).unwrap_or(RequestId(0));
        if let Some(node) = self.nodes.get_mut(instance) {
            node.used.remove(&id);
        }
    }

    /// Nothing is left of a call whose daemon is gone.
    pub(super) fn forget_work(&mut self, request: RequestId) {
        self.runs.retain(|_, run| run.request != request);
        for node in self.nodes.values_mut() {
            node.used.remove(&request);
        }
    }
}
