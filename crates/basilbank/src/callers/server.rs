//! The listener, and the one tokio runtime of a daemon.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc::Sender},
    time::{Duration, Instant},
};

use anyhow::Context;
use basilbank_core::event::Event;
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    sync::{Semaphore, watch},
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::{
    closing::reject, code::EdgeRefusal, config::ServerConfig, connection, connections::Connections,
    error::ApiError, registry::Callers, service::Api, socket::bound_unread,
};

const THREADS: usize = 2;
/// Connections over the limit that are told so at once; further ones are just closed.
const REJECTIONS: usize = 64;
/// Why an open connection that did not get on was closed: another one took its place.
const STALLED: &str = "stalled";
/// How long to wait when the system can't accept a connection, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The callers' HTTP server.
///
/// Dropping it cuts what is open; call [`Server::wait`] for a graceful end.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    closing: watch::Sender<bool>,
    connections: Connections,
    accepting: JoinHandle<()>,
    runtime: Runtime,
}

impl Server {
    /// Listens, and serves on threads of its own.
    ///
    /// # Errors
    /// The address can't be had, or the threads can't be started.
    pub fn start(
        config: ServerConfig,
        events: Sender<Event>,
        callers: Arc<Callers>,
    ) -> anyhow::Result<Server> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .thread_name("callers")
            .enable_all()
            .build()
            .context("can't start the callers' threads")?;
        let listener = runtime
            .block_on(TcpListener::bind(config.address))
            .with_context(|| format!("can't listen at {}", config.address))?;
        bound_unread(&listener).context("the listener's receive buffer can't be set")?;
        let address = listener.local_addr().context("the listener has no address")?;
        let connections = Connections::new(config.limits.max_connections, callers.bodies.clone());
        let (closing, closed) = watch::channel(false);
        let api = Arc::new(Api::new(config, events, callers, closed.clone()));
        let accepting = runtime.spawn(accept(listener, api, connections.clone(), closed));
        Ok(Server { address, closing, connections, accepting, runtime })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.open()
    }

    /// Stops accepting. What is open goes on; each connection ends with its current answer.
    pub fn shutdown(&self) {
        self.closing.send_replace(true);
    }

    /// Shuts down and waits, without limit, until all connections have ended.
    pub fn wait(self) {
        self.shutdown();
        let Server { connections, accepting, runtime, .. } = self;
        runtime.block_on(async {
            // A panic there leaves nothing to wait for.
            let _ = accepting.await;
            connections.wait_closed().await;
        });
    }
}

async fn accept(
    listener: TcpListener,
    api: Arc<Api>,
    connections: Connections,
    closing: watch::Receiver<bool>,
) {
    let rejections = Arc::new(Semaphore::new(REJECTIONS));
    let serve = |stream: TcpStream| {
        let (api, closing) = (Arc::clone(&api), closing.clone());
        let Ok(place) = connections.admit(Instant::now()) else {
            turn_away(stream, &api, &rejections);
            return;
        };
        if place.has_evicted() {
            api.count(STALLED, &api.edge_id());
        }
        tokio::spawn(connection::serve(stream, Arc::new(place), api, closing));
    };
    let mut closed = closing.clone();
    loop {
        tokio::select! {
            _ = closed.changed() => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve(stream),
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
    // Connections that the system has accepted for us get an answer; closing the listener would
    // reset them, and their callers could not know that nothing was run.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        serve(stream);
    }
}

/// Tells a caller that there are too many connections.
fn turn_away(stream: TcpStream, api: &Arc<Api>, rejections: &Arc<Semaphore>) {
    let id = api.edge_id();
    let refusal = EdgeRefusal::Connections;
    api.count(refusal.as_str(), &id);
    let Ok(permit) = Arc::clone(rejections).try_acquire_owned() else { return };
    tokio::spawn(async move {
        let error = ApiError::edge(refusal);
        reject(stream, &error.raw_response(&id)).await;
        drop(permit);
    });
}
