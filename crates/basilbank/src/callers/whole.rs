//! An answer in one piece: nothing is sent before the outcome is known, so that no half answer can
//! pass for a whole one.

use basilbank_core::effect::Answer;
use bytes::Bytes;
use hyper::{
    Response,
    header::{CONTENT_TYPE, HeaderValue},
};

use super::{
    body::{Outgoing, whole},
    chunk::{Envelope, Usage},
    error::ApiError,
    headers::X_REQUEST_ID,
    open_call::OpenCall,
    registry::Reply,
};

/// Waits for a draft's whole answer.
///
/// # Errors
/// It was refused, or its outcome is unknown.
pub async fn answer(
    mut open: OpenCall,
    envelope: &Envelope,
) -> Result<Response<Outgoing>, ApiError> {
    let mut text = String::new();
    let (reason, usage) = loop {
        match open.next().await {
            Reply::Core(Answer::Accepted { .. } | Answer::Located { .. }) => {}
            Reply::Core(Answer::Tokens { texts, .. }) => {
                text.extend(texts.iter().map(String::as_str));
            }
            Reply::Core(Answer::Done {
                reason,
                prompt_tokens,
                cached_tokens,
                generated_tokens,
            }) => {
                break (
                    reason,
                    Usage {
                        prompt: prompt_tokens,
                        cached: cached_tokens,
                        generated: generated_tokens,
                    },
                );
            }
            Reply::Core(Answer::Refused { refusal, retry_after }) => {
                return Err(open.identify(ApiError::refused(refusal, retry_after)));
            }
            Reply::Core(Answer::Plain { .. } | Answer::Unknown) | Reply::Plain(_) => {
                return Err(open.identify(ApiError::unknown()));
            }
        }
    };
    let request = open.request().unwrap_or_default();
    let json = envelope.whole(request, &text, &reason, usage);
    let mut response = Response::new(whole(Bytes::from(json)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(id) = HeaderValue::from_str(&request.to_string()) {
        headers.insert(X_REQUEST_ID, id);
    }
    Ok(response)
}
