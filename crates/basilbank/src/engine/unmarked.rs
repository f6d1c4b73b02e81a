//! Bodies whose end nothing marks but the end of their connection.

use std::{
    io::ErrorKind,
    net::{SocketAddr, TcpStream, ToSocketAddrs},
};

use ureq::{
    Body,
    http::{
        Method, Response,
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
};

use crate::engine::agent::CONNECT;

/// Whether an answer has a body with neither length nor chunks. Its head has been checked, so that chunks
/// are its only transfer coding.
#[must_use]
pub fn is_unmarked(method: &Method, response: &Response<Body>) -> bool {
    let has_body = *method != Method::HEAD && !matches!(response.status().as_u16(), 204 | 304);
    let headers = response.headers();
    let is_marked = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    has_body && !is_marked
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
