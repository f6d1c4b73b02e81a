//! Which versions of their software the endpoints of each service have, and had a moment ago.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use super::{Directory, endpoint_records::EndpointRecords, origins::STREAM_LIFETIME};
use crate::endpoint::{EndpointInfo, SoftwareVersion};

/// The versions of each service's endpoints.
#[derive(Debug, Default)]
pub struct Versions {
    services: HashMap<String, BTreeMap<SoftwareVersion, Presence>>,
    /// When the list of endpoints was first read, or read anew after changes that are unknown. Zero if
    /// there were no streams before; `None` before it was read.
    known_since: Option<Duration>,
    /// Instances that were listed since then or just before, for as long as a stream may last.
    seen: HashSet<String>,
    /// When it was found that an endpoint of an unknown version had gone before this daemon started.
    unknown_since: Option<Duration>,
    /// The states of the directory and of the excluded records that were looked at last.
    generations: (u64, u64),
    /// Whether a service has had one more version since the last update.
    has_more: bool,
}

/// Whether endpoints of a version are listed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Presence {
    Listed,
    /// None has been listed since then.
    GoneSince(Duration),
}

impl Versions {
    /// Looks at the records of endpoints if they have changed. Returns whether a service has had one
    /// more version since the last update.
    ///
    /// An excluded record counts like a listed one, since other daemons may use it.
    pub fn update(
        &mut self,
        directory: &Directory,
        records: &EndpointRecords,
        is_first_start: bool,
        now: Duration,
    ) -> bool {
        let generations = (directory.generation, records.generation);
        if self.generations == generations || directory.revision.is_none() {
            return std::mem::take(&mut self.has_more);
        }
        self.generations = generations;
        // Before the whole system first started there were no streams.
        let start = if is_first_start { Duration::ZERO } else { now };
        self.known_since.get_or_insert(start);
        let in_use = directory.listed().map(|(_, endpoint)| &endpoint.info);
        let present: Vec<_> = in_use.chain(records.excluded()).collect();
        self.mark_gone(&present, now);
        if self.are_known_for(STREAM_LIFETIME, now) {
            self.seen.clear();
        } else {
            self.seen.extend(present.iter().map(|info| info.instance.clone()));
        }
        for info in present {
            self.insert(&info.service, info.software_version(), Presence::Listed, now);
        }
        std::mem::take(&mut self.has_more)
    }

    /// Marks the versions that no record has any more, and drops those that are gone for long.
    fn mark_gone(&mut self, present: &[&EndpointInfo], now: Duration) {
        let mut listed: HashMap<&str, HashSet<SoftwareVersion>> = HashMap::new();
        for info in present {
            listed.entry(&info.service).or_default().insert(info.software_version());
        }
        for (service, versions) in &mut self.services {
            let present = listed.remove(service.as_str()).unwrap_or_default();
            versions.retain(|version, presence| {
                if *presence == Presence::Listed && !present.contains(version) {
                    *presence = Presence::GoneSince(now);
                }
                is_recent(*presence, now)
            });
        }
    }

    fn insert(
        &mut self,
        service: &str,
        version: SoftwareVersion,
        presence: Presence,
        now: Duration,
    ) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), BTreeMap::new());
        }
        let Some(versions) = self.services.get_mut(service) else { return };
        let known = versions.insert(version, presence);
        let is_known = known.is_some_and(|known| is_recent(known, now));
        self.has_more |= !is_known && 1 < versions.len();
    }

    /// Returns whether endpoints of several versions are listed among these services, or were
    /// within the time that a stream may last.
    pub fn are_several<'a>(&self, services: impl Iterator<Item = &'a str>, now: Duration) -> bool {
        1 < self.recent(services, now).take(2).count()
    }

    /// Returns the only version that endpoints of these services have had for as long as a stream may
    /// last.
    pub fn only<'a>(
        &self,
        services: impl Iterator<Item = &'a str>,
        now: Duration,
    ) -> Option<SoftwareVersion> {
        self.single(services, now).filter(|_| self.are_known_for(STREAM_LIFETIME, now))
    }

    /// Returns the version of these services' endpoints if this daemon has seen only one, for however
    /// long it runs.
    pub fn single<'a>(
        &self,
        services: impl Iterator<Item = &'a str>,
        now: Duration,
    ) -> Option<SoftwareVersion> {
        let mut recent = self.recent(services, now);
        let first = recent.next()?;
        recent.next().is_none().then_some(first)
    }

    /// Records a version that a record of an endpoint names, as if its last endpoint had gone now
    /// unless one is listed.
    pub fn record_former(&mut self, info: &EndpointInfo, now: Duration) {
        let (service, version) = (&info.service, info.software_version());
        let known = self.services.get(service).and_then(|versions| versions.get(&version));
        if known != Some(&Presence::Listed) {
            self.insert(service, version, Presence::GoneSince(now), now);
        }
    }

    /// Records that endpoints of unknown versions may have come and gone until now. Streams that this
    /// daemon has begun are told to others, which can't infer their versions either.
    pub fn record_gap(&mut self, directory: &Directory, now: Duration) {
        self.known_since = Some(now);
        self.seen.extend(directory.listed().map(|(_, endpoint)| endpoint.info.instance.clone()));
        self.has_more = true;
    }

    /// Records that an endpoint of an unknown version went before this daemon started.
    pub fn record_unknown(&mut self, now: Duration) {
        self.unknown_since = Some(now);
    }

    /// Returns whether an endpoint of an unknown version has gone since a stream may have begun that is
    /// taken up now.
    #[must_use]
    pub fn has_unknown(&self, now: Duration) -> bool {
        self.unknown_since.is_some_and(|since| now < since + STREAM_LIFETIME)
    }

    /// Returns whether an instance was listed since this daemon started.
    #[must_use]
    pub fn has_seen(&self, instance: &str) -> bool {
        self.seen.contains(instance)
    }

    /// Returns whether the versions have been known for this long, or for as long as there are streams.
    #[must_use]
    pub fn are_known_for(&self, time: Duration, now: Duration) -> bool {
        self.known_since.is_some_and(|since| since.is_zero() || since + time <= now)
    }

    fn recent<'a>(
        &self,
        services: impl Iterator<Item = &'a str>,
        now: Duration,
    ) -> impl Iterator<Item = SoftwareVersion> {
        let versions = services.filter_map(|service| self.services.get(service)).flatten();
        versions
            .filter(move |(_, presence)| is_recent(**presence, now))
            .map(|(version, _)| *version)
    }

    /// Returns the name of the service with this hash.
    #[must_use]
    pub fn service(&self, hash: u32) -> Option<&str> {
        let mut names = self.services.keys().map(String::as_str);
        names.find(|name| super::service_hash(name) == hash)
    }
}

fn is_recent(presence: Presence, now: Duration) -> bool {
    match presence {
        Presence::Listed => true,
        Presence::GoneSince(since) => now < since + STREAM_LIFETIME,
    }
}
