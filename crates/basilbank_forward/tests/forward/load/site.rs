//! What is played: endpoints, loads, and what callers got.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::{prelude::*, route::EngineInfo};

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
    /// Daemons, which have just started and don't hear each other.
    pub daemons: u16,
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
}

impl Got {
    /// Part of the drafts that were on time.
    #[must_use]
    pub fn timely_part(&self) -> f64 {
        f64::from(self.timely) / f64::from(self.drafts.max(1))
    }
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
pub fn endpoint(n: u16, stage: Stage) -> EndpointInfo {
    EndpointInfo {
        instance: name(usize::from(n)),
        born: None,
        service: WRITER.to_owned(),
        addr: SocketAddr::from(([10, 0, 0, 1], 1000 + n)),
        data_centre: "hall-a".to_owned(),
        slots: 64,
        draining: false,
        stage: Some(stage),
    }
}

/// The route to the endpoints.
pub fn table(memory: u32) -> RouteTable {
    let engine = EngineInfo { memory, kept: KEPT, switch: Duration::from_secs(6), hold: PATIENCE };
    let route = Route {
        name: "draft".to_owned(),
        host: "shop.example".to_owned(),
        prefix: "/draft/".to_owned(),
        kind: Kind::Streaming,
        timeout: PATIENCE,
        target: TARGET,
        split: vec![(WRITER.to_owned(), 1)],
        attempts: 2,
        resumable: true,
    };
    RouteTable::new(1)
        .with_service(WRITER, Service { engine: Some(engine) })
        .with_routes(vec![route])
}
