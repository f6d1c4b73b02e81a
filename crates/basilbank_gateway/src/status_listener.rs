//! The listener for the balancer's health check and for metrics.

use std::{convert::Infallible, rc::Rc, time::Duration};

use basilbank_forward::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

use crate::router::Router;

/// Maximum time for a request's head, and for a connection to be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves until the task is dropped.
pub async fn serve(router: Rc<Router>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(connection(Rc::clone(&router), stream));
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn connection(router: Rc<Router>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let response = respond(&router, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    // The balancer may close its connections at any time.
    drop(served);
}

fn respond(router: &Router, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = match request.uri().path() {
        "/metrics" => {
            router.metrics.set_view_age(router.read(|state| state.view_age(router.now())));
            router.read(|state| {
                router.metrics.set_team_usage(state, router.now());
                router.metrics.set_configuration_version(state.routes.version);
                router.metrics.set_unreachable(&state.suspects);
                router.metrics.set_distrusted(router.connections.count_distrusted());
                router.metrics.set_relays(&state.peers.relays);
                router.metrics.sent_bytes.publish(state);
            });
            router.metrics.set_bodies(&router.bodies.usage());
            router.metrics.set_callers(&router.callers);
            for topic in Topic::ALL {
                router.metrics.set_store_lost(topic, router.store_lost_for(topic));
            }
            (StatusCode::OK, router.metrics.encode_text())
        }
        "/ready" => {
            let ready = router.read(State::is_ready);
            router.metrics.set_ready(i64::from(ready));
            match ready {
                true => (StatusCode::OK, String::new()),
                false => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
            }
        }
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
