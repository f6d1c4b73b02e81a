//! Which of several versions of a service's endpoints begins a stream.
//!
//! While endpoints of several versions serve side by side, the stream's id assigns it to one of them,
//! by weighted rendezvous hashing over the versions' endpoints in the list. So after all daemons have
//! started again, when none remembers the stream, its version can be computed anew. That is sound only
//! if no list that a daemon may have used can have led to another version: whichever endpoints came,
//! went or changed meanwhile count for the other versions, and none of them for this one.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Directory, State, endpoint_records::EndpointRecords, origins::STREAM_LIFETIME};
use crate::{
    call::StreamId,
    endpoint::{EndpointInfo, SoftwareVersion, Stage},
    route::Route,
};

/// Maximum age of the list by which a daemon begins streams: one that is cut off from the store goes on
/// with what it has read, and a call may wait for some seconds after it was assigned.
const MAX_LIST_AGE: Duration = Duration::from_secs(15);

/// Time before now in which the list may have decided about a stream that is taken up.
pub const WINDOW: Duration = STREAM_LIFETIME.saturating_add(MAX_LIST_AGE);

/// Time for which no streams begin at a service all of whose endpoints have just started. Meanwhile all
/// of them register, so that no stream is assigned by a list of the first few.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Time from the start of a service's first endpoint within which those start that register by then.
const START_SPREAD: Duration = Duration::from_millis(250);

/// What the list has said of each endpoint, as far as it may have decided about streams.
#[derive(Debug, Default)]
pub struct Assignments {
    /// When the list was first read, or read anew after changes that are unknown. Zero if there were no
    /// streams before; `None` before it was read.
    known_since: Option<Duration>,
    current: BTreeMap<String, Listing>,
    /// The records that are no more or aren't used, by instance.
    former: HashMap<String, Vec<Former>>,
    /// When it was found that an endpoint had gone before this daemon started of which nothing is known.
    unknown_since: Option<Duration>,
    /// How many endpoints of each version serve, by service.
    serving: HashMap<String, BTreeMap<SoftwareVersion, u32>>,
    /// When each service's first endpoint was seen.
    first_seen: HashMap<String, Duration>,
    /// The states of the directory and of the excluded records that were looked at last.
    generations: (u64, u64),
}

/// What matters of an endpoint's record.
#[derive(Clone, PartialEq, Eq, Debug)]
struct Role {
    service: String,
    version: SoftwareVersion,
    start_time: Option<u64>,
    /// Whether streams begin there.
    serves: bool,
}

/// An endpoint's record.
#[derive(Clone, Debug)]
struct Listing {
    role: Role,
    /// When this daemon first read it as it is.
    since: Duration,
    /// The store's revision at which the endpoint's record was created.
    created: u64,
    /// Whether the store's history has it as it is, or not at all.
    is_steady: bool,
}

/// A record that is no more.
#[derive(Clone, Debug)]
struct Former {
    role: Role,
    until: Duration,
}

impl Role {
    fn of(info: &EndpointInfo) -> Role {
        Role {
            service: info.service.clone(),
            version: info.software_version(),
            start_time: info.start_time,
            serves: !info.draining && info.stage != Some(Stage::Prefill),
        }
    }
}

impl Assignments {
    /// Looks at the records of endpoints if they have changed. An excluded record counts like a listed
    /// one, since other daemons may use it.
    pub fn update(
        &mut self,
        directory: &Directory,
        records: &EndpointRecords,
        is_first_start: bool,
        now: Duration,
    ) {
        let generations = (directory.generation, records.generation);
        if self.generations == generations || directory.revision.is_none() {
            return;
        }
        self.generations = generations;
        self.known_since.get_or_insert(if is_first_start { Duration::ZERO } else { now });
        self.former.retain(|_, all| {
            all.retain(|former| now < former.until + WINDOW);
            !all.is_empty()
        });
        let listed = directory.listed().map(|(_, endpoint)| &endpoint.info);
        let mut before = std::mem::take(&mut self.current);
        for info in listed.chain(records.excluded()) {
            let role = Role::of(info);
            self.first_seen.entry(role.service.clone()).or_insert(now);
            let created = info.revisions.created;
            let listing = match before.remove(&info.instance) {
                // One that was created anew was away meanwhile.
                Some(known) if known.role == role && known.created == created => known,
                known => {
                    if let Some(known) = known {
                        self.record_former(&info.instance, known.role, now);
                    }
                    Listing { role, since: now, created, is_steady: true }
                }
            };
            self.current.insert(info.instance.clone(), listing);
        }
        for (instance, listing) in before {
            self.record_former(&instance, listing.role, now);
        }
        let mut serving: HashMap<String, BTreeMap<SoftwareVersion, u32>> = HashMap::new();
        for role in self.current.values().map(|known| &known.role) {
            let counts = serving.entry(role.service.clone()).or_default();
            if role.serves {
                *counts.entry(role.version).or_default() += 1;
            }
        }
        self.first_seen.retain(|service, _| serving.contains_key(service));
        self.serving = serving;
    }

