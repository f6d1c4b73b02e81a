//! The operators' side: health, metrics and the admin API.

mod access;
mod check;
mod lists;
mod requests;

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
use rouille::{Request, Server};

pub use self::access::Access;

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
