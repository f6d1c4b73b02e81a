//! What is done to endpoints, and to the paths to them.

use std::time::{Duration, Instant};

use basilbank_standin::managed::{DESK, Request, Weather};

use super::{LOOK, Play, Span, Step, Trouble};
use crate::plan::{Fault, PathCut};

/// How long after it was listed as draining an endpoint may get work: the users' bound.
pub(super) const DRAIN: Duration = Duration::from_millis(2000);

/// How long after its entry went an address may be taken by another instance: the users' bound.
const REUSE: Duration = Duration::from_millis(2000);

/// How long an endpoint that was crashed is away.
const REVIVES: Duration = Duration::from_millis(700);

/// An endpoint that drained, with its entry known to all daemons.
#[derive(Clone, Debug)]
pub struct Drain {
    /// Its instance.
    pub instance: String,
    /// Ids of the calls that it ran after its drain time.
    pub late: Vec<String>,
}

impl Play<'_> {
    /// Cuts paths from daemons to endpoints, or clears them.
    pub(super) fn cut_paths(&mut self, cut: PathCut, weather: Weather) {
        let count = self.site.daemons.len();
        for daemon in (cut.first..cut.first + cut.daemons).map(|n| n % count) {
            for place in &self.site.places {
                let path = self.site.daemons[daemon].paths.to(place.proxy.address());
                let Some(path) = path.filter(|_| !cut.plain || place.service == DESK) else {
                    continue;
                };
                path.set(weather);
                if cut.reset && weather != Weather::Clear {
                    path.reset();
                }
            }
            match weather {
                Weather::Clear => self.over(daemon, Trouble::NoPaths),
                _ => self.begin(daemon, Trouble::NoPaths),
            }
        }
    }

    /// Takes an endpoint off the list, in two steps: what it ran by the end of its drain time, and
    /// what it ran until its address is taken by another.
    pub(super) fn unlist(&mut self, place: usize, runs: Option<usize>) {
        let ran = self.site.places[place].endpoint.served().ran;
        let Some(before) = runs else {
            self.site.unlist(place);
            return self.later(REUSE, Step::Unlist { place, runs: Some(ran.len()) });
        };
        let since = Instant::now() - DRAIN - REUSE;
        let blind = |span: &Span| {
            matches!(span.trouble, Trouble::NoStore | Trouble::Paused)
                && span.to.is_none_or(|to| since < to + REUSE)
        };
        if !self.spans.iter().any(blind) {
            let instance = self.site.places[place].endpoint.instance().to_owned();
            let id = |run: &Request| run.header("x-attempt-id").unwrap_or_default().to_owned();
            // One that has started again since has forgotten what it ran.
            let late = ran.get(before..).unwrap_or_default().iter().map(id).collect();
            self.drains.push(Drain { instance, late });
        }
        self.later(Duration::ZERO, Step::Replace(place));
    }

    /// Ends an endpoint's process, unless it leaves: the end of one that leaves proves nothing. A daemon
    /// that stands still would look for the process only when it is there again.
    pub(super) fn end(&mut self, place: usize, down: Duration) {
        let now = Instant::now();
        if (0..self.site.daemons.len()).any(|daemon| self.in_trouble(daemon, Trouble::Paused, now))
        {
            return self.later(LOOK, Step::Fault(Fault::End(place, down)));
        }
        if self.stays(place) {
            self.site.end(place);
            self.later(down, Step::Return(place));
        }
    }

    /// Neither its entry nor its answers say that an endpoint leaves.
    pub(super) fn stays(&self, place: usize) -> bool {
        let says_leaving = self.site.places[place].endpoint.served().said_leaving.is_some();
        !self.leaving.contains(&place) && !says_leaving
    }

    /// Endpoints that were crashed start again some time later, under their ids.
    pub(super) fn look_for_crashes(&mut self) {
        for place in 0..self.site.places.len() {
            if self.site.places[place].endpoint.has_crashed() && self.crashed.insert(place) {
                self.later(REVIVES, Step::Revive(place));
            }
        }
    }

    pub(super) fn revive(&mut self, place: usize) -> anyhow::Result<()> {
        self.crashed.remove(&place);
        // Another fault may have started it by now.
        if self.site.places[place].endpoint.has_crashed() {
            self.site.places[place].restart(false)?;
            if !self.leaving.contains(&place) {
                self.site.list(place, "ready");
            }
        }
        Ok(())
    }
}
