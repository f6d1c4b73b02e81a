//! The body of an answer that an endpoint sends to this daemon.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use basilbank_forward::effect::Target;
use bytes::Bytes;
use hyper::{
    Response,
    body::{Body, Frame, Incoming},
};

use crate::{endpoint_body::BodyBroken, framing::Framing, router::Router};

/// The body of an answer that an endpoint sends to this daemon.
///
/// A process that ends closes its connections in an orderly way, which looks like the end of a body
/// that nothing else marks. So such an end counts only if the endpoint's process lives on.
pub struct DirectBody {
    incoming: Incoming,
    end: End,
}

/// What the end of the body proves.
enum End {
    /// The framing marks the end.
    Marked,
    /// The end of the connection is all that marks it.
    Unmarked { router: Rc<Router>, target: Target },
    /// The body has ended, and the endpoint is checked.
    Checking(Pin<Box<dyn Future<Output = bool>>>),
}

impl fmt::Debug for DirectBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DirectBody").field("incoming", &self.incoming).finish_non_exhaustive()
    }
}

impl DirectBody {
    /// Takes the body of an answer of the endpoint.
    #[must_use]
    pub fn take(
        router: &Rc<Router>,
        target: &Target,
        answer: Response<Incoming>,
    ) -> Response<DirectBody> {
        // The body of an answer that can't have one is at its end from the start.
        let is_marked =
            answer.body().is_end_stream() || Framing::of(answer.headers()) != Framing::Connection;
        let end = match is_marked {
            true => End::Marked,
            false => End::Unmarked { router: Rc::clone(router), target: target.clone() },
        };
        answer.map(|incoming| DirectBody { incoming, end })
    }
}

impl Body for DirectBody {
    type Data = Bytes;
    type Error = BodyBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyBroken>>> {
        let body = self.get_mut();
        loop {
            if let End::Checking(check) = &mut body.end {
                let is_alive = ready!(check.as_mut().poll(cx));
                body.end = End::Marked;
                return Poll::Ready((!is_alive).then_some(Err(BodyBroken)));
            }
            if let Some(frame) = ready!(Pin::new(&mut body.incoming).poll_frame(cx)) {
                return Poll::Ready(Some(frame.map_err(|_| BodyBroken)));
            }
            match std::mem::replace(&mut body.end, End::Marked) {
                End::Unmarked { router, target } => {
                    let check = async move { router.outlives_answer(&target).await };
                    body.end = End::Checking(Box::pin(check));
                }
                End::Marked | End::Checking(_) => return Poll::Ready(None),
            }
        }
    }
}
