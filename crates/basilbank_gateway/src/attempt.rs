//! Carries one attempt out.

use std::{rc::Rc, time::Duration};

use basilbank_forward::{effect::Target, prelude::*};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderName},
    http::request::Parts,
};
use tokio::time::timeout;

use crate::{
    connections::{CallError, Connection},
    dialect::AnswerKind,
    router::Router,
};

/// Largest whole answer: it is read to its end before it is passed on, so that one that breaks off
/// is not taken for whole.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Largest answer that is meant for the router itself.
const MAX_CONTROL_ANSWER_BYTES: usize = 64 << 10;

/// What an attempt came to, and what is to be passed on.
#[derive(Debug)]
pub struct AttemptResult {
    /// For the decisions.
    pub outcome: Outcome,
    /// For the caller.
    pub pending: Option<PendingAnswer>,
}

/// An answer that waits until the decisions say whether it is passed on.
#[derive(Debug)]
pub enum PendingAnswer {
    /// A whole one.
    Full(FullAnswer),
    /// A stream that has begun.
    Stream(Box<AnswerStream>),
}

/// A whole answer.
#[derive(Debug)]
pub struct FullAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those of the connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A stream that has begun.
#[derive(Debug)]
pub struct AnswerStream {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those of the connection.
    pub headers: HeaderMap,
    /// The rest of the body.
    pub body: Incoming,
    /// Its connection.
    pub connection: Connection,
    /// How long the endpoint keeps the connection.
    pub keep_alive: Option<Option<Duration>>,
    /// Silence after which its endpoint is asked whether it lives.
    pub stall_timeout: Option<Duration>,
    /// Where it comes from.
    pub target: Target,
}

/// One caller's request, as it came.
#[derive(Debug)]
pub struct CallerRequest {
    /// What the decisions know of it.
    pub call: Call,
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
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
            CallError::Broken(damage) => Outcome::Broken(damage),
            CallError::Silent => Outcome::TimedOut,
        }
    }
}

/// Carries an attempt out.
pub async fn run_attempt(
    router: Rc<Router>,
    caller_request: Rc<CallerRequest>,
    attempt: Attempt,
    last_event_id: Option<String>,
) -> AttemptResult {
    let dialect = &router.dialect;
    let request = (dialect.attempt_request)(
        &caller_request.head,
        &caller_request.body,
        &attempt,
        last_event_id.as_deref(),
    );
    let liveness_request = || (dialect.liveness_request)(&attempt.target.instance);
    let answer = match attempt.op {
        Op::Hold { .. } => {
            router.connections.call(&attempt.target, request, attempt.answer_timeout).await
        }
        Op::Plain | Op::Stream { .. } | Op::Prefill | Op::Decode { .. } => {
            let (answer_timeout, max_wait) = (attempt.answer_timeout, attempt.remaining);
            router
                .connections
                .call_while_alive(
                    &attempt.target,
                    request,
                    answer_timeout,
                    max_wait,
                    liveness_request,
                )
                .await
        }
    };
    let (response, connection) = match answer {
        Ok(answer) => answer,
        Err(error) => return AttemptResult::without_answer(error.into()),
    };
    let (head, body) = split_head(response);
    report_call_limit(&router, &attempt, &head);
    match (dialect.classify_answer)(&caller_request.call, &attempt.op, &head) {
        AnswerKind::Unclear => AttemptResult::without_answer(Outcome::Broken(Damage::Foreign)),
        AnswerKind::NotRun(why) => {
            drain_and_keep(&router, &attempt, &head, body, connection).await;
            AttemptResult::without_answer(Outcome::NotRun(why))
        }
        AnswerKind::Control => {
            read_control_answer(&router, &attempt, &head, body, connection).await
        }
        AnswerKind::Forward if is_streaming(&attempt.op) && head.status().is_success() => {
            let keep_alive = parse_keep_alive(&head);
            let (status, headers) = (head.status(), end_to_end_headers(head));
            let stream = AnswerStream {
                status,
                headers,
                body,
                connection,
                keep_alive,
                stall_timeout: attempt.stall_timeout,
                target: attempt.target,
            };
            let pending = Some(PendingAnswer::Stream(Box::new(stream)));
            AttemptResult { outcome: Outcome::Streaming, pending }
        }
        AnswerKind::Forward => read_full_answer(&router, &attempt, head, body, connection).await,
    }
}

