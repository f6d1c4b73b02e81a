//! The calls that an engine answers.

use std::{sync::Arc, time::Duration};

use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

use super::{
    Shared,
    jobs::{Decode, Prefill},
};
use crate::{
    faults::Faults,
    http::{Call, Handler, Line, Reply},
    spec::Role,
    stream::{Found, Owner},
};

/// How often a stalled engine looks whether it still is.
pub(super) const STALL_POLL: Duration = Duration::from_millis(5);
/// Lines that wait for a slow reader.
const BACKLOG: usize = 16;

#[derive(Debug, Deserialize)]
struct Order {
    fence: u64,
    model: String,
    version: String,
    adapter: String,
    role: Role,
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, call: Call) -> Reply {
        while self.lock().faults.stall {
            tokio::time::sleep(STALL_POLL).await;
        }
        let segments = call.segments();
        match (call.method.as_str(), segments.as_slice()) {
            ("POST", ["prefill"]) => match call.json() {
                Ok(body) => self.prefill(body).await,
                Err(reply) => reply,
            },
            ("POST", ["decode"]) => match call.json() {
                Ok(body) => self.decode(body).await,
                Err(reply) => reply,
            },
            ("GET", ["kv", handle]) => self.kv(handle),
            ("POST", ["kv", handle, "take"]) => self.take_kv(handle),
            ("DELETE", ["kv", handle]) => self.cancel_kv(handle),
            ("DELETE", ["requests", request, attempt]) => {
                self.cancel(request, attempt.parse().unwrap_or_default())
            }
            ("GET", ["streams"]) => self.list(),
            ("GET", ["streams", name]) => self.resume(name, &call),
            ("DELETE", ["streams", name]) => self.cancel_stream(name, &call),
            ("GET", ["load"]) => self.load(),
            ("GET", ["cache"]) => {
                let lag = self.spec.cache_lag;
                Reply::json(200, &self.lock().cache.changes(call.number("after"), lag))
            }
            ("POST", ["order"]) => match call.json() {
                Ok(order) => self.order(order),
                Err(reply) => reply,
            },
            _ => Reply::json(404, &json!({ "error": "no such call" })),
        }
    }
}

impl Shared {
    async fn prefill(self: Arc<Shared>, body: Prefill) -> Reply {
        let (request, attempt) = (body.request.clone(), body.attempt);
        if let Some(reason) = self.refusal(Role::Prefill, &body.model) {
            return self.refuse(&request, attempt, reason);
        }
        let Some(waiting) = self.slots.join(body.priority, self.spec.queue) else {
            return self.refuse(&request, attempt, "full");
        };
        let (done, answer) = oneshot::channel();
        let key = (request, attempt);
        self.spawn_job(key, Arc::clone(&self).run_prefill(body, waiting, done));
        match answer.await {
            Ok(value) => Reply::json(200, &value),
            Err(_) => Reply::Drop,
        }
    }

    async fn decode(self: Arc<Shared>, body: Decode) -> Reply {
        let (request, attempt) = (body.request.clone(), body.attempt);
        if let Some(reason) = self.refusal(Role::Decode, &body.model) {
            return self.refuse(&request, attempt, reason);
        }
        let Some(slot) = self.slots.take() else {
            return self.refuse(&request, attempt, "full");
        };
        let (started, answer) = oneshot::channel();
        let key = (request.clone(), attempt);
        self.spawn_job(key, Arc::clone(&self).run_decode(body, slot, started));
        let name = match answer.await {
            Ok(Ok(name)) => name,
            Ok(Err(reason)) => return self.refuse(&request, attempt, reason),
            Err(_) => return Reply::Drop,
        };
        self.stream(&name, 0, None)
    }

