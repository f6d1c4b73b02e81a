//! The work of an engine: prefills, imports and generation. Aborting a job's task frees its slot.

use std::{
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{
    sync::{Notify, oneshot},
    task::AbortHandle,
    time::sleep,
};

use super::{Inner, JobKey, Shared, calls::STALL_POLL};
use crate::{
    kv::{KvCache, KvText},
    queue::{Slot, Waiting},
    stream::{Owner, Stream},
    text::{self, Generator},
};

const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// The body of a prefill.
#[derive(Debug, Deserialize)]
pub(super) struct Prefill {
    pub(super) request: String,
    pub(super) attempt: u32,
    owner: Owner,
    pub(super) model: String,
    prompt: String,
    #[serde(default)]
    continuation: String,
    #[serde(default)]
    pub(super) priority: u8,
}

/// The body of a decode.
#[derive(Debug, Deserialize)]
pub(super) struct Decode {
    pub(super) request: String,
    pub(super) attempt: u32,
    owner: Owner,
    pub(super) model: String,
    source: String,
    handle: String,
    max_tokens: u32,
}

/// The client of transfers.
pub(super) fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().timeout_global(Some(TRANSFER_TIMEOUT));
    config.build().new_agent()
}

impl Shared {
    /// Runs a job that `cancel` finds under its key.
    pub(super) fn spawn_job(
        self: &Arc<Shared>,
        key: JobKey,
        work: impl Future<Output = ()> + Send + 'static,
    ) {
        let mut inner = self.lock();
        let task = tokio::spawn(work);
        inner.jobs.retain(|_, job| !job.is_finished());
        inner.jobs.insert(key, task.abort_handle());
    }

    pub(super) async fn run_prefill(
        self: Arc<Shared>,
        body: Prefill,
        waiting: Waiting,
        done: oneshot::Sender<Value>,
    ) {
        let slot = waiting.slot().await;
        let started = Instant::now();
        let whole = format!("{} {}", body.prompt, body.continuation);
        let tokens = text::tokens(&whole).count();
        let blocks = text::prefix_blocks(&whole, self.spec.block_tokens);
        let cached = {
            let mut inner = self.lock();
            let cached = inner.cache.hits(&blocks) * self.spec.block_tokens;
            inner.counters.prefills += 1;
            inner.counters.cached_tokens += cached as u64;
            inner.counters.prompt_tokens += (tokens - cached) as u64;
            cached
        };
        let seconds = (tokens - cached) as f64 / self.spec.prefill_rate;
        sleep(Duration::from_secs_f64(seconds)).await;
        let bytes = tokens as u64 * self.spec.token_bytes;
        let spent = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let (handle, late) = {
            let mut inner = self.lock();
            inner.cache.insert(&blocks);
            let handle = inner.name("kv");
            let kv = KvCache {
                handle: handle.clone(),
                owner: body.owner,
                request: body.request.clone(),
                attempt: body.attempt,
                text: KvText { prompt: body.prompt, continuation: body.continuation },
                bytes,
                made: started,
            };
            if inner.faults.evict {
                inner.counters.evicted += 1;
            } else {
                inner.kv.insert(handle.clone(), kv);
            }
            (handle, inner.faults.late)
        };
        tokio::spawn(Arc::clone(&self).evict_later(handle.clone()));
        drop(slot);
        sleep(late).await;
        // The router may have left meanwhile; the KV cache is evicted then.
        let _ = done.send(json!({
            "request": body.request, "attempt": body.attempt, "handle": handle,
            "tokens": tokens, "cached": cached, "bytes": bytes, "spent_ms": spent,
        }));
    }

    async fn evict_later(self: Arc<Shared>, handle: String) {
        sleep(self.spec.kv_life).await;
        let mut inner = self.lock();
        if inner.kv.remove(&handle).is_some() {
            inner.counters.evicted += 1;
        }
    }

