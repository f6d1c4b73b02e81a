//! The stand-in of a plain service: an echo, a stock lookup and an order that must not be doubled.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde_json::{Value, json};

use crate::{
    faults::Faults,
    http::{Call, Handler, NotRun, Reply, Server},
};

/// Pieces of each item in stock at the start.
const STOCK: usize = 1000;

/// One call that was run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Run {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The body, as text.
    pub body: String,
    /// What the router calls the request.
    pub request: String,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    runs: Vec<Run>,
}

#[derive(Debug, Default)]
struct Shared {
    inner: Mutex<Inner>,
}

/// A plain service. Any path that ends in `/orders` takes orders, any with `/stock/` before its last
/// segment looks an item up, and all others echo the call.
#[derive(Debug)]
pub struct PlainService {
    shared: Arc<Shared>,
    server: Server,
}

impl PlainService {
    /// Starts one.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub fn start(address: SocketAddr) -> io::Result<PlainService> {
        let shared = Arc::new(Shared::default());
        let server = Server::start(address, Arc::clone(&shared))?;
        Ok(PlainService { shared, server })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// All that was run, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// How often a call with this body was run.
    #[must_use]
    pub fn count(&self, body: &str) -> usize {
        self.shared.lock().runs.iter().filter(|run| run.body == body).count()
    }

    /// Sets what goes wrong.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Drops all connections and stops accepting.
    pub fn die(&mut self) {
        self.server.end();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, call: &Call) -> Reply {
        let target = match call.query.as_str() {
            "" => call.path.clone(),
            query => format!("{}?{query}", call.path),
        };
        let request = call.headers.get("x-request-id").and_then(|v| v.to_str().ok());
        let run = Run {
            method: call.method.clone(),
            target: target.clone(),
            body: String::from_utf8_lossy(&call.body).into_owned(),
            request: request.unwrap_or_default().to_owned(),
        };
        let mut inner = self.lock();
        inner.runs.push(run);
        match call.segments().as_slice() {
            [.., "orders"] => Reply::json(201, &json!({ "order": inner.orders() })),
            [.., "stock", item] => {
                let left = STOCK.saturating_sub(inner.orders());
                Reply::json(200, &json!({ "item": item, "stock": left }))
            }
            _ => Reply::json(200, &echo(call, &target)),
        }
    }
}

impl Inner {
    fn orders(&self) -> usize {
        self.runs.iter().filter(|run| run.target.ends_with("/orders")).count()
    }
}

fn echo(call: &Call, target: &str) -> Value {
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    let headers: Vec<_> =
        call.headers.iter().map(|(k, v)| json!([k.as_str(), text(v.as_bytes())])).collect();
    json!({ "method": call.method, "target": target, "headers": headers, "body": text(&call.body) })
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, call: Call) -> Reply {
        while self.lock().faults.stall {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let faults = self.lock().faults.clone();
        if faults.leaving || faults.full {
            let json = json!({ "error": "not run" }).to_string().into_bytes();
            return Reply::Whole { status: 503, json, not_run: NotRun::Proved };
        }
        let reply = self.run(&call);
        if faults.drop_answer {
            return Reply::Drop;
        }
        if !faults.late.is_zero() {
            tokio::time::sleep(faults.late).await;
        }
        reply
    }
}
