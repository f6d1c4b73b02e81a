//! Teams: who calls, with which key, and how much of the services they may use.

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    sync::Arc,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::rank::DEFAULT_PRIORITY;

/// The credential that a caller presents. The key itself never reaches this crate: the shell hashes
/// it with a secret of the process, so that neither a log nor the duration of a lookup reveals
/// anything about it.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum Credential {
    /// No key.
    #[default]
    None,
    /// More than one key, or one that can't belong to anybody.
    Unusable,
    /// A key.
    Key(KeyHash),
}

/// The keyed hash of a key. Its value is valid within one process only.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash(pub [u8; 16]);

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// Identifies a team among daemons, by a hash of its name.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Debug)]
pub struct TeamId(pub u64);

impl TeamId {
    /// Returns the id of the team with this name.
    #[must_use]
    pub fn of(name: &str) -> TeamId {
        TeamId(xxh3_64(name.as_bytes()))
    }
}

/// A team of callers.
#[derive(Clone, PartialEq, Debug)]
pub struct Team {
    /// The team's name, as it is sent to endpoints.
    pub name: Arc<str>,
    /// The team's id.
    pub id: TeamId,
    /// The team's quota; `None` when its use isn't limited.
    pub quota: Option<Quota>,
    /// How urgent its calls are, from 0, the most urgent, to
    /// [`MAX_PRIORITY`](crate::rank::MAX_PRIORITY); `None` where that isn't configured.
    pub priority: Option<u8>,
}

impl Team {
    /// Creates a team without a quota.
    #[must_use]
    pub fn new(name: &str) -> Team {
        Team { name: name.into(), id: TeamId::of(name), quota: None, priority: None }
    }

    /// Sets the quota.
    #[must_use]
    pub fn with_quota(mut self, quota: Quota) -> Team {
        self.quota = Some(quota);
        self
    }

    /// Sets the priority.
    #[must_use]
    pub fn with_priority(mut self, priority: u8) -> Team {
        self.priority = Some(priority);
        self
    }

    /// Returns the priority, or the default where none is configured.
    #[must_use]
    pub fn priority_or_default(&self) -> u8 {
        self.priority.unwrap_or(DEFAULT_PRIORITY)
    }

    /// Returns the team's weight where teams share something: its quota's rate, or 1 without a
    /// quota.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.quota.map_or(1.0, |quota| quota.rate)
    }
}

/// How much a team may use, over all daemons together.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Quota {
    /// Units per second; above 0.
    pub rate: f64,
    /// Maximum number of unused units that accumulate.
    pub burst: f64,
    /// The unit.
    pub unit: QuotaUnit,
}

/// The unit in which a quota is counted.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens: the prompt's, and the maximum that may be generated.
    Tokens {
        /// Number of tokens that a request counts as if it doesn't state them.
        unspecified: u32,
    },
}

/// All teams of a configuration.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Teams {
    keys: HashMap<KeyHash, Arc<Team>>,
    by_id: HashMap<TeamId, Arc<Team>>,
}

impl Teams {
    /// Adds a team and its keys. A key that already belongs to an earlier team stays with that
    /// team.
    #[must_use]
    pub fn with_team(mut self, team: Team, keys: impl IntoIterator<Item = KeyHash>) -> Teams {
        let team = Arc::new(team);
        for key in keys {
            self.keys.entry(key).or_insert_with(|| Arc::clone(&team));
        }
        self.by_id.insert(team.id, team);
        self
    }

    /// Returns the team that a key belongs to.
    #[must_use]
    pub fn find(&self, key: &KeyHash) -> Option<&Arc<Team>> {
        self.keys.get(key)
    }

    /// Returns a team's quota, if it has one.
    #[must_use]
    pub fn quota(&self, id: TeamId) -> Option<Quota> {
        self.by_id.get(&id)?.quota
    }

    /// Returns the distinct priorities of all teams.
    #[must_use]
    pub fn priorities(&self) -> BTreeSet<u8> {
        self.by_id.values().map(|team| team.priority_or_default()).collect()
    }

    /// Returns the team with this id.
    #[must_use]
    pub fn get(&self, id: TeamId) -> Option<&Arc<Team>> {
        self.by_id.get(&id)
    }
}
