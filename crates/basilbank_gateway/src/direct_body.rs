//! The body of an answer that an endpoint sends to this daemon.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use basilbank_forward::{effect::Target, prelude::*};
use bytes::Bytes;
use hyper::{
    Response,
    body::{Body, Frame, Incoming, SizeHint},
};

use crate::{
    connections::Connection,
    end_proof::{AnswerTimes, EndProof},
    endpoint_body::BodyBroken,
    framing::Framing,
    inbound::Inbound,
    router::Router,
};

/// The body of an answer that an endpoint sends to this daemon.
///
/// A process that ends closes its connections in an orderly way, which looks like the end of a body
/// that nothing else marks. So such an end counts only if the process that wrote the body lives on.
pub struct DirectBody {
    incoming: Incoming,
    end: End,
    /// Bounds what comes without a piece of the body, and shows what comes behind it.
    inbound: Inbound,
}

/// What the end of the body proves.
enum End {
    /// The framing marks the end.
    Marked,
    /// The end of the connection is all that marks it.
    Unmarked(Writer),
    /// The body has ended, and its writer is checked.
    Checking(Pin<Box<dyn Future<Output = EndProof>>>),
    /// The body has ended.
    Checked(EndProof),
    /// More has come behind the body: its length was corrupted, and what came of it is not the whole.
    Excess,
}

/// The process that writes the body.
struct Writer {
    router: Rc<Router>,
    target: Target,
    times: AnswerTimes,
    /// Whether the answer is a success, for which the whole request had to be read.
    is_success: bool,
}

impl Writer {
    /// Checks whether the body is whole, which that of a success isn't if its connection has ended before
    /// the request was written.
    async fn check(self, is_written: bool) -> EndProof {
        let proof = match is_written || !self.is_success {
            true => self.router.check_writer(&self.target, self.times).await,
            false => EndProof::Early,
        };
        self.router.metrics.count_end_check(proof);
        proof
    }
}

impl fmt::Debug for DirectBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DirectBody").field("incoming", &self.incoming).finish_non_exhaustive()
    }
}

impl DirectBody {
    /// Takes the body of an answer that the endpoint sends over the connection.
    #[must_use]
    pub fn take(
        router: &Rc<Router>,
        target: &Target,
        answer: Response<Incoming>,
        connection: &Connection,
    ) -> Response<DirectBody> {
        // The body of an answer that can't have one is at its end from the start.
        let is_marked =
            answer.body().is_end_stream() || Framing::of(answer.headers()) != Framing::Connection;
        let writer = || Writer {
            router: Rc::clone(router),
            target: target.clone(),
            times: router.answer_times(connection),
            is_success: answer.status().is_success(),
        };
        let end = if is_marked { End::Marked } else { End::Unmarked(writer()) };
        let inbound = connection.inbound();
        inbound.guard.await_body();
        answer.map(|incoming| DirectBody { incoming, end, inbound })
    }

    /// Returns why the body broke off.
    #[must_use]
    pub fn damage(&self) -> Damage {
        match self.inbound.guard.is_exceeded() {
            true => Damage::Endless,
            false if matches!(self.end, End::Excess) => Damage::Garbled,
            false => Damage::CutOff,
        }
    }

    /// Returns what proves that the body is whole, or why nothing does; `None` before its end, and if
    /// its connection broke.
    #[must_use]
    pub fn proof(&self) -> Option<EndProof> {
        match self.end {
            End::Checked(proof) => Some(proof),
            End::Marked | End::Unmarked(_) | End::Checking(_) | End::Excess => None,
        }
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
            match &mut body.end {
                End::Checking(check) => {
                    let proof = ready!(check.as_mut().poll(cx));
                    body.end = End::Checked(proof);
                    return Poll::Ready((!proof.is_whole()).then_some(Err(BodyBroken)));
                }
                End::Checked(_) | End::Excess => return Poll::Ready(None),
                End::Marked | End::Unmarked(_) => {}
            }
            if let Some(frame) = ready!(Pin::new(&mut body.incoming).poll_frame(cx)) {
                body.inbound.guard.await_body();
                return Poll::Ready(Some(frame.map_err(|_| BodyBroken)));
            }
            body.inbound.guard.end();
            if body.inbound.has_excess() {
                body.end = End::Excess;
                return Poll::Ready(Some(Err(BodyBroken)));
            }
            let end = std::mem::replace(&mut body.end, End::Checked(EndProof::Framing));
            if let End::Unmarked(writer) = end {
                let is_written = body.inbound.guard.is_written();
                body.end = End::Checking(Box::pin(writer.check(is_written)));
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
