//! Teams: who calls, by which key, and how much of the services they may use.

use std::{collections::HashMap, fmt, sync::Arc};

use xxhash_rust::xxh3::xxh3_64;

/// What a caller shows to be let in. The key itself never comes here: the shell hashes it with a secret of
/// the process, so that neither a log nor a lookup's time tells anything of it.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum Credential {
    /// No key.
    #[default]
    None,
    /// More than one key, or one that can't be anybody's.
    Unusable,
    /// A key.
    Key(KeyHash),
}

/// A keyed hash of a key. It means something within one process only.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash(pub [u8; 16]);

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// Names a team among daemons: a hash of its name.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Debug)]
pub struct TeamId(pub u64);

impl TeamId {
    /// The id of the team with this name.
    #[must_use]
    pub fn of(name: &str) -> TeamId {
        TeamId(xxh3_64(name.as_bytes()))
    }
}

/// One team.
#[derive(Clone, PartialEq, Debug)]
pub struct Team {
    /// Its name, as endpoints are told it.
    pub name: Arc<str>,
    /// Its id.
    pub id: TeamId,
    /// What it may use; none when it may use as much as there is.
    pub quota: Option<Quota>,
}

impl Team {
    /// A team without a quota.
    #[must_use]
    pub fn new(name: &str) -> Team {
        Team { name: name.into(), id: TeamId::of(name), quota: None }
    }

    /// With a quota.
    #[must_use]
    pub fn with_quota(mut self, quota: Quota) -> Team {
        self.quota = Some(quota);
        self
    }
}

/// What a team may use, over all daemons together.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Quota {
    /// Units a second; above 0.
    pub rate: f64,
    /// Units that may be saved up.
    pub burst: f64,
    /// What a unit is.
    pub unit: QuotaUnit,
}

/// What is counted.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens to be read and at most generated.
    Tokens {
        /// Those of a request that doesn't say them.
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
    /// With a team and its keys. A key that an earlier team has stays that team's.
    #[must_use]
    pub fn with_team(mut self, team: Team, keys: impl IntoIterator<Item = KeyHash>) -> Teams {
        let team = Arc::new(team);
        for key in keys {
            self.keys.entry(key).or_insert_with(|| Arc::clone(&team));
        }
        self.by_id.insert(team.id, team);
        self
    }

    /// The team that has a key.
    #[must_use]
    pub fn find(&self, key: &KeyHash) -> Option<&Arc<Team>> {
        self.keys.get(key)
    }

    /// A team's quota, if it has one.
    #[must_use]
    pub fn quota(&self, id: TeamId) -> Option<Quota> {
        self.by_id.get(&id)?.quota
    }

    /// A team.
    #[must_use]
    pub fn get(&self, id: TeamId) -> Option<&Arc<Team>> {
        self.by_id.get(&id)
    }
}