    pub(super) async fn run_decode(
        self: Arc<Shared>,
        body: Decode,
        slot: Slot,
        started: oneshot::Sender<Result<String, &'static str>>,
    ) {
        let Some(text) = self.import(&body.source, &body.handle).await else {
            // The router may have left meanwhile.
            let _ = started.send(Err("evicted"));
            return;
        };
        let late = self.lock().faults.late;
        sleep(late).await;
        let Some(name) = self.open_stream(&body) else { return };
        // Without a router that listens, the stream goes on all the same.
        let _ = started.send(Ok(name.clone()));
        let generator = Generator::new(&text.prompt, &text.continuation);
        self.generate(&name, generator, body.max_tokens).await;
        drop(slot);
        tokio::spawn(async move {
            sleep(self.spec.stream_life).await;
            self.lock().streams.remove(&name);
        });
    }

    /// Fetches a KV cache from a prefill engine; `None` when it is gone. It is taken when it has
    /// come over whole, so a transfer that is given up leaves it where it was.
    async fn import(self: &Arc<Shared>, source: &str, handle: &str) -> Option<KvText> {
        while self.lock().faults.stall_import {
            sleep(STALL_POLL).await;
        }
        let url = format!("http://{source}/kv/{handle}");
        let (agent, size_url) = (self.agent.clone(), url.clone());
        let size = tokio::task::spawn_blocking(move || {
            let mut answer = agent.get(&size_url).call().ok()?;
            serde_json::from_str::<Value>(&answer.body_mut().read_to_string().ok()?).ok()
        });
        let bytes = size.await.ok()??["bytes"].as_u64()?;
        {
            let _link = self.link.lock().await;
            sleep(Duration::from_secs_f64(bytes as f64 / self.spec.link_rate as f64)).await;
        }
        let agent = self.agent.clone();
        let taken = tokio::task::spawn_blocking(move || {
            let mut answer = agent.post(format!("{url}/take")).send_empty().ok()?;
            serde_json::from_str(&answer.body_mut().read_to_string().ok()?).ok()
        });
        taken.await.ok()?
    }

    /// Opens a stream for the job that calls this; `None` when the job was cancelled meanwhile.
    fn open_stream(&self, body: &Decode) -> Option<String> {
        let mut inner = self.lock();
        let job: AbortHandle = inner.jobs.get(&(body.request.clone(), body.attempt))?.clone();
        let name = inner.name("s");
        let stream = Stream {
            name: name.clone(),
            owner: body.owner.clone(),
            request: body.request.clone(),
            attempt: body.attempt,
            texts: Vec::new(),
            times: Vec::new(),
            done: None,
            reader: 0,
            read_at: Instant::now(),
            job,
            changed: Arc::new(Notify::new()),
        };
        inner.streams.insert(name.clone(), stream);
        inner.counters.streams += 1;
        Some(name)
    }

    async fn generate(&self, name: &str, generator: Generator, max_tokens: u32) {
        let mut generator = generator.peekable();
        let mut made = 0;
        while made < max_tokens && generator.peek().is_some() {
            let others = self.slots.load_now().running.saturating_sub(1);
            sleep(self.spec.token_time + self.spec.batch_time * others as u32).await;
            while self.lock().faults.stops(made) {
                sleep(STALL_POLL).await;
            }
            let mut inner = self.lock();
            let Some(stream) = inner.streams.get_mut(name) else { return };
            stream.texts.extend(generator.next());
            stream.times.push(Instant::now());
            stream.changed.notify_waiters();
            inner.counters.tokens += 1;
            made += 1;
        }
        let reason = if generator.peek().is_some() { "length" } else { "stop" };
        if let Some(stream) = self.lock().streams.get_mut(name) {
            stream.done = Some(reason);
            stream.changed.notify_waiters();
        }
    }
}

impl Inner {
    /// A new name, unlike that of any other stand-in's so that a mix-up shows.
    fn name(&mut self, prefix: &str) -> String {
        static START: OnceLock<Instant> = OnceLock::new();
        self.serial += 1;
        let moment = START.get_or_init(Instant::now).elapsed().as_nanos();
        format!("{prefix}{}-{moment:x}", self.serial)
    }

    /// Cuts off all that runs and waits.
    pub(super) fn cut(&mut self) {
        let running = self.jobs.values().filter(|job| !job.is_finished()).count();
        self.counters.cut += running as u64;
        for (_, job) in self.jobs.drain() {
            job.abort();
        }
        self.kv.clear();
        self.streams.clear();
        self.cache.clear();
    }
}