    /// Why new work of this kind is refused.
    fn refusal(&self, role: Role, model: &str) -> Option<&'static str> {
        let inner = self.lock();
        let Faults { leaving, full, .. } = inner.faults;
        let serves = inner.loaded.role == role
            && inner.loaded.model == model
            && !inner.loaded.version.is_empty();
        match (leaving, serves, full) {
            (true, _, _) => Some("leaving"),
            (_, false, _) => Some("model"),
            (_, _, true) => Some("full"),
            _ => None,
        }
    }

    fn refuse(&self, request: &str, attempt: u32, reason: &str) -> Reply {
        self.lock().counters.refused += 1;
        let body =
            json!({ "request": request, "attempt": attempt, "not_run": true, "reason": reason });
        Reply::json(503, &body)
    }

    fn kv(&self, handle: &str) -> Reply {
        match self.lock().kv.get(handle) {
            Some(kv) => Reply::json(200, &json!({ "bytes": kv.bytes })),
            None => Reply::json(404, &json!({ "error": "evicted" })),
        }
    }

    fn take_kv(&self, handle: &str) -> Reply {
        match self.lock().kv.remove(handle) {
            Some(kv) => Reply::json(200, &json!(kv.text)),
            None => Reply::json(404, &json!({ "error": "evicted" })),
        }
    }

    fn cancel_kv(&self, handle: &str) -> Reply {
        let mut inner = self.lock();
        if inner.kv.remove(handle).is_some() {
            inner.counters.cancelled += 1;
        }
        Reply::json(200, &json!({}))
    }

    fn cancel(&self, request: &str, attempt: u32) -> Reply {
        let mut inner = self.lock();
        let mut cancelled = 0;
        if let Some(job) = inner.jobs.remove(&(request.to_owned(), attempt)) {
            job.abort();
            cancelled = 1;
        }
        let inner = &mut *inner;
        inner.kv.retain(|_, kv| (kv.request.as_str(), kv.attempt) != (request, attempt));
        inner.streams.retain(|_, s| (s.request.as_str(), s.attempt) != (request, attempt));
        inner.counters.cancelled += cancelled;
        Reply::json(200, &json!({ "request": request, "attempt": attempt }))
    }

    fn list(&self) -> Reply {
        let inner = self.lock();
        let running = inner.streams.values().filter(|s| s.done.is_none()).map(|s| {
            json!({
                "stream": s.name, "kv": false, "vm": s.owner.vm,
                "incarnation": s.owner.incarnation, "request": s.request, "attempt": s.attempt,
                "offset": s.texts.len(), "idle_ms": millis(s.read_at.elapsed()),
            })
        });
        let caches = inner.kv.values().map(|kv| {
            json!({
                "stream": kv.handle, "kv": true, "vm": kv.owner.vm,
                "incarnation": kv.owner.incarnation, "request": kv.request,
                "attempt": kv.attempt, "offset": 0, "idle_ms": millis(kv.made.elapsed()),
            })
        });
        let all: Vec<Value> = running.chain(caches).collect();
        Reply::json(200, &json!({ "streams": all }))
    }

    fn resume(self: &Arc<Shared>, name: &str, call: &Call) -> Reply {
        let owner = owner_of(call);
        let Ok(from) = usize::try_from(call.number("from")) else {
            return Reply::json(400, &json!({ "error": "offset" }));
        };
        self.lock().counters.takeovers += 1;
        self.stream(name, from, owner)
    }

    fn cancel_stream(&self, name: &str, call: &Call) -> Reply {
        let mut inner = self.lock();
        let owner = owner_of(call);
        let Some(stream) = inner.streams.get(name) else { return Reply::json(200, &json!({})) };
        if owner.is_some_and(|owner| owner != stream.owner) {
            return Reply::json(409, &json!({ "error": "another's" }));
        }
        inner.counters.cancelled += u64::from(stream.done.is_none());
        inner.streams.remove(name);
        Reply::json(200, &json!({}))
    }

    fn load(&self) -> Reply {
        let lag = self.spec.load_lag;
        let load = self.slots.load(lag);
        let inner = self.lock();
        let loaded = &inner.loaded;
        let body = json!({
            "running": load.running, "queued": load.queued, "age_ms": millis(lag),
            "leaving": inner.faults.leaving, "model": loaded.model, "version": loaded.version,
            "adapter": loaded.adapter, "role": loaded.role, "fence": loaded.fence,
        });
        Reply::json(200, &body)
    }

    /// Takes an order. One that changes what is loaded cuts off all that runs.
    fn order(self: &Arc<Shared>, order: Order) -> Reply {
        let mut inner = self.lock();
        if order.fence < inner.loaded.fence && !inner.faults.ignore_fence {
            inner.counters.fenced += 1;
            return Reply::json(409, &json!({ "fence": inner.loaded.fence }));
        }
        inner.counters.orders += 1;
        if !inner.faults.ignore_fence {
            inner.loaded.fence = order.fence;
        }
        let same = {
            let loaded = &inner.loaded;
            (loaded.role, &loaded.model, &loaded.version, &loaded.adapter)
                == (order.role, &order.model, &order.version, &order.adapter)
        };
        if !same {
            inner.cut();
            inner.loaded.role = order.role;
            inner.loaded.model = order.model;
            inner.loaded.adapter = order.adapter;
            inner.loaded.version.clear();
            let (shared, version) = (Arc::clone(self), order.version);
            tokio::spawn(async move {
                tokio::time::sleep(shared.spec.load_time).await;
                shared.lock().loaded.version = version;
            });
        }
        Reply::json(200, &json!({ "fence": inner.loaded.fence }))
    }

    /// Streams from an offset; the stream's earlier reader is cut off.
    fn stream(self: &Arc<Shared>, name: &str, from: usize, owner: Option<Owner>) -> Reply {
        let mut inner = self.lock();
        let Some(stream) = inner.streams.get_mut(name) else {
            return Reply::json(404, &json!({ "error": "no such stream" }));
        };
        let reader = Reader { name: name.to_owned(), number: stream.take_over(owner) };
        let head =
            json!({ "request": stream.request, "attempt": stream.attempt, "stream": stream.name });
        let (lines, receiver) = mpsc::channel(BACKLOG);
        tokio::spawn(reader.run(Arc::clone(self), head, from, lines));
        Reply::Lines(receiver)
    }
}

