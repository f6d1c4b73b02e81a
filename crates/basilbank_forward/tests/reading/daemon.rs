//! A simulated daemon: its readers, its connections to the store and the condition in which it finds
//! the store.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use basilbank_forward::prelude::*;

use crate::store::{StoreCondition, TOLERATED_DELAY_MS};

/// Additional time that a daemon may take to detect that connections with pending reads died without
/// an error. Operators count a daemon as in contact again three seconds later.
const DETECTION_ALLOWANCE: Duration = Duration::from_secs(1);

/// Time after which a daemon detects an outage: by then the watch of the list and the margin for its
/// answer are over.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2200);

/// A simulated daemon.
#[derive(Debug, Default)]
pub struct Daemon {
    pub readers: Readers,
    pub condition: StoreCondition,
    /// Time at which the open connections last died.
    pub connections_died_at: Duration,
    /// Time since which the store answers this daemon. Update delays count from here.
    pub answers_since: Duration,
    pub pending: BTreeMap<(Topic, ReadId), PendingRead>,
    /// Version of each topic that is in force.
    pub in_force: PerTopic<u64>,
    pub latest_change: PerTopic<Revision>,
    /// Era of the last accepted answer of each topic.
    pub last_era: PerTopic<u64>,
    pub read_times: VecDeque<Duration>,
    pub answer_count: u64,
    /// Whether each topic can't be read.
    pub lost: PerTopic<bool>,
    /// Last report of each peer: when it came, and whether the store answers that peer as a watcher.
    pub watcher_reports: BTreeMap<usize, (Duration, bool)>,
    /// Number of times that a watcher reported that it lost the store.
    pub watcher_losses: u32,
    /// Connection that each topic keeps for its next read.
    pub idle_connections: PerTopic<IdleConnection>,
}

/// State of a connection that is kept open after a complete answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum IdleConnection {
    #[default]
    None,
    Live,
    /// The connection has died without an error, so the daemon still uses it.
    Dead,
}

/// A read that has not ended yet.
#[derive(Clone, Debug)]
pub struct PendingRead {
    pub started_at: Duration,
    pub scope: Scope,
    /// Whether the connection is dead, so that no answer can arrive.
    pub connection_dead: bool,
    pub outcome: Option<ReadOutcome>,
    /// Era that the answer reports.
    pub era: Option<u64>,
    /// Version that the store held when it sent the answer.
    pub version: u64,
}

impl Daemon {
    /// Changes the condition of the store for this daemon. Returns the pending reads that fail at once.
    pub fn set_condition(
        &mut self,
        condition: StoreCondition,
        now: Duration,
    ) -> Vec<(Topic, ReadId)> {
        self.update_answers_since(condition, now);
        self.condition = condition;
        for topic in Topic::ALL {
            let connection = self.idle_connections.get_mut(topic);
            match condition {
                StoreCondition::Refusing => *connection = IdleConnection::None,
                condition
                    if condition.kills_connections() && *connection == IdleConnection::Live =>
                {
                    *connection = IdleConnection::Dead;
                }
                _ => {}
            }
        }
        let mut failed = Vec::new();
        for (key, read) in &mut self.pending {
            read.connection_dead |= condition.kills_connections();
            if condition == StoreCondition::Refusing && !read.connection_dead {
                read.outcome = Some(ReadOutcome::Failed("reset".to_owned()));
                failed.push(*key);
            }
        }
        failed
    }

    /// Returns the time until which this daemon may mistake dead connections for a store without
    /// changes. Until then its followers may be late, too.
    pub fn outage_detected_by(&self) -> Duration {
        if self.connections_died_at.is_zero() {
            Duration::ZERO
        } else {
            self.connections_died_at + WATCH_TIMEOUT
        }
    }

    /// Updates the times at which connections died and since which the store answers.
    fn update_answers_since(&mut self, condition: StoreCondition, now: Duration) {
        if condition.kills_connections()
            && (self.condition.answers_in_time() || !self.condition.kills_connections())
        {
            self.connections_died_at = now;
        }
        // Reads whose answers were lost still wait for them, and slow answers are still on their way.
        let loss_undetected = self.condition == StoreCondition::Lossy
            || condition == StoreCondition::ConnectionsDropped
            || matches!(self.condition, StoreCondition::Slow(ms) if ms != TOLERATED_DELAY_MS)
            || self.condition.kills_connections() && now < self.connections_died_at + WATCH_TIMEOUT;
        if loss_undetected {
            self.answers_since = now + DETECTION_ALLOWANCE;
        } else if !condition.answers_in_time() || !self.condition.answers_in_time() {
            self.answers_since = self.answers_since.max(now);
        }
    }
}
