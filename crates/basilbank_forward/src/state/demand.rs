//! What completions need and use at decode endpoints, by service, rank and team, over all daemons.

use std::{collections::HashMap, time::Duration};

use super::{Peer, QueuePosition, Request, State, queue_order::ServiceOrder, service_hash};
use crate::{
    rank::Rank,
    state::requests::{FIRST_EVENT_TARGETS, Step},
    team::TeamId,
};

/// Maximum number of rows that a daemon reports, besides one for the rest.
pub const MAX_REPORTED_ROWS: usize = 16;

/// Maximum number of rows that are kept of a peer. A datagram's rows beyond it are ignored.
pub const MAX_PEER_ROWS: usize = 4 * (MAX_REPORTED_ROWS + 1);

/// The team of a row that sums up the completions of several teams.
pub const OTHER_TEAMS: TeamId = TeamId(0);

/// Minimum time between two derivations of the order from the demand. Each looks at all own
/// requests.
const REFRESH_INTERVAL: Duration = Duration::from_millis(10);

/// Number of rows for each of which [`REFRESH_INTERVAL`] is added once more, so that the work per
/// second is bounded.
const ROWS_PER_INTERVAL: usize = 256;

/// Completions that are alike for the order of the queue, apart from their due times.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct DemandKey {
    /// Hash of the service's name.
    pub service: u32,
    /// Their rank.
    pub rank: Option<Rank>,
    /// Their team; [`OTHER_TEAMS`] if there are several.
    pub team: Option<TeamId>,
}

/// What such completions need and use.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct DemandSums {
    /// Number of completions that wait for capacity.
    pub calls: u64,
    /// Number of these that can't be on time.
    pub late: u64,
    /// Tokens that the waiting ones need.
    pub tokens: u64,
    /// Tokens of those that have a slot at a decode endpoint.
    pub used: u64,
}

impl DemandSums {
    /// Adds other completions.
    pub fn add(&mut self, other: DemandSums) {
        self.calls = self.calls.saturating_add(other.calls);
        self.late = self.late.saturating_add(other.late);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.used = self.used.saturating_add(other.used);
    }

    fn subtract(&mut self, other: DemandSums) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.late = self.late.saturating_sub(other.late);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.used = self.used.saturating_sub(other.used);
    }
}

/// Work that goes before a completion.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct WorkAhead {
    /// Number of completions.
    pub calls: u32,
    /// Tokens that they need.
    pub tokens: u64,
}

impl WorkAhead {
    pub(super) fn add(&mut self, calls: u64, tokens: u64) {
        self.calls = self.calls.saturating_add(u32::try_from(calls).unwrap_or(u32::MAX));
        self.tokens = self.tokens.saturating_add(tokens);
    }
}

/// The demand of all daemons, and the order that follows from it.
#[derive(Debug, Default)]
pub struct Demand {
    /// Sums of the rows that the peers have reported.
    peers: HashMap<DemandKey, DemandSums>,
    /// The order at each service.
    orders: HashMap<u32, ServiceOrder>,
    /// When the order was last derived.
    refreshed: Option<Duration>,
}

impl Demand {
    /// Adds a peer's row.
    pub fn add_peer_row(&mut self, key: DemandKey, sums: DemandSums) {
        self.peers.entry(key).or_default().add(sums);
    }

    /// Removes a row that was added by [`Demand::add_peer_row`].
    pub fn remove_peer_row(&mut self, key: DemandKey, sums: DemandSums) {
        let Some(known) = self.peers.get_mut(&key) else { return };
        known.subtract(sums);
        if *known == DemandSums::default() {
            self.peers.remove(&key);
        }
    }

    /// Returns the order at a service; `None` before its demand is known.
    #[must_use]
    pub fn order(&self, service: u32) -> Option<&ServiceOrder> {
        self.orders.get(&service)
    }