    fn record_former(&mut self, instance: &str, role: Role, now: Duration) {
        let all = self.former.entry(instance.to_owned()).or_default();
        match all.iter_mut().find(|former| former.role == role) {
            Some(known) => known.until = now,
            None => all.push(Former { role, until: now }),
        }
    }

    /// Records a record that was replaced or removed before this daemon looked at the list, or isn't
    /// used.
    pub fn record_unlisted(&mut self, info: &EndpointInfo, now: Duration) {
        self.record_former(&info.instance, Role::of(info), now);
    }

    /// Records the changes of one instance before this daemon's first list, in order.
    pub fn record_history(
        &mut self,
        instance: &str,
        changes: &[Option<EndpointInfo>],
        now: Duration,
    ) {
        let role = self.current.get(instance).map(|known| known.role.clone());
        let others = changes.iter().map(|change| change.as_ref().map(Role::of));
        let others: Vec<_> = others.filter(|change| *change != role).collect();
        if let Some(known) = self.current.get_mut(instance) {
            known.is_steady &= others.is_empty();
        }
        others.into_iter().flatten().for_each(|role| self.record_former(instance, role, now));
    }

    /// Records that an endpoint went before this daemon started of which nothing is known.
    pub fn record_unknown(&mut self, now: Duration) {
        self.unknown_since = Some(now);
    }

    /// Records that changes of the list are unknown until now.
    pub fn record_gap(&mut self, now: Duration) {
        self.known_since = Some(now);
        self.current.values_mut().for_each(|known| known.since = now);
    }

    /// Returns whether this daemon knows all changes that may have decided about streams.
    #[must_use]
    pub fn is_known(&self, now: Duration) -> bool {
        self.known_since.is_some_and(|since| since.is_zero() || since + WINDOW <= now)
    }

    /// Returns the version that a stream which begins now is assigned to, if a service has several.
    #[must_use]
    pub fn assign(&self, service: &str, stream: StreamId) -> Option<SoftwareVersion> {
        let counts = self.serving.get(service).filter(|counts| 1 < counts.len())?;
        let scores =
            counts.iter().map(|(version, count)| (*version, score(stream, *version, *count)));
        scores.max_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(version, _)| version)
    }

    /// Returns until when no stream begins at a service, if that is later than now: until its first
    /// endpoints have registered. `unix_ms` is the time of day.
    #[must_use]
    pub fn settles_at(&self, service: &str, unix_ms: u64, now: Duration) -> Option<Duration> {
        let until = *self.first_seen.get(service)? + SETTLE_TIME;
        if until <= now {
            return None;
        }
        let roles = self.current.values().map(|known| &known.role);
        let starts = roles.filter(|role| role.service == service).map(|role| role.start_time);
        // Endpoints that don't state their start date nothing, and prove nothing later.
        let first = starts.min().flatten()?;
        let left = first.saturating_add(to_ms(SETTLE_TIME)).checked_sub(unix_ms)?;
        Some(until.min(now + Duration::from_millis(left))).filter(|until| now < *until)
    }

    /// Returns the only version to which any list that a daemon may have used assigns a stream.
    ///
    /// `is_throughout` tells of an endpoint that serves now whether it did all the while.
    fn proven(
        &self,
        service: &str,
        stream: StreamId,
        is_throughout: impl Fn(&Listing) -> bool,
        now: Duration,
    ) -> Option<SoftwareVersion> {
        if self.may_be_misjudged(service, &is_throughout, now) {
            return None;
        }
        let mut counts: BTreeMap<SoftwareVersion, (u32, u32)> = BTreeMap::new();
        for known in self.current.values().filter(|known| known.role.service == service) {
            let (least, most) = counts.entry(known.role.version).or_default();
            let (serves, is_throughout) = (known.role.serves, is_throughout(known));
            *least += u32::from(serves && is_throughout);
            *most += u32::from(serves || !is_throughout);
        }
        for former in self.recent_former(service, now) {
            counts.entry(former.role.version).or_default().1 += 1;
        }
        let (version, least) = counts
            .iter()
            .filter(|(_, (least, _))| *least != 0)
            .map(|(version, (least, _))| (*version, score(stream, *version, *least)))
            .max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        let mut others = counts.iter().filter(|(other, _)| **other != version);
        let is_first = others.all(|(other, (_, most))| score(stream, *other, *most) < least);
        is_first.then_some(version)
    }

    /// Returns whether a daemon may have taken an endpoint for one of another version: one that started
    /// again under its id, and whose record was read later.
    fn may_be_misjudged(
        &self,
        service: &str,
        is_throughout: &impl Fn(&Listing) -> bool,
        now: Duration,
    ) -> bool {
        let current = || self.current.iter().filter(|(_, known)| known.role.service == service);
        let has_changed = current().any(|(instance, known)| {
            let mut former = self.former.get(instance).into_iter().flatten();
            former.any(|former| is_recent(former, now) && former.role.version != known.role.version)
        });
        let is_undated = |known: &Listing| known.role.start_time.is_none() && !is_throughout(known);
        has_changed || current().any(|(_, known)| is_undated(known))
    }

    /// Returns what endpoints of a service have been that they aren't now.
    fn recent_former<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = &'a Former> {
        let all = self.former.iter().flat_map(|(instance, all)| {
            let role = self.current.get(instance).map(|known| &known.role);
            all.iter().filter(move |former| Some(&former.role) != role)
        });
        all.filter(move |former| is_recent(former, now) && former.role.service == service)
    }

    /// Returns when the first endpoint started of those that a service has had, in milliseconds since
    /// the Unix epoch; `None` if one doesn't state it.
    fn first_start(&self, service: &str) -> Option<u64> {
        let current = self.current.values().map(|known| &known.role);
        let former = self.former.values().flatten().map(|former| &former.role);
        let roles = current.chain(former).filter(|role| role.service == service);
        roles.map(|role| role.start_time).min().flatten()
    }
}

