//! A prefill engine: one prompt after the other, by priority, with a prefix cache.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use basilbank_core::prelude::*;

use super::{
    Due, EngineFault, Job, Moment, Spec, Try, World,
    daemon::Process,
    endpoint::{EngineDue, Origin, Reader},
    record::PrefillUse,
};

/// Time of a prefill however short the prompt.
const FIXED: Duration = Duration::from_millis(5);
/// Cache events that are kept for readers.
const KEPT: usize = 4096;

/// One prefill.
#[derive(Clone, Debug)]
pub struct PrefillJob {
    /// The request.
    pub request: RequestId,
    /// The attempt's number.
    pub number: u32,
    /// Who waits.
    pub reader: Reader,
    /// The caller's try.
    pub holder: usize,
    /// Prompt tokens, with those of a continued answer.
    pub tokens: u32,
    /// The prompt's blocks.
    pub blocks: Arc<[u64]>,
    /// Prompt tokens that came from the cache.
    pub cached: u32,
    /// How long it takes.
    pub spent: Duration,
    /// Its number at the endpoint.
    pub id: u64,
    /// When it is done.
    pub ends: Duration,
    /// Its line in the record.
    pub line: usize,
}

/// A KV cache that waits.
#[derive(Clone, Debug)]
pub struct Kv {
    /// Its prefill.
    pub job: PrefillJob,
    /// When it was ready.
    pub ready: Duration,
}

/// A prefill engine.
pub struct Prefill {
    /// Prefills that wait: higher priority first, then in order.
    pub queue: BTreeMap<(Reverse<u8>, u64), PrefillJob>,
    /// The one that runs.
    pub running: Option<PrefillJob>,
    /// KV caches that wait to be taken.
    pub kvs: BTreeMap<u64, Kv>,
    /// The prefix cache.
    pub cache: Cache,
    rate: f64,
    room: usize,
    next: u64,
}

impl Prefill {
    /// An idle one.
    #[must_use]
    pub fn new(spec: &Spec) -> Prefill {
        Prefill {
            queue: BTreeMap::new(),
            running: None,
            kvs: BTreeMap::new(),
            cache: Cache::new(spec.cache_blocks),
            rate: spec.prefill_rate,
            room: (spec.prefill.slots + spec.prefill.backlog) as usize,
            next: 0,
        }
    }

    /// Prefills that run and that wait.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        (u32::from(self.running.is_some()), self.queue.len() as u32)
    }

    /// KV caches held, as a list of streams.
    pub fn list(&self, now: Duration, id: impl Fn(Process) -> (VmId, u64)) -> Vec<StreamInfo> {
        let info = |(number, kv): (&u64, &Kv)| {
            let (vm, incarnation) = id(kv.job.reader.process);
            StreamInfo {
                stream: format!("k{number}"),
                is_kv_cache: true,
                vm,
                incarnation,
                request: kv.job.request.0,
                idle: now - kv.ready,
            }
        };
        self.kvs.iter().map(info).collect()
    }
}

/// A prefix cache: blocks by last use, and what became of them.
pub struct Cache {
    room: usize,
    used: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    stamp: u64,
    log: VecDeque<(Duration, u64, Change)>,
    first: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Change {
    Added,
    Evicted,
}

impl Cache {
    fn new(room: usize) -> Cache {
        Cache {
            room,
            used: HashMap::new(),
            order: VecDeque::new(),
            stamp: 0,
            log: VecDeque::new(),
            first: 0,
        }
    }

    /// Forgets all; readers see a gap.
    pub fn clear(&mut self) {
        self.used.clear();
        self.order.clear();
        self.first += self.log.len() as u64 + 1;
        self.log.clear();
    }

    /// Leading blocks of a prompt that are held.
    #[must_use]
    pub fn matching(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|b| self.used.contains_key(b)).count()
    }

    fn add(&mut self, blocks: &[u64], now: Duration) {
        for block in blocks {
            self.stamp += 1;
            self.order.push_back((*block, self.stamp));
            if self.used.insert(*block, self.stamp).is_none() {
                self.note(now, *block, Change::Added);
            }
        }
        while self.room < self.used.len() {
            let Some((block, stamp)) = self.order.pop_front() else { break };
            if self.used.get(&block) == Some(&stamp) {
                self.used.remove(&block);
                self.note(now, block, Change::Evicted);
            }
        }
    }

    fn note(&mut self, now: Duration, block: u64, change: Change) {
        if self.log.len() == KEPT {
            self.log.pop_front();
            self.first += 1;
        }
        self.log.push_back((now, block, change));
    }

