//! The stable codes of errors, and what goes with each.

use std::time::Duration;

use basilbank_core::reason::{Outcome, Refusal};
use hyper::StatusCode;

/// When a caller should come back that was turned away for a reason that passes.
pub const COME_BACK: Duration = Duration::from_secs(1);

/// Why a call was refused before the core heard of it, where no [`Refusal`] fits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub enum EdgeRefusal {
    /// No bearer key was presented.
    MissingKey,
    /// The body is not JSON.
    BadJson,
    /// The body asks for something that is not supported.
    Unsupported,
    /// A header that the API reads has a value that it does not know.
    BadHeader,
    /// The path does not take this method.
    WrongMethod,
    /// The request is not HTTP/1.1.
    BadHttp,
    /// The headers are too large.
    HeadersTooLarge,
    /// The headers did not arrive in time.
    SlowHeader,
    /// The body did not arrive in time.
    SlowBody,
    /// Too many connections are open.
    Connections,
    /// There is no memory for the body.
    BodyMemory,
}

impl EdgeRefusal {
    /// All of them, in order.
    pub const ALL: &[EdgeRefusal] = &[
        EdgeRefusal::MissingKey,
        EdgeRefusal::BadJson,
        EdgeRefusal::Unsupported,
        EdgeRefusal::BadHeader,
        EdgeRefusal::WrongMethod,
        EdgeRefusal::BadHttp,
        EdgeRefusal::HeadersTooLarge,
        EdgeRefusal::SlowHeader,
        EdgeRefusal::SlowBody,
        EdgeRefusal::Connections,
        EdgeRefusal::BodyMemory,
    ];

    /// The stable name, used as error code and metric label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            EdgeRefusal::MissingKey => "missing_key",
            EdgeRefusal::BadJson => "bad_json",
            EdgeRefusal::Unsupported => "unsupported",
            EdgeRefusal::BadHeader => "bad_header",
            EdgeRefusal::WrongMethod => "wrong_method",
            EdgeRefusal::BadHttp => "bad_http",
            EdgeRefusal::HeadersTooLarge => "headers_too_large",
            EdgeRefusal::SlowHeader => "slow_header",
            EdgeRefusal::SlowBody => "slow_body",
            EdgeRefusal::Connections => "connections",
            EdgeRefusal::BodyMemory => "body_memory",
        }
    }

    /// When another try may succeed; `None` when the call must be changed first.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        matches!(self, EdgeRefusal::Connections | EdgeRefusal::BodyMemory).then_some(COME_BACK)
    }
}

/// The `code` of an error.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum ErrorCode {
    /// Nothing was run. The core says so, or this daemon's edge where the same reason fits.
    Refused(Refusal),
    /// Nothing was run: the core never heard of the call.
    Edge(EdgeRefusal),
    /// It may have run.
    Unknown,
}

impl ErrorCode {
    /// The stable name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ErrorCode::Refused(refusal) => refusal.as_str(),
            ErrorCode::Edge(refusal) => refusal.as_str(),
            ErrorCode::Unknown => Outcome::Unknown.as_str(),
        }
    }

    /// The HTTP status.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            ErrorCode::Refused(refusal) => refusal_status(refusal),
            ErrorCode::Edge(refusal) => edge_status(refusal),
            ErrorCode::Unknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// The value of `X-Outcome`.
    ///
    /// A call whose idempotency key is another's, or can't be claimed, was not run. But an earlier
    /// call with the key may have been, and a client that retries by itself reports the last answer
    /// as that of the whole: its user would read "not run" and place a running order again under a new
    /// key. So these two must not say it.
    #[must_use]
    pub fn outcome(self) -> &'static str {
        match self {
            ErrorCode::Unknown
            | ErrorCode::Refused(Refusal::KeyRunning | Refusal::KeyUnclaimed) => "unknown",
            ErrorCode::Refused(_) | ErrorCode::Edge(_) => "not-run",
        }
    }

    /// The OpenAI API's family of errors.
    #[must_use]
    pub fn family(self) -> &'static str {
        match self.status() {
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            status if status.is_server_error() => "server_error",
            _ => "invalid_request_error",
        }
    }

    /// What is said when there is nothing more precise.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            ErrorCode::Refused(refusal) => refusal_message(refusal),
            ErrorCode::Edge(refusal) => edge_message(refusal),
            ErrorCode::Unknown => "the call may have run, but its answer can't be completed",
        }
    }
}

