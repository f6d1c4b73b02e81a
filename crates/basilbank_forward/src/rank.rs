//! Ranks: which of the calls that compete for a service's endpoints are more urgent.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use crate::{
    route::{Route, RouteKind},
    team::{Team, Teams},
};

/// The priority of a route or of a call without a team if none is configured.
pub const DEFAULT_PRIORITY: u8 = 5;

/// The lowest priority that can be configured.
pub const MAX_PRIORITY: u8 = 9;

/// Number of ranks that endpoints distinguish.
const RANK_COUNT: usize = 10;

/// The urgency of a call among those that compete with it. 0 is the most urgent.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Debug)]
pub struct Rank(pub u8);

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Calls that compete with each other: those of a service that are streamed, or the others.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct Group {
    service: String,
    is_streaming: bool,
}

/// A priority of a team and one of a route. The team's goes first.
type PriorityPair = (u8, u8);

/// The ranks of a configuration.
#[derive(Clone, PartialEq, Debug, Default)]
pub(crate) struct Ranks {
    /// The distinct pairs of each group, in order.
    pairs: BTreeMap<Group, BTreeSet<PriorityPair>>,
}

impl Ranks {
    /// Collects the ranks of all routes and teams.
    pub(crate) fn new(routes: &[Route], teams: Option<&Teams>) -> Ranks {
        let no_team = BTreeSet::from([DEFAULT_PRIORITY]);
        let team_priorities = teams.map_or_else(BTreeSet::new, Teams::priorities);
        let mut pairs: BTreeMap<Group, BTreeSet<PriorityPair>> = BTreeMap::new();
        for route in routes {
            let needs_team = teams.is_some() && !route.public;
            let of_teams = if needs_team { &team_priorities } else { &no_team };
            for service in route.services() {
                let occurring = of_teams.iter().map(|team| (*team, route.priority));
                pairs.entry(group(service, route)).or_default().extend(occurring);
            }
        }
        Ranks { pairs }
    }

    /// Returns the rank of a call, or `None` if all calls that compete with it are equally urgent.
    pub(crate) fn get(&self, service: &str, route: &Route, team: Option<&Team>) -> Option<Rank> {
        let pairs = self.pairs.get(&group(service, route)).filter(|pairs| 1 < pairs.len())?;
        let own = (team.map_or(DEFAULT_PRIORITY, Team::priority_or_default), route.priority);
        let index = pairs.iter().position(|pair| own <= *pair).unwrap_or(pairs.len() - 1);
        let rank = if pairs.len() <= RANK_COUNT { index } else { index * RANK_COUNT / pairs.len() };
        Some(Rank(rank as u8))
    }

    /// Returns whether any calls that compete at a service differ in urgency.
    pub(crate) fn has_ranks(&self, service: &str) -> bool {
        let is_ranked = |is_streaming| {
            let group = Group { service: service.to_owned(), is_streaming };
            self.pairs.get(&group).is_some_and(|pairs| 1 < pairs.len())
        };
        is_ranked(true) || is_ranked(false)
    }
}

fn group(service: &str, route: &Route) -> Group {
    Group { service: service.to_owned(), is_streaming: route.kind == RouteKind::Streaming }
}
