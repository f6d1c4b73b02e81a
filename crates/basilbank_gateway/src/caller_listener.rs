//! The listener for callers.

use std::{cell::Cell, convert::Infallible, rc::Rc, time::Duration};

use basilbank::callers::edge::{self, EdgeRefusal, Terms};
use hyper::header::{CONNECTION, HeaderValue};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{request, router::Router};

/// Pause after the system can't accept a connection, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time after which a caller is disconnected that accepts no bytes although some are waiting for
/// it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(8);

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
    let serve = |stream: TcpStream| {
        let (router, closed, open) = (Rc::clone(&router), closed.clone(), Rc::clone(&open));
        open.set(open.get() + 1);
        spawn_local(async move {
            serve_connection(router, stream, closed).await;
            open.set(open.get() - 1);
        });
    };
    loop {
        if *phase.borrow_and_update() != Phase::Serving {
            closing.send_replace(true);
        }
        if *phase.borrow() == Phase::Closed {
            break;
        }
        tokio::select! {
            _ = phase.changed() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve(stream),
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
    // Connections in the system's backlog are served as well: closing the listener would reset
    // them.
    while let Ok(Ok((stream, _))) = timeout(Duration::from_millis(1), listener.accept()).await {
        serve(stream);
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
