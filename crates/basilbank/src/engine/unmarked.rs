//! Bodies whose end nothing marks but the end of their connection.

use std::{
    io::ErrorKind,
    net::{SocketAddr, TcpStream, ToSocketAddrs},
};

use ureq::{
    Body,
    http::{
        HeaderMap, Method, Response, Version,
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
};

use crate::engine::agent::CONNECT;

/// Whether an answer has a body with neither length nor chunks.
#[must_use]
pub fn is_unmarked(method: &Method, response: &Response<Body>) -> bool {
    let has_body = *method != Method::HEAD && !matches!(response.status().as_u16(), 204 | 304);
    let is_chunked = response.version() != Version::HTTP_10 && is_chunked(response.headers());
    has_body && !is_chunked && !response.headers().contains_key(CONTENT_LENGTH)
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let values = headers.get_all(TRANSFER_ENCODING).iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case("chunked"))
}

/// Whether nothing listens at an address. A connection that can't be made for another reason than
/// a refusal proves nothing: a machine that is cut off closes no connections.
#[must_use]
pub fn is_deserted(address: &str) -> bool {
    let addresses: Vec<SocketAddr> =
        address.to_socket_addrs().map(Iterator::collect).unwrap_or_default();
    let is_refused = |address| {
        let connected = TcpStream::connect_timeout(address, CONNECT);
        connected.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
    };
    !addresses.is_empty() && addresses.iter().all(is_refused)
}
