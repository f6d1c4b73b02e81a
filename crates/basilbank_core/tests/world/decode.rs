//! A decode engine: it imports KV caches, then all its streams get a token with each step.

use std::{collections::BTreeMap, time::Duration};

use basilbank_core::prelude::*;

use super::{
    Due, EngineFault, FakeKind, Moment, Node, Spec, Try, World,
    callers::text,
    daemon::Process,
    endpoint::{EngineDue, Origin, Reader},
};

/// How long a finished stream stays readable.
const READABLE: Duration = Duration::from_secs(30);

/// What a stream is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StreamStage {
    /// It waits for its KV cache: the prefill endpoint, and the KV cache's number there.
    Waiting(usize, u64),
    /// Its KV cache is on the link.
    Importing,
    /// It runs.
    Running,
}

/// One stream.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The request that started it.
    pub request: RequestId,
    /// The attempt's number.
    pub number: u32,
    /// Who reads it; `None` when its reader's process is gone.
    pub reader: Option<Reader>,
    /// Whose it is.
    pub owner: Process,
    /// The caller's try that it is for.
    pub holder: usize,
    /// Tries that it was for before.
    pub past: Vec<usize>,
    /// Its token 0 is this token of the whole answer; `None` when the prompt it continues is wrong.
    pub base: Option<u32>,
    /// Tokens made.
    pub made: u32,
    /// Tokens that it will make.
    pub total: u32,
    /// When its reader was last there.
    pub read: Duration,
    /// What it is doing.
    pub stage: StreamStage,
    /// Its prefill's line in the record.
    pub line: Option<usize>,
}

/// A decode engine.
pub struct Decode {
    /// Streams that hold engine memory.
    pub streams: BTreeMap<u64, Stream>,
    /// Streams that have ended and can still be read.
    pub finished: BTreeMap<u64, Stream>,
    /// Requests that fit into its memory.
    pub slots: u32,
    /// All streams that it ever took.
    pub taken: u64,
    /// All tokens that it made.
    pub tokens: u64,
    stepping: bool,
    base: Duration,
    each: Duration,
}

impl Decode {
    /// An idle one.
    #[must_use]
    pub fn new(spec: &Spec) -> Decode {
        Decode {
            streams: BTreeMap::new(),
            finished: BTreeMap::new(),
            slots: spec.decode.slots,
            taken: 0,
            tokens: 0,
            stepping: false,
            base: spec.step_base,
            each: spec.step_stream,
        }
    }

    /// Streams that hold memory.
    #[must_use]
    pub fn active(&self) -> u32 {
        self.streams.len() as u32
    }

    /// All its streams, for its list.
    pub fn list(&self, now: Duration, id: impl Fn(Process) -> (VmId, u64)) -> Vec<StreamInfo> {
        let info = |(number, stream): (&u64, &Stream)| {
            let (vm, incarnation) = id(stream.owner);
            let idle = now - if stream.reader.is_some() { now } else { stream.read };
            let (stream, request) = (format!("s{number}"), stream.request.0);
            StreamInfo { stream, is_kv_cache: false, vm, incarnation, request, idle }
        };
        self.streams.iter().map(info).collect()
    }

    pub(super) fn find(&mut self, id: u64) -> Option<&mut Stream> {
        match self.streams.get_mut(&id) {
            Some(stream) => Some(stream),
            None => self.finished.get_mut(&id),
        }
    }

    /// Stops stepping; to be called when all streams are gone.
    pub fn halt(&mut self) {
        self.stepping = false;
    }

    fn step_time(&self) -> Duration {
        let running = self.streams.values().filter(|s| s.stage == StreamStage::Running).count();
        self.base + self.each * running as u32
    }
}

pub(super) fn number_of(name: &str) -> Option<u64> {
    name.get(1..)?.parse().ok()
}

