//! Responses that the router itself gives, and the bodies of all responses.

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

/// A part of a stream.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes of the stream.
    Data(Bytes),
    /// The stream is complete.
    End,
}

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The body in one part.
    Full(Option<Bytes>),
    /// The body as a stream.
    Chunks(mpsc::Receiver<Chunk>),
}

/// The error of a stream that is given up before its end. It ends the connection, so that the
/// stream doesn't look complete.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StreamAborted;

impl fmt::Display for StreamAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("stream aborted before its end")
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
            // A channel that closes without `End` means that the stream's task is gone. If that
            // ended the body, an incomplete stream would look complete.
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

/// A response that the router itself gives.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable reason, written into the body.
    pub reason: &'static str,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// Creates a response with a status and a reason.
    #[must_use]
    pub fn new(status: StatusCode, reason: &'static str) -> ErrorResponse {
        ErrorResponse { status, reason, retry_after: None }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, after: Option<Duration>) -> ErrorResponse {
        self.retry_after = after;
        self
    }

    /// Builds the HTTP response.
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

/// Builds the response that forwards an endpoint's answer.
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