fn refusal_status(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
        Refusal::UnknownModel | Refusal::UnknownPath => StatusCode::NOT_FOUND,
        Refusal::BadRequest | Refusal::BadCursor => StatusCode::BAD_REQUEST,
        Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::StreamGone => StatusCode::GONE,
        Refusal::KeyRunning => StatusCode::CONFLICT,
        Refusal::RequestLimit | Refusal::TokenLimit | Refusal::ConcurrentLimit => {
            StatusCode::TOO_MANY_REQUESTS
        }
        Refusal::TargetMissed
        | Refusal::WaitTimedOut
        | Refusal::QueueFull
        | Refusal::NoEndpoint
        | Refusal::RetriesExhausted
        | Refusal::KeyUnclaimed
        | Refusal::ShuttingDown
        | Refusal::NotReady => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn edge_status(refusal: EdgeRefusal) -> StatusCode {
    match refusal {
        EdgeRefusal::MissingKey => StatusCode::UNAUTHORIZED,
        EdgeRefusal::BadJson
        | EdgeRefusal::Unsupported
        | EdgeRefusal::BadHeader
        | EdgeRefusal::BadHttp => StatusCode::BAD_REQUEST,
        EdgeRefusal::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
        EdgeRefusal::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        EdgeRefusal::SlowHeader | EdgeRefusal::SlowBody => StatusCode::REQUEST_TIMEOUT,
        EdgeRefusal::Connections | EdgeRefusal::BodyMemory => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn refusal_message(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::UnknownKey => "the key is not known",
        Refusal::UnknownModel => "there is no such model for this key",
        Refusal::UnknownPath => "there is no such path for this key",
        Refusal::BadRequest => "the request is not valid",
        Refusal::TooLarge => "the body is too large",
        Refusal::BadCursor => "the cursor in Last-Event-ID is not valid for this call",
        Refusal::StreamGone => "the stream that the cursor names is gone",
        Refusal::RequestLimit => "the limit of requests a second is used up",
        Refusal::TokenLimit => "the limit of tokens a second is used up",
        Refusal::ConcurrentLimit => "too many requests are in progress",
        Refusal::TargetMissed => "the request can't be answered in time now",
        Refusal::WaitTimedOut => "no capacity came free in time",
        Refusal::QueueFull => "too many requests wait",
        Refusal::NoEndpoint => "no endpoint serves this now",
        Refusal::RetriesExhausted => "no endpoint took the request",
        Refusal::KeyUnclaimed => {
            "the idempotency key could not be claimed: nothing was run for this call, but an earlier \
             one with the key may have run"
        }
        Refusal::KeyRunning => {
            "an earlier call with this idempotency key still runs; nothing was run for this one"
        }
        Refusal::ShuttingDown => "this daemon is shutting down",
        Refusal::NotReady => "this daemon is starting",
    }
}

fn edge_message(refusal: EdgeRefusal) -> &'static str {
    match refusal {
        EdgeRefusal::MissingKey => "send the key as Authorization: Bearer KEY",
        EdgeRefusal::BadJson => "the body is not JSON",
        EdgeRefusal::Unsupported => "this is not supported",
        EdgeRefusal::BadHeader => "a header is not valid",
        EdgeRefusal::WrongMethod => "the path does not take this method",
        EdgeRefusal::BadHttp => "the request is not valid HTTP/1.1",
        EdgeRefusal::HeadersTooLarge => "the headers are too large",
        EdgeRefusal::SlowHeader => "the headers did not arrive in time",
        EdgeRefusal::SlowBody => "the body did not arrive in time",
        EdgeRefusal::Connections => "too many connections are open",
        EdgeRefusal::BodyMemory => "there is no memory for the body now",
    }
}
