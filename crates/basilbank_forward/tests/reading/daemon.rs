//! A daemon's readers, and how its way to the store changes.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use basilbank_forward::prelude::*;

use crate::store::{StoreCondition, TOLERATED_DELAY_MS};

/// How long daemons may take besides to notice that connections died without a sign, over which answers
/// are waited for. The operators count a daemon in touch again three seconds after that.
const DETECTION_ALLOWANCE: Duration = Duration::from_secs(1);

/// A spell that lasts as long shows: the list's watch and its margin are over.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2200);

/// A daemon: its readers, and its way to the store.
#[derive(Debug, Default)]
pub struct Daemon {
    pub readers: Readers,
    pub condition: StoreCondition,
    /// Connections that stood have died then.
    pub connections_died_at: Duration,
    /// The store answers since then.
    pub answers_since: Duration,
    pub pending: BTreeMap<(Topic, ReadId), PendingRead>,
    /// The version of each topic in force.
    pub in_force: PerTopic<u64>,
    pub latest_change: PerTopic<Revision>,
    /// The era in which each topic was read last.
    pub last_era: PerTopic<u64>,
    pub read_times: VecDeque<Duration>,
    pub answer_count: u64,
    /// The list can't be read.
    pub endpoints_lost: bool,
    /// What daemons that watch said last: when, and whether the store answers them.
    pub watcher_reports: BTreeMap<usize, (Duration, bool)>,
    /// How often one of them said that it doesn't any more.
    pub watcher_losses: u32,
    /// The connection that each topic keeps for its next question.
    pub idle_connections: PerTopic<IdleConnection>,
}

/// A connection over which an answer came whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum IdleConnection {
    #[default]
    None,
    Live,
    /// It has died, and shows no sign of it.
    Dead,
}

/// A question that is open.
#[derive(Clone, Debug)]
pub struct PendingRead {
    pub started_at: Duration,
    pub scope: Scope,
    /// Its connection is dead.
    pub connection_dead: bool,
    pub outcome: Option<ReadOutcome>,
    /// The store's era, and the version that it held, when the answer left.
    pub era: Option<u64>,
    pub version: u64,
}

impl Daemon {
    /// Its way to the store changes. Returns the questions that fail by it.
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
                    *connection = IdleConnection::Dead
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

    /// Until then it may take the store's silence for nothing new, and so may those that rest on its word.
    pub fn outage_detected_by(&self) -> Duration {
        if self.connections_died_at.is_zero() {
            Duration::ZERO
        } else {
            self.connections_died_at + WATCH_TIMEOUT
        }
    }

    /// From when on the store answers.
    fn update_answers_since(&mut self, condition: StoreCondition, now: Duration) {
        if condition.kills_connections()
            && (self.condition.answers_in_time() || !self.condition.kills_connections())
        {
            self.connections_died_at = now;
        }
        // Those whose answers were lost go on waiting for them, and slow ones are still on their way.
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
