//! Plays a plan on a site, and notes who was in trouble when.

mod daemons;
mod endpoints;
mod planned;
mod versions;

use std::{
    collections::HashSet,
    fs,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use anyhow::Context;
use basilbank_standin::managed::{BreakShare, Ending, Lost, Misdeed, StoreFault, Weather};
use rustix::process::Signal;

use self::{daemons::RESTART, endpoints::DRAIN};
pub use self::{
    daemons::Unstarted,
    endpoints::Drain,
    planned::{Sent, Silence, Work},
    versions::Serving,
};
use crate::{
    callers::Switches,
    plan::{At, Fault, PathCut},
    site::Site,
};

/// How often a daemon that leaves is looked at.
const LOOK: Duration = Duration::from_millis(50);

/// Longest time from the site's first configuration to the play's beginning.
const START: Duration = Duration::from_secs(20);

/// What troubles a daemon.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Trouble {
    /// It was killed, and is down.
    Down,
    /// It stands still.
    Paused,
    /// It was told to end.
    Leaving,
    /// It can't read the store, or late.
    NoStore,
    /// It can't reach endpoints that others reach.
    NoPaths,
    /// Most new connections go to it.
    Crowd,
}

impl Trouble {
    /// Its process does not run as it should.
    #[must_use]
    pub fn stops(self) -> bool {
        !matches!(self, Trouble::NoStore | Trouble::NoPaths | Trouble::Crowd)
    }
}

/// A time of trouble.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Whose.
    pub daemon: usize,
    /// Which.
    pub trouble: Trouble,
    /// Since when.
    pub from: Instant,
    /// Until when; `None` while it lasts.
    pub to: Option<Instant>,
}

/// What follows a fault.
#[derive(Clone, Debug)]
enum Step {
    Fault(Fault),
    Start(usize),
    Reap { daemon: usize, since: Instant },
    Continue(usize),
    ClearStoreLink(usize),
    ClearStore,
    ClearLink(usize),
    ClearPaths(PathCut),
    Behave(usize),
    Unlist { place: usize, runs: Option<usize> },
    Replace(usize),
    List(usize),
    UnlistForeign,
    Unlimit(usize),
    Empty(usize),
    SpeedUp(usize),
    Return(usize),
    ReturnAs(usize, &'static str),
    Reopen(usize),
    EndWell(usize),
    AnswerOnce(usize),
    EndRest(usize),
    Spare,
    SpareParts,
    Disperse(usize),
    Revive(usize),
    Rewrite(Vec<Lost>),
    TerminateEarly(usize),
    Retire(usize),
}

/// A play under way.
pub struct Play<'a> {
    site: &'a mut Site,
    /// When it began.
    pub begun: Instant,
    steps: Vec<(Instant, Step)>,
    leaving: HashSet<usize>,
    crashed: HashSet<usize>,
    /// Places whose entries are not theirs.
    unlisted: HashSet<usize>,
    /// The store came back from a copy, and its writers have not written again.
    restoring: bool,
    switches: Arc<Switches>,
    /// Daemons whose next process gets a SIGTERM as soon as it accepts callers.
    early: HashSet<usize>,
    /// Endpoints that drained.
    pub drains: Vec<Drain>,
    /// Processes that were told to end before they listened.
    pub unstarted: Vec<Unstarted>,
    /// What planned work was done.
    pub work: Work,
    /// Times of trouble.
    pub spans: Vec<Span>,
    /// Times in which decode endpoints served.
    pub serving: Vec<Serving>,
    /// What went wrong on the way.
    pub findings: Vec<String>,
    /// What was done, for the log.
    pub done: Vec<String>,
}

