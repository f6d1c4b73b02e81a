//! One caller's connection, whatever is served on it.

use std::{
    error::Error as StdError,
    future::{Future, poll_fn},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use hyper::{
    Request, Response, Version,
    body::{Body, Frame, Incoming, SizeHint},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::Service,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpStream, sync::watch};

pub use super::code::EdgeRefusal;
use super::{
    closing::{linger, reject, reset},
    connections::Place,
    socket::{Ahead, Socket, Watch, split},
};

/// The least that hyper takes for its buffers.
const MIN_BUFFER: usize = 8 << 10;

/// What a caller may take.
#[derive(Clone, Debug)]
pub struct Terms {
    /// A caller that takes no byte for this long while there are bytes for it is cut off.
    pub write_time: Duration,
    /// Longest time for a request's head, the time before its first byte included.
    pub head_time: Duration,
    /// Largest head in bytes.
    pub head_bytes: usize,
}

/// How a connection ended.
enum Ended {
    /// hyper says so.
    Served(hyper::Result<()>),
    /// The caller closed its end while hyper did not look.
    Left,
    /// Another connection took its place.
    PlaceLost,
}

/// Serves one connection's requests, and counts them.
struct Requests<H> {
    handle: H,
    place: Arc<Place>,
    begun: Arc<AtomicU64>,
    /// Whether the latest caller knows no chunks, so that the end of the connection is all that marks
    /// the end of a response of unknown length.
    unchunked: Arc<AtomicBool>,
}

impl<H, F, B, E> Service<Request<Incoming>> for Requests<H>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<B>, E>> + Unpin,
{
    type Response = Response<PlacedBody<B>>;
    type Error = E;
    type Future = Handling<F>;

    fn call(&self, request: Request<Incoming>) -> Handling<F> {
        self.begun.fetch_add(1, Ordering::Relaxed);
        self.place.record_head();
        self.unchunked.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
        Handling { response: (self.handle)(request), place: Arc::clone(&self.place) }
    }
}

/// The work on one request.
struct Handling<F> {
    response: F,
    place: Arc<Place>,
}

impl<F, B, E> Future for Handling<F>
where
    F: Future<Output = Result<Response<B>, E>> + Unpin,
{
    type Output = Result<Response<PlacedBody<B>>, E>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let mut response = ready!(Pin::new(&mut self.response).poll(cx))?;
        if self.place.is_wanted(Instant::now()) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let place = Arc::clone(&self.place);
        Poll::Ready(Ok(response.map(|body| PlacedBody { body, place })))
    }
}

/// The body of a response. Its connection is idle once it is gone.
struct PlacedBody<B> {
    body: B,
    place: Arc<Place>,
}

impl<B: Body + Unpin> Body for PlacedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for PlacedBody<B> {
    fn drop(&mut self) {
        self.place.record_answered(Instant::now());
    }
}

type Connection<H> = http1::Connection<TokioIo<Socket>, Requests<H>>;

/// Serves a connection until it ends; once `closing` is true, until its current answer ends.
///
/// `refuse` hears of requests that could not be read, and gives the bytes of an answer where none
/// has been sent.
pub async fn serve<H, F, B, E>(
    stream: TcpStream,
    place: &Arc<Place>,
    terms: &Terms,
    handle: H,
    refuse: impl Fn(EdgeRefusal) -> Option<Vec<u8>>,
    closing: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Unpin,
    F: Future<Output = Result<Response<B>, E>> + Unpin,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
    E: Into<Box<dyn StdError + Send + Sync>>,
{
    let (socket, watch) = split(stream, Arc::clone(place), terms.write_time);
    let begun = Arc::new(AtomicU64::new(0));
    let unchunked = Arc::new(AtomicBool::new(false));
    let requests = Requests {
        handle,
        place: Arc::clone(place),
        begun: Arc::clone(&begun),
        unchunked: Arc::clone(&unchunked),
    };
    let mut connection = builder(terms).serve_connection(TokioIo::new(socket), requests);
    let ended = tokio::select! {
        ended = run(&mut connection, &watch, &begun, closing) => ended,
        () = place.lost() => Ended::PlaceLost,
    };
    // Dropping the rest of the connection drops what still served a request: its caller has left.
    let rest = connection.into_parts().read_buf;
    let Some(stream) = watch.into_stream() else { return };
    let closing = async {
        match ended {
            Ended::Served(Ok(())) => linger(stream).await,
            // What was sent of a response would look whole to such a caller.
            Ended::Served(Err(_)) | Ended::Left if unchunked.load(Ordering::Relaxed) => {
                reset(stream);
            }
            Ended::Served(Err(error)) => fail(stream, refuse, &error, &rest).await,
            Ended::Left => {}
            Ended::PlaceLost => reset(stream),
        }
    };
    tokio::select! {
        () = closing => {}
        () = place.lost() => {}
    }
}

async fn run<H, F, B, E>(
    connection: &mut Connection<H>,
    watch: &Watch,
    begun: &AtomicU64,
    mut closing: watch::Receiver<bool>,
) -> Ended
where
    H: Fn(Request<Incoming>) -> F + Unpin,
    F: Future<Output = Result<Response<B>, E>> + Unpin,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
    E: Into<Box<dyn StdError + Send + Sync>>,
{
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
fn poll<H, F, B, E>(
    connection: &mut Connection<H>,
    watch: &Watch,
    cx: &mut Context<'_>,
) -> Poll<Ended>
where
    H: Fn(Request<Incoming>) -> F + Unpin,
    F: Future<Output = Result<Response<B>, E>> + Unpin,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
    E: Into<Box<dyn StdError + Send + Sync>>,
{
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
async fn fail(
    stream: TcpStream,
    refuse: impl Fn(EdgeRefusal) -> Option<Vec<u8>>,
    error: &hyper::Error,
    rest: &[u8],
) {
    // Without a byte of a request, or with the line break that some clients send after a body, this is
    // just an idle connection.
    if error.is_timeout() && !rest.trim_ascii().is_empty() {
        match refuse(EdgeRefusal::SlowHeader) {
            Some(answer) => reject(stream, &answer).await,
            None => linger(stream).await,
        }
        return;
    }
    if error.is_parse() {
        // hyper has sent a bare 400 or 431 itself.
        let too_large = error.is_parse_too_large();
        let refusal = if too_large { EdgeRefusal::HeadersTooLarge } else { EdgeRefusal::BadHttp };
        let _ = refuse(refusal);
        linger(stream).await;
        return;
    }
    log::debug!("event=connection_ended error=\"{error}\"");
}

fn builder(terms: &Terms) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    builder.header_read_timeout(terms.head_time);
    // Headers up to twice the limit still get an answer that says what is wrong.
    builder.max_header_size(terms.head_bytes.saturating_mul(2));
    builder.max_buf_size(terms.head_bytes.saturating_mul(2).saturating_add(MIN_BUFFER));
    builder
}
