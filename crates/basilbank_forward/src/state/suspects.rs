//! Endpoints that did not answer, until they do.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::endpoint::EndpointKey;

/// Minimum time between two probes of an endpoint for calls without an answer: an overloaded endpoint
/// has many of them.
const MIN_DOUBT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after its return within which an endpoint that becomes unreachable again is on a path that
/// loses packets.
const FLAP_WINDOW: Duration = Duration::from_secs(10);

/// Number of probes in a row that such an endpoint has to answer.
const NEEDED_ANSWERS_AFTER_FLAP: u32 = 3;

/// Time after which an endpoint that accepts connections and doesn't answer counts as down. A sound one
/// is silent for a second or so.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// An endpoint that did not answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Suspect {
    /// When it is probed next; `None` while a probe is in progress.
    pub due: Option<Duration>,
    /// Number of probes that it did not answer.
    pub unanswered: u32,
    /// Whether it counts as unreachable, and isn't merely probed.
    unreachable: bool,
    /// Number of probes in a row that it answered.
    pub answered: u32,
    /// Since when it has not answered over connections that it accepted.
    silent_since: Option<Duration>,
}

impl Suspect {
    fn new(due: Duration) -> Suspect {
        Suspect {
            due: Some(due),
            unanswered: 0,
            unreachable: false,
            answered: 0,
            silent_since: None,
        }
    }

    /// Records that it hasn't answered a call in time. The connection may have been cut: whether the
    /// endpoint is only silent shows with the next probe.
    pub fn record_silence(&mut self, now: Duration) {
        if self.unanswered == 0 {
            self.silent_since.get_or_insert(now);
            self.due = self.due.map(|due| due.min(now));
        }
    }

    /// Records whether it has accepted the connection of a probe that it did not answer.
    pub fn record_unanswered(&mut self, has_connected: bool, now: Duration) {
        self.unanswered += 1;
        self.answered = 0;
        self.silent_since = has_connected.then(|| self.silent_since.unwrap_or(now));
    }

    /// Returns whether it may only be silent, and go on soon.
    #[must_use]
    pub fn may_resume(&self, now: Duration) -> bool {
        self.unreachable && self.silent_since.is_some_and(|since| now < since + MAX_SILENCE)
    }

    /// Returns whether it counts as unreachable.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }
}

/// The endpoints that did not answer this daemon itself.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: BTreeMap<EndpointKey, Suspect>,
    /// When endpoints were last doubted for a call without an answer.
    doubted: BTreeMap<EndpointKey, Duration>,
    /// When endpoints became reachable again.
    returned: BTreeMap<EndpointKey, Duration>,
    /// Services most of whose endpoints count as unreachable.
    pub unreached: BTreeSet<String>,
    /// Whether what these services depend on has changed since they were found.
    is_outdated: bool,
    /// The state of the directory for which they were found.
    directory_generation: u64,
}

impl Suspects {
    /// Returns the number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of suspects that count as unreachable.
    #[must_use]
    pub fn count_unreachable(&self) -> usize {
        self.unreachable().count()
    }

    /// Returns the suspects that count as unreachable.
    pub fn unreachable(&self) -> impl Iterator<Item = EndpointKey> {
        self.suspects.iter().filter(|(_, suspect)| suspect.unreachable).map(|(key, _)| *key)
    }

    /// Returns whether the endpoint is a suspect.
    #[must_use]
    pub fn contains(&self, key: EndpointKey) -> bool {
        self.suspects.contains_key(&key)
    }

    /// Returns whether the endpoint counts as unreachable.
    #[must_use]
    pub fn is_unreachable(&self, key: EndpointKey) -> bool {
        self.suspects.get(&key).is_some_and(|suspect| suspect.unreachable)
    }

    /// Returns whether the endpoint may only be silent, and go on soon.
    #[must_use]
    pub fn may_resume(&self, key: EndpointKey, now: Duration) -> bool {
        self.suspects.get(&key).is_some_and(|suspect| suspect.may_resume(now))
    }

    /// Returns whether a suspect has failed a probe.
    #[must_use]
    pub fn has_failed_probe(&self, key: EndpointKey) -> bool {
        self.suspects.get(&key).is_some_and(|suspect| suspect.unanswered != 0)
    }

    /// Adds an unreachable endpoint, to be probed at `due`, and returns whether it didn't count as
    /// unreachable before.
    pub fn add_unreachable(&mut self, key: EndpointKey, due: Duration) -> bool {
        let suspect = self.suspects.entry(key).or_insert(Suspect::new(due));
        let is_new = !std::mem::replace(&mut suspect.unreachable, true);
        self.is_outdated |= is_new;
        is_new
    }

    /// Adds an endpoint that may be healthy, to be probed at `due`, unless it is a suspect already.
    pub fn add_doubtful(&mut self, key: EndpointKey, due: Duration) {
        self.suspects.entry(key).or_insert(Suspect::new(due));
    }

    /// Records that a call is without an answer at an endpoint, and returns whether that is news.
    pub fn doubt(&mut self, key: EndpointKey, now: Duration) -> bool {
        self.doubted.retain(|_, at| now < *at + MIN_DOUBT_INTERVAL);
        !self.contains(key) && self.doubted.insert(key, now).is_none()
    }

    /// Records that an endpoint has become reachable again.
    pub fn record_return(&mut self, key: EndpointKey, now: Duration) {
        self.returned.retain(|_, at| now < *at + FLAP_WINDOW);
        self.returned.insert(key, now);
    }

    /// Returns the number of probes in a row that a suspect has to answer to count as reachable.
    #[must_use]
    pub fn needed_answers(&self, key: EndpointKey, now: Duration) -> u32 {
        let has_flapped = self.returned.get(&key).is_some_and(|at| now < *at + FLAP_WINDOW);
        if has_flapped { NEEDED_ANSWERS_AFTER_FLAP } else { 1 }
    }

    /// Returns a mutable reference to a suspect.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Suspect> {
        self.suspects.get_mut(&key)
    }

    /// Removes an endpoint that has answered or was removed, and returns whether it counted as
    /// unreachable.
    pub fn remove(&mut self, key: EndpointKey) -> bool {
        let was_unreachable = self.suspects.remove(&key).is_some_and(|suspect| suspect.unreachable);
        self.is_outdated |= was_unreachable;
        was_unreachable
    }

    /// Records that an endpoint has gone out of service without a change of the directory.
    pub fn record_leaving(&mut self) {
        self.is_outdated = true;
    }

    /// Returns whether the unreached services have to be found anew, and counts that as done.
    pub fn take_outdated(&mut self, directory_generation: u64) -> bool {
        let before = std::mem::replace(&mut self.directory_generation, directory_generation);
        std::mem::take(&mut self.is_outdated) || before != directory_generation
    }

    /// Returns when the next probe is due.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.suspects.values().filter_map(|suspect| suspect.due).min()
    }

    /// Returns a suspect whose probe is due by `now`, and counts the probe as in progress.
    pub fn take_due(&mut self, now: Duration) -> Option<EndpointKey> {
        let is_due = |suspect: &Suspect| suspect.due.is_some_and(|due| due <= now);
        let (key, suspect) = self.suspects.iter_mut().find(|(_, suspect)| is_due(suspect))?;
        suspect.due = None;
        Some(*key)
    }
}