/// One reader of a stream.
struct Reader {
    name: String,
    number: u64,
}

impl Reader {
    async fn run(self, shared: Arc<Shared>, head: Value, from: usize, out: mpsc::Sender<Line>) {
        let mut offset = from;
        if out.send(Line::Json(head)).await.is_err() {
            return;
        }
        loop {
            let (found, changed) = {
                let mut inner = shared.lock();
                let Some(stream) = inner.streams.get_mut(&self.name) else { return };
                let changed = Arc::clone(&stream.changed).notified_owned();
                (stream.read(self.number, offset), changed)
            };
            match found {
                Found::Texts(texts) => {
                    for text in texts {
                        let line = json!({ "offset": offset, "texts": [text] });
                        let lost = shared.lock().faults.lose == Some(offset);
                        if !lost && send(&shared, &out, line).await.is_err() {
                            return;
                        }
                        offset += 1;
                    }
                }
                Found::Done { reason, tokens } => {
                    // A reader that left does not need the end.
                    let _ = send(&shared, &out, json!({ "done": reason, "tokens": tokens })).await;
                    let _ = out.send(Line::End).await;
                    return;
                }
                Found::Nothing => changed.await,
                Found::Taken => {
                    let _ = out.send(Line::Json(json!({ "taken": true }))).await;
                    let _ = out.send(Line::End).await;
                    return;
                }
            }
        }
    }
}

/// Sends a line, twice when that is the fault.
async fn send(
    shared: &Shared,
    out: &mpsc::Sender<Line>,
    line: Value,
) -> Result<(), mpsc::error::SendError<Line>> {
    if shared.lock().faults.doubled {
        out.send(Line::Json(line.clone())).await?;
    }
    out.send(Line::Json(line)).await
}

fn owner_of(call: &Call) -> Option<Owner> {
    let vm = call.param("vm")?;
    Some(Owner { vm, incarnation: call.number("incarnation") })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
