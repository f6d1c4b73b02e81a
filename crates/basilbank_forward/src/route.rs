//! Routes: the service that a call goes to, and whether the call may be repeated.

use std::{collections::HashMap, time::Duration};

use crate::{
    rank::{Rank, Ranks},
    team::{Team, Teams},
    topic::ItemRevisions,
};

/// Whether calls on a route may be repeated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RouteKind {
    /// A call may run more than once.
    Idempotent,
    /// A call may run at most once.
    NonIdempotent,
    /// The answer is a stream of events. A call may run once; only a resumable stream may continue
    /// at another endpoint.
    Streaming,
}

/// One route of the configuration.
#[derive(Clone, PartialEq, Debug)]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The host that it matches, in lowercase.
    pub host: String,
    /// The path prefix that it matches. It begins and ends with a slash.
    pub prefix: String,
    /// Whether its calls may be repeated.
    pub kind: RouteKind,
    /// Maximum time until a call is answered.
    pub timeout: Duration,
    /// Time within which an answer counts as on time.
    pub target: Duration,
    /// The services that share its calls, with their weights.
    pub split: Vec<(String, u32)>,
    /// Maximum number of endpoints that one call is sent to.
    pub max_attempts: u32,
    /// Whether a stream may continue at another endpoint.
    pub resumable: bool,
    /// Whether its callers need no key.
    pub public: bool,
    /// How urgent its calls are, from 0, the most urgent, to
    /// [`MAX_PRIORITY`](crate::rank::MAX_PRIORITY).
    pub priority: u8,
}

impl Route {
    /// Returns whether a call on this route may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Returns the services that share its calls.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let used = self.split.iter().filter(|(_, weight)| *weight != 0);
        used.map(|(service, _)| service.as_str())
    }

    /// Returns the service for `unit`, a random number from 0 up to but excluding 1, by the
    /// services' weights.
    #[must_use]
    pub fn pick_service(&self, unit: f64) -> Option<&str> {
        let total: f64 = self.split.iter().map(|(_, weight)| f64::from(*weight)).sum();
        let mut left = unit * total;
        for (service, weight) in &self.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.split.last().map(|(service, _)| service.as_str())
    }
}

/// The configuration of a service, apart from its endpoints.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Service {
    /// Properties of its model engine; `None` for plain services.
    pub engine: Option<EngineInfo>,
}

/// Properties of a model engine.
#[derive(Clone, PartialEq, Debug)]
pub struct EngineInfo {
    /// Number of tokens that an endpoint's memory holds.
    pub memory_tokens: u32,
    /// Time for which a prefill endpoint keeps a KV cache until it is taken.
    pub kv_ttl: Duration,
    /// Time that an endpoint takes to change its stage.
    pub stage_change: Duration,
    /// Maximum time that a slot can be held ahead of a call; zero when slots can't be held.
    pub max_hold: Duration,
}

/// Limits for connections and requests of callers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RequestLimits {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time in which a request's head arrives.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Returns the limits until a configuration is known, which are those of common servers.
    fn default() -> RequestLimits {
        RequestLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct RouteTable {
    /// The configuration's version; 0 before any is known.
    pub version: u64,
    /// When the configuration was written, by the store's revisions.
    pub revisions: ItemRevisions,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Limits for callers.
    pub limits: RequestLimits,
    /// The teams; `None` where callers need no keys.
    pub teams: Option<Teams>,
    routes: Vec<Route>,
    hosts: HashMap<String, Vec<usize>>,
    ranks: Ranks,
}

impl RouteTable {
    /// Creates an empty table with this version.
    #[must_use]
    pub fn new(version: u64) -> RouteTable {
        RouteTable { version, ..RouteTable::default() }
    }

    /// Sets the routes.
    #[must_use]
    pub fn with_routes(mut self, routes: Vec<Route>) -> RouteTable {
        self.hosts.clear();
        for (at, route) in routes.iter().enumerate() {
            self.hosts.entry(route.host.clone()).or_default().push(at);
        }
        // `find` returns the first match, so the longest prefix has to come first.
        for list in self.hosts.values_mut() {
            list.sort_by_key(|at| std::cmp::Reverse(routes[*at].prefix.len()));
        }
        self.routes = routes;
        self.ranks = Ranks::new(&self.routes, self.teams.as_ref());
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn with_service(mut self, name: &str, service: Service) -> RouteTable {
        self.services.insert(name.to_owned(), service);
        self
    }

    /// Sets the teams. Callers then need keys.
    #[must_use]
    pub fn with_teams(mut self, teams: Teams) -> RouteTable {
        self.teams = Some(teams);
        self.ranks = Ranks::new(&self.routes, self.teams.as_ref());
        self
    }

    /// Sets the limits for callers.
    #[must_use]
    pub fn with_limits(mut self, limits: RequestLimits) -> RouteTable {
        self.limits = limits;
        self
    }

    /// Returns the route for a host and a path: the one with the longest matching prefix.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let list = self.hosts.get(host)?;
        list.iter().map(|at| &self.routes[*at]).find(|route| path.starts_with(&route.prefix))
    }

    /// Returns all routes.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the rank of a call, or `None` if all calls that compete with it at the service are
    /// equally urgent.
    #[must_use]
    pub fn rank(&self, service: &str, route: &Route, team: Option<&Team>) -> Option<Rank> {
        self.ranks.get(service, route, team)
    }

    /// Returns whether any calls that compete at a service differ in urgency.
    #[must_use]
    pub fn has_ranks(&self, service: &str) -> bool {
        self.ranks.has_ranks(service)
    }

    /// Returns the properties of a service's engine, if it has one.
    #[must_use]
    pub fn engine(&self, service: &str) -> Option<&EngineInfo> {
        self.services.get(service)?.engine.as_ref()
    }
}
