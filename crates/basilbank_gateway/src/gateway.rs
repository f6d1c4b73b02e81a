//! A whole gateway: its listeners, its end.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use anyhow::Context;
use basilbank_forward::prelude::*;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
    task::spawn_local,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    caller_listener::{self, OpenConnections, Phase},
    router::Router,
    status_listener,
};

/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;

/// How long callers are accepted after SIGTERM. The balancer asks once a second and stops sending
/// after two answers other than 200; closing earlier would refuse connections that it still sends.
const ACCEPT_AFTER_SHUTDOWN: Duration = Duration::from_millis(3300);

/// Kept of the grace for closing what is left.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(600);

/// How often the end is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Where to listen.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Addresses {
    /// Callers.
    pub callers: SocketAddr,
    /// The balancer's question, and metrics.
    pub ready: SocketAddr,
    /// The daemons' datagrams.
    pub peers: SocketAddr,
    /// Metrics alone, besides the ready address.
    pub metrics: Option<SocketAddr>,
}

/// A running gateway, on the current thread's task set.
#[derive(Debug)]
pub struct Gateway {
    router: Rc<Router>,
    phase: watch::Sender<Phase>,
    open_connections: OpenConnections,
    callers: SocketAddr,
    ready: SocketAddr,
}

impl Gateway {
    /// Listens, and serves from then on.
    ///
    /// # Errors
    /// An address can't be had.
    pub async fn start(router: Rc<Router>, addresses: Addresses) -> anyhow::Result<Gateway> {
        let listener = listen(addresses.callers).context("callers' address")?;
        let status_listener = listen(addresses.ready).context("ready address")?;
        let (callers, ready) = (listener.local_addr()?, status_listener.local_addr()?);
        router.start_gossip(UdpSocket::bind(addresses.peers).await.context("peers' address")?);
        let (phase, phases) = watch::channel(Phase::Serving);
        let open: OpenConnections = Rc::new(Cell::new(0));
        spawn_local(caller_listener::accept_callers(
            Rc::clone(&router),
            listener,
            phases,
            Rc::clone(&open),
        ));
        spawn_local(status_listener::serve(Rc::clone(&router), status_listener));
        if let Some(address) = addresses.metrics {
            let listener = listen(address).context("metrics' address")?;
            spawn_local(status_listener::serve(Rc::clone(&router), listener));
        }
        spawn_local(Rc::clone(&router).run_timer());
        Ok(Gateway { router, phase, open_connections: open, callers, ready })
    }

    /// Where callers connect.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where the balancer asks.
    #[must_use]
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Leaves within `grace`: not ready at once, callers are accepted until the balancer has
    /// noticed, then all in progress is finished.
    pub async fn shut_down(self, grace: Duration) {
        let grace = grace.saturating_sub(SHUTDOWN_MARGIN);
        let end = Instant::now() + grace;
        self.router.dispatch(Event::Shutdown { grace });
        self.phase.send_replace(Phase::Draining);
        sleep_until(end.min(Instant::now() + ACCEPT_AFTER_SHUTDOWN)).await;
        self.phase.send_replace(Phase::Closed);
        while self.open_connections.get() != 0 && Instant::now() < end {
            sleep(POLL_INTERVAL).await;
        }
    }
}

fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A restart must not wait for the connections of the process before.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(TcpListener::from_std(socket.into())?)
}
