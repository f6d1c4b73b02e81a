//! A stand-in's HTTP server: one thread, one small runtime. Ending the runtime drops the listener
//! and all connections at once, which is how a stand-in dies.

use std::{
    fmt, io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    thread::JoinHandle,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::{
    Request, Response,
    body::{Body, Frame, Incoming},
    header::{CONTENT_TYPE, HeaderMap},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
};

/// One call to a stand-in.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Call {
    /// The path's segments.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }

    /// One parameter of the query.
    pub(crate) fn param(&self, name: &str) -> Option<String> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(percent_decode_str(value).decode_utf8_lossy().into_owned())
    }

    /// A number in the query; 0 when there is none.
    pub(crate) fn number(&self, name: &str) -> u64 {
        self.param(name).and_then(|v| v.parse().ok()).unwrap_or_default()
    }

    /// The body, read as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body)
            .map_err(|e| Reply::json(400, &serde_json::json!({ "error": e.to_string() })))
    }
}

/// What a stand-in answers.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A whole answer.
    Whole { status: u16, json: Vec<u8>, not_run: NotRun },
    /// Lines as they come. A body that is dropped before `Line::End` breaks the connection.
    Lines(mpsc::Receiver<Line>),
    /// No answer: the connection is closed.
    Drop,
}

/// Whether a whole answer carries the header of plain services that proves that nothing was run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum NotRun {
    /// It does.
    Proved,
    /// It does not.
    Unsaid,
}

/// Part of a streamed answer.
#[derive(Debug)]
pub(crate) enum Line {
    /// One JSON object.
    Json(Value),
    /// The answer is whole.
    End,
}

impl Reply {
    /// A JSON answer.
    pub(crate) fn json(status: u16, value: &Value) -> Reply {
        let json = value.to_string().into_bytes();
        Reply::Whole { status, json, not_run: NotRun::Unsaid }
    }
}

/// Something that answers calls.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one call.
    fn handle(self: Arc<Self>, call: Call) -> impl Future<Output = Reply> + Send;
}

/// A running server. Dropping it ends it.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens and serves.
    pub(crate) fn start<H: Handler>(address: SocketAddr, handler: Arc<H>) -> io::Result<Server> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new().name("standin".to_owned()).spawn(move || {
            runtime.block_on(async move {
                let Ok(listener) = TcpListener::from_std(listener) else { return };
                tokio::spawn(accept(listener, handler));
                // An error says that the sender is gone, which ends the server all the same.
                let _ = stopped.await;
            });
            runtime.shutdown_background();
        })?;
        Ok(Server { address, stop: Some(stop), thread: Some(thread) })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops the listener, all connections and all work, and waits until they are gone.
    pub(crate) fn end(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // A panic of the server's thread was already printed there.
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end();
    }
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        let Ok((socket, _)) = listener.accept().await else { continue };
        if socket.set_nodelay(true).is_err() {
            continue;
        }
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let service = service_fn(|request| serve(Arc::clone(&handler), request));
            // An error is a connection that broke, here often on purpose.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
        });
    }
}

async fn serve<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Result<Response<Either<Full<Bytes>, Lines>>, Broken> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Broken)?.to_bytes();
    let call = Call {
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    };
    let builder = Response::builder();
    let response = match handler.handle(call).await {
        Reply::Drop => return Err(Broken),
        Reply::Whole { status, json, not_run } => {
            let builder = match not_run {
                NotRun::Proved => builder.header("x-not-run", "true"),
                NotRun::Unsaid => builder,
            };
            let builder = builder.status(status).header(CONTENT_TYPE, "application/json");
            builder.body(Either::Left(Full::new(Bytes::from(json))))
        }
        Reply::Lines(lines) => {
            let builder = builder.header(CONTENT_TYPE, "application/x-ndjson");
            builder.body(Either::Right(Lines { lines }))
        }
    };
    response.map_err(|_| Broken)
}

/// A body of lines. Each one is flushed when it comes.
#[derive(Debug)]
pub(crate) struct Lines {
    lines: mpsc::Receiver<Line>,
}

impl Body for Lines {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        self.lines.poll_recv(context).map(|line| match line {
            Some(Line::Json(value)) => Some(Ok(Frame::data(Bytes::from(format!("{value}\n"))))),
            Some(Line::End) => None,
            None => Some(Err(Broken)),
        })
    }
}

/// The connection is to be closed without a proper end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("broken on purpose")
    }
}

impl std::error::Error for Broken {}
