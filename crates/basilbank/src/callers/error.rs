//! What a caller is told when its call does not succeed.

use std::time::Duration;

use basilbank_core::{ids::RequestId, reason::Refusal};
use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{ALLOW, CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE},
};
use serde::Serialize;

use super::{
    body::{Outgoing, whole},
    code::{COME_BACK, EdgeRefusal, ErrorCode},
    headers::{X_OUTCOME, X_REQUEST_ID},
};

/// Who refused a call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Origin {
    /// The callers' side, which counts it itself.
    Edge,
    /// The core, which has counted it already.
    Core,
}

/// A call that does not succeed, with what its caller is told.
#[derive(Clone, Debug)]
pub struct ApiError {
    /// Why.
    pub code: ErrorCode,
    /// Who says so.
    pub origin: Origin,
    /// For people; never holds a key or a prompt.
    pub message: String,
    /// The field that is wrong.
    pub param: Option<&'static str>,
    /// When another try may succeed.
    pub after: Option<Duration>,
    /// The methods that the path takes.
    pub allow: Option<&'static str>,
    /// The request, when the core accepted it.
    pub request: Option<RequestId>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    family: &'static str,
    param: Option<&'static str>,
    code: &'static str,
    request_id: &'a str,
}

impl ApiError {
    /// A refusal by the callers' side.
    #[must_use]
    pub fn edge(refusal: EdgeRefusal) -> ApiError {
        let after = refusal.retry_after();
        ApiError { after, ..ApiError::new(ErrorCode::Edge(refusal), Origin::Edge) }
    }

    /// A refusal by the callers' side for a reason that the core knows too.
    #[must_use]
    pub fn early(refusal: Refusal) -> ApiError {
        let after = refusal.is_temporary().then_some(COME_BACK);
        ApiError { after, ..ApiError::new(ErrorCode::Refused(refusal), Origin::Edge) }
    }

    /// A refusal by the core.
    #[must_use]
    pub fn refused(refusal: Refusal, after: Option<Duration>) -> ApiError {
        ApiError { after, ..ApiError::new(ErrorCode::Refused(refusal), Origin::Core) }
    }

    /// A call that may have run.
    #[must_use]
    pub fn unknown() -> ApiError {
        ApiError::new(ErrorCode::Unknown, Origin::Core)
    }

    fn new(code: ErrorCode, origin: Origin) -> ApiError {
        let message = code.message().to_owned();
        ApiError { code, origin, message, param: None, after: None, allow: None, request: None }
    }

    /// Says more precisely what is wrong.
    #[must_use]
    pub fn with_message(mut self, message: impl Into<String>) -> ApiError {
        self.message = message.into();
        self
    }

    /// Names the field that is wrong.
    #[must_use]
    pub fn with_param(mut self, param: &'static str) -> ApiError {
        self.param = Some(param);
        self
    }

    /// Names the methods that the path takes.
    #[must_use]
    pub fn with_allow(mut self, allow: &'static str) -> ApiError {
        self.allow = Some(allow);
        self
    }

    /// The JSON, in the OpenAI API's shape.
    #[must_use]
    pub fn json(&self, request_id: &str) -> String {
        let fields = ErrorFields {
            message: &self.message,
            family: self.code.family(),
            param: self.param,
            code: self.code.as_str(),
            request_id,
        };
        serde_json::to_string(&ErrorBody { error: fields }).unwrap_or_default()
    }

    /// `Retry-After` in whole seconds, rounded up: a caller that trusts it does not come too early.
    #[must_use]
    pub fn retry_after(&self) -> Option<u64> {
        let after = self.after?;
        Some(after.as_secs() + u64::from(0 < after.subsec_nanos()))
    }

    /// The whole response.
    #[must_use]
    pub fn response(&self, request_id: &str) -> Response<Outgoing> {
        let mut response = Response::new(whole(Bytes::from(self.json(request_id))));
        *response.status_mut() = self.code.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(X_OUTCOME, HeaderValue::from_static(self.code.outcome()));
        if let Ok(id) = HeaderValue::from_str(request_id) {
            headers.insert(X_REQUEST_ID, id);
        }
        if let Some(seconds) = self.retry_after() {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(allow) = self.allow {
            headers.insert(ALLOW, HeaderValue::from_static(allow));
        }
        if self.code.status() == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }

    /// The response as bytes, for a connection that hyper does not serve (any more).
    #[must_use]
    pub fn raw_response(&self, request_id: &str) -> Vec<u8> {
        let status = self.code.status();
        let body = self.json(request_id);
        let mut text = format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\n");
        text += &format!("X-Outcome: {}\r\nX-Request-Id: {request_id}\r\n", self.code.outcome());
        if let Some(seconds) = self.retry_after() {
            text += &format!("Retry-After: {seconds}\r\n");
        }
        text += &format!("Connection: close\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        text.into_bytes()
    }
}
