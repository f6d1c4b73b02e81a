//! The listener for callers.

use std::{
    cell::Cell,
    convert::Infallible,
    iter,
    rc::Rc,
    time::{Duration, Instant},
};

use basilbank::callers::{
    closing::reset,
    edge::{self, EdgeRefusal, Terms},
};
use futures_util::FutureExt;
use hyper::header::{CONNECTION, HeaderValue};
use rustix::process::{Resource, getrlimit};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{spawn_local, yield_now},
    time::{sleep, timeout},
};

use crate::{
    intake::{Decision, Intake, TurnedAway},
    request,
    router::Router,
};

/// Pause after the system can't accept a connection, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time after which a caller is disconnected that accepts no bytes although some are waiting for
/// it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum number of connections that are accepted before others are served in between.
const MAX_ACCEPTED: usize = 256;

/// Minimum time between two log lines about connections that were closed unread.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

const CONNECTION_CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Response to a request whose head does not arrive in time.
const SLOW_HEADER_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 24\r\n\
    connection: close\r\ncontent-type: application/json\r\n\r\n{\"error\":\"slow_header\"}\n";

/// Number of open connections of callers.
pub type OpenConnections = Rc<Cell<usize>>;

/// Phase of the listener, which callers' connections follow.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// Connections are accepted and kept open.
    Serving,
    /// Connections are accepted, and each is closed after its next response.
    Draining,
    /// No more connections are accepted.
    Closed,
}

/// Accepts callers until the phase is `Closed` and no connection waits to be accepted.
pub async fn accept_callers(
    router: Rc<Router>,
    listener: TcpListener,
    mut phase: watch::Receiver<Phase>,
    open: OpenConnections,
) {
    let (closing, closed) = watch::channel(false);
    let mut intake = Intake::new(max_descriptors());
    let mut turned_away = TurnedAwayLog::default();
    let started = Instant::now();
    let serve = |stream: TcpStream| {
        let (router, closed, open) = (Rc::clone(&router), closed.clone(), Rc::clone(&open));
        open.set(open.get() + 1);
        spawn_local(async move {
            serve_connection(router, stream, closed).await;
            open.set(open.get() - 1);
        });
    };
    let mut carry_out = |decision: Decision<TcpStream>| match decision {
        Decision::Read(stream) => serve(stream),
        Decision::Close(stream, reason) => {
            router.metrics.count_refused_early(reason.as_str());
            turned_away.record(reason);
            reset(stream);
        }
    };
    loop {
        if *phase.borrow_and_update() != Phase::Serving {
            closing.send_replace(true);
        }
        if *phase.borrow() == Phase::Closed {
            break;
        }
        let (mut accepted, mut round) = (None, None);
        if intake.is_empty() {
            tokio::select! {
                _ = phase.changed() => {}
                result = listener.accept() => accepted = Some(result),
            }
        } else {
            round = Some(time_round().await);
        }
        // Those that wait in the system's backlog would wait there for longer than is known here.
        let more = iter::from_fn(|| listener.accept().now_or_never());
        for result in accepted.into_iter().chain(more).take(MAX_ACCEPTED) {
            match result {
                Ok((stream, _)) => {
                    let closed_at_once = intake.add(stream, open.get(), started.elapsed());
                    closed_at_once.into_iter().for_each(&mut carry_out);
                }
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    sleep(ACCEPT_PAUSE).await;
                    break;
                }
            }
        }
        if let Some(round) = round {
            intake.decide(round, started.elapsed()).into_iter().for_each(&mut carry_out);
        }
    }
    intake.into_waiting().for_each(serve);
    // Connections in the system's backlog are served as well: closing the listener would reset
    // them.
    while let Ok(Ok((stream, _))) = timeout(Duration::from_millis(1), listener.accept()).await {
        serve(stream);
    }
}

/// Returns how long everything that is ready takes to go on once.
async fn time_round() -> Duration {
    let before = Instant::now();
    yield_now().await;
    before.elapsed()
}

/// Returns the number of descriptors that the process may have.
fn max_descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX))
}

/// Logs how many connections were closed unread, each second at most.
#[derive(Debug, Default)]
struct TurnedAwayLog {
    count: u32,
    logged_at: Option<Instant>,
}

impl TurnedAwayLog {
    fn record(&mut self, reason: TurnedAway) {
        self.count += 1;
        let now = Instant::now();
        if self.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        log::info!("event=turned_away reason={} connections={}", reason.as_str(), self.count);
        *self = TurnedAwayLog { count: 0, logged_at: Some(now) };
    }
}

async fn serve_connection(router: Rc<Router>, stream: TcpStream, closing: watch::Receiver<bool>) {
    let limits = router.read(|state| state.routes.limits);
    let terms = Terms {
        write_time: WRITE_TIMEOUT,
        head_time: limits.idle_timeout,
        head_bytes: limits.head_bytes,
    };
    let (request_router, draining) = (Rc::clone(&router), closing.clone());
    let handle = move |request| {
        let (router, draining) = (Rc::clone(&request_router), draining.clone());
        Box::pin(async move {
            let mut response = request::serve(router, request).await;
            // hyper doesn't add the header to a connection whose first request arrives only now.
            if *draining.borrow() {
                response.headers_mut().insert(CONNECTION, CONNECTION_CLOSE);
            }
            Ok::<_, Infallible>(response)
        })
    };
    let refuse = |refusal: EdgeRefusal| {
        router.metrics.count_refused_early(refusal.as_str());
        log::info!("event=refused_early reason={}", refusal.as_str());
        // hyper itself answers requests that it can't parse.
        (refusal == EdgeRefusal::SlowHeader).then(|| SLOW_HEADER_RESPONSE.to_vec())
    };
    edge::serve(stream, &terms, handle, refuse, closing).await;
}
