//! Cancellations, reapings and orders.

use std::sync::Arc;

use basilbank_core::{
    catalogue::Role,
    event::EngineReport,
    ids::{AttemptKey, EndpointId, RequestId},
};
use ureq::{Body, http::Response};

use crate::{
    engine::{
        CONTROL_TIMEOUT, Worker,
        protocol::{OrderBody, Ordered, Owner},
        received::read_whole,
    },
    logs::Line,
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
        let number = self.attempts.cancel(attempt);
        let url = match (held, number) {
            (Some(held), _) => self.held_url(endpoint, &held),
            // Nobody else knows what an attempt holds before its stream has a name, so this can't
            // touch a stream that another daemon has taken over.
            (None, Some(number)) => {
                self.base(endpoint).map(|base| format!("{base}/requests/{request}/{number}"))
            }
            (None, None) => None,
        };
        if let Some(url) = url.filter(|_| !self.is_plain(endpoint)) {
            self.delete(url);
        }
    }

    /// Cancels a stream or KV cache if it still belongs to an owner.
    pub fn reap(self: &Arc<Worker>, endpoint: EndpointId, stream: &str, owner: &Owner) {
        let Some(base) = self.base(endpoint) else { return };
        self.delete(format!("{base}/streams/{stream}?{}", owner.query()));
    }

    /// Frees what a call of a dead attempt brought.
    pub fn drop_held(&self, endpoint: EndpointId, held: &str) {
        if let Some(url) = self.held_url(endpoint, held) {
            self.delete_now(&url);
        }
    }

    /// States what an endpoint shall serve.
    pub fn order(&self, endpoint: EndpointId, order: &Order) {
        let report = self.send_order(endpoint, order).unwrap_or(EngineReport::NoResponse);
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
            200 => Some(EngineReport::OrderAccepted { fence }),
            409 => Some(EngineReport::OrderFenced { fence }),
            _ => None,
        }
    }

    /// The URL of a KV cache at a prefill endpoint, or of a stream. A stream's touches it only while
    /// it is this daemon's: another one may have taken it over for a caller who came back there.
    fn held_url(&self, endpoint: EndpointId, held: &str) -> Option<String> {
        let base = self.base(endpoint)?;
        match self.role(endpoint) {
            Some(Role::Prefill) => Some(format!("{base}/kv/{held}")),
            _ => Some(format!("{base}/streams/{held}?{}", self.config.owner.query())),
        }
    }

    fn is_plain(&self, endpoint: EndpointId) -> bool {
        self.role(endpoint) == Some(Role::Plain)
    }

    fn role(&self, endpoint: EndpointId) -> Option<Role> {
        self.published.names().view.endpoint(endpoint).map(|e| e.role)
    }

    fn delete(self: &Arc<Worker>, url: String) {
        let worker = Arc::clone(self);
        if self.controls.run(move || worker.delete_now(&url)).is_err() {
            log::warn!("event=cancel_dropped reason=pool_full");
        }
    }

    fn delete_now(&self, url: &str) {
        let done = (0..TRIES).any(|_| self.try_delete(url));
        if !done {
            log::warn!("{}", Line::new("cancel_failed").with("url", url));
        }
    }

    fn try_delete(&self, url: &str) -> bool {
        let request = self.control.delete(url).config();
        request.timeout_global(Some(CONTROL_TIMEOUT)).build().call().is_ok()
    }
}

fn ordered(response: &mut Response<Body>) -> Option<Ordered> {
    let text = read_whole(response, ANSWER).ok()?;
    serde_json::from_slice(&text).ok()
}
