//! The headers that the API reads and writes, and those that it passes on.

use basilbank_core::catalogue::KeyHash;
use bytes::Bytes;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
};
use sha2::{Digest, Sha256};

use super::{code::EdgeRefusal, error::ApiError};

/// A caller's name for a call, the same on each retry.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `true` or `false`: whether the call may be run more than once.
pub const X_REPEATABLE: HeaderName = HeaderName::from_static("x-repeatable");
/// The request's id, on every answer.
pub const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// `not-run` or `unknown`, on every error.
pub const X_OUTCOME: HeaderName = HeaderName::from_static("x-outcome");
/// The cursor of the last event that a caller got.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Longest idempotency key in bytes.
pub const MAX_IDEMPOTENCY_KEY: usize = 255;

/// Headers that concern one connection only, whether or not `Connection` names them.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The hash of the bearer key that was presented.
///
/// # Errors
/// There is no key.
pub fn bearer(headers: &HeaderMap) -> Result<KeyHash, ApiError> {
    let value = headers.get(AUTHORIZATION).map(HeaderValue::as_bytes).unwrap_or_default();
    let (scheme, key) = value.split_at(value.iter().position(|b| *b == b' ').unwrap_or(0));
    let key = key.trim_ascii();
    if !scheme.eq_ignore_ascii_case(b"bearer") || key.is_empty() {
        return Err(ApiError::edge(EdgeRefusal::MissingKey));
    }
    Ok(Sha256::digest(key).into())
}

/// The idempotency key, if there is one.
///
/// # Errors
/// It is empty, too long, not plain ASCII, or there are several.
pub fn idempotency(headers: &HeaderMap) -> Result<Option<String>, ApiError> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.to_str().unwrap_or_default().trim();
    if text.is_empty() || MAX_IDEMPOTENCY_KEY < text.len() || values.next().is_some() {
        let message =
            format!("send one Idempotency-Key of 1 to {MAX_IDEMPOTENCY_KEY} ASCII characters");
        return Err(ApiError::edge(EdgeRefusal::BadHeader).with_message(message));
    }
    Ok(Some(text.to_owned()))
}

/// Whether the caller says that the call may be run more than once.
///
/// # Errors
/// The value is neither `true` nor `false`. To guess would risk a second run.
pub fn repeatable(headers: &HeaderMap) -> Result<Option<bool>, ApiError> {
    let Some(value) = headers.get(X_REPEATABLE) else { return Ok(None) };
    match value.as_bytes().trim_ascii() {
        b"true" => Ok(Some(true)),
        b"false" => Ok(Some(false)),
        _ => Err(ApiError::edge(EdgeRefusal::BadHeader)
            .with_message("X-Repeatable is either true or false")),
    }
}

/// The headers of a plain call that its service gets.
#[must_use]
pub fn to_service(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let own = [HOST, AUTHORIZATION, CONTENT_LENGTH, EXPECT, X_REPEATABLE, X_REQUEST_ID];
    end_to_end(headers).filter(|(name, _)| !own.contains(name)).map(owned).collect()
}

/// The headers of a service's answer that its caller gets.
#[must_use]
pub fn from_service(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    end_to_end(headers).map(owned).collect()
}

/// The headers of a message that are not hop-by-hop ones.
fn end_to_end(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers.iter().filter(move |(name, _)| {
        !is_hop_by_hop(name.as_str()) && !named.iter().any(|n| n == name.as_str())
    })
}

/// Whether a header, in lower case, concerns one connection only.
#[must_use]
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

fn owned((name, value): (&HeaderName, &HeaderValue)) -> (String, Bytes) {
    (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
}
