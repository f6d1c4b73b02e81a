//! The operators' side: health, metrics and the admin API.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use anyhow::anyhow;
use basilbank_config::key_hash;
use basilbank_core::catalogue::KeyHash;
use rouille::{Request, Response, Server};
use serde::Serialize;
use subtle::ConstantTimeEq;

use crate::{published::Published, queries::Queries};

/// Threads that serve operators.
const THREADS: usize = 4;

/// How often the server looks whether it shall end.
const POLL: Duration = Duration::from_millis(100);

/// The operators' side. Dropping it ends it.
#[derive(Debug)]
pub struct Admin {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl Admin {
    /// Starts serving.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn start(address: SocketAddr, access: Access) -> anyhow::Result<Admin> {
        let handle = move |request: &Request| access.route(request);
        let server = Server::new(address, handle).map_err(|e| anyhow!("admin address: {e}"))?;
        let server = server.pool_size(THREADS);
        let address = server.server_addr();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let serve = move || {
            while !stopped.load(Ordering::Relaxed) {
                server.poll_timeout(POLL);
            }
        };
        thread::Builder::new().name("admin".to_owned()).spawn(serve)?;
        Ok(Admin { address, stop })
    }

    /// Where operators connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// What operators may see, and the key that they need for it.
#[derive(Clone, Debug)]
pub struct Access {
    /// SHA-256 of the operators' key. Hashes have one length, so comparing them says nothing of the
    /// key's.
    pub key: KeyHash,
    /// Snapshots of the state.
    pub published: Arc<Published>,
    /// Questions about the state.
    pub queries: Queries,
}

/// `GET /admin/status`
#[derive(Clone, PartialEq, Eq, Serialize, Debug)]
struct Status {
    name: String,
    incarnation: u64,
    ready: bool,
    leaving: bool,
    catalogue_revision: u64,
    requests: usize,
}

impl Access {
    fn route(&self, request: &Request) -> Response {
        match request.url().as_str() {
            "/healthz" => Response::text("ok\n"),
            "/readyz" if self.published.is_ready() => Response::text("ready\n"),
            "/readyz" => Response::text("not ready\n").with_status_code(503),
            _ if !self.is_allowed(request) => Response::empty_400().with_status_code(401),
            "/admin/status" => self.status(),
            _ => Response::empty_404(),
        }
    }

    fn is_allowed(&self, request: &Request) -> bool {
        let presented = request.header("Authorization").and_then(|v| v.strip_prefix("Bearer "));
        presented.is_some_and(|key| key_hash(key).ct_eq(&self.key).into())
    }

    fn status(&self) -> Response {
        let status = self.queries.ask(|state| Status {
            name: state.local.name.clone(),
            incarnation: state.local.incarnation,
            ready: state.is_ready(),
            leaving: state.leaving,
            catalogue_revision: state.view.catalogue.revision,
            requests: state.requests.arena.len(),
        });
        match status {
            Some(status) => Response::json(&status),
            None => Response::text("the event loop does not answer\n").with_status_code(503),
        }
    }
}
