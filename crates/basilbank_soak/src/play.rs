//! Plays a plan on a site, and notes who was in trouble when.

use std::{
    collections::HashSet,
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use basilbank_standin::managed::{DESK, Lost, Misdeed, StoreFault, Weather};
use rustix::process::Signal;

use crate::{
    plan::{At, Fault, PathCut},
    site::Site,
};

/// The settings' grace, and a second for the process's end.
const GRACE: Duration = Duration::from_secs(9);

/// How long after it was listed as draining an endpoint may get work: the users' bound.
const DRAIN: Duration = Duration::from_millis(2000);

/// How long after its entry went an address may be taken by another instance: the users' bound.
const REUSE: Duration = Duration::from_millis(2000);

/// Pause before a daemon that was killed with all others is started again.
const RESTART: Duration = Duration::from_millis(300);

/// How long an endpoint that was crashed is away.
const REVIVES: Duration = Duration::from_millis(700);

/// How often a daemon that leaves is looked at.
const LOOK: Duration = Duration::from_millis(50);

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
}

impl Trouble {
    /// Its process does not run as it should.
    #[must_use]
    pub fn stops(self) -> bool {
        !matches!(self, Trouble::NoStore | Trouble::NoPaths)
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
    Return(usize),
    EndRest(usize),
    Spare,
    Revive(usize),
    Rewrite(Vec<Lost>),
}

/// A play under way.
pub struct Play<'a> {
    site: &'a mut Site,
    begun: Instant,
    steps: Vec<(Instant, Step)>,
    leaving: HashSet<usize>,
    crashed: HashSet<usize>,
    deadly: Arc<AtomicBool>,
    /// Times of trouble.
    pub spans: Vec<Span>,
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
        deadly: Arc<AtomicBool>,
    ) -> Play<'a> {
        let begun = Instant::now();
        let steps = plan.iter().map(|(at, fault)| (begun + *at, Step::Fault(*fault))).collect();
        let (spans, findings, done) = (Vec::new(), Vec::new(), Vec::new());
        let (leaving, crashed) = (HashSet::new(), HashSet::new());
        Play { site, begun, steps, leaving, crashed, deadly, spans, findings, done }
    }

    /// Plays on until `end`, and then until all that follows from the plan is done.
    ///
    /// # Errors
    /// A daemon can't be started.
    pub fn run(&mut self, end: Instant) -> anyhow::Result<()> {
        while Instant::now() < end || !self.steps.is_empty() {
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
        if !matches!(step, Step::Reap { .. }) {
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
            Step::List(place) => self.site.list(place, "ready"),
            Step::Return(place) => {
                self.site.places[place].restart(false)?;
                self.later(Duration::ZERO, Step::List(place));
            }
            Step::EndRest(place) => self.site.places[place].endpoint.pause(None),
            Step::Unlimit(place) => self.site.places[place].endpoint.limit(None),
            Step::Spare => self.deadly.store(false, Ordering::Relaxed),
            Step::Revive(place) => self.revive(place)?,
            Step::Rewrite(lost) => self.site.store.rewrite(lost),
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
            Fault::Misbehave(endpoint, misdeed, time) => {
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
                self.site.spoil(place, bad);
                self.later(time, Step::List(place));
            }
            Fault::Restart(place, at, time) => {
                self.site.places[place].restart(at == At::Another)?;
                self.site.open_paths(place)?;
                self.later(time, Step::List(place));
            }
            Fault::Limit(place, rate, time) => {
                self.site.places[place].endpoint.limit(Some(f64::from(rate)));
                self.later(time, Step::Unlimit(place));
            }
            Fault::Leave(place, time) => {
                self.site.places[place].endpoint.leave(true);
                self.later(time, Step::Return(place));
            }
            Fault::Rest(place, pause, time) => {
                self.site.places[place].endpoint.pause(Some(pause));
                self.later(time, Step::EndRest(place));
            }
            Fault::Deadly(time) => {
                self.deadly.store(true, Ordering::Relaxed);
                self.later(time, Step::Spare);
            }
            Fault::Step(ahead) => {
                let last = self.site.daemons.last().context("a daemon")?;
                fs::write(last.clock_file(), ahead.as_millis().to_string())?;
            }
        }
        Ok(())
    }

    /// Cuts paths from daemons to endpoints, or clears them.
    fn cut_paths(&mut self, cut: PathCut, weather: Weather) {
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

    fn signal(&mut self, daemon: usize, signal: Signal) -> bool {
        let Some(process) = &mut self.site.daemons[daemon].process else { return false };
        process.signal(signal);
        true
    }

    fn terminate(&mut self, daemon: usize) {
        let leaving = |p: &crate::process::Process| p.leaving;
        if self.site.daemons[daemon].process.as_ref().is_none_or(leaving) {
            return;
        }
        self.signal(daemon, Signal::TERM);
        self.begin(daemon, Trouble::Leaving);
        self.later(LOOK, Step::Reap { daemon, since: Instant::now() });
    }

    fn kill(&mut self, daemon: usize, down: Duration) {
        if let Some(process) = self.site.daemons[daemon].process.take() {
            // Callers see it before the process's end is known here.
            self.begin(daemon, Trouble::Down);
            drop(process);
            self.later(down, Step::Start(daemon));
        }
    }

    fn start(&mut self, daemon: usize) -> anyhow::Result<()> {
        if self.site.daemons[daemon].process.is_none() {
            self.site.daemons[daemon].start()?;
            for trouble in [Trouble::Down, Trouble::Paused, Trouble::Leaving] {
                self.over(daemon, trouble);
            }
        }
        Ok(())
    }

    /// Waits for the end of a daemon that was told to end. A pause doesn't count against its grace.
    fn reap(&mut self, daemon: usize, since: Instant) -> anyhow::Result<()> {
        let Some(process) = &mut self.site.daemons[daemon].process else { return Ok(()) };
        if !process.leaving {
            return Ok(());
        }
        match process.ended() {
            Some(status) => {
                if !status.success() {
                    self.findings.push(format!("STOP daemon {daemon} ended with {status}"));
                }
                self.site.daemons[daemon].process = None;
                self.start(daemon)?;
            }
            None if GRACE < since.elapsed() && !self.in_trouble(daemon, Trouble::Paused, since) => {
                self.findings.push(format!("STOP daemon {daemon} still runs after {GRACE:?}"));
                self.kill(daemon, RESTART);
            }
            None => self.later(LOOK, Step::Reap { daemon, since }),
        }
        Ok(())
    }

    fn proceed(&mut self, daemon: usize) {
        self.signal(daemon, Signal::CONT);
        self.over(daemon, Trouble::Paused);
    }

    fn reload(&mut self, daemon: usize) -> anyhow::Result<()> {
        let path = self.site.daemons[daemon].settings.clone();
        let text = fs::read_to_string(&path)?;
        fs::write(&path, format!("{text}# changed\n"))?;
        self.signal(daemon, Signal::HUP);
        Ok(())
    }

    /// Takes an endpoint off the list, in two steps: what it ran by the end of its drain time, and
    /// what it ran until its address is taken by another.
    fn unlist(&mut self, place: usize, runs: Option<usize>) {
        let ran = self.site.places[place].endpoint.served().ran.len();
        let Some(before) = runs else {
            self.site.unlist(place);
            return self.later(REUSE, Step::Unlist { place, runs: Some(ran) });
        };
        let since = Instant::now() - DRAIN - REUSE;
        let blind = |span: &Span| {
            matches!(span.trouble, Trouble::NoStore | Trouble::Paused)
                && span.to.is_none_or(|to| since < to + REUSE)
        };
        if before < ran && !self.spans.iter().any(blind) {
            let instance = self.site.places[place].endpoint.instance().to_owned();
            let count = ran - before;
            self.findings.push(format!("DRAIN {instance} ran {count} calls after its drain time"));
        }
        self.later(Duration::ZERO, Step::Replace(place));
    }

    fn look_for_ends(&mut self) {
        for daemon in 0..self.site.daemons.len() {
            let Some(process) = &mut self.site.daemons[daemon].process else { continue };
            if process.leaving {
                continue;
            }
            if let Some(status) = process.ended() {
                self.findings.push(format!("END daemon {daemon} ended by itself with {status}"));
                self.site.daemons[daemon].process = None;
                self.begin(daemon, Trouble::Down);
                self.later(RESTART, Step::Start(daemon));
            }
        }
    }

    /// Endpoints that were crashed start again some time later, under their ids.
    fn look_for_crashes(&mut self) {
        for place in 0..self.site.places.len() {
            if self.site.places[place].endpoint.has_crashed() && self.crashed.insert(place) {
                self.later(REVIVES, Step::Revive(place));
            }
        }
    }

    fn revive(&mut self, place: usize) -> anyhow::Result<()> {
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
