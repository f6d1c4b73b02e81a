//! Endpoints' entries beside those that are in use: what they are judged by, and those set aside.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use crate::{endpoint::EndpointInfo, route::RouteTable};

/// How long a start is remembered after its end: entries come late by seconds, over a slow link by tens
/// of them. One that stands for longer is no late one: a clock that was set back gives such a start.
const REMEMBERED: Duration = Duration::from_secs(60);

/// Entries that were read and are not in use, and what is known of starts that have ended.
#[derive(Debug, Default)]
pub struct Entries {
    /// Services that any configuration named so far. One that the newest has dropped still has its
    /// calls in progress, and its endpoints are no strangers.
    services: HashSet<String>,
    /// Entries that were set aside, by instance. They are judged again when the configuration or the
    /// list changes.
    aside: BTreeMap<String, EndpointInfo>,
    /// Starts that have ended, by instance, and when that was noticed.
    ended: HashMap<String, (u64, Duration)>,
}

impl Entries {
    /// Learns the services that a configuration names.
    pub fn learn(&mut self, table: &RouteTable) {
        let routed = table.routes().iter().flat_map(|route| &route.split).map(|(name, _)| name);
        self.services.extend(table.services.keys().chain(routed).cloned());
    }

    /// Some configuration named the service.
    #[must_use]
    pub fn names(&self, service: &str) -> bool {
        self.services.contains(service)
    }

    /// Sets an entry aside; true when it is new or has changed.
    pub fn set_aside(&mut self, info: EndpointInfo) -> bool {
        if self.aside.get(&info.instance) == Some(&info) {
            return false;
        }
        self.aside.insert(info.instance.clone(), info);
        true
    }

    /// An instance's entry is in use, or gone; true when it had been set aside.
    pub fn forget(&mut self, instance: &str) -> bool {
        self.aside.remove(instance).is_some()
    }

    /// Keeps the entries of these instances only.
    pub fn keep(&mut self, listed: &HashSet<&str>) {
        self.aside.retain(|instance, _| listed.contains(instance.as_str()));
    }

    /// The entries that are set aside.
    #[must_use]
    pub fn aside(&self) -> Vec<EndpointInfo> {
        self.aside.values().cloned().collect()
    }

    /// Remembers that a start has ended.
    pub fn ended(&mut self, info: &EndpointInfo, now: Duration) {
        let Some(born) = info.born else { return };
        self.ended.retain(|_, (_, at)| now < *at + REMEMBERED);
        let ended = self.ended.entry(info.instance.clone()).or_insert((born, now));
        *ended = (ended.0.max(born), now);
    }

    /// The entry is of a start before one that has lately ended.
    #[must_use]
    pub fn is_former(&self, info: &EndpointInfo, now: Duration) -> bool {
        let ended = self.ended.get(&info.instance).filter(|(_, at)| now < *at + REMEMBERED);
        ended.zip(info.born).is_some_and(|((ended, _), born)| born < *ended)
    }
}