fn is_recent(former: &Former, now: Duration) -> bool {
    now < former.until + WINDOW
}

/// Returns a version's score for a stream: the highest one of a service's versions begins it. The more
/// endpoints a version has, the more streams it gets, and the fewer change when endpoints come and go.
fn score(stream: StreamId, version: SoftwareVersion, endpoints: u32) -> f64 {
    let hash = xxh3_64_with_seed(&version.to_wire().to_le_bytes(), stream.0);
    // More than 0, and at most 1.
    let unit = ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    match endpoints {
        0 => f64::NEG_INFINITY,
        count => unit.ln() / f64::from(count),
    }
}

fn to_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl State {
    /// Returns the version that began a stream which nobody remembers, if any list that a daemon may
    /// have used assigns the stream to it.
    pub(crate) fn proven_assignment(
        &self,
        route: &Route,
        stream: StreamId,
        now: Duration,
    ) -> Option<SoftwareVersion> {
        let [service] = route.services().collect::<Vec<_>>()[..] else { return None };
        if self.assignments.is_known(now) {
            let is_throughout = |known: &Listing| known.since + WINDOW <= now;
            return self.assignments.proven(service, stream, is_throughout, now);
        }
        let first = self.first_list.as_ref()?;
        let oldest = self.unix_ms(now).saturating_sub(to_ms(WINDOW));
        let configuration = self.routes.revisions;
        let is_same_era = first.revision().era == self.directory.revision.era;
        let is_complete = first.is_complete(oldest, self.history.known_after(), configuration);
        let unknown_since = self.assignments.unknown_since;
        let has_unknown = unknown_since.is_some_and(|since| now < since + WINDOW);
        if !is_same_era || !is_complete || has_unknown {
            return None;
        }
        let begin = first.begin(oldest, configuration);
        // Nothing was there before the first configuration, so the list began with the endpoints that
        // started first.
        let is_whole = begin == configuration.created;
        let first_start = self.assignments.first_start(service).filter(|_| is_whole);
        let initial = first_start.map(|at| at.saturating_add(to_ms(START_SPREAD)));
        let known_since = self.assignments.known_since?;
        let is_throughout = |known: &Listing| {
            let is_old = known.created <= begin;
            let started = known.role.start_time.is_some_and(|at| {
                (is_old && at <= oldest) || initial.is_some_and(|initial| at <= initial)
            });
            known.is_steady && known.since <= known_since && started
        };
        self.assignments.proven(service, stream, is_throughout, now)
    }
}
