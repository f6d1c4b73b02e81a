//! A plain service's replica, which counts what it runs.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use basilbank_core::prelude::*;

use super::{
    Due, Moment, Spec, Try, World,
    endpoint::{EngineDue, Reader},
};

/// One call.
#[derive(Clone, Copy, Debug)]
pub struct PlainJob {
    /// The request.
    pub request: RequestId,
    /// Who waits.
    pub reader: Reader,
    /// What is asked.
    pub ask: usize,
}

/// A plain service's replica.
pub struct PlainService {
    /// Calls that wait.
    pub queue: VecDeque<PlainJob>,
    /// Calls that run.
    pub running: BTreeMap<u64, PlainJob>,
    slots: usize,
    backlog: usize,
    mean: Duration,
    next: u64,
}

impl PlainService {
    /// An idle one.
    #[must_use]
    pub fn new(spec: &Spec) -> PlainService {
        PlainService {
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            slots: spec.plain.slots as usize,
            backlog: spec.plain.backlog as usize,
            mean: spec.plain_time,
            next: 0,
        }
    }

    /// Calls that run and that wait.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }
}

impl World {
    pub(super) fn plain_call(
        &mut self,
        endpoint: usize,
        reader: Reader,
        caller: CallerId,
        request: RequestId,
    ) {
        let ask = self.callers.tries[Try::number(caller)].ask;
        let plain = self.endpoints[endpoint].plain();
        if plain.slots <= plain.running.len() && plain.backlog <= plain.queue.len() {
            self.refuse_full(endpoint, reader);
            return;
        }
        plain.queue.push_back(PlainJob { request, reader, ask });
        self.plain_next(endpoint);
    }

    /// Starts calls that wait.
    fn plain_next(&mut self, endpoint: usize) {
        let life = self.endpoints[endpoint].life;
        let share = 0.5 + self.rng.unit();
        let plain = self.endpoints[endpoint].plain();
        if plain.slots <= plain.running.len() {
            return;
        }
        let Some(job) = plain.queue.pop_front() else { return };
        plain.next += 1;
        let (number, time) = (plain.next, plain.mean.mul_f64(share));
        plain.running.insert(number, job);
        self.record.run(job.request).plains += 1;
        self.record.called(job.ask);
        self.after(time, Due::Engine(endpoint, life, EngineDue::Called(number)));
    }

    pub(super) fn plain_done(&mut self, endpoint: usize, number: u64) {
        let plain = self.endpoints[endpoint].plain();
        let Some(job) = plain.running.remove(&number) else { return };
        let PlainJob { reader, ask, .. } = job;
        if self.runs(reader.process) {
            self.daemons[reader.process.daemon].answers.insert(reader.attempt, ask);
        }
        let event = EngineEvent::Answered { attempt: reader.attempt, status: 200 };
        self.reply(endpoint, reader, event);
        self.reached(ask, Moment::Answered);
        self.plain_next(endpoint);
    }
}
