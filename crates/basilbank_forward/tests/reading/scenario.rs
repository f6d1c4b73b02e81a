//! What is played.

use std::time::Duration;

use crate::store::StoreCondition;

/// The way to the store of one daemon, or of all, changes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Transition {
    pub at: Duration,
    pub daemon: Option<usize>,
    pub condition: StoreCondition,
}

/// What is played.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Scenario {
    pub daemons: usize,
    /// So many of them watch, the first ones, and the others rest on their word; 0 when all watch.
    pub watchers: usize,
    /// The store doesn't say its era, as an older one.
    pub omits_era: bool,
    pub transitions: Vec<Transition>,
    /// A version is confirmed each time so much has passed.
    pub routes_interval: Duration,
    /// The list changes each time so much has passed; `None` for never.
    pub endpoints_interval: Option<Duration>,
    pub end: Duration,
    /// Decides how long watches wait, between their least and their longest.
    pub seed: u64,
}
