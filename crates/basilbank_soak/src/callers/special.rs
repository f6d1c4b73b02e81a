//! Callers that come only while a fault lasts.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use super::{Caller, Kind, PATIENCE, Records, Seen, keep};
use crate::streams::Events;

/// Pause between two calls that crash endpoints.
const DEADLY_PAUSE: Duration = Duration::from_millis(250);

/// Pause between two calls of a caller of the crowd.
const CROWD_PAUSE: Duration = Duration::from_millis(5);

/// No daemon is crowded.
const NONE: usize = usize::MAX;

/// Which special callers come.
#[derive(Debug)]
pub struct Switches {
    /// The call that crashes endpoints.
    pub deadly: AtomicBool,
    /// Calls that share a part which crashes endpoints.
    pub deadly_part: AtomicBool,
    crowded: AtomicUsize,
}

impl Default for Switches {
    fn default() -> Switches {
        Switches {
            deadly: AtomicBool::new(false),
            deadly_part: AtomicBool::new(false),
            crowded: AtomicUsize::new(NONE),
        }
    }
}

impl Switches {
    /// Sends a crowd to a daemon, or none.
    pub fn crowd(&self, daemon: Option<usize>) {
        self.crowded.store(daemon.unwrap_or(NONE), Ordering::Relaxed);
    }

    fn crowded(&self) -> Option<usize> {
        Some(self.crowded.load(Ordering::Relaxed)).filter(|daemon| *daemon != NONE)
    }
}

impl Caller {
    /// Sends calls that crash endpoints while they are to come, to the daemons in turn.
    pub(super) fn run_deadly(
        mut self,
        kind: Kind,
        records: &Records,
        stop: &AtomicBool,
        switches: &Arc<Switches>,
    ) {
        let comes = if kind == Kind::Deadly { &switches.deadly } else { &switches.deadly_part };
        while !stop.load(Ordering::Relaxed) {
            if comes.load(Ordering::Relaxed) {
                let record = self.send(kind, &mut Events::default(), None, PATIENCE);
                self.open = None;
                self.at = (self.at + 1) % self.daemons.len();
                keep(records, record);
            }
            thread::sleep(DEADLY_PAUSE);
        }
    }

    /// Calls the crowded daemon while there is one, each time over a new connection; a call that was not
    /// read goes to the others in turn.
    pub(super) fn run_crowd(
        mut self,
        records: &Records,
        stop: &AtomicBool,
        switches: &Arc<Switches>,
    ) {
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(CROWD_PAUSE);
            let Some(crowded) = switches.crowded() else { continue };
            self.at = crowded;
            for _ in 0..self.daemons.len() {
                self.open = None;
                let record = self.send(Kind::Crowd, &mut Events::default(), None, PATIENCE);
                let was_read = !matches!(record.seen, Seen::Closed | Seen::Unreachable);
                keep(records, record);
                if was_read {
                    break;
                }
                self.at = (self.at + 1) % self.daemons.len();
            }
        }
    }
}
