//! What is done to endpoints of several versions, and which of them serve.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use basilbank_standin::managed::Weather;

use super::{LOOK, Play, Step, Trouble, endpoints::DRAIN};
use crate::plan::Fault;

/// How long an endpoint that starts again is listed before calls reach it.
const REGISTERED: Duration = Duration::from_millis(500);

/// A time in which a decode endpoint of a version serves.
#[derive(Clone, Copy, Debug)]
pub struct Serving {
    /// Which place it is at.
    pub place: usize,
    /// The version of its software.
    pub version: &'static str,
    /// Which of the starts there, from 0 on.
    pub start: usize,
    /// Since when.
    pub from: Instant,
    /// Until when; `None` while it lasts.
    pub to: Option<Instant>,
}

impl Play<'_> {
    /// Another instance takes an endpoint's address once that has drained.
    pub(super) fn renew(&mut self, place: usize, version: &'static str) {
        if self.leaving.insert(place) {
            self.site.places[place].version = version;
            self.site.list(place, "draining");
            self.later(DRAIN, Step::Unlist { place, runs: None });
        }
    }

    /// An endpoint's process ends, and starts again with another version.
    pub(super) fn restart_as(&mut self, place: usize, version: &'static str, down: Duration) {
        if self.stays(place) {
            self.site.end(place);
            self.later(down, Step::ReturnAs(place, version));
        }
    }

    /// The endpoint starts, and is listed before calls reach it, so that its version is known. Daemons that
    /// can't read the store, or stand still, are waited for.
    pub(super) fn return_as(&mut self, place: usize, version: &'static str) -> anyhow::Result<()> {
        let now = Instant::now();
        let is_blind = |daemon| {
            let mut troubles = [Trouble::NoStore, Trouble::Paused].into_iter();
            troubles.any(|trouble| self.in_trouble(daemon, trouble, now))
        };
        if (0..self.site.daemons.len()).any(is_blind) {
            self.later(LOOK, Step::ReturnAs(place, version));
            return Ok(());
        }
        self.site.end(place);
        self.site.places[place].restart_as(version)?;
        self.later(Duration::ZERO, Step::List(place));
        self.later(REGISTERED, Step::Reopen(place));
        Ok(())
    }

    /// The decode endpoints of a version end but for some, and start again after the time.
    pub(super) fn crash_version(&mut self, version: &str, spared: usize, down: Duration) {
        let is_meant = |place: &usize| self.site.places[*place].decodes(version);
        let places: Vec<_> = (0..self.site.places.len()).filter(is_meant).collect();
        for place in places.into_iter().skip(spared) {
            self.later(Duration::ZERO, Step::Fault(Fault::End(place, down)));
        }
    }

    /// The version and the start of a decode endpoint that serves whatever comes.
    fn serves(&self, place: usize) -> Option<(&'static str, usize)> {
        let is_listed = !self.leaving.contains(&place) && !self.unlisted.contains(&place);
        let at = &self.site.places[place];
        let is_sound = at.endpoint.is_sound() && at.proxy.weather() == Weather::Clear;
        let serves = is_listed && is_sound && !self.restoring && at.decodes(at.endpoint.version());
        serves.then(|| (at.endpoint.version(), at.before.len()))
    }

    /// Notes which decode endpoints serve.
    pub(super) fn note_serving(&mut self) {
        let now = Instant::now();
        let serves: Vec<_> = (0..self.site.places.len()).map(|place| self.serves(place)).collect();
        let mut open = HashSet::new();
        for span in self.serving.iter_mut().filter(|span| span.to.is_none()) {
            match serves[span.place] == Some((span.version, span.start)) {
                true => drop(open.insert(span.place)),
                false => span.to = Some(now),
            }
        }
        for (place, version) in serves.iter().enumerate() {
            if let Some((version, start)) = *version
                && !open.contains(&place)
            {
                self.serving.push(Serving { place, version, start, from: now, to: None });
            }
        }
    }
}
