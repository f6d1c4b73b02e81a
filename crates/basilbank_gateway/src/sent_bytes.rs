//! Counts what this daemon sends, by purpose and by the receiver's data centre.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use basilbank_forward::state::{State, relays::data_centre_hash};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, body::Body as _};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Maximum number of pairs of purpose and data centre that are counted between two readings of the
/// metrics. Peers report their data centre themselves, so that there could be any number.
const MAX_PAIRS: usize = 64;

/// Label of the receiver's data centre if it is this daemon's own.
const OWN: &str = "own";

/// Label of the receiver's data centre if it is unknown.
const UNKNOWN: &str = "unknown";

/// Length of `" HTTP/1.1\r\n"` and of the blank line after the headers, with a space before the
/// path.
const REQUEST_LINE_BYTES: usize = 14;

/// Length of `": "` and of the end of a header's line.
const HEADER_LINE_BYTES: usize = 4;

/// What is sent.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum SentPurpose {
    /// Gossip datagrams about this daemon's load, and those that it relays.
    Gossip,
    /// Datagrams with messages to single peers.
    Direct,
    /// Messages about calls that a daemon makes for another one.
    Proxied,
    /// Requests to endpoints.
    Endpoint,
    /// Requests to the platform's store.
    Store,
}

impl SentPurpose {
    fn as_str(self) -> &'static str {
        match self {
            SentPurpose::Gossip => "gossip",
            SentPurpose::Direct => "direct",
            SentPurpose::Proxied => "proxied",
            SentPurpose::Endpoint => "endpoint",
            SentPurpose::Store => "store",
        }
    }
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct SentLabels {
    purpose: &'static str,
    data_centre: String,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    bytes: u64,
    messages: u64,
}

/// What was sent. The names of data centres are looked up only when the metrics are read.
#[derive(Debug, Default)]
pub struct SentBytes {
    /// By purpose and the hash of the data centre, since the metrics were read last.
    recent: Mutex<HashMap<(SentPurpose, u32), Sent>>,
    bytes: Family<SentLabels, Counter>,
    messages: Family<SentLabels, Counter>,
}

impl SentBytes {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Bytes sent, by purpose and the receiver's data centre";
        registry.register("sent_bytes", help, self.bytes.clone());
        let help = "Messages sent, by purpose and the receiver's data centre";
        registry.register("sent_messages", help, self.messages.clone());
    }

    /// Counts a message to a receiver in a data centre, whose hash is 0 if it is unknown.
    pub fn count(&self, purpose: SentPurpose, data_centre: u32, bytes: usize) {
        let mut recent = self.recent();
        let is_full = MAX_PAIRS <= recent.len();
        let key = (purpose, data_centre);
        let key = if is_full && !recent.contains_key(&key) { (purpose, 0) } else { key };
        let sent = recent.entry(key).or_default();
        sent.bytes += bytes as u64;
        sent.messages += 1;
    }

    /// Adds what was sent since the last call to the metrics. Data centres are named by the
    /// endpoints that are listed there.
    pub fn publish(&self, state: &State) {
        let recent = std::mem::take(&mut *self.recent());
        for ((purpose, hash), sent) in recent {
            let data_centre = data_centre_name(state, hash).to_owned();
            let labels = SentLabels { purpose: purpose.as_str(), data_centre };
            self.bytes.get_or_create(&labels).inc_by(sent.bytes);
            self.messages.get_or_create(&labels).inc_by(sent.messages);
        }
    }

    fn recent(&self) -> MutexGuard<'_, HashMap<(SentPurpose, u32), Sent>> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the label of a data centre.
fn data_centre_name(state: &State, hash: u32) -> &str {
    if hash == 0 {
        return UNKNOWN;
    }
    if hash == data_centre_hash(&state.local.data_centre) {
        return OWN;
    }
    let mut names = state.directory.listed().map(|(_, endpoint)| &endpoint.info.data_centre);
    names.find(|name| data_centre_hash(name) == hash).map_or(UNKNOWN, String::as_str)
}

/// Returns the length of a request as HTTP/1.1 sends it.
#[must_use]
pub fn request_bytes(request: &Request<Full<Bytes>>) -> usize {
    let path = request.uri().path_and_query().map_or(1, |path| path.as_str().len());
    let headers = request.headers().iter();
    let headers =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES);
    let body = usize::try_from(request.body().size_hint().lower()).unwrap_or(usize::MAX);
    request.method().as_str().len() + path + REQUEST_LINE_BYTES + headers.sum::<usize>() + body
}
