//! Input of a simulation run.

use std::time::Duration;

use crate::store::StoreCondition;

/// Changes the condition in which one daemon finds the store, or all daemons if `daemon` is `None`.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Transition {
    pub at: Duration,
    pub daemon: Option<usize>,
    pub condition: StoreCondition,
}

/// Input of a simulation run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Scenario {
    pub daemons: usize,
    /// Number of daemons that watch, the first ones; the others follow them. 0 if all watch.
    pub watchers: usize,
    /// Whether the store doesn't report its era, like older versions of it.
    pub omits_era: bool,
    pub transitions: Vec<Transition>,
    /// Interval between confirmed changes of the configuration.
    pub routes_interval: Duration,
    /// Interval between changes of the list of endpoints; `None` if it doesn't change.
    pub endpoints_interval: Option<Duration>,
    pub end: Duration,
    /// Seed of the random time that each watch waits, between its minimum and its maximum.
    pub seed: u64,
}
