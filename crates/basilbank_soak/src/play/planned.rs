//! What planned work does to daemons and endpoints.

use std::{
    fs, io,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;

use super::{LOOK, Play, Step, endpoints::DRAIN};
use crate::plan::Routing;

/// The line of the settings that bounds retries.
const SLACK: &str = "retrySlack = ";

/// How long a daemon that starts is waited for.
const START_LIMIT: Duration = Duration::from_secs(2);

/// A version of the configuration that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// When.
    pub at: Instant,
    /// What it says.
    pub routing: Routing,
}

/// A time in which a sound endpoint sends nothing.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Which place it is at.
    pub place: usize,
    /// Since when.
    pub from: Instant,
    /// Until when.
    pub to: Instant,
}

/// What planned work was done.
#[derive(Clone, Debug)]
pub struct Work {
    /// Versions of the configuration, in order.
    pub versions: Vec<Sent>,
    /// Silences of endpoints.
    pub silences: Vec<Silence>,
}

impl Work {
    /// None but the configuration that the site starts with, sent at a time.
    #[must_use]
    pub fn begin(at: Instant) -> Work {
        Work { versions: vec![Sent { at, routing: Routing::START }], silences: Vec::new() }
    }
}

impl Play<'_> {
    pub(super) fn reconfigure(&mut self, routing: Routing) {
        self.work.versions.push(Sent { at: Instant::now(), routing });
        self.site.reconfigure(routing);
    }

    pub(super) fn fall_silent(&mut self, place: usize, time: Duration) {
        let from = Instant::now();
        self.work.silences.push(Silence { place, from, to: from + time });
        self.site.places[place].endpoint.fall_silent(time);
    }

    /// A SIGTERM to a daemon that has got one before.
    pub(super) fn terminate_again(&mut self, daemon: usize) {
        let process = self.site.daemons[daemon].process.as_ref();
        if process.is_some_and(|process| process.leaving) {
            self.signal(daemon, Signal::TERM);
        }
    }

    /// A SIGTERM as soon as a daemon's new process accepts callers.
    pub(super) fn terminate_early(&mut self, daemon: usize) {
        let address = self.site.daemons[daemon].callers;
        let end = Instant::now() + START_LIMIT;
        while TcpStream::connect_timeout(&address, LOOK).is_err() && Instant::now() < end {
            thread::yield_now();
        }
        self.terminate(daemon);
    }

    /// A SIGHUP with settings that allow more retries than before.
    pub(super) fn retune(&mut self, daemon: usize) -> io::Result<()> {
        let path = &self.site.daemons[daemon].settings;
        let text = fs::read_to_string(path)?;
        let raise = |line: &str| match line.strip_prefix(SLACK).and_then(|n| n.parse::<u32>().ok())
        {
            Some(slack) => format!("{SLACK}{}\n", slack + 1),
            None => format!("{line}\n"),
        };
        fs::write(path, text.lines().map(raise).collect::<String>())?;
        self.signal(daemon, Signal::HUP);
        Ok(())
    }

    /// An endpoint drains until it has ended its streams; then another instance takes its address.
    pub(super) fn retire(&mut self, place: usize) {
        if self.leaving.insert(place) {
            self.site.list(place, "draining");
            self.later(DRAIN, Step::Retire(place));
        }
    }

    pub(super) fn end_retired(&mut self, place: usize) {
        match self.site.places[place].endpoint.served().active {
            0 => self.later(Duration::ZERO, Step::Unlist { place, runs: None }),
            _ => self.later(LOOK, Step::Retire(place)),
        }
    }
}
