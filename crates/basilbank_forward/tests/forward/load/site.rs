//! What is played: endpoints, loads, and what callers got.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::{prelude::*, rank::DEFAULT_PRIORITY, route::EngineInfo};

/// The service.
pub const WRITER: &str = "writer";

/// Time to the first token that counts as on time.
pub const TARGET: Duration = Duration::from_millis(900);

/// How long callers wait.
pub const PATIENCE: Duration = Duration::from_secs(14);

/// How long a KV cache is kept that nobody takes.
pub const KEPT: Duration = Duration::from_millis(500);

/// Engines of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct Engines {
    /// Endpoints that read prompts.
    pub prefill: u16,
    /// Endpoints that generate.
    pub decode: u16,
    /// Tokens that each of these holds.
    pub memory: u32,
    /// The first so many of these are dark.
    pub dark: u16,
    /// Daemons, which have just started.
    pub daemons: u16,
    /// They hear each other.
    pub hearing: bool,
    /// Drafts that an endpoint generates at once.
    pub slots: u32,
    /// Time of one token.
    pub token: Duration,
    /// Tokens of a usual answer.
    pub output: f64,
}

impl Engines {
    /// Short answers, many slots, and daemons that don't hear each other.
    pub const USUAL: Engines = Engines {
        prefill: 2,
        decode: 7,
        memory: 40_718,
        dark: 0,
        daemons: 1,
        hearing: false,
        slots: 64,
        token: Duration::from_millis(7),
        output: 400.0,
    };

    /// Four daemons that hear each other, and endpoints with room for some 34 drafts a second.
    pub const SCARCE: Engines = Engines {
        prefill: 6,
        decode: 12,
        memory: 28_159,
        slots: 12,
        daemons: 4,
        hearing: true,
        ..Engines::USUAL
    };
}

/// Drafts that compete with those of other classes.
#[derive(Clone, Debug)]
pub struct Class {
    /// The priority of their route.
    pub priority: u8,
    /// Time to the first token that counts as on time.
    pub target: Duration,
    /// Their team and its priority, if callers show keys.
    pub team: Option<(&'static str, Option<u8>)>,
    /// How many come, and when.
    pub phases: Vec<Phase>,
}

impl Class {
    /// Drafts of the only class.
    pub fn only(phases: &[Phase]) -> Class {
        Class { priority: DEFAULT_PRIORITY, target: TARGET, team: None, phases: phases.to_vec() }
    }

    /// What the callers of a team show.
    pub fn credential(&self) -> Credential {
        self.team.map_or(Credential::None, |(name, _)| Credential::Key(key(name)))
    }
}

/// The hash of a team's key.
fn key(team: &str) -> KeyHash {
    let mut hash = [0; 16];
    hash[..8].copy_from_slice(&TeamId::of(team).0.to_le_bytes());
    KeyHash(hash)
}

/// A share of the load that a site is made for, for some time.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Drafts a second.
    pub rate: f64,
    /// For how long.
    pub time: Duration,
}

/// How drafts are placed.
#[derive(Clone, Debug)]
pub enum Placing {
    /// By the reducer.
    Router(Box<Tuning>),
    /// In turn, without holds and without waiting: what a plain balancer does.
    InTurn,
}

/// What callers got.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Got {
    /// Drafts that came.
    pub drafts: u32,
    /// Those whose first token came in time, and that were finished.
    pub timely: u32,
    /// Those that were finished.
    pub served: u32,
    /// Prompts that were read, and whose KV cache lapsed.
    pub vain: u32,
    /// Drafts at whose end their endpoint held more than its memory: a real engine puts one back by then,
    /// and reads its prompt again.
    pub crowded: u32,
}

impl Got {
    /// Part of the drafts that were on time.
    #[must_use]
    pub fn timely_part(&self) -> f64 {
        f64::from(self.timely) / f64::from(self.drafts.max(1))
    }
}

/// Where a daemon listens for its peers.
pub fn address(daemon: u16) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, 1], 1000 + daemon))
}

/// The daemon that listens there.
pub fn daemon_at(address: SocketAddr) -> usize {
    usize::from(address.port() - 1000)
}

/// An endpoint's instance.
pub fn name(endpoint: usize) -> String {
    format!("e{endpoint}")
}

/// The endpoint of an instance.
pub fn number(instance: &str) -> usize {
    instance[1..].parse().unwrap_or_default()
}

/// An endpoint's entry.
pub fn endpoint(n: u16, stage: Stage, slots: u32) -> EndpointInfo {
    EndpointInfo {
        version: "v1".to_owned(),
        instance: name(usize::from(n)),
        start_time: None,
        service: WRITER.to_owned(),
        addr: SocketAddr::from(([10, 0, 0, 1], 1000 + n)),
        data_centre: "hall-a".to_owned(),
        slots,
        draining: false,
        stage: Some(stage),
        revisions: ItemRevisions::default(),
        heartbeats: 1,
    }
}

/// The routes of the classes to the endpoints.
pub fn table(memory: u32, classes: &[Class]) -> RouteTable {
    let engine = EngineInfo {
        memory_tokens: memory,
        kv_ttl: KEPT,
        stage_change: Duration::from_secs(6),
        max_hold: PATIENCE,
    };
    let route = |(n, class): (usize, &Class)| Route {
        name: "draft".to_owned(),
        host: "shop.example".to_owned(),
        prefix: format!("/draft/{n}/"),
        kind: RouteKind::Streaming,
        timeout: PATIENCE,
        target: class.target,
        split: vec![(WRITER.to_owned(), 1)],
        max_attempts: 2,
        resumable: true,
        public: false,
        priority: class.priority,
    };
    let routes = classes.iter().enumerate().map(route).collect();
    let table = RouteTable::new(1)
        .with_service(WRITER, Service { engine: Some(engine) })
        .with_routes(routes);
    let teams: Vec<_> = classes.iter().filter_map(|class| class.team).collect();
    if teams.is_empty() {
        return table;
    }
    let team = |name, priority| Team { priority, ..Team::new(name) };
    let add = |all: Teams, (name, priority)| all.with_team(team(name, priority), [key(name)]);
    table.with_teams(teams.into_iter().fold(Teams::default(), add))
}
