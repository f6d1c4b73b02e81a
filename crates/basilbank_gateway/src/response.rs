//! Answers of the router's own, and the bodies that go out.

use std::{
    convert::Infallible,
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Body, Frame, SizeHint},
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use tokio::sync::mpsc;

/// A piece of a stream.
#[derive(Debug)]
pub enum Chunk {
    /// Some bytes.
    Data(Bytes),
    /// The stream ended whole.
    End,
}

/// The body of an answer.
#[derive(Debug)]
pub enum ResponseBody {
    /// All at once.
    Full(Option<Bytes>),
    /// Piece by piece.
    Chunks(mpsc::Receiver<Chunk>),
}

/// A stream was given up midway. The connection must end so that it doesn't look complete.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StreamAborted;

impl fmt::Display for StreamAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream was cut")
    }
}

impl std::error::Error for StreamAborted {}

impl From<Infallible> for StreamAborted {
    fn from(error: Infallible) -> StreamAborted {
        match error {}
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            ResponseBody::Full(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            // A channel that closes without an end means that the stream's task is gone: were that
            // an end, half a stream would look complete.
            ResponseBody::Chunks(chunks) => match ready!(chunks.poll_recv(cx)) {
                Some(Chunk::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(Chunk::End) => Poll::Ready(None),
                None => Poll::Ready(Some(Err(StreamAborted))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            ResponseBody::Chunks(_) => SizeHint::default(),
        }
    }
}

/// An answer of the router's own.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ErrorResponse {
    /// The status.
    pub status: StatusCode,
    /// Its stable reason.
    pub reason: &'static str,
    /// When another try may succeed.
    pub retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// An answer with a status and a reason.
    #[must_use]
    pub fn new(status: StatusCode, reason: &'static str) -> ErrorResponse {
        ErrorResponse { status, reason, retry_after: None }
    }

    /// With a time to come back.
    #[must_use]
    pub fn with_retry_after(mut self, after: Option<Duration>) -> ErrorResponse {
        self.retry_after = after;
        self
    }

    /// The response.
    #[must_use]
    pub fn to_response(&self) -> Response<ResponseBody> {
        let body = Bytes::from(format!("{{\"error\":\"{}\"}}\n", self.reason));
        let mut response = Response::new(ResponseBody::Full(Some(body)));
        *response.status_mut() = self.status;
        let json = hyper::header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = seconds.parse() {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// An endpoint's answer, as it is passed on.
#[must_use]
pub fn forwarded_response(
    status: StatusCode,
    headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