impl<'a> Play<'a> {
    /// Begins now.
    #[must_use]
    pub fn new(
        site: &'a mut Site,
        plan: &[(Duration, Fault)],
        switches: Arc<Switches>,
    ) -> Play<'a> {
        let begun = Instant::now();
        let steps = plan.iter().map(|(at, fault)| (begun + *at, Step::Fault(*fault))).collect();
        let (spans, findings, done) = (Vec::new(), Vec::new(), Vec::new());
        Play {
            site,
            begun,
            steps,
            leaving: HashSet::new(),
            crashed: HashSet::new(),
            unlisted: HashSet::new(),
            restoring: false,
            switches,
            early: HashSet::new(),
            drains: Vec::new(),
            unstarted: Vec::new(),
            work: Work::begin(begun - START),
            spans,
            serving: Vec::new(),
            findings,
            done,
        }
    }

    /// Plays on until `end`, and then until all that follows from the plan is done.
    ///
    /// # Errors
    /// A daemon can't be started.
    pub fn run(&mut self, end: Instant) -> anyhow::Result<()> {
        while Instant::now() < end || !self.steps.is_empty() {
            self.note_serving();
            let now = Instant::now();
            let due = self.steps.iter().position(|(at, _)| *at <= now);
            if let Some(due) = due {
                let (_, step) = self.steps.remove(due);
                self.step(step)?;
                continue;
            }
            self.look_for_ends();
            self.look_for_crashes();
            std::thread::sleep(LOOK.min(Duration::from_millis(20)));
        }
        Ok(())
    }

    fn later(&mut self, pause: Duration, step: Step) {
        self.steps.push((Instant::now() + pause, step));
    }

    fn step(&mut self, step: Step) -> anyhow::Result<()> {
        let at = self.begun.elapsed().as_millis();
        if !matches!(step, Step::Reap { .. } | Step::Retire(_)) {
            self.done.push(format!("{at:>6} ms  {step:?}"));
        }
        match step {
            Step::Fault(fault) => self.fault(fault)?,
            Step::Start(daemon) => self.start(daemon)?,
            Step::Reap { daemon, since } => self.reap(daemon, since)?,
            Step::Continue(daemon) => self.proceed(daemon),
            Step::ClearStoreLink(daemon) => {
                self.site.daemons[daemon].store.set(Weather::Clear);
                self.over(daemon, Trouble::NoStore);
            }
            Step::ClearStore => {
                self.site.store.set_fault(StoreFault::None);
                (0..self.site.daemons.len()).for_each(|d| self.over(d, Trouble::NoStore));
            }
            Step::ClearLink(place) => self.site.places[place].proxy.set(Weather::Clear),
            Step::ClearPaths(cut) => self.cut_paths(cut, Weather::Clear),
            Step::Behave(place) => self.site.places[place].endpoint.misbehave(Misdeed::None),
            Step::Unlist { place, runs } => self.unlist(place, runs),
            Step::Replace(place) => {
                self.leaving.remove(&place);
                self.site.replace(place)?;
            }
            // One that leaves has said so since.
            Step::List(place) if self.leaving.contains(&place) => {}
            Step::List(place) => {
                self.unlisted.remove(&place);
                self.site.list(place, "ready");
            }
            Step::ReturnAs(place, version) => self.return_as(place, version)?,
            Step::Reopen(place) => self.site.reopen(place)?,
            Step::Return(place) => {
                self.site.places[place].restart(false)?;
                self.site.reopen(place)?;
                self.later(Duration::ZERO, Step::List(place));
            }
            Step::EndWell(place) => {
                self.site.places[place].end_answers(Ending::default(), BreakShare::ALL);
            }
            Step::AnswerOnce(place) => self.site.places[place].endpoint.answer_twice(None),
            Step::EndRest(place) => self.site.places[place].endpoint.pause(None),
            Step::Unlimit(place) => self.site.places[place].endpoint.limit(None),
            Step::Empty(place) => self.site.places[place].endpoint.keep_slots(None),
            Step::SpeedUp(place) => self.site.places[place].endpoint.slow_down(1),
            Step::Spare => self.switches.deadly.store(false, Ordering::Relaxed),
            Step::SpareParts => self.switches.deadly_part.store(false, Ordering::Relaxed),
            Step::Disperse(daemon) => {
                self.switches.crowd(None);
                self.over(daemon, Trouble::Crowd);
            }
            Step::Revive(place) => self.revive(place)?,
            Step::Rewrite(lost) => {
                self.restoring = false;
                self.site.store.rewrite(lost);
            }
            Step::TerminateEarly(daemon) => self.terminate_early(daemon),
            Step::Retire(place) => self.end_retired(place),
            Step::UnlistForeign => self.site.unlist_foreign(),
        }
        Ok(())
    }

    fn fault(&mut self, fault: Fault) -> anyhow::Result<()> {
        match fault {
            Fault::Terminate(daemon) => self.terminate(daemon),
            Fault::Kill(daemon, down) => self.kill(daemon, down),
            Fault::KillAll => {
                (0..self.site.daemons.len()).for_each(|daemon| self.kill(daemon, RESTART));
            }
            Fault::Pause(daemon, time) => {
                if self.signal(daemon, Signal::STOP) {
                    self.begin(daemon, Trouble::Paused);
                    self.later(time, Step::Continue(daemon));
                }
            }
            Fault::Reload(daemon) => self.reload(daemon)?,
            Fault::StoreLink(daemon, weather, time) => {
                self.site.daemons[daemon].store.set(weather);
                self.begin(daemon, Trouble::NoStore);
                self.later(time, Step::ClearStoreLink(daemon));
            }
            Fault::Store(outage, time) => {
                self.site.store.set_fault(outage);
                (0..self.site.daemons.len()).for_each(|d| self.begin(d, Trouble::NoStore));
                self.later(time, Step::ClearStore);
            }
            Fault::Compact => self.site.store.compact(),
            Fault::Restore(age, time) => {
                self.restoring = true;
                let lost = self.site.store.restore(age);
                self.later(time, Step::Rewrite(lost));
            }
            Fault::Link(endpoint, weather, time) => {
                self.site.places[endpoint].proxy.set(weather);
                self.later(time, Step::ClearLink(endpoint));
            }
            Fault::Paths(cut, weather, time) => {
                self.cut_paths(cut, weather);
                self.later(time, Step::ClearPaths(cut));
            }
            Fault::Reset(endpoint) => self.site.places[endpoint].proxy.reset(),
            Fault::Blind(blindness) => self.blind(blindness),
            Fault::Misbehave(endpoint, misdeed, time)
            | Fault::Misplace(endpoint, misdeed, time) => {
                self.site.places[endpoint].endpoint.misbehave(misdeed);
                self.later(time, Step::Behave(endpoint));
            }
            Fault::Replace(endpoint) => {
                if self.leaving.insert(endpoint) {
                    self.site.list(endpoint, "draining");
                    self.later(DRAIN, Step::Unlist { place: endpoint, runs: None });
                }
            }
            Fault::Configure => self.site.configure(1),
            Fault::Lengthen(routes) => self.site.configure(routes),
            Fault::Narrow(daemon, rate) => self.site.daemons[daemon].store.narrow(rate),
            Fault::Foreign(bad, time) => {
                (0..self.site.places.len()).for_each(|place| self.site.list_foreign(place, bad));
                if let Some(time) = time {
                    self.later(time, Step::UnlistForeign);
                }
            }
            Fault::Spoil(place, _, _) | Fault::Restart(place, _, _)
                if self.leaving.contains(&place) => {}
            Fault::Spoil(place, bad, time) => {
                self.unlisted.insert(place);
                self.site.spoil(place, bad);
                self.later(time, Step::List(place));
            }
            Fault::Restart(place, at, time) => {
                self.unlisted.insert(place);
                self.site.places[place].restart(at == At::Another)?;
                self.site.open_paths(place)?;
                self.later(time, Step::List(place));
            }
            Fault::Limit(place, rate, time) => {
                self.site.places[place].endpoint.limit(Some(f64::from(rate)));
                self.later(time, Step::Unlimit(place));
            }
            Fault::Crowded(place, slots, time) => {
                self.site.places[place].endpoint.keep_slots(Some(slots));
                self.later(time, Step::Empty(place));
            }
            Fault::Slow(place, factor, time) => {
                self.site.places[place].endpoint.slow_down(factor);
                self.later(time, Step::SpeedUp(place));
            }
            Fault::Leave(place, time) => {
                self.site.places[place].endpoint.leave(true);
                self.later(time, Step::Return(place));
            }
            Fault::Rest(place, pause, time) => {
                self.site.places[place].endpoint.pause(Some(pause));
                self.later(time, Step::EndRest(place));
            }
            Fault::EndAnswers(place, ending, share, time) => {
                self.site.places[place].end_answers(ending, share);
                self.later(time, Step::EndWell(place));
            }
            Fault::AnswerTwice(place, second, time) => {
                self.site.places[place].endpoint.answer_twice(Some(second));
                self.later(time, Step::AnswerOnce(place));
            }
            Fault::End(place, down) => self.end(place, down),
            Fault::Join(stage, version) => self.site.join(stage, version)?,
            Fault::Renew(place, version) => self.renew(place, version),
            Fault::RestartAs(place, version, down) => self.restart_as(place, version, down),
            Fault::CrashVersion(version, spared, down) => {
                self.crash_version(version, spared, down);
            }
            Fault::Deadly(time) => {
                self.switches.deadly.store(true, Ordering::Relaxed);
                self.later(time, Step::Spare);
            }
            Fault::DeadlyPart(time) => {
                self.switches.deadly_part.store(true, Ordering::Relaxed);
                self.later(time, Step::SpareParts);
            }
            Fault::Crowd(daemon, time) => {
                self.switches.crowd(Some(daemon));
                self.begin(daemon, Trouble::Crowd);
                self.later(time, Step::Disperse(daemon));
            }
            Fault::TerminateAgain(daemon) => self.terminate_again(daemon),
            Fault::TerminateTwice(daemon) => {
                self.early.insert(daemon);
                self.terminate(daemon);
            }
            Fault::Retune(daemon) => self.retune(daemon)?,
            Fault::Reconfigure(routing) => self.reconfigure(routing),
            Fault::Retire(place) => self.retire(place),
            Fault::Silence(place, time) => self.fall_silent(place, time),
            Fault::Step(ahead) => {
                let last = self.site.daemons.last().context("a daemon")?;
                fs::write(last.clock_file(), ahead.as_millis().to_string())?;
            }
        }
        Ok(())
    }

    fn begin(&mut self, daemon: usize, trouble: Trouble) {
        self.spans.push(Span { daemon, trouble, from: Instant::now(), to: None });
    }

    fn over(&mut self, daemon: usize, trouble: Trouble) {
        let now = Instant::now();
        let open = self.spans.iter_mut().filter(|s| s.daemon == daemon && s.trouble == trouble);
        open.filter(|span| span.to.is_none()).for_each(|span| span.to = Some(now));
    }

    fn in_trouble(&self, daemon: usize, trouble: Trouble, since: Instant) -> bool {
        let matches = |s: &&Span| s.daemon == daemon && s.trouble == trouble;
        self.spans.iter().filter(matches).any(|s| s.to.is_none_or(|to| since <= to))
    }
}
