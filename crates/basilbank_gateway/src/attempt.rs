//! Carries out one attempt at an endpoint.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use basilbank_forward::{effect::Target, prelude::*};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Body,
    header::{CONNECTION, CONTENT_TYPE, HeaderName},
    http::request::Parts,
};
use tokio::time::timeout;

use crate::{
    belonging::AnswerOrigin,
    connections::{CallError, Connection},
    dialect::AnswerKind,
    endpoint_body::EndpointBody,
    endpoint_calls::EndpointCall,
    framing::Framing,
    gathered_answer::GatheredAnswer,
    relay::{StreamProgress, next_frame},
    router::Router,
};

/// Maximum size of an answer that is not a stream. It is read to its end before it is forwarded, so
/// that one that breaks off is not taken for complete.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Maximum size of an answer that is meant for the router itself.
const MAX_CONTROL_ANSWER_BYTES: usize = 64 << 10;

/// Maximum time for which an idle connection is kept, whatever the endpoint says. Any time that is
/// added to a clock needs a bound.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3600);

/// The outcome of an attempt, and the answer to forward.
#[derive(Debug)]
pub struct AttemptResult {
    /// Outcome for the reducer.
    pub outcome: Outcome,
    /// Answer for the caller.
    pub pending: Option<PendingAnswer>,
}

/// An answer that waits until the reducer decides whether it is forwarded.
#[derive(Debug)]
pub enum PendingAnswer {
    /// A complete answer.
    Full(FullAnswer),
    /// A stream that has begun.
    Stream(Box<AnswerStream>),
}

/// A complete answer.
#[derive(Debug)]
pub struct FullAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// A stream that has begun.
#[derive(Debug)]
pub struct AnswerStream {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// How the end of the body is marked.
    pub framing: Framing,
    /// Whether the body consists of server-sent events.
    pub is_events: bool,
    /// Maximum number of tokens of the whole stream, if the caller states it.
    pub max_tokens: Option<u32>,
    /// The caller's id of the call, for logs.
    pub trace_id: String,
    /// Rest of the body.
    pub body: EndpointBody,
    /// Connection that carries the stream; `None` if a peer passes it on.
    pub connection: Option<Connection>,
    /// How long the endpoint keeps the connection open, as `parse_keep_alive` returns it.
    pub keep_alive: Option<Option<Duration>>,
    /// Time without data after which the endpoint is asked whether it is alive.
    pub stall_timeout: Option<Duration>,
    /// Endpoint that sends the stream.
    pub target: Target,
}

/// A caller's request as it was received.
#[derive(Debug)]
pub struct CallerRequest {
    /// The parsed call, for the reducer.
    pub call: Call,
    /// Request head.
    pub head: Parts,
    /// Request body; `None` once no further attempt will send it.
    pub body: RefCell<Option<Bytes>>,
}

impl AttemptResult {
    fn without_answer(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, pending: None }
    }
}

impl From<CallError> for Outcome {
    fn from(error: CallError) -> Outcome {
        match error {
            CallError::Unreachable => Outcome::Unreachable,
            CallError::NotProxied(failure) => Outcome::NotProxied(failure),
            CallError::Withheld => Outcome::Withheld,
            CallError::Broken(damage) => Outcome::Broken(damage),
            CallError::Silent => Outcome::TimedOut,
        }
    }
}

