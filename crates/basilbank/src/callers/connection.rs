//! One caller's connection.

use std::{
    convert::Infallible,
    future::poll_fn,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpStream, sync::watch};

use super::{
    error::{ApiError, EdgeRefusal},
    service::Api,
    socket::Socket,
};

/// The least that hyper takes for its buffers.
const MIN_BUFFER: usize = 8 << 10;

/// Serves a connection until it ends; once `closing` is true, until its current answer ends.
pub async fn serve(stream: TcpStream, api: Arc<Api>, mut closing: watch::Receiver<bool>) {
    let begun = Arc::new(AtomicU64::new(0));
    let service = {
        let (api, begun) = (Arc::clone(&api), Arc::clone(&begun));
        service_fn(move |request: hyper::Request<Incoming>| {
            let api = Arc::clone(&api);
            begun.fetch_add(1, Ordering::Relaxed);
            Box::pin(async move { Ok::<_, Infallible>(api.handle(request).await) })
        })
    };
    let socket = Socket::new(stream, api.config.write_timeout);
    let mut connection = builder(&api).serve_connection(TokioIo::new(socket), service);
    let ended = loop {
        let changed = tokio::select! {
            biased;
            ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break ended,
            changed = closing.changed() => changed,
        };
        if changed.is_err() {
            break poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
        }
        // A connection without a request yet is about to send one. hyper would close it at once; this
        // way the request gets an answer, which closes the connection.
        if 0 < begun.load(Ordering::Relaxed) {
            Pin::new(&mut connection).graceful_shutdown();
        }
    };
    // Dropping the rest of the connection drops what still served a request: its caller has left.
    let parts = connection.into_parts();
    drop(parts.service);
    let mut socket = parts.io.into_inner();
    match ended {
        Ok(()) => socket.linger().await,
        Err(error) if error.is_timeout() && !parts.read_buf.is_empty() => {
            let id = api.edge_id();
            let refusal = EdgeRefusal::SlowHeader;
            api.count(refusal.as_str(), &id);
            socket.reject(&ApiError::edge(refusal).raw_response(&id)).await;
        }
        Err(error) if error.is_parse() => {
            // hyper has sent a bare 400 or 431 itself.
            let too_large = error.is_parse_too_large();
            let refusal =
                if too_large { EdgeRefusal::HeadersTooLarge } else { EdgeRefusal::BadHttp };
            api.count(refusal.as_str(), &api.edge_id());
            socket.linger().await;
        }
        Err(error) => log::debug!("event=connection_ended error=\"{error}\""),
    }
}

fn builder(api: &Api) -> http1::Builder {
    let limits = &api.config.limits;
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    builder.header_read_timeout(limits.header_timeout);
    // Headers up to twice the limit still get an answer that says what is wrong.
    builder.max_header_size(limits.headers.saturating_mul(2));
    builder.max_buf_size(limits.headers.saturating_mul(4).max(MIN_BUFFER));
    builder
}
