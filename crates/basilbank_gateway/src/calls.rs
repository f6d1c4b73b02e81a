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
    dialect::Head,
    links::{CallError, Link},
    router::Router,
};

/// Largest whole answer: it is read to its end before it is passed on, so that one that breaks off
/// is not taken for whole.
const WHOLE: usize = 8 << 20;

/// Largest answer that is meant for the router itself.
const OWN: usize = 64 << 10;

/// What an attempt came to, and what is to be passed on.
#[derive(Debug)]
pub struct Came {
    /// For the decisions.
    pub outcome: Outcome,
    /// For the caller.
    pub parked: Option<Parked>,
}

/// An answer that waits until the decisions say whether it is passed on.
#[derive(Debug)]
pub enum Parked {
    /// A whole one.
    Whole(Answer),
    /// A stream that has begun.
    Stream(Box<Stream>),
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those of the connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A stream that has begun.
#[derive(Debug)]
pub struct Stream {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those of the connection.
    pub headers: HeaderMap,
    /// The rest of the body.
    pub body: Incoming,
    /// Its connection.
    pub link: Link,
    /// How long the endpoint keeps the connection.
    pub kept: Option<Option<Duration>>,
    /// Silence after which its endpoint is asked whether it lives.
    pub stall: Option<Duration>,
    /// Where it comes from.
    pub target: Target,
}

/// One caller's request, as it came.
#[derive(Debug)]
pub struct Original {
    /// What the decisions know of it.
    pub call: Call,
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
}

impl Came {
    fn bare(outcome: Outcome) -> Came {
        Came { outcome, parked: None }
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
pub async fn carry_out(
    router: Rc<Router>,
    original: Rc<Original>,
    attempt: Attempt,
    last: Option<String>,
) -> Came {
    let dialect = &router.dialect;
    let request = (dialect.request)(&original.head, &original.body, &attempt, last.as_deref());
    let alive = || (dialect.alive)(&attempt.target.instance);
    let answer = match attempt.op {
        Op::Hold { .. } => {
            router.links.call(&attempt.target, request, attempt.answer_timeout).await
        }
        Op::Plain | Op::Stream { .. } | Op::Prefill | Op::Decode { .. } => {
            let (limit, longest) = (attempt.answer_timeout, attempt.remaining);
            router.links.call_patiently(&attempt.target, request, limit, longest, alive).await
        }
    };
    let (response, link) = match answer {
        Ok(answer) => answer,
        Err(error) => return Came::bare(error.into()),
    };
    let (head, body) = split(response);
    learn_limit(&router, &attempt, &head);
    match (dialect.head)(&original.call, &attempt.op, &head) {
        Head::Unclear => Came::bare(Outcome::Broken(Damage::Foreign)),
        Head::NotRun(why) => {
            keep_after(&router, &attempt, &head, body, link).await;
            Came::bare(Outcome::NotRun(why))
        }
        Head::Own => own(&router, &attempt, &head, body, link).await,
        Head::Answer if streams(&attempt.op) && head.status().is_success() => {
            let kept = kept(&head);
            let (status, headers) = (head.status(), end_to_end(head));
            let stream = Stream {
                status,
                headers,
                body,
                link,
                kept,
                stall: attempt.stall_timeout,
                target: attempt.target,
            };
            let parked = Some(Parked::Stream(Box::new(stream)));
            Came { outcome: Outcome::Streaming, parked }
        }
        Head::Answer => whole(&router, &attempt, head, body, link).await,
    }
}

/// Tells the decisions what the answer says of the endpoint's limit. One that says nothing lifts it, if the
/// endpoint has run the call: what refuses a call, or holds a slot, need not say it.
fn learn_limit(router: &Rc<Router>, attempt: &Attempt, head: &Response<()>) {
    let endpoint = attempt.target.endpoint;
    let rate = (router.dialect.call_limit)(head);
    let runs = head.status().is_success() && !matches!(attempt.op, Op::Hold { .. });
    if rate.is_some() || runs && router.read(|state| state.call_limits.get(endpoint).is_some()) {
        router.dispatch(Event::CallLimit { endpoint, rate });
    }
}

/// Sends a request whose answer matters to nobody but the log.
pub async fn send_off(
    router: &Router,
    target: &Target,
    request: crate::dialect::OutRequest,
    limit: Duration,
) -> Result<StatusCode, CallError> {
    let (response, link) = router.links.call(target, request, limit).await?;
    let (head, body) = split(response);
    if read(body, OWN, limit).await.is_some()
        && let Some(kept) = kept(&head)
    {
        router.links.keep(target.endpoint, link, kept);
    }
    Ok(head.status())
}

async fn own(
    router: &Router,
    attempt: &Attempt,
    head: &Response<()>,
    body: Incoming,
    link: Link,
) -> Came {
    let Some(bytes) = read(body, OWN, attempt.answer_timeout).await else {
        return Came::bare(Outcome::Broken(Damage::CutOff));
    };
    if let Some(kept) = kept(head) {
        router.links.keep(attempt.target.endpoint, link, kept);
    }
    let outcome = (router.dialect.own_body)(&attempt.op, &bytes);
    Came::bare(outcome.unwrap_or(Outcome::Broken(Damage::Garbled)))
}

async fn whole(
    router: &Router,
    attempt: &Attempt,
    head: Response<()>,
    body: Incoming,
    link: Link,
) -> Came {
    // A body that breaks off must not look whole: it is read to its end before it is passed on.
    let Some(bytes) = read(body, WHOLE, attempt.answer_timeout).await else {
        return Came::bare(Outcome::Broken(Damage::CutOff));
    };
    if let Some(kept) = kept(&head) {
        router.links.keep(attempt.target.endpoint, link, kept);
    }
    let status = head.status();
    let answer = Answer { status, headers: end_to_end(head), body: bytes };
    let outcome = Outcome::Answered { status: status.as_u16() };
    Came { outcome, parked: Some(Parked::Whole(answer)) }
}

async fn keep_after(
    router: &Router,
    attempt: &Attempt,
    head: &Response<()>,
    body: Incoming,
    link: Link,
) {
    let read = read(body, OWN, Duration::from_millis(50)).await;
    if let (Some(_), Some(kept)) = (read, kept(head)) {
        router.links.keep(attempt.target.endpoint, link, kept);
    }
}

async fn read(body: Incoming, most: usize, limit: Duration) -> Option<Bytes> {
    let collected = timeout(limit, Limited::new(body, most).collect()).await.ok()?;
    Some(collected.ok()?.to_bytes())
}

fn streams(op: &Op) -> bool {
    matches!(op, Op::Stream { .. } | Op::Decode { .. })
}

fn split(response: Response<Incoming>) -> (Response<()>, Incoming) {
    let (head, body) = response.into_parts();
    (Response::from_parts(head, ()), body)
}

/// How long the endpoint keeps the connection: `None` when it closes it, `Some(None)` when it
/// doesn't say.
fn kept(head: &Response<()>) -> Option<Option<Duration>> {
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

fn end_to_end(head: Response<()>) -> HeaderMap {
    let mut headers = head.into_parts().0.headers;
    strip_hop_by_hop(&mut headers);
    headers
}
