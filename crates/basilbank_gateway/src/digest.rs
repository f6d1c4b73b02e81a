//! The digest of a request: the same for each attempt that asks for the same.

use basilbank_forward::prelude::*;
use bytes::Bytes;
use hyper::{
    header::{AUTHORIZATION, HOST},
    http::request::Parts,
};
use xxhash_rust::xxh3::Xxh3;

/// Hashes method, host, path with query, credentials and body.
///
/// The key that names a caller's team is left out: the decisions add the team, so that nothing of a key is
/// in what daemons tell each other and log.
///
/// Headers that callers change from one attempt to the next (ids, deadlines, estimates) are left out, and so
/// is the caller's address: a caller that tries again comes by another connection, at times through another
/// data centre.
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
        // Lengths keep what ends one part from counting as the next one's beginning.
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    Digest(hasher.digest())
}
