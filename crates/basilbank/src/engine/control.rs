//! Cancellations, reapings and orders.

use std::sync::Arc;

use basilbank_core::{
    event::EngineReport,
    ids::{AttemptKey, EndpointId, RequestId},
};
use ureq::{Body, http::Response};

use crate::engine::{
    CONTROL_TIMEOUT, Worker,
    attempts::Holding,
    protocol::{OrderBody, Ordered, Owner},
};

/// A cancellation that can't be delivered is tried so often.
const TRIES: usize = 3;

/// Longest answer to a control call, in bytes.
const ANSWER: u64 = 16 << 10;

/// What an endpoint shall serve.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Order {
    /// The fencing number.
    pub fence: u64,
    /// The model's name.
    pub model: String,
    /// The version.
    pub version: String,
    /// The adapter.
    pub adapter: String,
    /// The role.
    pub role: &'static str,
}

impl Worker {
    /// Makes an attempt dead at once, and frees what it holds on another thread.
    ///
    /// Nothing here waits for the attempt's reader: a thread that is blocked in a read can't be
    /// woken, and the endpoint would hold the memory until the read's time limit.
    pub fn cancel(
        self: &Arc<Worker>,
        attempt: AttemptKey,
        endpoint: EndpointId,
        request: RequestId,
        held: Option<String>,
    ) {
        self.callers.drop_answer(attempt);
        let live = self.attempts.take(attempt);
        let Some(base) = self.base(endpoint) else { return };
        let mut urls = Vec::new();
        match live.map(|l| (l.number, l.holding)) {
            Some((_, Holding::Plain)) => return,
            Some((number, holding)) => {
                urls.push(format!("{base}/requests/{request}/{number}"));
                match holding {
                    Holding::Import { source, handle } => {
                        urls.push(format!("http://{source}/kv/{handle}"));
                    }
                    Holding::Stream => urls.extend(held.map(|s| self.stream_url(&base, &s))),
                    Holding::Prefill => urls.extend(held.map(|h| format!("{base}/kv/{h}"))),
                    Holding::Plain => {}
                }
            }
            None => urls.extend(held.map(|s| self.stream_url(&base, &s))),
        }
        self.delete(urls);
    }

    /// Cancels a stream or KV cache if it still belongs to an owner.
    pub fn reap(self: &Arc<Worker>, endpoint: EndpointId, stream: &str, owner: &Owner) {
        let Some(base) = self.base(endpoint) else { return };
        self.delete(vec![format!("{base}/streams/{stream}?{}", owner.query())]);
    }

    /// Frees a KV cache of this daemon's.
    pub fn drop_kv(&self, endpoint: EndpointId, handle: &str) {
        let Some(base) = self.base(endpoint) else { return };
        self.delete_now(&[format!("{base}/kv/{handle}")]);
    }

    /// Cancels a stream of this daemon's.
    pub fn drop_stream(&self, endpoint: EndpointId, stream: &str) {
        let Some(base) = self.base(endpoint) else { return };
        self.delete_now(&[self.stream_url(&base, stream)]);
    }

    /// States what an endpoint shall serve.
    pub fn order(&self, endpoint: EndpointId, order: &Order) {
        let report = self.send_order(endpoint, order).unwrap_or(EngineReport::Silent);
        self.report(endpoint, report);
    }

    fn send_order(&self, endpoint: EndpointId, order: &Order) -> Option<EngineReport> {
        let body = serde_json::to_vec(&OrderBody {
            fence: order.fence,
            model: &order.model,
            version: &order.version,
            adapter: &order.adapter,
            role: order.role,
        });
        let url = format!("{}/order", self.base(endpoint)?);
        let request = self.control.post(url).config().timeout_global(Some(CONTROL_TIMEOUT)).build();
        let mut response = request.content_type("application/json").send(body.ok()?).ok()?;
        let fence = ordered(&mut response)?.fence;
        match response.status().as_u16() {
            200 => Some(EngineReport::Ordered { fence }),
            409 => Some(EngineReport::Fenced { fence }),
            _ => None,
        }
    }

    /// A stream's URL that touches the stream only while it is this daemon's: another daemon may
    /// have taken it over for a caller who came back there.
    fn stream_url(&self, base: &str, stream: &str) -> String {
        format!("{base}/streams/{stream}?{}", self.config.owner.query())
    }

    fn delete(self: &Arc<Worker>, urls: Vec<String>) {
        let worker = Arc::clone(self);
        if self.controls.run(move || worker.delete_now(&urls)).is_err() {
            log::warn!("event=cancel_dropped reason=pool_full");
        }
    }

    fn delete_now(&self, urls: &[String]) {
        for url in urls {
            let done = (0..TRIES).any(|_| self.try_delete(url));
            if !done {
                log::warn!("event=cancel_failed url={url}");
            }
        }
    }

    fn try_delete(&self, url: &str) -> bool {
        let request = self.control.delete(url).config();
        request.timeout_global(Some(CONTROL_TIMEOUT)).build().call().is_ok()
    }
}

fn ordered(response: &mut Response<Body>) -> Option<Ordered> {
    let text = response.body_mut().with_config().limit(ANSWER).read_to_vec().ok()?;
    serde_json::from_slice(&text).ok()
}
