//! One caller's connection.

use std::{
    convert::Infallible,
    future::{Future, poll_fn},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::Service};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpStream, sync::watch};

use super::{
    body::Outgoing,
    closing::{linger, reject},
    code::EdgeRefusal,
    error::ApiError,
    service::Api,
    socket::{Ahead, Socket, Watch, split},
};

/// The least that hyper takes for its buffers.
const MIN_BUFFER: usize = 8 << 10;

type Connection = http1::Connection<TokioIo<Socket>, Requests>;

/// How a connection ended.
enum Ended {
    /// hyper says so.
    Served(hyper::Result<()>),
    /// The caller closed its end while hyper did not look.
    Left,
}

/// Serves one connection's requests, and counts them.
struct Requests {
    api: Arc<Api>,
    begun: Arc<AtomicU64>,
}

impl Service<Request<Incoming>> for Requests {
    type Response = Response<Outgoing>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Outgoing>, Infallible>> + Send>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let api = Arc::clone(&self.api);
        self.begun.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move { Ok(api.handle(request).await) })
    }
}

/// Serves a connection until it ends; once `closing` is true, until its current answer ends.
pub async fn serve(stream: TcpStream, api: Arc<Api>, closing: watch::Receiver<bool>) {
    let (socket, watch) = split(stream, api.config.write_timeout);
    let begun = Arc::new(AtomicU64::new(0));
    let requests = Requests { api: Arc::clone(&api), begun: Arc::clone(&begun) };
    let mut connection = builder(&api).serve_connection(TokioIo::new(socket), requests);
    let ended = run(&mut connection, &watch, &begun, closing).await;
    // Dropping the rest of the connection drops what still served a request: its caller has left.
    let rest = connection.into_parts().read_buf;
    let Some(stream) = watch.into_stream() else { return };
    match ended {
        Ended::Served(Ok(())) => linger(stream).await,
        Ended::Served(Err(error)) => fail(stream, &api, &error, &rest).await,
        Ended::Left => {}
    }
}

async fn run(
    connection: &mut Connection,
    watch: &Watch,
    begun: &AtomicU64,
    mut closing: watch::Receiver<bool>,
) -> Ended {
    loop {
        let changed = tokio::select! {
            biased;
            ended = poll_fn(|cx| poll(connection, watch, cx)) => return ended,
            changed = closing.changed() => changed,
        };
        if changed.is_err() {
            return poll_fn(|cx| poll(connection, watch, cx)).await;
        }
        // A connection without a request yet is about to send one. hyper would close it at once; this
        // way the request gets an answer, which closes the connection.
        if 0 < begun.load(Ordering::Relaxed) {
            Pin::new(&mut *connection).graceful_shutdown();
        }
    }
}

/// Lets hyper work, and looks whether the caller is still there.
fn poll(connection: &mut Connection, watch: &Watch, cx: &mut Context<'_>) -> Poll<Ended> {
    loop {
        if let Poll::Ready(ended) = connection.poll_without_shutdown(cx) {
            return Poll::Ready(Ended::Served(ended));
        }
        match watch.poll_ahead(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Ahead::Data) => {}
            Poll::Ready(Ahead::End) => break,
        }
    }
    // hyper learns of the end by itself if it reads now. It does not read while a request is in
    // progress and bytes beyond that request wait in its buffer.
    match connection.poll_without_shutdown(cx) {
        Poll::Ready(ended) => Poll::Ready(Ended::Served(ended)),
        Poll::Pending if watch.end_seen() => Poll::Pending,
        Poll::Pending => Poll::Ready(Ended::Left),
    }
}

/// Ends a connection that hyper gave up.
async fn fail(stream: TcpStream, api: &Api, error: &hyper::Error, rest: &[u8]) {
    // Without a byte of a request, or with the line break that some clients send after a body, this is
    // just an idle connection.
    if error.is_timeout() && !rest.trim_ascii().is_empty() {
        let id = api.edge_id();
        let refusal = EdgeRefusal::SlowHeader;
        api.count(refusal.as_str(), &id);
        reject(stream, &ApiError::edge(refusal).raw_response(&id)).await;
        return;
    }
    if error.is_parse() {
        // hyper has sent a bare 400 or 431 itself.
        let too_large = error.is_parse_too_large();
        let refusal = if too_large { EdgeRefusal::HeadersTooLarge } else { EdgeRefusal::BadHttp };
        api.count(refusal.as_str(), &api.edge_id());
        linger(stream).await;
        return;
    }
    log::debug!("event=connection_ended error=\"{error}\"");
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
