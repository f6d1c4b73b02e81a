//! What is done to daemons' processes.

use std::{
    fs,
    os::unix::process::ExitStatusExt,
    process::ExitStatus,
    time::{Duration, Instant},
};

use rustix::process::Signal;

use super::{LOOK, Play, Step, Trouble};
use crate::plan::{Blindness, Fault};

/// The settings' grace, and a second for the process's end.
const GRACE: Duration = Duration::from_secs(9);

/// Pause before a daemon that was killed with all others is started again.
pub(super) const RESTART: Duration = Duration::from_millis(300);

/// A process that a SIGTERM killed before it had said that it listens.
#[derive(Clone, Debug)]
pub struct Unstarted {
    /// Which daemon's.
    pub daemon: usize,
    /// How it ended.
    pub status: ExitStatus,
    /// Since when it ran.
    pub from: Instant,
    /// Until when.
    pub to: Instant,
}

impl Play<'_> {
    pub(super) fn signal(&mut self, daemon: usize, signal: Signal) -> bool {
        let Some(process) = &mut self.site.daemons[daemon].process else { return false };
        process.signal(signal);
        true
    }

    pub(super) fn terminate(&mut self, daemon: usize) {
        let leaving = |p: &crate::process::Process| p.leaving;
        if self.site.daemons[daemon].process.as_ref().is_none_or(leaving) {
            return;
        }
        self.signal(daemon, Signal::TERM);
        self.begin(daemon, Trouble::Leaving);
        self.later(LOOK, Step::Reap { daemon, since: Instant::now() });
    }

    pub(super) fn kill(&mut self, daemon: usize, down: Duration) {
        if let Some(process) = self.site.daemons[daemon].process.take() {
            // Callers see it before the process's end is known here.
            self.begin(daemon, Trouble::Down);
            drop(process);
            self.later(down, Step::Start(daemon));
        }
    }

    pub(super) fn start(&mut self, daemon: usize) -> anyhow::Result<()> {
        if self.site.daemons[daemon].process.is_none() {
            self.site.daemons[daemon].start()?;
            for trouble in [Trouble::Down, Trouble::Paused, Trouble::Leaving] {
                self.over(daemon, trouble);
            }
            if self.early.remove(&daemon) {
                self.later(Duration::ZERO, Step::TerminateEarly(daemon));
            }
        }
        Ok(())
    }

    /// Waits for the end of a daemon that was told to end. A pause doesn't count against its grace.
    pub(super) fn reap(&mut self, daemon: usize, since: Instant) -> anyhow::Result<()> {
        let Some(process) = &mut self.site.daemons[daemon].process else { return Ok(()) };
        if !process.leaving {
            return Ok(());
        }
        match process.ended() {
            Some(status) => {
                let is_killed = status.signal() == Some(Signal::TERM.as_raw());
                if is_killed && !process.has_listened()? {
                    let (from, to) = (process.started, Instant::now());
                    self.unstarted.push(Unstarted { daemon, status, from, to });
                } else if !status.success() {
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

    /// Some daemons lose the store, the others stand still for a while, and what else is to happen then.
    pub(super) fn blind(&mut self, blindness: Blindness) {
        let Blindness { first, daemons, weather, time, stop, kill, compact } = blindness;
        let all = self.site.daemons.len();
        for n in 0..all {
            let daemon = (first + n) % all;
            match n < daemons {
                true => {
                    let lose = Fault::StoreLink(daemon, weather, time);
                    self.later(Duration::ZERO, Step::Fault(lose));
                }
                false => self.later(stop.0, Step::Fault(Fault::Pause(daemon, stop.1))),
            }
        }
        if let Some(at) = kill {
            self.later(at, Step::Fault(Fault::KillAll));
        }
        if let Some(at) = compact {
            self.later(at, Step::Fault(Fault::Compact));
        }
    }

    pub(super) fn proceed(&mut self, daemon: usize) {
        self.signal(daemon, Signal::CONT);
        self.over(daemon, Trouble::Paused);
    }

    pub(super) fn reload(&mut self, daemon: usize) -> anyhow::Result<()> {
        let path = self.site.daemons[daemon].settings.clone();
        let text = fs::read_to_string(&path)?;
        fs::write(&path, format!("{text}# changed\n"))?;
        self.signal(daemon, Signal::HUP);
        Ok(())
    }

    pub(super) fn look_for_ends(&mut self) {
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
}
