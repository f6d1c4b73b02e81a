//! What endpoints say of themselves.

use std::time::Duration;

use basilbank_core::{
    catalogue::Role,
    event::{EngineReport, StreamInfo},
    ids::{EndpointId, VmId},
};
use serde::de::DeserializeOwned;

use crate::{
    engine::{
        CONTROL_TIMEOUT, Worker,
        protocol::{Cache, Load, StreamRow, Streams, hex},
        received::read_whole,
    },
    sync::lock,
};

/// Longest report in bytes.
const REPORT: u64 = 4 << 20;

impl Worker {
    /// Reads an endpoint's load, and the cache events since the last read.
    ///
    /// A read of an endpoint that is still being read is dropped: a hanging endpoint would otherwise
    /// take one thread more with each interval, until no other endpoint's load could be read.
    pub fn read_load(&self, endpoint: EndpointId) {
        let Some(after) = self.open_cursor(endpoint) else { return };
        let Some(load) = self.get::<Load>(endpoint, "/load") else {
            self.close_cursor(endpoint, after);
            return self.report(endpoint, EngineReport::NoResponse);
        };
        self.report(endpoint, load_report(load));
        let cache = self.get::<Cache>(endpoint, &format!("/cache?after={after}"));
        self.close_cursor(endpoint, cache.as_ref().map_or(after, |c| c.seq));
        let Some(cache) = cache else { return };
        if cache.gap || !cache.added.is_empty() || !cache.evicted.is_empty() {
            self.report(endpoint, cache_report(&cache));
        }
    }

    /// Lists an endpoint's streams and KV caches.
    pub fn list_streams(&self, endpoint: EndpointId) {
        let report = match self.get::<Streams>(endpoint, "/streams") {
            Some(list) => {
                EngineReport::Streams(list.streams.into_iter().filter_map(stream_info).collect())
            }
            None => EngineReport::NoResponse,
        };
        self.report(endpoint, report);
    }

    fn open_cursor(&self, endpoint: EndpointId) -> Option<u64> {
        let mut cursors = lock(&self.cursors);
        let cursor = cursors.entry(endpoint).or_default();
        if cursor.reading {
            return None;
        }
        cursor.reading = true;
        Some(cursor.sequence)
    }

    fn close_cursor(&self, endpoint: EndpointId, sequence: u64) {
        let mut cursors = lock(&self.cursors);
        let cursor = cursors.entry(endpoint).or_default();
        cursor.reading = false;
        cursor.sequence = sequence;
    }

    fn get<T: DeserializeOwned>(&self, endpoint: EndpointId, path: &str) -> Option<T> {
        let url = format!("{}{path}", self.base(endpoint)?);
        let request = self.control.get(url).config().timeout_global(Some(CONTROL_TIMEOUT)).build();
        let mut response = request.call().ok()?;
        if response.status() != 200 {
            return None;
        }
        let text = read_whole(&mut response, REPORT).ok()?;
        serde_json::from_slice(&text).ok()
    }
}

fn load_report(load: Load) -> EngineReport {
    EngineReport::Load {
        running: load.running,
        queued: load.queued,
        age: Duration::from_millis(load.age_ms),
        leaving: load.leaving,
        model: load.model,
        version: load.version,
        adapter: load.adapter,
        role: role(&load.role),
        fence: load.fence,
    }
}

fn role(name: &str) -> Option<Role> {
    match name {
        "prefill" => Some(Role::Prefill),
        "decode" => Some(Role::Decode),
        _ => None,
    }
}

fn cache_report(cache: &Cache) -> EngineReport {
    let blocks = |names: &[String]| names.iter().filter_map(|name| hex(name)).collect();
    EngineReport::Cache {
        added: blocks(&cache.added),
        evicted: blocks(&cache.evicted),
        gap: cache.gap,
    }
}

fn stream_info(row: StreamRow) -> Option<StreamInfo> {
    Some(StreamInfo {
        vm: VmId(hex(&row.vm)?),
        request: hex(&row.request)?,
        stream: row.stream,
        is_kv_cache: row.kv,
        incarnation: row.incarnation,
        idle: Duration::from_millis(row.idle_ms),
    })
}
