//! The digest of a request, which is the same for each retry of it.

use basilbank_forward::prelude::*;
use bytes::Bytes;
use hyper::{
    header::{AUTHORIZATION, HOST},
    http::request::Parts,
};
use xxhash_rust::xxh3::Xxh3;

/// Hashes method, host, path with query, credentials and body.
///
/// The key that names a caller's team is left out: the reducer adds the team, so that no part of a
/// key is in messages between daemons or in logs.
///
/// Headers that callers change from one attempt to the next (ids, deadlines, estimates) are left
/// out, and so is the caller's address: a caller that retries uses another connection, at times
/// through another data centre.
pub fn digest(head: &Parts, body: &Bytes) -> Digest {
    let header = |name| head.headers.get(name).map_or(&b""[..], |value| value.as_bytes());
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let parts = [
        head.method.as_str().as_bytes(),
        header(HOST),
        path.as_bytes(),
        header(AUTHORIZATION),
        body,
    ];
    let mut hasher = Xxh3::new();
    for part in parts {
        // Lengths separate the parts: otherwise bytes could move from the end of one part to the
        // start of the next without changing the hash.
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    Digest(hasher.digest())
}