impl World {
    pub(super) fn decode_call(
        &mut self,
        endpoint: usize,
        reader: Reader,
        draft: &CompletionCall,
        source: EndpointId,
        handle: &str,
    ) {
        let holder = Try::number(draft.caller);
        let one = &self.callers.tries[holder];
        let (ask, start) = (one.ask, one.start);
        self.callers.progress[ask].decode = Some(endpoint);
        let at = self.ids.get(&source).copied();
        let kv = at.zip(number_of(handle));
        let held = kv.is_some_and(|(at, kv)| match &self.endpoints[at].kind {
            FakeKind::Prefill(prefill) => prefill.kvs.contains_key(&kv),
            FakeKind::Decode(_) | FakeKind::Plain(_) => false,
        });
        let Some((at, kv)) = kv.filter(|_| held) else {
            self.fail_decode(endpoint, reader, Failure::Evicted);
            return;
        };
        let left = self.callers.asks[ask].total().saturating_sub(draft.delivered);
        let (now, life) = (self.now, self.endpoints[endpoint].life);
        let reads = self.runs(reader.process).then_some(reader);
        let decode = self.endpoints[endpoint].decode();
        if decode.slots <= decode.active() {
            self.refuse_full(endpoint, reader);
            return;
        }
        decode.taken += 1;
        let id = decode.taken;
        let stream = Stream {
            request: draft.request,
            number: draft.attempt_number,
            reader: reads,
            owner: reader.process,
            holder,
            past: Vec::new(),
            // A try that resumed a stream brought no earlier text that could be continued.
            base: (start == 0 || draft.delivered == 0).then_some(draft.delivered),
            made: 0,
            total: left.min(draft.remaining),
            read: now,
            stage: StreamStage::Waiting(at, kv),
            line: None,
        };
        decode.streams.insert(id, stream);
        let ready = now.max(self.endpoints[endpoint].link_free).max(self.endpoints[at].link_free);
        let bytes = self.kv_bytes(at, kv);
        let rate = self.endpoints[endpoint].link_rate.min(self.endpoints[at].link_rate);
        let busy = ready + Duration::from_secs_f64(bytes as f64 / rate as f64);
        self.endpoints[endpoint].link_free = busy;
        self.endpoints[at].link_free = busy;
        self.queue.push(ready, Due::Engine(endpoint, life, EngineDue::Transfer(id)));
        self.reached(ask, Moment::Transfer);
    }

    fn kv_bytes(&mut self, endpoint: usize, kv: u64) -> u64 {
        let tokens = self.endpoints[endpoint].prefill().kvs.get(&kv).map_or(0, |kv| kv.job.tokens);
        u64::from(tokens) * self.spec.token_bytes
    }

    pub(super) fn fail_decode(&mut self, endpoint: usize, reader: Reader, failure: Failure) {
        self.reply(endpoint, reader, EngineEvent::Failed { attempt: reader.attempt, failure });
    }

    /// A stream's turn on the link has come.
    pub(super) fn transfer(&mut self, endpoint: usize, id: u64) {
        let life = self.endpoints[endpoint].life;
        let Some(stream) = self.endpoints[endpoint].decode().streams.get(&id) else { return };
        let StreamStage::Waiting(at, kv) = stream.stage else { return };
        let reader = stream.reader;
        let (a, b) = (Node::Endpoint(at), Node::Endpoint(endpoint));
        let stalls = |e: &super::Fake| {
            e.has(EngineFault::StallTransfer)
                || e.has(EngineFault::Stall)
                || e.power == super::Power::Lost
        };
        let stalled = stalls(&self.endpoints[at])
            || stalls(&self.endpoints[endpoint])
            || !self.connected(a, b);
        if stalled {
            // It tries again by itself; the caller's daemon sees no progress.
            let again = Due::Engine(endpoint, life, EngineDue::Transfer(id));
            self.after(Duration::from_millis(50), again);
            return;
        }
        let bytes = self.kv_bytes(at, kv);
        let rate = self.endpoints[endpoint].link_rate.min(self.endpoints[at].link_rate);
        let dead = self.endpoints[at].power != super::Power::On;
        let taken = self.endpoints[at].prefill().kvs.remove(&kv).filter(|_| !dead);
        let Some(kv) = taken else {
            self.drop_stream(endpoint, id);
            if let Some(reader) = reader {
                self.fail_decode(endpoint, reader, Failure::Evicted);
            }
            return;
        };
        let Some(stream) = self.endpoints[endpoint].decode().streams.get_mut(&id) else { return };
        stream.stage = StreamStage::Importing;
        stream.line = Some(kv.job.line);
        let took = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let took = took + self.latency(a, b);
        self.after(took, Due::Engine(endpoint, life, EngineDue::Imported(id)));
    }

