//! The listener for callers.

use std::{
    convert::Infallible,
    iter,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use basilbank::callers::{
    closing::reset,
    connections::{Full, Place},
    edge::{self, EdgeRefusal, Terms},
};
use futures_util::FutureExt;
use hyper::header::{CONNECTION, HeaderValue};
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

/// Minimum time between two log lines about connections that were closed without an answer.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

const CONNECTION_CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Response to a request whose head does not arrive in time.
const SLOW_HEADER_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 24\r\n\
    connection: close\r\ncontent-type: application/json\r\n\r\n{\"error\":\"slow_header\"}\n";

/// A connection with its place.
type Placed = (TcpStream, Place);

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
) {
    let (closing, closed) = watch::channel(false);
    let mut intake = Intake::default();
    let mut admission = Admission::new(&router);
    let started = Instant::now();
    let serve = |(stream, place): Placed| {
        spawn_local(serve_connection(Rc::clone(&router), stream, place, closed.clone()));
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
                    let placed = admission.admit(stream);
                    placed.into_iter().for_each(|placed| intake.add(placed, started.elapsed()));
                }
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    sleep(ACCEPT_PAUSE).await;
                    break;
                }
            }
        }
        if let Some(round) = round {
            for decision in intake.decide(round, started.elapsed()) {
                match decision {
                    Decision::Read(placed) => serve(placed),
                    Decision::Close((stream, _), reason) => admission.turn_away(stream, reason),
                }
            }
        }
    }
    intake.into_waiting().for_each(serve);
    // Connections in the system's backlog are served as well: closing the listener would reset
    // them.
    while let Ok(Ok((stream, _))) = timeout(Duration::from_millis(1), listener.accept()).await {
        admission.admit(stream).into_iter().for_each(serve);
    }
}

/// Returns how long everything that is ready takes to go on once.
async fn time_round() -> Duration {
    let before = Instant::now();
    yield_now().await;
    before.elapsed()
}

/// Gives new connections their places, and counts and logs those that are closed for it: a line each
/// second at most.
struct Admission {
    router: Rc<Router>,
    /// Closed since the last line.
    closed: u32,
    logged_at: Option<Instant>,
}

impl Admission {
    fn new(router: &Rc<Router>) -> Admission {
        Admission { router: Rc::clone(router), closed: 0, logged_at: None }
    }

    /// Closes the connection if there is no place for it.
    fn admit(&mut self, stream: TcpStream) -> Option<Placed> {
        match self.router.callers.admit(Instant::now()) {
            Ok(place) => {
                if place.has_evicted() {
                    self.record(TurnedAway::Stalled);
                }
                Some((stream, place))
            }
            Err(Full) => {
                self.turn_away(stream, TurnedAway::Connections);
                None
            }
        }
    }

    fn turn_away(&mut self, stream: TcpStream, reason: TurnedAway) {
        self.record(reason);
        reset(stream);
    }

    fn record(&mut self, reason: TurnedAway) {
        self.router.metrics.count_refused_early(reason.as_str());
        self.closed += 1;
        let now = Instant::now();
        if self.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        log::info!("event=turned_away reason={} connections={}", reason.as_str(), self.closed);
        (self.closed, self.logged_at) = (0, Some(now));
    }
}

async fn serve_connection(
    router: Rc<Router>,
    stream: TcpStream,
    place: Place,
    closing: watch::Receiver<bool>,
) {
    let place = Arc::new(place);
    let limits = router.read(|state| state.routes.limits);
    let terms = Terms {
        write_time: WRITE_TIMEOUT,
        head_time: limits.idle_timeout,
        head_bytes: limits.head_bytes,
    };
    let (request_router, draining) = (Rc::clone(&router), closing.clone());
    let request_place = Arc::clone(&place);
    let handle = move |request| {
        let (router, draining) = (Rc::clone(&request_router), draining.clone());
        let place = Arc::clone(&request_place);
        Box::pin(async move {
            let mut response = request::serve(router, request, &place).await;
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
    edge::serve(stream, &place, &terms, handle, refuse, closing).await;
}
