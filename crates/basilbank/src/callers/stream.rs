//! An answer token by token, as server-sent events.

use std::{
    collections::VecDeque,
    convert::Infallible,
    fmt::Write,
    pin::Pin,
    task::{Context, Poll, ready},
};

use basilbank_core::{
    effect::Answer,
    event::ResumePoint,
    ids::{EndpointId, EntryId, RequestId},
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body, Frame},
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue},
};

use super::{
    body::Outgoing,
    chunk::{Envelope, Position, Usage},
    cursor::CursorKey,
    error::ApiError,
    form::Tail,
    headers::X_REQUEST_ID,
    open_call::OpenCall,
    registry::Reply,
};

const DONE: &[u8] = b"data: [DONE]\n\n";

/// Where the stream lives.
#[derive(Clone, Debug)]
struct Location {
    endpoint: EndpointId,
    stream: String,
    base: i64,
}

/// The body of a streamed answer: one frame for each token.
struct TokenStream {
    open: OpenCall,
    envelope: Envelope,
    cursors: CursorKey,
    tail: Tail,
    request: RequestId,
    entry: EntryId,
    location: Option<Location>,
    position: Position,
    frames: VecDeque<Bytes>,
    ended: bool,
}

/// Waits for a draft's first token and answers with a stream.
///
/// Until then the request may still be refused, and gets a status that says so.
///
/// # Errors
/// It was refused, or its outcome is unknown.
pub async fn answer(
    open: OpenCall,
    envelope: Envelope,
    cursors: CursorKey,
    tail: Tail,
) -> Result<Response<Outgoing>, ApiError> {
    let mut stream = TokenStream {
        open,
        envelope,
        cursors,
        tail,
        request: RequestId::default(),
        entry: EntryId::default(),
        location: None,
        position: Position::First,
        frames: VecDeque::new(),
        ended: false,
    };
    while stream.frames.is_empty() {
        let reply = stream.open.next().await;
        stream.take(reply).map_err(|e| stream.open.identify(e))?;
    }
    let request = stream.request.to_string();
    let mut response = Response::new(stream.boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    headers.insert("x-accel-buffering", HeaderValue::from_static("no"));
    if let Ok(id) = HeaderValue::from_str(&request) {
        headers.insert(X_REQUEST_ID, id);
    }
    Ok(response)
}

impl TokenStream {
    /// Turns a reply into frames.
    fn take(&mut self, reply: Reply) -> Result<(), ApiError> {
        match reply {
            Reply::Core(Answer::Accepted { request, entry }) => {
                self.request = request;
                self.entry = entry;
            }
            Reply::Core(Answer::Located { endpoint, stream, base_offset }) => {
                self.location = Some(Location { endpoint, stream, base: base_offset });
                if 0 < base_offset {
                    self.position = Position::Later;
                }
            }
            Reply::Core(Answer::Tokens { offset, texts }) => self.push_tokens(offset, &texts),
            Reply::Core(Answer::Done {
                reason,
                prompt_tokens,
                cached_tokens,
                generated_tokens,
            }) => {
                self.push_end(
                    &reason,
                    Usage {
                        prompt: prompt_tokens,
                        cached: cached_tokens,
                        generated: generated_tokens,
                    },
                );
            }
            Reply::Core(Answer::Refused { refusal, retry_after }) => {
                return Err(ApiError::refused(refusal, retry_after));
            }
            Reply::Core(Answer::Plain { .. } | Answer::Unknown) | Reply::Plain(_) => {
                return Err(ApiError::unknown());
            }
        }
        Ok(())
    }

    fn push_tokens(&mut self, offset: u32, texts: &[String]) {
        for (token, text) in (offset..).zip(texts) {
            let mut event = String::new();
            if let Some(cursor) = self.cursor(token) {
                // Writing to a string can't fail.
                let _ = writeln!(event, "id: {cursor}");
            }
            let json = self.envelope.token(self.request, text, self.position);
            let _ = write!(event, "data: {json}\n\n");
            self.position = Position::Later;
            self.frames.push_back(Bytes::from(event));
        }
    }

    /// The cursor of a token of the caller's answer. It points at the token after, which is the next
    /// one that the caller lacks.
    fn cursor(&self, token: u32) -> Option<String> {
        let location = self.location.as_ref()?;
        let offset = u32::try_from(i64::from(token) + 1 + location.base).ok()?;
        let (endpoint, stream) = (location.endpoint, location.stream.clone());
        Some(self.cursors.seal(&ResumePoint { endpoint, stream, offset, entry: self.entry }))
    }

    fn push_end(&mut self, reason: &str, usage: Usage) {
        let finish = self.envelope.finish(self.request, reason);
        self.frames.push_back(Bytes::from(format!("data: {finish}\n\n")));
        if self.tail == Tail::Usage {
            let usage = self.envelope.usage(self.request, usage);
            self.frames.push_back(Bytes::from(format!("data: {usage}\n\n")));
        }
        self.frames.push_back(Bytes::from_static(DONE));
        self.ended = true;
    }

    /// Ends a stream that has begun with an error. There is no `[DONE]`, so a client that knows
    /// nothing of `event: error` still sees that the answer is not whole.
    fn push_error(&mut self, error: &ApiError) {
        let json = error.json(&self.request.to_string());
        self.frames.push_back(Bytes::from(format!("event: error\ndata: {json}\n\n")));
        self.ended = true;
    }
}

impl Body for TokenStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        loop {
            if let Some(frame) = self.frames.pop_front() {
                return Poll::Ready(Some(Ok(Frame::data(frame))));
            }
            if self.ended {
                return Poll::Ready(None);
            }
            let reply = ready!(self.open.poll_next(cx));
            if let Err(error) = self.take(reply) {
                self.push_error(&error);
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended && self.frames.is_empty()
    }
}