/// Tells the decisions what the answer says of the endpoint's limit. One that says nothing lifts it, if the
/// endpoint has run the call: what refuses a call, or holds a slot, need not say it.
fn report_call_limit(router: &Rc<Router>, attempt: &Attempt, head: &Response<()>) {
    let endpoint = attempt.target.endpoint;
    let rate = (router.dialect.call_limit)(head);
    let runs = head.status().is_success() && !matches!(attempt.op, Op::Hold { .. });
    if rate.is_some() || runs && router.read(|state| state.call_limits.get(endpoint).is_some()) {
        router.dispatch(Event::CallLimit { endpoint, rate });
    }
}

/// Sends a request whose answer matters to nobody but the log.
pub async fn send_control(
    router: &Router,
    target: &Target,
    request: crate::dialect::OutRequest,
    answer_timeout: Duration,
) -> Result<StatusCode, CallError> {
    let (response, connection) = router.connections.call(target, request, answer_timeout).await?;
    let (head, body) = split_head(response);
    if collect_body(body, MAX_CONTROL_ANSWER_BYTES, answer_timeout).await.is_some()
        && let Some(keep_alive) = parse_keep_alive(&head)
    {
        router.connections.keep(target.endpoint, connection, keep_alive);
    }
    Ok(head.status())
}

async fn read_control_answer(
    router: &Router,
    attempt: &Attempt,
    head: &Response<()>,
    body: Incoming,
    connection: Connection,
) -> AttemptResult {
    let Some(bytes) = collect_body(body, MAX_CONTROL_ANSWER_BYTES, attempt.answer_timeout).await
    else {
        return AttemptResult::without_answer(Outcome::Broken(Damage::CutOff));
    };
    if let Some(keep_alive) = parse_keep_alive(head) {
        router.connections.keep(attempt.target.endpoint, connection, keep_alive);
    }
    let outcome = (router.dialect.parse_control_answer)(&attempt.op, &bytes);
    AttemptResult::without_answer(outcome.unwrap_or(Outcome::Broken(Damage::Garbled)))
}

async fn read_full_answer(
    router: &Router,
    attempt: &Attempt,
    head: Response<()>,
    body: Incoming,
    connection: Connection,
) -> AttemptResult {
    // A body that breaks off must not look whole: it is read to its end before it is passed on.
    let Some(bytes) = collect_body(body, MAX_ANSWER_BYTES, attempt.answer_timeout).await else {
        return AttemptResult::without_answer(Outcome::Broken(Damage::CutOff));
    };
    if let Some(keep_alive) = parse_keep_alive(&head) {
        router.connections.keep(attempt.target.endpoint, connection, keep_alive);
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
    body: Incoming,
    connection: Connection,
) {
    let drained = collect_body(body, MAX_CONTROL_ANSWER_BYTES, Duration::from_millis(50)).await;
    if let (Some(_), Some(keep_alive)) = (drained, parse_keep_alive(head)) {
        router.connections.keep(attempt.target.endpoint, connection, keep_alive);
    }
}

async fn collect_body(body: Incoming, max_bytes: usize, read_timeout: Duration) -> Option<Bytes> {
    let collected = timeout(read_timeout, Limited::new(body, max_bytes).collect()).await.ok()?;
    Some(collected.ok()?.to_bytes())
}

fn is_streaming(op: &Op) -> bool {
    matches!(op, Op::Stream { .. } | Op::Decode { .. })
}

fn split_head(response: Response<Incoming>) -> (Response<()>, Incoming) {
    let (head, body) = response.into_parts();
    (Response::from_parts(head, ()), body)
}

/// How long the endpoint keeps the connection: `None` when it closes it, `Some(None)` when it
/// doesn't say.
fn parse_keep_alive(head: &Response<()>) -> Option<Option<Duration>> {
    let closes = |value: &hyper::header::HeaderValue| {
        value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    };
    if head.headers().get_all(CONNECTION).iter().any(closes) {
        return None;
    }
    let value = head.headers().get(KEEP_ALIVE).and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|text| text.split("timeout=").nth(1));
    let digits =
        seconds.map(|text| text.chars().take_while(char::is_ascii_digit).collect::<String>());
    Some(digits.and_then(|digits| digits.parse().ok()).map(Duration::from_secs))
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

/// Removes the headers that concern one connection only, also those that `Connection` names.
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
