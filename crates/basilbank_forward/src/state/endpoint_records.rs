//! Endpoints' entries beside those that are in use: what they are judged by, and those set aside.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use crate::{endpoint::EndpointInfo, route::RouteTable};

/// How long a start is remembered after its end: entries come late by seconds, over a slow link by tens
/// of them. One that stands for longer is no late one: a clock that was set back gives such a start.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// Entries that were read and are not in use, and what is known of starts that have ended.
#[derive(Debug, Default)]
pub struct EndpointRecords {
    /// Services that any configuration named so far. One that the newest has dropped still has its
    /// calls in progress, and its endpoints are no strangers.
    services: HashSet<String>,
    /// Entries that were set aside, by instance. They are judged again when the configuration or the
    /// list changes.
    excluded: BTreeMap<String, EndpointInfo>,
    /// Starts that have ended, by instance.
    ended: HashMap<String, Ended>,
}

/// The last start of an instance that has ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    /// When it was, if it said so.
    start_time: Option<u64>,
    /// When its end was noticed.
    at: Duration,
}

impl EndpointRecords {
    /// Learns the services that a configuration names.
    pub fn add_services(&mut self, table: &RouteTable) {
        let routed = table.routes().iter().flat_map(|route| &route.split).map(|(name, _)| name);
        self.services.extend(table.services.keys().chain(routed).cloned());
    }

    /// Some configuration named the service.
    #[must_use]
    pub fn knows_service(&self, service: &str) -> bool {
        self.services.contains(service)
    }

    /// Sets an entry aside; true when it is new or has changed.
    pub fn exclude(&mut self, info: EndpointInfo) -> bool {
        if self.excluded.get(&info.instance) == Some(&info) {
            return false;
        }
        self.excluded.insert(info.instance.clone(), info);
        true
    }

    /// An instance's entry is in use, or gone; true when it had been set aside.
    pub fn remove(&mut self, instance: &str) -> bool {
        self.excluded.remove(instance).is_some()
    }

    /// Keeps the entries of these instances only.
    pub fn retain_listed(&mut self, listed: &HashSet<&str>) {
        self.excluded.retain(|instance, _| listed.contains(instance.as_str()));
    }

    /// The entries that are set aside.
    #[must_use]
    pub fn excluded(&self) -> Vec<EndpointInfo> {
        self.excluded.values().cloned().collect()
    }

    /// Remembers that a start has ended.
    pub fn record_end(&mut self, info: &EndpointInfo, now: Duration) {
        self.ended.retain(|_, ended| now < ended.at + ENDED_RETENTION);
        let before = self.ended.get(&info.instance).and_then(|ended| ended.start_time);
        let ended = Ended { start_time: before.max(info.start_time), at: now };
        self.ended.insert(info.instance.clone(), ended);
    }

    /// The entry is of a start before one that has lately ended.
    #[must_use]
    pub fn is_before_ended(&self, info: &EndpointInfo, now: Duration) -> bool {
        let ended = self.recent_end(info, now).and_then(|ended| ended.start_time);
        ended.zip(info.start_time).is_some_and(|(ended, start_time)| start_time < ended)
    }

    /// The entry is of a start that has lately ended, or of one before it.
    #[must_use]
    pub fn has_ended(&self, info: &EndpointInfo, now: Duration) -> bool {
        let Some(ended) = self.recent_end(info, now) else { return false };
        // An entry that leaves its start out says nothing of it; one that begins to say it is of another.
        info.start_time
            .is_none_or(|start_time| ended.start_time.is_some_and(|ended| start_time <= ended))
    }

    fn recent_end(&self, info: &EndpointInfo, now: Duration) -> Option<Ended> {
        let ended = self.ended.get(&info.instance).copied();
        ended.filter(|ended| now < ended.at + ENDED_RETENTION)
    }
}
