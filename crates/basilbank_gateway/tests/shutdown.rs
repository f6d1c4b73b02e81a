//! A gateway's shutdown, over sockets.

mod support;

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use basilbank_forward::prelude::*;
use basilbank_gateway::{Addresses, Gateway, Metrics, Router, SystemClock};
use tokio::{
    net::TcpStream,
    runtime::Builder,
    task::{LocalSet, spawn_local},
    time::{sleep, timeout},
};

use crate::support::dialect;

/// From SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(60);

/// Longest time of a shutdown whose grace period is over. Shorter than the time after which a caller
/// without a request is disconnected.
const PATIENCE: Duration = Duration::from_secs(10);

/// Ports that other processes listen at.
const OTHERS: usize = 800;

/// Gateways that are started beside them.
const STARTS: usize = 200;

/// The system's clock, ahead by the seconds for which the Vm was suspended.
struct SuspendedClock {
    system: SystemClock,
    suspended: Arc<AtomicU64>,
}

impl Clock for SuspendedClock {
    fn now(&self) -> Now {
        let (now, suspended) = (self.system.now(), self.suspended.load(Ordering::Relaxed));
        let suspended = Duration::from_secs(suspended);
        Now { mono: now.mono + suspended, wall: now.wall + suspended }
    }
}

/// Guards against a gateway that doesn't start, as another process has the port for connections that the
/// system has chosen for datagrams.
#[test]
fn a_gateway_starts_at_ports_that_the_system_chooses() {
    let any = "127.0.0.1:0";
    let others: Vec<_> = (0..OTHERS).map(|_| TcpListener::bind(any).expect("a port")).collect();
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        for _ in 0..STARTS {
            start(Box::new(SystemClock::default())).await;
        }
    });
    drop(others);
}

async fn start(clock: Box<dyn Clock>) -> Gateway {
    let state = State::new(Local::default(), Tuning::default());
    let router = Router::new(state, dialect(), clock, Arc::new(Metrics::default()));
    let any = "127.0.0.1:0".parse().expect("an address");
    let addresses = Addresses { callers: any, ready: any, peers: any, metrics: None };
    Gateway::start(router, addresses).await.expect("a gateway")
}

/// Guards against calls that get neither an answer nor a refusal: the process is killed while it
/// waits for the end of a shutdown, because its clock does not count a suspension of the Vm.
#[test]
fn a_shutdown_counts_the_time_for_which_the_vm_was_suspended() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let suspended = Arc::new(AtomicU64::new(0));
        let clock =
            SuspendedClock { system: SystemClock::default(), suspended: Arc::clone(&suspended) };
        let gateway = start(Box::new(clock)).await;
        let caller = TcpStream::connect(gateway.callers()).await.expect("a connection");
        // The gateway accepts the caller.
        sleep(Duration::from_millis(100)).await;
        let shutdown = spawn_local(gateway.shut_down(GRACE));
        sleep(Duration::from_millis(100)).await;
        assert!(!shutdown.is_finished(), "the caller is still connected");
        suspended.store(GRACE.as_secs(), Ordering::Relaxed);
        timeout(PATIENCE, shutdown).await.expect("it ends in time").expect("no panic");
        drop(caller);
    });
}
