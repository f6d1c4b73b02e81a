//! Endpoint records that are excluded from use, and what is needed to check records.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use super::statements::Statements;
use crate::{endpoint::EndpointInfo, route::RouteTable};

/// Time for which an ended incarnation is remembered. Records arrive late by seconds, over a slow
/// link by tens of seconds. A record that is still listed after this time is not a late one: an
/// incarnation whose clock was set back has such a record.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// Time for which the statements of an incarnation are remembered, also if its record goes and comes
/// back meanwhile, as records do that expire while the store is unreachable. Endpoints leave within
/// a minute.
const STATEMENT_RETENTION: Duration = Duration::from_secs(600);

/// Records that were read but are not in use, and what is known of incarnations that have ended.
#[derive(Debug, Default)]
pub struct EndpointRecords {
    /// Services that any configuration has named so far. A service that the newest configuration no
    /// longer names may still have calls in progress, and its endpoints still count as known.
    services: HashSet<String>,
    /// Excluded records, by instance. They are checked again when the configuration or the list
    /// changes.
    excluded: BTreeMap<String, EndpointInfo>,
    /// Increases with each change of the excluded records.
    pub generation: u64,
    /// Incarnations that have ended, by instance.
    ended: HashMap<String, Ended>,
    /// What the answers of incarnations have stated, by instance.
    stated: HashMap<String, Stated>,
}

/// What the answers of an incarnation have stated.
#[derive(Clone, Copy, Debug)]
struct Stated {
    /// Its start time, if its record stated it.
    start_time: Option<u64>,
    /// When its last statement came.
    at: Duration,
    statements: Statements,
}

/// The last incarnation of an instance that has ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    /// Its start time, if its record stated it.
    start_time: Option<u64>,
    /// When its end was noticed.
    at: Duration,
}

impl Stated {
    fn is_valid(&self, now: Duration) -> bool {
        now < (self.at + STATEMENT_RETENTION).max(self.statements.paused_until)
    }
}

impl EndpointRecords {
    /// Adds the services that a configuration names.
    pub fn add_services(&mut self, table: &RouteTable) {
        let routed = table.routes().iter().flat_map(|route| &route.split).map(|(name, _)| name);
        self.services.extend(table.services.keys().chain(routed).cloned());
    }

    /// Returns whether any configuration has named the service.
    #[must_use]
    pub fn knows_service(&self, service: &str) -> bool {
        self.services.contains(service)
    }

    /// Excludes a record from use, and returns whether it is new or has changed.
    pub fn exclude(&mut self, info: EndpointInfo) -> bool {
        if self.excluded.get(&info.instance) == Some(&info) {
            return false;
        }
        self.generation += 1;
        self.excluded.insert(info.instance.clone(), info);
        true
    }

    /// Removes an instance's excluded record, since the instance is in use or was removed from the
    /// list. Returns whether there was one.
    pub fn remove(&mut self, instance: &str) -> bool {
        let was_excluded = self.excluded.remove(instance).is_some();
        self.generation += u64::from(was_excluded);
        was_excluded
    }

    /// Removes the excluded records of all instances but the listed ones.
    pub fn retain_listed(&mut self, listed: &HashSet<&str>) {
        let before = self.excluded.len();
        self.excluded.retain(|instance, _| listed.contains(instance.as_str()));
        self.generation += u64::from(self.excluded.len() != before);
    }

    /// Returns the excluded records.
    pub fn excluded(&self) -> impl Iterator<Item = &EndpointInfo> {
        self.excluded.values()
    }

    /// Records that an incarnation has ended.
    pub fn record_end(&mut self, info: &EndpointInfo, now: Duration) {
        self.ended.retain(|_, ended| now < ended.at + ENDED_RETENTION);
        let before = self.ended.get(&info.instance).and_then(|ended| ended.start_time);
        let ended = Ended { start_time: before.max(info.start_time), at: now };
        self.ended.insert(info.instance.clone(), ended);
    }

    /// Records what the answers of an incarnation have stated.
    pub fn record_statements(
        &mut self,
        info: &EndpointInfo,
        statements: Statements,
        now: Duration,
    ) {
        self.stated.retain(|_, stated| stated.is_valid(now));
        let stated = Stated { start_time: info.start_time, at: now, statements };
        self.stated.insert(info.instance.clone(), stated);
    }

    /// Returns what the answers of the record's incarnation have stated.
    #[must_use]
    pub fn statements(&self, info: &EndpointInfo, now: Duration) -> Statements {
        let stated = self.stated.get(&info.instance).filter(|stated| stated.is_valid(now));
        // A record without a start time says nothing about its incarnation.
        let is_same =
            |stated: &&Stated| info.start_time.is_none() || stated.start_time == info.start_time;
        stated.filter(is_same).map(|stated| stated.statements).unwrap_or_default()
    }

    /// Returns whether the record is of an incarnation before one that has recently ended.
    #[must_use]
    pub fn is_before_ended(&self, info: &EndpointInfo, now: Duration) -> bool {
        let ended = self.recent_end(info, now).and_then(|ended| ended.start_time);
        ended.zip(info.start_time).is_some_and(|(ended, start_time)| start_time < ended)
    }

    /// Returns whether the record is of an incarnation that has recently ended, or of one before
    /// it.
    #[must_use]
    pub fn has_ended(&self, info: &EndpointInfo, now: Duration) -> bool {
        let Some(ended) = self.recent_end(info, now) else { return false };
        // A record without a start time says nothing about its incarnation. One that newly states a
        // start time is of another incarnation.
        info.start_time
            .is_none_or(|start_time| ended.start_time.is_some_and(|ended| start_time <= ended))
    }

    fn recent_end(&self, info: &EndpointInfo, now: Duration) -> Option<Ended> {
        let ended = self.ended.get(&info.instance).copied();
        ended.filter(|ended| now < ended.at + ENDED_RETENTION)
    }
}
