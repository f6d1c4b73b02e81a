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
pub enum Piece {
    /// Some bytes.
    Data(Bytes),
    /// The stream ended whole.
    End,
}

/// The body of an answer.
#[derive(Debug)]
pub enum OutBody {
    /// All at once.
    Whole(Option<Bytes>),
    /// Piece by piece.
    Pieces(mpsc::Receiver<Piece>),
}

/// A stream was given up midway. The connection must end so that it doesn't look complete.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream was cut")
    }
}

impl std::error::Error for Cut {}

impl From<Infallible> for Cut {
    fn from(never: Infallible) -> Cut {
        match never {}
    }
}

impl Body for OutBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            OutBody::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            // A channel that closes without an end means that the stream's task is gone: were that
            // an end, half a stream would look complete.
            OutBody::Pieces(pieces) => match ready!(pieces.poll_recv(cx)) {
                Some(Piece::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(Piece::End) => Poll::Ready(None),
                None => Poll::Ready(Some(Err(Cut))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, OutBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            OutBody::Pieces(_) => SizeHint::default(),
        }
    }
}

/// An answer of the router's own.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct OwnAnswer {
    /// The status.
    pub status: StatusCode,
    /// Its stable reason.
    pub reason: &'static str,
    /// When another try may succeed.
    pub after: Option<Duration>,
}

impl OwnAnswer {
    /// An answer with a status and a reason.
    #[must_use]
    pub fn new(status: StatusCode, reason: &'static str) -> OwnAnswer {
        OwnAnswer { status, reason, after: None }
    }

    /// With a time to come back.
    #[must_use]
    pub fn with_after(mut self, after: Option<Duration>) -> OwnAnswer {
        self.after = after;
        self
    }

    /// The response.
    #[must_use]
    pub fn response(&self) -> Response<OutBody> {
        let body = Bytes::from(format!("{{\"error\":\"{}\"}}\n", self.reason));
        let mut response = Response::new(OutBody::Whole(Some(body)));
        *response.status_mut() = self.status;
        let json = hyper::header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        if let Some(after) = self.after {
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
pub fn passed_on(status: StatusCode, headers: HeaderMap, body: OutBody) -> Response<OutBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
