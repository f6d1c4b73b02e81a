//! The order of the waiting completions of all daemons: by urgency, and fair between teams.

use std::{collections::HashMap, time::Duration};

use super::{
    demand::{DemandSums, OTHER_TEAMS},
    peers::FirstWaiting,
    service_hash,
};
use crate::{
    rank::{MAX_PRIORITY, Rank},
    state::{Request, State},
    team::TeamId,
};

/// Part of the memory in use that the ranks below the most urgent waiting one are owed together,
/// so that a lasting load of urgent completions doesn't starve the others.
const MIN_SHARE: f64 = 0.25;

/// Ratio of the uses per weight of two teams that are one step apart. Daemons know slightly
/// different uses; with steps most of them see the same order, and the completions of teams with
/// about the same use keep the order of their due times.
const USE_STEP_RATIO: f64 = 1.1;

/// Step of a use per weight of 1. It is above 0 because teams with high weights use less than that.
const UNIT_USE_STEP: f64 = 500.0;

/// Rank of a completion without one where others have ranks.
const LEAST_URGENT: Rank = Rank(MAX_PRIORITY);

/// Least weight of a team, which keeps the use per weight finite.
const MIN_WEIGHT: f64 = 1e-9;

/// A position in the queue. The fields are compared in their order, and the lowest goes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct QueuePosition {
    /// Whether any version of the endpoints would do, although there are several or the completion
    /// is new.
    pub any_version: bool,
    /// Whether the completion can't be on time.
    pub late: bool,
    /// Whether another rank goes before it because that rank is owed memory.
    pub yields: bool,
    /// Its rank; the same for all where they are equally urgent.
    pub rank: Rank,
    /// Whether it is new, rather than one that was refused and returns as it was told.
    pub is_new: bool,
    /// Its team's memory in use per weight, in steps.
    pub use_step: u16,
    /// When its first token is due.
    pub due: Duration,
}

impl QueuePosition {
    /// Returns the position of a completion with this due time whose first token can't come before
    /// `soonest`, where there are neither ranks nor teams.
    #[must_use]
    pub fn new(due: Duration, soonest: Duration) -> QueuePosition {
        QueuePosition {
            any_version: true,
            late: due < soonest,
            yields: false,
            rank: LEAST_URGENT,
            is_new: true,
            use_step: 0,
            due,
        }
    }

    /// Returns whether `later` waits while this one waits for capacity. A less urgent completion
    /// that is first only because its rank is owed memory doesn't block more urgent ones: capacity
    /// that is too small for it would stay idle.
    #[must_use]
    pub fn blocks(&self, later: &QueuePosition) -> bool {
        let is_owed = self.late == later.late && later.rank < self.rank;
        self < later && !is_owed
    }
}

/// A team's use of the memory of a service's decode endpoints.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct TeamUse {
    /// Tokens in use per weight, in steps.
    pub step: u16,
    /// Tokens in use per weight, as a multiple of the mean over the service's teams.
    pub share: f64,
}

/// What decides the order of a service's waiting completions, apart from their due times.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct ServiceOrder {
    /// The rank that is owed memory among the completions that can be on time.
    owed_timely: Option<Rank>,
    /// The rank that is owed memory among the late ones.
    owed_late: Option<Rank>,
    /// The use of each team.
    uses: HashMap<Option<TeamId>, TeamUse>,
}

impl ServiceOrder {
    /// Derives the order from the demand of all daemons at a service. `weight` returns the weight
    /// of a team.
    pub fn new(
        demand: &[(Option<Rank>, Option<TeamId>, DemandSums)],
        weight: impl Fn(Option<TeamId>) -> f64,
    ) -> ServiceOrder {
        let mut tokens: HashMap<Option<TeamId>, u64> = HashMap::new();
        for (_, team, sums) in demand.iter().filter(|(_, team, _)| *team != Some(OTHER_TEAMS)) {
            *tokens.entry(*team).or_default() += sums.used;
        }
        let per_weight: Vec<_> = tokens
            .into_iter()
            .map(|(team, used)| (team, used as f64 / weight(team).max(MIN_WEIGHT)))
            .collect();
        let mean = per_weight.iter().map(|(_, used)| used).sum::<f64>() / per_weight.len() as f64;
        let team_use = |used: f64| TeamUse {
            step: use_step(used),
            share: if mean == 0.0 { 1.0 } else { used / mean },
        };
        ServiceOrder {
            owed_timely: owed_rank(demand, |sums| sums.calls.saturating_sub(sums.late)),
            owed_late: owed_rank(demand, |sums| sums.late),
            uses: per_weight.into_iter().map(|(team, used)| (team, team_use(used))).collect(),
        }
    }

