//! A gateway with its listeners, and its shutdown.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use anyhow::Context;
use basilbank::callers::socket::bound_unread;
use basilbank_forward::prelude::*;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
    task::spawn_local,
    time::sleep,
};

use crate::{
    caller_listener::{self, Phase},
    proxy_listener,
    router::Router,
    status_listener,
};

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;

/// Maximum number of ports that are tried if the system chooses one.
const MAX_CHOSEN_PORTS: u32 = 16;

/// How long callers are accepted after SIGTERM. The balancer checks once a second and stops sending
/// after two answers other than 200; closing earlier would refuse connections that it still sends.
const ACCEPT_AFTER_SHUTDOWN: Duration = Duration::from_millis(3300);

/// Part of the grace period that is left for closing what remains.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(600);

/// Time in which the last answers are sent, before the process ends.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(400);

/// Interval between checks whether all connections are closed, and whether the time is over.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Addresses to listen on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Addresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the balancer's health check, and for metrics.
    pub ready: SocketAddr,
    /// Address for the daemons' datagrams, and for calls that they make for each other.
    pub peers: SocketAddr,
    /// Address for metrics alone, besides the ready address.
    pub metrics: Option<SocketAddr>,
}

/// A running gateway, on the current thread's task set.
#[derive(Debug)]
pub struct Gateway {
    router: Rc<Router>,
    phase: watch::Sender<Phase>,
    callers: SocketAddr,
    ready: SocketAddr,
}

impl Gateway {
    /// Opens the listeners and starts to serve.
    ///
    /// # Errors
    /// Returns an error if it can't listen on an address.
    pub async fn start(router: Rc<Router>, addresses: Addresses) -> anyhow::Result<Gateway> {
        let listener = listen(addresses.callers).context("callers' address")?;
        bound_unread(&listener).context("callers' receive buffer")?;
        let status_listener = listen(addresses.ready).context("ready address")?;
        let (callers, ready) = (listener.local_addr()?, status_listener.local_addr()?);
        let (socket, peer_listener) = listen_for_peers(addresses.peers).await?;
        router.start_gossip(socket);
        spawn_local(proxy_listener::accept_peers(Rc::clone(&router), peer_listener));
        let (phase, phases) = watch::channel(Phase::Serving);
        spawn_local(caller_listener::accept_callers(Rc::clone(&router), listener, phases));
        spawn_local(status_listener::serve(Rc::clone(&router), status_listener));
        if let Some(address) = addresses.metrics {
            let listener = listen(address).context("metrics' address")?;
            spawn_local(status_listener::serve(Rc::clone(&router), listener));
        }
        spawn_local(Rc::clone(&router).run_timer());
        Ok(Gateway { router, phase, callers, ready })
    }

    /// Returns the address to which callers connect.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the balancer's health check.
    #[must_use]
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Shuts down within `grace`. The gateway reports at once that it is not ready, accepts callers
    /// until the balancer has noticed, and then finishes all calls in progress.
    pub async fn shut_down(self, grace: Duration) {
        let grace = grace.saturating_sub(SHUTDOWN_MARGIN);
        self.router.dispatch(Event::Shutdown { grace });
        // By the reducer's clock, which counts the time for which the Vm is suspended: the process is
        // killed when the grace period is over in real time, and calls are accepted by that clock.
        let begun = self.router.now();
        let end = begun + grace;
        self.phase.send_replace(Phase::Draining);
        self.wait_until(end.min(begun + ACCEPT_AFTER_SHUTDOWN)).await;
        self.phase.send_replace(Phase::Closed);
        self.wait_until_idle(end).await;
        self.router.dispatch(Event::ShutdownOver);
        self.wait_until_idle(self.router.now() + LAST_ANSWERS_TIME).await;
    }

    /// Waits until no work is in progress, or until `end`.
    async fn wait_until_idle(&self, end: Duration) {
        while self.is_busy() && self.sleep_towards(end).await {}
    }

    async fn wait_until(&self, end: Duration) {
        while self.sleep_towards(end).await {}
    }

    /// Sleeps until `end`, or a part of that time. Returns false at once if it is over.
    async fn sleep_towards(&self, end: Duration) -> bool {
        let left = end.saturating_sub(self.router.now());
        if left.is_zero() {
            return false;
        }
        sleep(left.min(POLL_INTERVAL)).await;
        true
    }

    /// Returns whether callers are connected or calls for peers are in progress.
    fn is_busy(&self) -> bool {
        self.router.callers.open() != 0 || self.router.read(|state| state.proxies.serving != 0)
    }
}

/// Listens for peers' datagrams and connections at one port. If the system chooses that, the port which it
/// chooses for datagrams may be taken for connections, so others are tried.
async fn listen_for_peers(address: SocketAddr) -> anyhow::Result<(UdpSocket, TcpListener)> {
    let mut tries = if address.port() == 0 { MAX_CHOSEN_PORTS } else { 1 };
    loop {
        let socket = UdpSocket::bind(address).await.context("peers' address")?;
        tries -= 1;
        match listen(socket.local_addr()?) {
            Ok(listener) => return Ok((socket, listener)),
            Err(error) if tries == 0 => return Err(error).context("peers' connections"),
            Err(_) => {}
        }
    }
}

fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A restart must not wait for the connections of the previous process.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(TcpListener::from_std(socket.into())?)
}
