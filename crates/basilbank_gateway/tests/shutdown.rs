//! A gateway's shutdown, over sockets.

mod support;

use std::{
    rc::Rc,
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

/// Guards against calls that get neither an answer nor a refusal: the process is killed while it
/// waits for the end of a shutdown, because its clock does not count a suspension of the Vm.
#[test]
fn a_shutdown_counts_the_time_for_which_the_vm_was_suspended() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let suspended = Arc::new(AtomicU64::new(0));
        let clock =
            SuspendedClock { system: SystemClock::default(), suspended: Arc::clone(&suspended) };
        let state = State::new(Local::default(), Tuning::default());
        let metrics = Arc::new(Metrics::default());
        let router = Router::new(state, dialect(), Box::new(clock), metrics);
        let any = "127.0.0.1:0".parse().expect("an address");
        let addresses = Addresses { callers: any, ready: any, peers: any, metrics: None };
        let gateway = Gateway::start(Rc::clone(&router), addresses).await.expect("a gateway");
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
