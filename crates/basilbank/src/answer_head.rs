//! Checks the head of an endpoint's answer before anything of the answer is used.
//!
//! HTTP libraries take what RFC 9112 lets a recipient accept: transfer codings that they don't know,
//! lengths that are stated twice, and any status of three digits. An endpoint in trouble may have corrupted
//! such a head, and its body would then be cut or extended without a sign.

use std::{error::Error, fmt};

use hyper::{
    HeaderMap, StatusCode, Version,
    header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING},
};

/// What is wrong with the head of an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum HeadFault {
    /// Its status is none that a final answer can have.
    Status,
    /// What it says about the length of the body is invalid, ambiguous or contradictory.
    Framing,
}

impl fmt::Display for HeadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HeadFault::Status => "the answer's status is none of a final answer",
            HeadFault::Framing => "the answer's head says wrongly how long its body is",
        })
    }
}

impl Error for HeadFault {}

/// Lowest status of a final answer: those below are informational, and this program asks for no upgrade.
const MIN_FINAL_STATUS: u16 = 200;

/// Highest status that is defined.
const MAX_STATUS: u16 = 599;

/// Checks the head of a final answer.
///
/// # Errors
/// Returns what is wrong with it. Then neither its status nor its body can be trusted.
pub fn check_head(
    status: StatusCode,
    version: Version,
    headers: &HeaderMap,
) -> Result<(), HeadFault> {
    if !(MIN_FINAL_STATUS..=MAX_STATUS).contains(&status.as_u16()) {
        return Err(HeadFault::Status);
    }
    let length = single(headers, &CONTENT_LENGTH)?;
    let coding = single(headers, &TRANSFER_ENCODING)?;
    let is_valid = match (length, coding) {
        (None, None) => true,
        (Some(length), None) => is_length(length) && (has_body(status) || is_zero(length)),
        (None, Some(coding)) => is_chunked(coding) && is_coded(version) && has_body(status),
        (Some(_), Some(_)) => false,
    };
    if is_valid { Ok(()) } else { Err(HeadFault::Framing) }
}

/// Returns the value of a header that may come once at most.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, HeadFault> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    match values.next() {
        None => Ok(first),
        Some(_) => Err(HeadFault::Framing),
    }
}

fn is_length(value: &HeaderValue) -> bool {
    !value.is_empty() && value.as_bytes().iter().all(u8::is_ascii_digit)
}

fn is_zero(length: &HeaderValue) -> bool {
    length.as_bytes().iter().all(|byte| *byte == b'0')
}

/// Returns whether chunks are the only transfer coding: no other one was asked for.
fn is_chunked(coding: &HeaderValue) -> bool {
    coding.as_bytes().eq_ignore_ascii_case(b"chunked")
}

/// Returns whether transfer codings are defined in this version.
fn is_coded(version: Version) -> bool {
    version == Version::HTTP_11
}

/// Returns whether an answer with the status may have a body, whatever the request is.
fn has_body(status: StatusCode) -> bool {
    status != StatusCode::NO_CONTENT
}
