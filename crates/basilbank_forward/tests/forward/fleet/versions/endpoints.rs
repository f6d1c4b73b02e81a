//! What becomes of endpoints and daemons while streams are written.

use std::time::Duration;

use basilbank_forward::prelude::*;

use super::{Change, Mark, Node, Play, Trouble};
use crate::{
    fleet::{EPOCH, contact},
    rig::model,
};

/// When the record of an endpoint that has crashed lapses.
const LAPSES: Duration = Duration::from_millis(1500);

/// How long an endpoint that has crashed is away.
const AWAY: Duration = Duration::from_secs(2);

impl Play {
    /// An endpoint's record; the endpoint runs from now on.
    pub(super) fn node(&mut self, version: usize, stage: Stage, start_time: u64) -> EndpointInfo {
        self.next += 1;
        let instance = format!("v{version}-{}", self.next);
        self.nodes.insert(instance.clone(), Node { version, stage, runs: true });
        let port = u16::try_from(self.next % 60_000).unwrap_or_default() + 1;
        let info = model(&instance, port, stage);
        EndpointInfo { start_time: Some(start_time), version: self.name(version), ..info }
    }

    /// What records state as a version.
    pub(super) fn name(&self, version: usize) -> String {
        if self.load.unstated { String::new() } else { format!("v{version}") }
    }

    pub(super) fn add_node(&mut self, version: usize, stage: Stage) {
        let unix_ms = EPOCH + u64::try_from(self.fleet.now().as_millis()).unwrap_or_default();
        let info = self.node(version, stage, unix_ms);
        self.fleet.list(&[info], &[]);
    }

    pub(super) fn serving(&self, version: usize, stage: Stage) -> Vec<String> {
        let serves = |node: &Node| node.runs && node.version == version && node.stage == stage;
        let serving = self.nodes.iter().filter(|(_, node)| serves(node));
        serving.map(|(instance, _)| instance.clone()).collect()
    }

    pub(super) fn change(&mut self, n: u32) {
        self.mark(self.load.every, Mark::Change(n + 1));
        match self.load.change {
            Change::Nothing => {}
            Change::Crashes => {
                let version = self.fleet.rng.index(self.load.versions);
                let serving = self.serving(version, Stage::Decode);
                if let Some(instance) = serving.first() {
                    self.crash(instance);
                    self.mark(AWAY, Mark::Return(version));
                }
            }
            Change::AllButOne if n == 0 => {
                let serving = self.serving(0, Stage::Decode);
                serving.iter().skip(1).for_each(|instance| self.crash(instance));
            }
            Change::AllCrash if n == 0 => {
                let serving = self.serving(0, Stage::Decode);
                serving.iter().for_each(|instance| self.crash(instance));
            }
            Change::AllButOne | Change::AllCrash => {}
            Change::Replaced => {
                for stage in [Stage::Prefill, Stage::Decode] {
                    if self.leave(0, stage) {
                        self.add_node(self.load.versions, stage);
                    }
                }
            }
            Change::LastGoes => {
                self.leave(0, Stage::Prefill);
                self.leave(0, Stage::Decode);
            }
        }
    }

    /// An endpoint ends with all that it runs; its record lapses later.
    pub(super) fn crash(&mut self, instance: &str) {
        self.stop(instance);
        self.mark(LAPSES, Mark::Lapse(instance.to_owned()));
    }

    /// The first endpoint of a version ends, and its record with it.
    pub(super) fn leave(&mut self, version: usize, stage: Stage) -> bool {
        let Some(instance) = self.serving(version, stage).into_iter().next() else { return false };
        self.fleet.list(&[], std::slice::from_ref(&instance));
        self.stop(&instance);
        true
    }

    pub(super) fn stop(&mut self, instance: &str) {
        if let Some(node) = self.nodes.get_mut(instance) {
            node.runs = false;
        }
        let broken: Vec<_> =
            self.runs.iter().filter(|(_, run)| run.instance == instance).map(|(n, _)| *n).collect();
        for number in broken {
            if let Some(run) = self.runs.remove(&number) {
                self.cut_off(&run);
            }
        }
    }

    pub(super) fn trouble(&mut self, n: u32) {
        self.mark(self.load.every, Mark::Trouble(n + 1));
        let until = self.fleet.now() + self.load.every + contact(self.load.daemons);
        let count = self.fleet.len();
        let killed: Vec<_> = match self.load.trouble {
            Trouble::Nothing => return,
            Trouble::Restarts => vec![self.fleet.rng.index(count)],
            Trouble::AllAtOnce if n.is_multiple_of(3) => (0..count).collect(),
            Trouble::AllAtOnce => return,
            Trouble::CutOff => {
                let [killed, cut] = self.fleet.trouble();
                self.out.insert(cut, until);
                self.out.insert(killed, until);
                return self.lose_callers(&[killed]);
            }
            Trouble::Halves => {
                self.fleet.half = n.is_multiple_of(2).then_some(count / 2);
                return;
            }
        };
        for daemon in &killed {
            self.fleet.restart(*daemon);
            self.out.insert(*daemon, until);
        }
        self.lose_callers(&killed);
    }
}