/// Carries out an attempt.
pub async fn run_attempt(
    router: Rc<Router>,
    caller_request: Rc<CallerRequest>,
    attempt: Attempt,
    last_event_id: Option<String>,
) -> AttemptResult {
    let dialect = &router.dialect;
    let Some(body) = caller_request.body.borrow().clone() else {
        return AttemptResult::without_answer(Outcome::Broken(Damage::CutOff));
    };
    let last_event_id = last_event_id.as_deref();
    let request = (dialect.attempt_request)(&caller_request.head, &body, &attempt, last_event_id);
    // The attempt may last for long after the body was sent.
    drop(body);
    let call = |answer_timeout| EndpointCall {
        target: &attempt.target,
        request,
        answer_timeout,
        purpose: Purpose::Work,
        remaining: Some(attempt.remaining),
        call: Some(&caller_request.call),
    };
    let liveness_request = || (dialect.liveness_request)(&attempt.target.instance);
    let answer = match attempt.op {
        Op::Hold { .. } => router.call_endpoint(call(attempt.answer_timeout)).await,
        Op::Plain | Op::Stream { .. } | Op::Prefill | Op::Decode { .. } => {
            let max_wait = attempt.remaining;
            let answer_timeout = attempt.answer_timeout;
            let (request, number) = (caller_request.call.id, attempt.number);
            let was_silent = Cell::new(false);
            let on_silence = |silent_for| {
                was_silent.set(true);
                router.dispatch(Event::AttemptSilent { request, attempt: number, silent_for });
            };
            let call = call(max_wait);
            let answer =
                router.call_while_alive(call, answer_timeout, liveness_request, on_silence).await;
            if was_silent.get() && answer.is_ok() {
                router.dispatch(Event::AttemptResumed { request, attempt: number });
            }
            answer
        }
    };
    let (response, connection) = match answer {
        Ok(answer) => answer,
        Err(error) => return AttemptResult::without_answer(error.into()),
    };
    let (head, body) = split_head(response);
    report_lifted_limit(&router, &attempt, &head);
    let origin = answer_origin(connection.as_ref());
    match (dialect.classify_answer)(&attempt.op, &head) {
        AnswerKind::Unclear => {
            let due = Some(caller_request.call.trace_id.as_str());
            router.log_foreign_answer(Purpose::Work, due, &attempt.target, &head, origin);
            AttemptResult::without_answer(Outcome::Broken(Damage::Foreign))
        }
        AnswerKind::NotRun(why) => {
            router.log_refusal(&caller_request, &attempt, &head, origin);
            drain_and_keep(&router, &attempt, &head, body, connection).await;
            AttemptResult::without_answer(Outcome::NotRun(why))
        }
        AnswerKind::Control => {
            let body = read_answer_body(&router, &caller_request, &attempt, body).await;
            read_control_answer(&router, &attempt, &head, body, connection)
        }
        AnswerKind::Forward if is_streaming(&attempt.op) && is_stream(head.status()) => {
            let keep_alive = parse_keep_alive(head.headers());
            let framing = Framing::of(head.headers());
            let is_events = is_event_stream(head.headers());
            let (status, headers) = (head.status(), end_to_end_headers(head));
            let stream = AnswerStream {
                status,
                headers,
                framing,
                is_events,
                max_tokens: caller_request.call.prompt.as_ref().map(|prompt| prompt.max_output),
                trace_id: caller_request.call.trace_id.clone(),
                body,
                connection,
                keep_alive,
                stall_timeout: attempt.stall_timeout,
                target: attempt.target,
            };
            let pending = Some(PendingAnswer::Stream(Box::new(stream)));
            AttemptResult { outcome: Outcome::Streaming, pending }
        }
        AnswerKind::Forward => {
            let body = read_answer_body(&router, &caller_request, &attempt, body).await;
            read_full_answer(&router, &attempt, head, body, connection)
        }
    }
}

fn answer_origin(connection: Option<&Connection>) -> AnswerOrigin {
    let place = connection.map(Connection::answer_place);
    place.map_or(AnswerOrigin::Peer, AnswerOrigin::Direct)
}

/// Reports to the reducer that the endpoint has no call limit any more: it has run the call and its
/// answer states none. An answer that refuses a call or holds a slot need not state the limit.
fn report_lifted_limit(router: &Rc<Router>, attempt: &Attempt, head: &Response<()>) {
    let endpoint = attempt.target.endpoint;
    let has_run = head.status().is_success() && !matches!(attempt.op, Op::Hold { .. });
    let is_stated = (router.dialect.call_limit)(head.headers()).is_some();
    let is_limited = || router.read(|state| state.call_limits.get(endpoint).is_some());
    if has_run && !is_stated && is_limited() {
        router.dispatch(Event::CallLimit { endpoint, rate: None });
    }
}

/// Sends a request whose answer is only logged.
pub async fn send_control(
    router: &Rc<Router>,
    target: &Target,
    request: crate::dialect::OutRequest,
    answer_timeout: Duration,
    purpose: Purpose,
) -> Result<StatusCode, CallError> {
    let call = EndpointCall::own(target, request, answer_timeout, purpose);
    let (response, connection) = router.call_endpoint(call).await?;
    let (head, mut body) = split_head(response);
    if collect_body(&mut body, MAX_CONTROL_ANSWER_BYTES, answer_timeout).await.is_some()
        && let Some(keep_alive) = parse_keep_alive(head.headers())
    {
        router.keep_connection(target.endpoint, connection, keep_alive);
    }
    Ok(head.status())
}

/// Reads the body of an answer that is not a stream to its end before it is forwarded, so that one that
/// breaks off doesn't look complete. A silent endpoint may go on, so it is waited for until the attempt
/// is stopped. Only a slot that is held is not worth it.
async fn read_answer_body(
    router: &Rc<Router>,
    caller_request: &CallerRequest,
    attempt: &Attempt,
    mut body: EndpointBody,
) -> Result<Bytes, Damage> {
    let max_bytes = match attempt.op {
        Op::Hold { .. } => {
            let (max_bytes, read_timeout) = (MAX_CONTROL_ANSWER_BYTES, attempt.answer_timeout);
            let collected = collect_body(&mut body, max_bytes, read_timeout).await;
            return collected.ok_or_else(|| body.damage());
        }
        Op::Prefill => MAX_CONTROL_ANSWER_BYTES,
        Op::Plain | Op::Stream { .. } | Op::Decode { .. } => MAX_ANSWER_BYTES,
    };
    let (request, number) = (caller_request.call.id, attempt.number);
    let on_progress = |progress| match progress {
        StreamProgress::Silent(silent_for) => {
            router.dispatch(Event::AttemptSilent { request, attempt: number, silent_for });
        }
        StreamProgress::Resumed => {
            router.dispatch(Event::AttemptResumed { request, attempt: number });
        }
        StreamProgress::FirstEvent | StreamProgress::WroteOn => {}
    };
    if (max_bytes as u64) < body.size_hint().lower() {
        return Err(Damage::Endless);
    }
    let stall_timeout = Some(attempt.answer_timeout);
    let mut answer = GatheredAnswer::new(router.bodies.claim_answer(), max_bytes);
    while let Some(frame) =
        next_frame(router, &attempt.target, &mut body, stall_timeout, &on_progress).await
    {
        let Ok(data) = frame.map_err(|_| body.damage())?.into_data() else { continue };
        answer.push(&data).await?;
    }
    Ok(answer.finish())
}

