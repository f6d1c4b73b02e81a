//! Routes: which service a call goes to, and what may be done with it.

use std::{collections::HashMap, time::Duration};

use crate::team::Teams;

/// What may be repeated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// A stream of events. It may run once, and only a resumable one may go on elsewhere.
    Streaming,
}

/// One route.
#[derive(Clone, PartialEq, Debug)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that it is for, in lowercase.
    pub host: String,
    /// Paths that begin with this; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a call is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is on time.
    pub target: Duration,
    /// Services with their weights.
    pub split: Vec<(String, u32)>,
    /// Endpoints that one call may be sent to at the most.
    pub max_attempts: u32,
    /// A stream may go on at another endpoint.
    pub resumable: bool,
    /// Its callers need no key.
    pub public: bool,
}

impl Route {
    /// A call on this route may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The service for a number from 0 up to but without 1.
    #[must_use]
    pub fn pick_service(&self, unit: f64) -> Option<&str> {
        let total: u32 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut left = unit * f64::from(total);
        for (service, weight) in &self.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.split.last().map(|(service, _)| service.as_str())
    }
}

/// What is known of a service besides its endpoints.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Service {
    /// The model engine's figures; `None` for plain services.
    pub engine: Option<EngineInfo>,
}

/// A model engine's figures.
#[derive(Clone, PartialEq, Debug)]
pub struct EngineInfo {
    /// Tokens that an endpoint's memory holds.
    pub memory_tokens: u32,
    /// How long a KV cache waits to be taken.
    pub kv_ttl: Duration,
    /// How long an endpoint takes to change its stage.
    pub stage_change: Duration,
    /// The longest that a slot can be held ahead of a call; zero when it can't be.
    pub max_hold: Duration,
}

/// What callers may send.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RequestLimits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time for a request's head.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Holds until a configuration is known: what common servers take.
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
    /// Its version; 0 for none.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// What callers may send.
    pub limits: RequestLimits,
    /// The teams; none where callers need no keys.
    pub teams: Option<Teams>,
    routes: Vec<Route>,
    hosts: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// A table with this version.
    #[must_use]
    pub fn new(version: u64) -> RouteTable {
        RouteTable { version, ..RouteTable::default() }
    }

    /// With these routes.
    #[must_use]
    pub fn with_routes(mut self, routes: Vec<Route>) -> RouteTable {
        self.hosts.clear();
        for (at, route) in routes.iter().enumerate() {
            self.hosts.entry(route.host.clone()).or_default().push(at);
        }
        // The longest prefix comes first, so that the first match is the one.
        for list in self.hosts.values_mut() {
            list.sort_by_key(|at| std::cmp::Reverse(routes[*at].prefix.len()));
        }
        self.routes = routes;
        self
    }

    /// With a service.
    #[must_use]
    pub fn with_service(mut self, name: &str, service: Service) -> RouteTable {
        self.services.insert(name.to_owned(), service);
        self
    }

    /// With teams: callers need keys.
    #[must_use]
    pub fn with_teams(mut self, teams: Teams) -> RouteTable {
        self.teams = Some(teams);
        self
    }

    /// With what callers may send.
    #[must_use]
    pub fn with_limits(mut self, limits: RequestLimits) -> RouteTable {
        self.limits = limits;
        self
    }

    /// The route for a host and a path: the longest prefix that begins the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let list = self.hosts.get(host)?;
        list.iter().map(|at| &self.routes[*at]).find(|route| path.starts_with(&route.prefix))
    }

    /// All routes.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The engine's figures of a service, if it has an engine.
    #[must_use]
    pub fn engine(&self, service: &str) -> Option<&EngineInfo> {
        self.services.get(service)?.engine.as_ref()
    }
}
