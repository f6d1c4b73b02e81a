//! Callers' bodies, in virtual time.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use basilbank_gateway::{BadBody, read_body};
use bytes::Bytes;
use hyper::body::{Body, Frame};
use test_case::test_case;
use tokio::{
    runtime::Builder,
    time::{Sleep, sleep},
};

/// A body of equal pieces, one each pause.
struct Paced {
    left: usize,
    bytes: usize,
    pause: Duration,
    wait: Pin<Box<Sleep>>,
}

impl Body for Paced {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        if self.wait.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.left -= 1;
        self.wait = Box::pin(sleep(self.pause));
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![b'x'; self.bytes])))))
    }
}

/// Symptom: a caller with a bad connection could never send a long body.
/// Sequence: four megabytes come at 300 KB a second; after ten seconds the caller is told that it is
/// slow, and begins again at the first byte.
/// Cause: the limit was on the whole time, whatever had come.
#[test_case(140, 30_000, 100, Ok(4_200_000); "a long body that gets on")]
#[test_case(100, 2_000, 120, Ok(200_000); "a short one, slowly")]
#[test_case(1, 10, 9_900, Ok(10); "one that comes late")]
#[test_case(1, 10, 10_100, Err(BadBody::Slow); "one that comes too late")]
#[test_case(100_000, 1, 100, Err(BadBody::Slow); "one that drips")]
#[test_case(10, 1_000_000, 1, Err(BadBody::TooLong); "one that is too long")]
fn a_body_may_take_as_long_as_it_gets_on(
    count: usize,
    bytes: usize,
    pause_ms: u64,
    expected: Result<usize, BadBody>,
) {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    let read = runtime.expect("a runtime").block_on(async {
        let pause = Duration::from_millis(pause_ms);
        let body = Paced { left: count, bytes, pause, wait: Box::pin(sleep(pause)) };
        read_body(body, 5_000_000).await
    });
    assert_eq!(read.map(|bytes| bytes.len()), expected);
}
