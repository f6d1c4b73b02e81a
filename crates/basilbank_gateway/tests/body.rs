//! Reading of callers' bodies, in virtual time.

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

/// A body of equal chunks, each after a pause.
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

/// A caller with a slow connection could never send a long body: four megabytes at 300 KB per
/// second were refused as too slow after ten seconds, and the caller started again at the first
/// byte. The timeout limited the whole time, however much had arrived.
#[test_case(140, 30_000, 100, Ok(4_200_000); "long body with steady progress")]
#[test_case(100, 2_000, 120, Ok(200_000); "short body, slowly")]
#[test_case(1, 10, 9_900, Ok(10); "late body")]
#[test_case(1, 10, 10_100, Err(BodyError::TooSlow); "body that is too late")]
#[test_case(100_000, 1, 100, Err(BodyError::TooSlow); "one byte at a time")]
#[test_case(10, 1_000_000, 1, Err(BodyError::TooLong); "body that is too long")]
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
