//! A plain call's way to the core, and its service's answer back.

use basilbank_core::{
    effect::Answer,
    event::{Call, CallKind, PlainCall},
};
use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Response, StatusCode, Uri,
    header::{CONTENT_LENGTH, HeaderName, HeaderValue},
};

use super::{
    body::{Outgoing, whole},
    error::ApiError,
    headers::{
        X_OUTCOME, X_REQUEST_ID, bearer, idempotency, is_hop_by_hop, repeatable, to_service,
    },
    open_call::OpenCall,
    registry::{HeldPlain, PlainAnswer, Reply},
    service::Api,
};

impl Api {
    /// Serves a plain call.
    ///
    /// # Errors
    /// It is refused, or its outcome is unknown.
    pub async fn plain(
        &self,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response<Outgoing>, ApiError> {
        let key = bearer(headers)?;
        let (idempotency, repeatable) = (idempotency(headers)?, repeatable(headers)?);
        let target = uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
        let path = uri.path().to_owned();
        let held =
            HeldPlain { method: method.to_string(), target, headers: to_service(headers), body };
        let (caller, replies) = self.callers.open_plain(held);
        let work = CallKind::Plain(PlainCall { method: method.to_string(), path });
        let call = Call { caller, key, idempotency_key: idempotency, repeatable, kind: work };
        let mut open = OpenCall::begin(call, replies, &self.events, &self.callers)?;
        loop {
            let error = match open.next().await {
                Reply::Plain(answer) => return respond(&open, method, answer),
                Reply::Core(Answer::Refused { refusal, retry_after }) => {
                    ApiError::refused(refusal, retry_after)
                }
                Reply::Core(Answer::Unknown | Answer::Done { .. }) => ApiError::unknown(),
                Reply::Core(_) => continue,
            };
            return Err(open.identify(error));
        }
    }
}

/// Passes a service's answer on. An interim status can't end a call, so one that claims to is an
/// unknown outcome.
fn respond(
    open: &OpenCall,
    method: &Method,
    answer: PlainAnswer,
) -> Result<Response<Outgoing>, ApiError> {
    let status = StatusCode::from_u16(answer.status).ok().filter(|s| !s.is_informational());
    let Some(status) = status else { return Err(open.identify(ApiError::unknown())) };
    let mut response = Response::new(whole(answer.body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        let (Ok(name), Ok(value)) = (name, value) else { continue };
        if is_passed_back(&name, method) {
            headers.append(name, value);
        }
    }
    let id = open.request().unwrap_or_default().to_string();
    if let Ok(id) = HeaderValue::from_str(&id) {
        headers.insert(X_REQUEST_ID, id);
    }
    Ok(response)
}

/// The length is worked out afresh from the body, but for HEAD, whose answer has none. `X-Outcome`
/// is the router's word.
fn is_passed_back(name: &HeaderName, method: &Method) -> bool {
    if *name == CONTENT_LENGTH {
        return *method == Method::HEAD;
    }
    !is_hop_by_hop(name.as_str()) && *name != X_REQUEST_ID && *name != X_OUTCOME
}