    pub(super) fn imported(&mut self, endpoint: usize, id: u64) {
        let life = self.endpoints[endpoint].life;
        let decode = self.endpoints[endpoint].decode();
        let Some(stream) = decode.streams.get_mut(&id) else { return };
        stream.stage = StreamStage::Running;
        let (reader, holder, request, base) =
            (stream.reader, stream.holder, stream.request, stream.base);
        if !decode.stepping {
            decode.stepping = true;
            let step = decode.step_time();
            self.after(step, Due::Engine(endpoint, life, EngineDue::Step));
        }
        self.record.run(request).streams += 1;
        self.record.stream_started(self.callers.tries[holder].ask, base.unwrap_or(0));
        if let Some(reader) = reader {
            let (attempt, stream) = (reader.attempt, format!("s{id}"));
            self.reply(endpoint, reader, EngineEvent::Started { attempt, stream });
        }
    }

    /// All running streams get a token.
    pub(super) fn decode_step(&mut self, endpoint: usize) {
        let (now, life) = (self.now, self.endpoints[endpoint].life);
        if self.endpoints[endpoint].has(EngineFault::Stall) {
            self.after(Duration::from_millis(50), Due::Engine(endpoint, life, EngineDue::Step));
            return;
        }
        let decode = self.endpoints[endpoint].decode();
        let mut out = Vec::with_capacity(decode.streams.len());
        let mut made = 0;
        for (id, stream) in &mut decode.streams {
            if stream.stage == StreamStage::Running {
                stream.made += 1;
                made += 1;
                out.push((*id, stream.holder, stream.made, stream.total, stream.line));
            }
        }
        decode.tokens += made;
        for (id, holder, made, total, line) in out {
            if let Some(line) = line {
                self.record.prefills[line].used |= self.callers.tries[holder].end.is_none();
            }
            self.stream_tokens(endpoint, id, made - 1);
            let ask = self.callers.tries[holder].ask;
            self.reached(ask, Moment::Decoding(made));
            if total <= made {
                self.finish_stream(endpoint, id, now);
                self.reached(ask, Moment::Last);
            }
        }
        let decode = self.endpoints[endpoint].decode();
        decode.stepping = decode.streams.values().any(|s| s.stage == StreamStage::Running);
        if decode.stepping {
            let step = decode.step_time();
            self.after(step, Due::Engine(endpoint, life, EngineDue::Step));
        }
    }

    /// Sends a stream's reader its tokens from an offset.
    pub(super) fn stream_tokens(&mut self, endpoint: usize, id: u64, from: u32) {
        let checked = self.spec.texts;
        let Some(stream) = self.endpoints[endpoint].decode().find(id) else { return };
        let Some(reader) = stream.reader else { return };
        let (holder, base, made) = (stream.holder, stream.base, stream.made);
        let ask = self.callers.tries[holder].ask;
        let word = |position: u32| match base {
            Some(base) if checked => text(ask, base + position),
            Some(_) => String::new(),
            None => "wrong".into(),
        };
        let texts: Vec<_> = (from..made).map(word).collect();
        if !texts.is_empty() {
            let event = EngineEvent::Tokens { attempt: reader.attempt, offset: from, texts };
            self.reply(endpoint, reader, event);
        }
    }

    fn finish_stream(&mut self, endpoint: usize, id: u64, now: Duration) {
        let life = self.endpoints[endpoint].life;
        let Some(mut stream) = self.endpoints[endpoint].decode().streams.remove(&id) else {
            return;
        };
        stream.read = now;
        let (reader, holder, tokens) = (stream.reader, stream.holder, stream.made);
        self.endpoints[endpoint].decode().finished.insert(id, stream);
        self.released(holder);
        self.after(READABLE, Due::Engine(endpoint, life, EngineDue::Forget(id)));
        if let Some(reader) = reader {
            self.tell_end(endpoint, id, reader, tokens);
        }
    }

    pub(super) fn tell_end(&mut self, endpoint: usize, id: u64, reader: Reader, tokens: u32) {
        if let Some(stream) = self.endpoints[endpoint].decode().finished.get(&id) {
            self.callers.tries[stream.holder].source = Some((endpoint, id));
        }
        let (attempt, reason) = (reader.attempt, "stop".into());
        self.reply(endpoint, reader, EngineEvent::Finished { attempt, reason, tokens });
    }
}