    /// Returns the use of a team; `None` if nothing is known of it.
    #[must_use]
    pub fn team_use(&self, team: Option<TeamId>) -> Option<TeamUse> {
        self.uses.get(&team).copied()
    }

    /// Returns the position of a completion.
    #[must_use]
    pub fn position(
        &self,
        rank: Option<Rank>,
        team: Option<TeamId>,
        late: bool,
        due: Duration,
    ) -> QueuePosition {
        let rank = rank.unwrap_or(LEAST_URGENT);
        let owed = if late { self.owed_late } else { self.owed_timely };
        let yields = owed.is_some_and(|owed| owed != rank);
        let use_step = self.team_use(team).map_or(0, |team| team.step);
        QueuePosition { any_version: true, late, yields, rank, is_new: true, use_step, due }
    }

    /// Returns whether a completion at this position is first only because its rank is owed memory.
    #[must_use]
    pub fn is_owed(&self, position: &QueuePosition) -> bool {
        let owed = if position.late { self.owed_late } else { self.owed_timely };
        owed == Some(position.rank)
    }

    /// Returns the position of a peer's first waiting completion, compared with an own one at
    /// position `own`. Ranks count only where this daemon's configuration has some. Daemons of a
    /// release without ranks report neither a rank nor a team, so only the due times decide there.
    pub(super) fn peer_position(
        &self,
        first: &FirstWaiting,
        soonest: Duration,
        own: &QueuePosition,
        has_ranks: bool,
    ) -> QueuePosition {
        let late = first.late || first.due < soonest;
        let rank = first.rank.filter(|_| has_ranks);
        let is_unknown = has_ranks || self.team_use(None).is_none();
        if rank.is_none() && first.team.is_none() && is_unknown {
            return QueuePosition { any_version: true, late, due: first.due, ..*own };
        }
        let position = self.position(rank, first.team, late, first.due);
        // Peers don't report whether a completion returns.
        QueuePosition { is_new: own.is_new, ..position }
    }
}

/// Returns the least urgent rank that waits, if the ranks below the most urgent waiting one hold
/// less memory than they are owed.
fn owed_rank(
    demand: &[(Option<Rank>, Option<TeamId>, DemandSums)],
    waiting: impl Fn(&DemandSums) -> u64,
) -> Option<Rank> {
    let rank = |rank: &Option<Rank>| rank.unwrap_or(LEAST_URGENT);
    let waiting_ranks =
        || demand.iter().filter(|(.., sums)| waiting(sums) != 0).map(|(of, ..)| rank(of));
    let (first, last) = (waiting_ranks().min()?, waiting_ranks().max()?);
    let used: u64 = demand.iter().map(|(.., sums)| sums.used).sum();
    let below = demand.iter().filter(|(of, ..)| first < rank(of));
    let used_below: u64 = below.map(|(.., sums)| sums.used).sum();
    let is_owed = first < last && (used_below as f64) < used as f64 * MIN_SHARE;
    is_owed.then_some(last)
}

/// Returns the step of a use per weight; 0 if nothing is in use.
fn use_step(used: f64) -> u16 {
    if used <= 0.0 {
        return 0;
    }
    let step = UNIT_USE_STEP + used.ln() / USE_STEP_RATIO.ln();
    step.round().clamp(1.0, f64::from(u16::MAX)) as u16
}

impl State {
    /// Returns the position of a request among the waiting completions of all daemons, if its
    /// first token can't come before `soonest`.
    #[must_use]
    pub fn queue_position(&self, request: &Request, soonest: Duration) -> QueuePosition {
        let (due, team) = (request.due(), request.team_id());
        let unknown = ServiceOrder::default();
        let order = self.demand.order(service_hash(&request.service)).unwrap_or(&unknown);
        let position = order.position(request.rank, team, due < soonest, due);
        let any_version = self.bound_version(request).is_none();
        QueuePosition { any_version, is_new: !request.returned, ..position }
    }
}
