//! Callers' bodies, in virtual time.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use basilbank_gateway::{BodyError, read_body};
use bytes::Bytes;
use hyper::body::{Body, Frame};
use test_case::test_case;
use tokio::{
    runtime::Builder,
    time::{Sleep, sleep},
};

/// A body of equal pieces, one each pause.
struct PacedBody {
    remaining_chunks: usize,
    chunk_bytes: usize,
    pause: Duration,
    next_chunk: Pin<Box<Sleep>>,
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining_chunks == 0 {
            return Poll::Ready(None);
        }
        if self.next_chunk.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.remaining_chunks -= 1;
        self.next_chunk = Box::pin(sleep(self.pause));
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![b'x'; self.chunk_bytes])))))
    }
}

/// Symptom: a caller with a bad connection could never send a long body.
/// Sequence: four megabytes come at 300 KB a second; after ten seconds the caller is told that it is
/// slow, and begins again at the first byte.
/// Cause: the limit was on the whole time, whatever had come.
#[test_case(140, 30_000, 100, Ok(4_200_000); "a long body that gets on")]
#[test_case(100, 2_000, 120, Ok(200_000); "a short one, slowly")]
#[test_case(1, 10, 9_900, Ok(10); "one that comes late")]
#[test_case(1, 10, 10_100, Err(BodyError::TooSlow); "one that comes too late")]
#[test_case(100_000, 1, 100, Err(BodyError::TooSlow); "one that drips")]
#[test_case(10, 1_000_000, 1, Err(BodyError::TooLong); "one that is too long")]
fn body_timeout_extends_with_progress(
    count: usize,
    bytes: usize,
    pause_ms: u64,
    expected: Result<usize, BodyError>,
) {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    let read = runtime.expect("a runtime").block_on(async {
        let pause = Duration::from_millis(pause_ms);
        let body = PacedBody {
            remaining_chunks: count,
            chunk_bytes: bytes,
            pause,
            next_chunk: Box::pin(sleep(pause)),
        };
        read_body(body, 5_000_000).await
    });
    assert_eq!(read.map(|bytes| bytes.len()), expected);
}