fn read_control_answer(
    router: &Router,
    attempt: &Attempt,
    head: &Response<()>,
    body: Result<Bytes, Damage>,
    connection: Option<Connection>,
) -> AttemptResult {
    let bytes = match body {
        Ok(bytes) => bytes,
        Err(damage) => return AttemptResult::without_answer(Outcome::Broken(damage)),
    };
    if let Some(keep_alive) = parse_keep_alive(head.headers()) {
        router.keep_connection(attempt.target.endpoint, connection, keep_alive);
    }
    let outcome = (router.dialect.parse_control_answer)(&attempt.op, &bytes);
    AttemptResult::without_answer(outcome.unwrap_or(Outcome::Broken(Damage::Garbled)))
}

fn read_full_answer(
    router: &Router,
    attempt: &Attempt,
    head: Response<()>,
    body: Result<Bytes, Damage>,
    connection: Option<Connection>,
) -> AttemptResult {
    let bytes = match body {
        Ok(bytes) => bytes,
        Err(damage) => return AttemptResult::without_answer(Outcome::Broken(damage)),
    };
    if let Some(keep_alive) = parse_keep_alive(head.headers()) {
        router.keep_connection(attempt.target.endpoint, connection, keep_alive);
    }
    let status = head.status();
    let answer = FullAnswer { status, headers: end_to_end_headers(head), body: bytes };
    let outcome = Outcome::Answered { status: status.as_u16() };
    AttemptResult { outcome, pending: Some(PendingAnswer::Full(answer)) }
}

async fn drain_and_keep(
    router: &Router,
    attempt: &Attempt,
    head: &Response<()>,
    mut body: EndpointBody,
    connection: Option<Connection>,
) {
    let drained =
        collect_body(&mut body, MAX_CONTROL_ANSWER_BYTES, Duration::from_millis(50)).await;
    if let (Some(_), Some(keep_alive)) = (drained, parse_keep_alive(head.headers())) {
        router.keep_connection(attempt.target.endpoint, connection, keep_alive);
    }
}

async fn collect_body(
    body: &mut EndpointBody,
    max_bytes: usize,
    read_timeout: Duration,
) -> Option<Bytes> {
    let collected = timeout(read_timeout, Limited::new(body, max_bytes).collect()).await.ok()?;
    Some(collected.ok()?.to_bytes())
}

fn is_streaming(op: &Op) -> bool {
    matches!(op, Op::Stream { .. } | Op::Decode { .. })
}

/// Returns whether an answer to a call for a stream is one. An answer without content is read like other
/// answers, since its head alone would be a complete one.
fn is_stream(status: StatusCode) -> bool {
    status.is_success() && status != StatusCode::NO_CONTENT
}

/// Returns whether a stream consists of server-sent events. One that doesn't state its type does.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let is_events = |value: &hyper::header::HeaderValue| {
        value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("text/event-stream"))
    };
    headers.get(CONTENT_TYPE).is_none_or(is_events)
}

fn split_head(response: Response<EndpointBody>) -> (Response<()>, EndpointBody) {
    let (head, body) = response.into_parts();
    (Response::from_parts(head, ()), body)
}

/// Returns how long the endpoint keeps the connection open: `None` if it closes the connection,
/// `Some(None)` if it doesn't say.
pub fn parse_keep_alive(headers: &HeaderMap) -> Option<Option<Duration>> {
    let closes = |value: &hyper::header::HeaderValue| {
        value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    };
    if headers.get_all(CONNECTION).iter().any(closes) {
        return None;
    }
    let value = headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|text| text.split("timeout=").nth(1));
    let digits =
        seconds.map(|text| text.chars().take_while(char::is_ascii_digit).collect::<String>());
    let keep_alive = digits.and_then(|digits| digits.parse().ok()).map(Duration::from_secs);
    Some(keep_alive.map(|time| time.min(MAX_KEEP_ALIVE)))
}

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    hyper::header::TE,
    hyper::header::TRAILER,
    hyper::header::TRANSFER_ENCODING,
    hyper::header::UPGRADE,
];

/// Removes the headers that concern one connection only, including those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<_> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse::<HeaderName>().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

fn end_to_end_headers(head: Response<()>) -> HeaderMap {
    let mut headers = head.into_parts().0.headers;
    strip_hop_by_hop(&mut headers);
    headers
}