    /// Returns the peers' rows at a service.
    pub fn peer_rows(&self, service: u32) -> impl Iterator<Item = (DemandKey, DemandSums)> {
        let rows = self.peers.iter().filter(move |(key, _)| key.service == service);
        rows.map(|(key, sums)| (*key, *sums))
    }

    /// Returns whether no peer has reported any.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns whether a peer's completion waits at a service with ranks or teams.
    #[must_use]
    pub fn is_peer_waiting(&self, service: u32) -> bool {
        let is_ordered = |key: &DemandKey| key.rank.is_some() || key.team.is_some();
        self.peer_rows(service).any(|(key, sums)| is_ordered(&key) && sums.calls != 0)
    }

    fn is_fresh(&self, now: Duration) -> bool {
        let steps = u32::try_from(1 + self.peers.len() / ROWS_PER_INTERVAL).unwrap_or(u32::MAX);
        let interval = REFRESH_INTERVAL.saturating_mul(steps);
        self.refreshed.is_some_and(|at| now < at + interval)
    }
}

impl Request {
    /// Returns the id of its team.
    #[must_use]
    pub fn team_id(&self) -> Option<TeamId> {
        self.team.as_ref().map(|team| team.id)
    }

    /// Returns the number of tokens that it needs at a decode endpoint.
    #[must_use]
    pub fn needed_tokens(&self) -> u64 {
        let prompt = self.call.prompt.as_ref();
        prompt.map_or(0, |prompt| {
            u64::from(prompt.tokens).saturating_add(u64::from(prompt.expected_output()))
        })
    }

    /// Returns the number of tokens that it has at decode endpoints.
    fn used_tokens(&self) -> u64 {
        let held = self.completion.hold.as_ref().and_then(|hold| hold.usage);
        let has_slot = |step| matches!(step, Step::Hold | Step::Decode);
        let running = self.active_attempts.iter().filter(|attempt| has_slot(attempt.step));
        running.map(|attempt| attempt.usage).chain(held).map(|usage| u64::from(usage.tokens)).sum()
    }

    fn demand_key(&self) -> DemandKey {
        let (service, team) = (service_hash(&self.service), self.team_id());
        DemandKey { service, rank: self.rank, team }
    }
}

impl State {
    /// Returns the demand of this daemon's own completions.
    #[must_use]
    pub fn own_demand(&self, now: Duration) -> HashMap<DemandKey, DemandSums> {
        let soonest = now + self.tuning.first_token_delay;
        let mut rows: HashMap<DemandKey, DemandSums> = HashMap::new();
        for request in self.waiting.iter().filter_map(|id| self.requests.get(id)) {
            let late = u64::from(request.due() < soonest);
            let tokens = request.needed_tokens();
            let waits = DemandSums { calls: 1, late, tokens, used: 0 };
            rows.entry(request.demand_key()).or_default().add(waits);
        }
        for request in self.requests.values().filter(|request| request.call.prompt.is_some()) {
            let used = request.used_tokens();
            if used != 0 {
                let uses = DemandSums { used, ..DemandSums::default() };
                rows.entry(request.demand_key()).or_default().add(uses);
            }
        }
        rows
    }

    /// Derives the order of the waiting completions from the demand of all daemons, unless that
    /// was done a moment ago.
    pub(crate) fn refresh_order(&mut self, now: Duration) {
        if self.demand.is_fresh(now) {
            return;
        }
        let mut rows = self.own_demand(now);
        let bounds = self.all_demand_bounds();
        for (key, sums) in &self.demand.peers {
            let Some(bounds) = bounds.get(&key.service) else { continue };
            let (key, sums) = bounds.apply(*key, *sums);
            rows.entry(key).or_default().add(sums);
        }
        let mut services: HashMap<u32, Vec<_>> = HashMap::new();
        for (DemandKey { service, rank, team }, sums) in rows {
            services.entry(service).or_default().push((rank, team, sums));
        }
        let teams = self.routes.teams.as_ref();
        let weight = |id: Option<TeamId>| {
            let team = id.and_then(|id| teams?.get(id));
            team.map_or(1.0, |team| team.weight())
        };
        let orders = services.iter();
        self.demand.orders =
            orders.map(|(service, rows)| (*service, ServiceOrder::new(rows, weight))).collect();
        self.demand.refreshed = Some(now);
    }

