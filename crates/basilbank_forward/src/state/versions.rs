//! Which versions of their software the endpoints of each service have, and had a moment ago.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use super::{Directory, origins::STREAM_LIFETIME};
use crate::endpoint::SoftwareVersion;

/// The versions of each service's endpoints.
#[derive(Debug, Default)]
pub struct Versions {
    services: HashMap<String, BTreeMap<SoftwareVersion, Presence>>,
    /// When the list of endpoints was first read. Zero if there were no streams before; `None` before it
    /// was read.
    known_since: Option<Duration>,
    /// Instances that were listed since this daemon started, for as long as a stream may last.
    seen: HashSet<String>,
    /// When it was found that an endpoint of an unknown version had gone before this daemon started.
    unknown_since: Option<Duration>,
    /// The state of the directory that was looked at last.
    generation: u64,
}

/// Whether endpoints of a version are listed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Presence {
    Listed,
    /// None has been listed since then.
    GoneSince(Duration),
}

impl Versions {
    /// Looks at the directory if it has changed. Returns whether a service has one more version than
    /// before.
    pub fn update(&mut self, directory: &Directory, is_first_start: bool, now: Duration) -> bool {
        if self.generation == directory.generation || directory.revision.is_none() {
            return false;
        }
        self.generation = directory.generation;
        // Before the whole system first started there were no streams.
        let start = if is_first_start { Duration::ZERO } else { now };
        self.known_since.get_or_insert(start);
        let mut listed: HashMap<&str, BTreeMap<SoftwareVersion, Presence>> = HashMap::new();
        for (_, endpoint) in directory.listed() {
            let versions = listed.entry(&endpoint.info.service).or_default();
            versions.insert(endpoint.info.software_version(), Presence::Listed);
        }
        for (service, versions) in &mut self.services {
            let present = listed.remove(service.as_str()).unwrap_or_default();
            versions.retain(|version, presence| {
                if *presence == Presence::Listed && !present.contains_key(version) {
                    *presence = Presence::GoneSince(now);
                }
                is_recent(*presence, now)
            });
        }
        if self.are_known_for(STREAM_LIFETIME, now) {
            self.seen.clear();
        } else {
            let listed = directory.listed().map(|(_, endpoint)| endpoint.info.instance.clone());
            self.seen.extend(listed);
        }
        let mut has_more = false;
        for (_, endpoint) in directory.listed() {
            let (service, version) = (&endpoint.info.service, endpoint.info.software_version());
            if !self.services.contains_key(service) {
                self.services.insert(service.clone(), BTreeMap::new());
            }
            let Some(versions) = self.services.get_mut(service) else { continue };
            let known = versions.insert(version, Presence::Listed);
            has_more |= known.is_none() && 1 < versions.len();
        }
        has_more
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

    /// Records a version that served before this daemon started, as if its last endpoint had gone now
    /// unless one is listed.
    pub fn record_former(&mut self, service: &str, version: SoftwareVersion, now: Duration) {
        let versions = self.services.entry(service.to_owned()).or_default();
        versions.entry(version).or_insert(Presence::GoneSince(now));
    }

    /// Records a version that the store has listed a moment ago, whether the directory has it or not.
    pub fn record_current(&mut self, service: &str, version: SoftwareVersion, now: Duration) {
        let versions = self.services.entry(service.to_owned()).or_default();
        let presence = versions.entry(version).or_insert(Presence::GoneSince(now));
        if *presence != Presence::Listed {
            *presence = Presence::GoneSince(now);
        }
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
