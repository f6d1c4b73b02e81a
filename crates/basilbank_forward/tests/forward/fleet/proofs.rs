//! Keys are taken away while daemons lose the store, are cut off, start again and stand still.

use std::{sync::Arc, time::Duration};

use basilbank_forward::prelude::*;

use super::{Fleet, Step};
use crate::rig::{plain, table};

/// How long a daemon may trust a key.
pub const TRUST: Duration = Duration::from_millis(4850);

/// Time between two of a daemon's questions to the store.
const ASKS: Duration = Duration::from_millis(1000);

/// Longest way of an answer of the store.
const SLOW: f64 = 3.0;

const ASK: u64 = 1 << 32;
const CHANGE: u64 = 1;
const TROUBLE: u64 = 2;
const LOOK: u64 = 3;

/// What was seen.
#[derive(Debug, Default)]
pub struct Got {
    /// Moments at which a daemon trusted keys of a version that had been replaced for longer than the bound.
    pub late: usize,
    /// Moments at which it trusted keys, and all moments.
    pub trusted: usize,
    pub all: usize,
    /// Datagrams with questions and answers about proofs.
    pub asked: usize,
}

pub struct Play {
    fleet: Fleet,
    /// The daemon reads the store.
    sees: Vec<bool>,
    /// When each version came into force.
    versions: Vec<Duration>,
    trouble: bool,
    got: Got,
}

fn keyed(version: u64) -> RouteTable {
    let team = Team::new("team-1");
    table(version).with_teams(Teams::default().with_team(team, [KeyHash([1; 16])]))
}

impl Play {
    pub fn run(daemons: usize, trouble: bool, seed: u64) -> Got {
        let mut fleet = Fleet::new(daemons, keyed(1), seed).with_loss(0.02);
        fleet.trust_keys(TRUST);
        let versions = vec![fleet.now()];
        let sees = vec![true; daemons];
        let mut play = Play { fleet, sees, versions, trouble, got: Got::default() };
        play.fleet.list(&[plain("a", 1)], &[]);
        for daemon in 0..daemons {
            let first = ASKS.mul_f64(play.fleet.rng.unit());
            play.fleet.mark(first, ASK + daemon as u64);
        }
        play.fleet.mark(Duration::from_secs(4), CHANGE);
        play.fleet.mark(Duration::from_secs(2), LOOK);
        if trouble {
            play.fleet.mark(Duration::from_secs(5), TROUBLE);
        }
        let end = play.fleet.now() + Duration::from_secs(40);
        while let Some(step) = play.fleet.step(end) {
            match step {
                Step::Mark(CHANGE) => play.change(),
                Step::Mark(TROUBLE) => play.upset(),
                Step::Mark(LOOK) => play.look(),
                Step::Mark(asks) => play.ask((asks - ASK) as usize),
                Step::Asks { .. } => {}
            }
        }
        play.got.asked = play.fleet.words;
        play.got
    }

    /// A key goes: a new version is confirmed to the operator.
    fn change(&mut self) {
        let pause = Duration::from_secs_f64(3.0 + 4.0 * self.fleet.rng.unit());
        self.fleet.mark(pause, CHANGE);
        self.versions.push(self.fleet.now());
        let version = self.versions.len() as u64;
        self.fleet.table = Arc::new(keyed(version));
        self.fleet.revision += 1;
    }

    /// The store turns other daemons away than before, one is cut off, one starts again.
    fn upset(&mut self) {
        self.fleet.mark(Duration::from_millis(2500), TROUBLE);
        let some = self.fleet.rng.unit() * 0.6;
        for sees in &mut self.sees {
            *sees = some < self.fleet.rng.unit();
        }
        self.fleet.trouble();
    }

    /// A daemon asks the store, unless it rests on others. The answer says what was there when it came to the
    /// store, and may be long on its way.
    fn ask(&mut self, daemon: usize) {
        self.fleet.mark(ASKS, ASK + daemon as u64);
        let state = &self.fleet.daemons[daemon].state;
        let rests = state.follow_state().follows && !state.is_stale(Topic::Routes);
        if !self.sees[daemon] || rests && !state.is_confirmation_old(self.fleet.now()) {
            return;
        }
        let asked = self.fleet.now();
        let slow = if self.trouble { SLOW * self.fleet.rng.unit().powi(4) } else { 0.004 };
        let way = Duration::from_secs_f64(slow);
        let read = Revisions::at(self.fleet.revision);
        let table = Some(Arc::clone(&self.fleet.table));
        self.fleet.feed_later(daemon, way, Event::RoutesRead { revisions: read, table });
        self.fleet.feed_later(daemon, way, Event::RoutesConfirmed { asked_at: asked });
    }

    fn look(&mut self) {
        self.fleet.mark(Duration::from_millis(50), LOOK);
        let now = self.fleet.now();
        for daemon in self.fleet.daemons.iter().filter(|daemon| daemon.runs) {
            let trusted = daemon.state.can_trust_keys(now);
            let next = usize::try_from(daemon.state.routes.version).unwrap_or_default();
            let replaced = self.versions.get(next).copied();
            self.got.all += 1;
            self.got.trusted += usize::from(trusted);
            self.got.late += usize::from(trusted && replaced.is_some_and(|at| at + TRUST < now));
        }
    }
}

impl Fleet {
    fn trust_keys(&mut self, trust: Duration) {
        self.trust = Some(trust);
        for daemon in &mut self.daemons {
            daemon.state.tuning.max_confirmation_age = self.trust;
        }
    }
}