    /// Returns the work of all daemons that waits ahead of a completion at this position.
    #[must_use]
    pub fn work_ahead(&self, service: &str, position: &QueuePosition, now: Duration) -> WorkAhead {
        let soonest = now + self.tuning.first_token_delay;
        let mut ahead = WorkAhead::default();
        for request in self.waiting.iter().filter_map(|id| self.requests.get(id)) {
            if request.service == service && self.queue_position(request, soonest) < *position {
                ahead.add(1, request.needed_tokens());
            }
        }
        let due_parts = self.due_parts(service, position, soonest);
        let Some(bounds) = self.demand_bounds(service) else { return ahead };
        for (key, sums) in self.demand.peer_rows(service_hash(service)) {
            let (key, sums) = bounds.apply(key, sums);
            let mean_tokens = sums.tokens as f64 / sums.calls.max(1) as f64;
            for (late, calls) in [(false, sums.calls.saturating_sub(sums.late)), (true, sums.late)]
            {
                let part = self.part_ahead(key, late, position, due_parts);
                let calls = calls as f64 * part;
                ahead.add(calls.round() as u64, (calls * mean_tokens) as u64);
            }
        }
        ahead
    }

    /// Returns the number of peers with completions waiting at a service.
    #[must_use]
    pub fn peers_waiting(&self, service: &str) -> u32 {
        let name = service_hash(service);
        let waits = |peer: &&Peer| peer.waiting.iter().any(|first| first.service == name);
        u32::try_from(self.peers.known.values().filter(waits).count()).unwrap_or(u32::MAX)
    }

    /// Returns which part of a peer's row, of its late completions or of the others, is ahead of a
    /// position.
    fn part_ahead(
        &self,
        key: DemandKey,
        late: bool,
        position: &QueuePosition,
        due_parts: [f64; 2],
    ) -> f64 {
        let order = self.demand.order(key.service);
        let row = order.map_or_else(
            || ServiceOrder::default().position(key.rank, key.team, late, position.due),
            |order| order.position(key.rank, key.team, late, position.due),
        );
        // Nothing is known of the teams of a row that sums up several.
        let is_mixed = key.team == Some(OTHER_TEAMS);
        let use_step = if is_mixed { position.use_step } else { row.use_step };
        match (QueuePosition { use_step, ..row }).cmp(position) {
            std::cmp::Ordering::Less => 1.0,
            std::cmp::Ordering::Equal => due_parts[usize::from(late)],
            std::cmp::Ordering::Greater => 0.0,
        }
    }

    /// Returns the longest target of a service's routes.
    pub(super) fn longest_target(&self, service: &str) -> Duration {
        let routes = self.routes.routes().iter();
        let routes = routes.filter(|route| route.services().any(|name| name == service));
        routes.map(|route| route.target).max().unwrap_or_default()
    }

    /// Returns which part of the completions that are on time, and of those that are late, is due
    /// before `position`. Peers don't report the due times, so completions count as if they had
    /// arrived evenly over the time for which they wait.
    fn due_parts(&self, service: &str, position: &QueuePosition, soonest: Duration) -> [f64; 2] {
        let target = self.longest_target(service);
        let delay = self.tuning.first_token_delay;
        let part = |from: Duration, span: Duration| {
            let passed = position.due.saturating_sub(from).as_secs_f64();
            if span.is_zero() { 1.0 } else { (passed / span.as_secs_f64()).min(1.0) }
        };
        let late_span = target.saturating_mul(FIRST_EVENT_TARGETS - 1);
        let timely = part(soonest, target.saturating_sub(delay));
        [timely, part(soonest.saturating_sub(late_span), late_span)]
    }
}