    /// What happened up to a moment since a reader's cursor, which moves on.
    #[must_use]
    pub fn events(&self, cursor: &mut u64, until: Duration) -> Option<EngineReport> {
        let gap = *cursor < self.first;
        let from = (*cursor).max(self.first);
        let mut added = Vec::new();
        let mut evicted = Vec::new();
        *cursor = from;
        for (at, block, change) in self.log.iter().skip((from - self.first) as usize) {
            if until < *at {
                break;
            }
            *cursor += 1;
            match change {
                Change::Added => added.push(*block),
                Change::Evicted => evicted.push(*block),
            }
        }
        let is_news = gap || !added.is_empty() || !evicted.is_empty();
        is_news.then_some(EngineReport::Cache { added, evicted, gap })
    }
}

impl World {
    pub(super) fn prefill_call(&mut self, endpoint: usize, reader: Reader, draft: &CompletionCall) {
        let (running, queued) = self.endpoints[endpoint].load();
        let holder = Try::number(draft.caller);
        let ask = self.callers.tries[holder].ask;
        let Job::Draft { tokens, blocks, .. } = &self.callers.asks[ask].job else { return };
        let job = PrefillJob {
            request: draft.request,
            number: draft.attempt_number,
            reader,
            holder,
            tokens: tokens + draft.delivered,
            blocks: Arc::clone(blocks),
            cached: 0,
            spent: Duration::ZERO,
            id: 0,
            ends: Duration::ZERO,
            line: 0,
        };
        self.callers.progress[ask].prefill = Some(endpoint);
        let prefill = self.endpoints[endpoint].prefill();
        if prefill.room <= (running + queued) as usize {
            self.refuse_full(endpoint, reader);
            return;
        }
        prefill.next += 1;
        let place = (Reverse(draft.priority), prefill.next);
        prefill.queue.insert(place, job);
        self.prefill_next(endpoint);
    }

    /// Starts the next prefill if none runs.
    fn prefill_next(&mut self, endpoint: usize) {
        let (now, life) = (self.now, self.endpoints[endpoint].life);
        let prefill = self.endpoints[endpoint].prefill();
        if prefill.running.is_some() {
            return;
        }
        let Some((_, mut job)) = prefill.queue.pop_first() else { return };
        let matching = prefill.cache.matching(&job.blocks) as u32 * 16;
        job.cached = matching.min(job.tokens.saturating_sub(1));
        let fresh = f64::from(job.tokens - job.cached);
        job.spent = FIXED + Duration::from_secs_f64(fresh / prefill.rate);
        job.ends = now + job.spent;
        prefill.next += 1;
        job.id = prefill.next;
        job.line = self.record.prefills.len();
        let (request, ask) = (job.request, self.callers.tries[job.holder].ask);
        self.record.prefills.push(PrefillUse { ask, spent: job.spent, used: false });
        let (id, ends) = (job.id, job.ends);
        self.endpoints[endpoint].prefill().running = Some(job);
        self.record.run(request).prefills += 1;
        self.queue.push(ends, Due::Engine(endpoint, life, EngineDue::Prefilled(id)));
        self.reached(ask, Moment::Prefill);
    }

    pub(super) fn prefill_done(&mut self, endpoint: usize, id: u64) {
        let (now, life) = (self.now, self.endpoints[endpoint].life);
        let evicts = self.endpoints[endpoint].has(EngineFault::Evict);
        let token_bytes = self.spec.token_bytes;
        let prefill = self.endpoints[endpoint].prefill();
        if prefill.running.as_ref().is_none_or(|job| job.id != id) {
            return;
        }
        let Some(job) = prefill.running.take() else { return };
        prefill.cache.add(&job.blocks, now);
        let event = EngineEvent::Prefilled {
            attempt: job.reader.attempt,
            handle: format!("k{id}"),
            prompt_tokens: job.tokens,
            cached_tokens: job.cached,
            bytes: u64::from(job.tokens) * token_bytes,
            prefill_time: job.spent,
        };
        let reader = job.reader;
        prefill.kvs.insert(id, Kv { job, ready: now });
        let left = if evicts { Duration::ZERO } else { self.spec.kv_life };
        self.after(left, Due::Engine(endpoint, life, EngineDue::Evict(id)));
        self.reply(endpoint, reader, event);
        self.prefill_next(endpoint);
    }

    pub(super) fn evict(&mut self, endpoint: usize, id: u64) {
        if let Some(kv) = self.endpoints[endpoint].prefill().kvs.remove(&id) {
            self.released(kv.job.holder);
        }
    }

    pub(super) fn prefill_cancel(&mut self, endpoint: usize, origin: Origin, id: RequestId) {
        let now = self.now;
        let prefill = self.endpoints[endpoint].prefill();
        let is_it = |job: &PrefillJob| {
            job.request == id && job.number == origin.number && job.reader.process == origin.process
        };
        prefill.queue.retain(|_, job| !is_it(job));
        prefill.kvs.retain(|_, kv| !is_it(&kv.job));
        if let Some(job) = prefill.running.take_if(|job| is_it(job)) {
            self.record.prefills[job.line].spent -= job.ends - now;
            self.released(job.holder);
            self.prefill_next(endpoint);
        }
    }
}
