//! What a world is made of.

use std::{rc::Rc, time::Duration};

use basilbank_core::prelude::*;

use super::Brain;

/// A team with its entries: one for the model, one for the plain service.
#[derive(Clone, Debug)]
pub struct TeamSpec {
    /// The name.
    pub name: &'static str,
    /// Limits of its drafts.
    pub drafts: Limits,
    /// Limits of its plain calls.
    pub calls: Limits,
}

impl TeamSpec {
    /// A team that is owed a share of the capacity and has no other limit.
    #[must_use]
    pub fn owed(name: &'static str, owed: f64) -> TeamSpec {
        let limits = Limits { owed, ..Limits::default() };
        TeamSpec { name, drafts: limits, calls: limits }
    }
}

/// Endpoints of one role.
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    /// How many.
    pub count: usize,
    /// Requests that each runs at once.
    pub slots: u32,
    /// Requests that each lets wait beyond those.
    pub backlog: u32,
}

/// A world's parts and sizes.
#[derive(Clone)]
pub struct Spec {
    /// Seed of all random choices.
    pub seed: u64,
    /// The model's name.
    pub model: &'static str,
    /// The plain service's name; its paths start with `/NAME/`.
    pub service: &'static str,
    /// Data centres.
    pub centres: Vec<&'static str>,
    /// One way between nodes of one data centre.
    pub local_latency: Duration,
    /// One way between data centres.
    pub centre_latency: Duration,
    /// One way between callers and daemons.
    pub client_latency: Duration,
    /// One way between daemons and the platform.
    pub platform_latency: Duration,
    /// Daemons; they are spread over the data centres.
    pub daemons: usize,
    /// Prefill endpoints.
    pub prefill: Pool,
    /// Prompt tokens a second of one prefill endpoint.
    pub prefill_rate: f64,
    /// Blocks in a prefill endpoint's prefix cache.
    pub cache_blocks: usize,
    /// How long a prefill endpoint keeps a KV cache that is not taken.
    pub kv_life: Duration,
    /// Decode endpoints.
    pub decode: Pool,
    /// Time of one decode step, however many streams.
    pub step_base: Duration,
    /// What each stream adds to a decode step.
    pub step_stream: Duration,
    /// Replicas of the plain service.
    pub plain: Pool,
    /// Mean time of a plain call.
    pub plain_time: Duration,
    /// Bytes a second of each endpoint's link.
    pub link_rate: u64,
    /// KV cache bytes of a token.
    pub token_bytes: u64,
    /// Load reports tell of a moment up to this long ago.
    pub load_lag: Duration,
    /// Cache events are told this late.
    pub cache_lag: Duration,
    /// The VM list is this late.
    pub vm_lag: Duration,
    /// Calls a second that the platform answers.
    pub platform_budget: u32,
    /// Every how many endpoints one ignores fencing numbers; 0 for none.
    pub unfenced: usize,
    /// Teams.
    pub teams: Vec<TeamSpec>,
    /// The class of drafts.
    pub drafts: Class,
    /// The class of plain calls.
    pub calls: Class,
    /// Constants of the decisions.
    pub tuning: Tuning,
    /// What decides in each daemon.
    pub brain: Rc<dyn Fn(Local, Now) -> Box<dyn Brain>>,
    /// Tokens carry their place, so that a wrong one shows. Without this they are empty and cheap.
    pub texts: bool,
}

impl Spec {
    /// Kitafuji: four data centres, ten runners, four replicas of the plain service.
    #[must_use]
    pub fn kitafuji() -> Spec {
        Spec {
            seed: 1,
            model: "quote-writer",
            service: "fitter-desk",
            centres: vec!["hall-a", "hall-b", "hall-c", "hall-d"],
            local_latency: Duration::from_micros(150),
            centre_latency: Duration::from_millis(1),
            client_latency: Duration::from_millis(3),
            platform_latency: Duration::from_millis(2),
            daemons: 8,
            prefill: Pool { count: 3, slots: 4, backlog: 60 },
            prefill_rate: 20_000.0,
            cache_blocks: 4000,
            kv_life: Duration::from_millis(800),
            decode: Pool { count: 7, slots: 20, backlog: 0 },
            step_base: Duration::from_millis(18),
            step_stream: Duration::from_micros(400),
            plain: Pool { count: 4, slots: 16, backlog: 64 },
            plain_time: Duration::from_millis(20),
            link_rate: 12_500_000_000,
            token_bytes: 160_000,
            load_lag: Duration::from_millis(300),
            cache_lag: Duration::from_secs(1),
            vm_lag: Duration::from_secs(5),
            platform_budget: 2000,
            unfenced: 3,
            teams: vec![TeamSpec::owed("sapporo", 0.4), TeamSpec::owed("otaru", 0.3)],
            drafts: class("draft", 1500, 60, 20_000, 1),
            calls: class("lookup", 150, 0, 0, 2),
            tuning: Tuning::default(),
            brain: Rc::new(|local, now| Box::new(State::new(local, now))),
            texts: true,
        }
    }

    /// Kommunkalkyl: four data centres, twenty runners, four replicas of the plain service.
    #[must_use]
    pub fn kommunkalkyl() -> Spec {
        let base = Spec::kitafuji();
        Spec {
            model: "kalkyl-llm",
            service: "kalkyl-app",
            centres: vec!["lulea-a", "lulea-b", "umea-a", "umea-b"],
            centre_latency: Duration::from_micros(1500),
            client_latency: Duration::from_millis(1),
            prefill: Pool { count: 7, ..base.prefill },
            decode: Pool { count: 13, ..base.decode },
            teams: vec![TeamSpec::owed("pitea", 0.4), TeamSpec::owed("kiruna", 0.3)],
            drafts: class("question", 2500, 60, 30_000, 1),
            calls: class("screen", 200, 0, 0, 2),
            ..base
        }
    }

    /// A small world for many runs: four daemons, two prefill, two decode and two plain endpoints.
    #[must_use]
    pub fn small() -> Spec {
        let base = Spec::kitafuji();
        Spec {
            centres: vec!["hall-a", "hall-b"],
            daemons: 4,
            prefill: Pool { count: 2, slots: 4, backlog: 8 },
            decode: Pool { count: 2, slots: 3, backlog: 0 },
            plain: Pool { count: 2, slots: 4, backlog: 8 },
            ..base
        }
    }

    /// Sets the seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Spec {
        self.seed = seed;
        self
    }

    /// Sets the number of daemons.
    #[must_use]
    pub fn with_daemons(mut self, daemons: usize) -> Spec {
        self.daemons = daemons;
        self
    }

    /// Sets what decides.
    #[must_use]
    pub fn with_brain(mut self, brain: fn(Local, Now) -> Box<dyn Brain>) -> Spec {
        self.brain = Rc::new(brain);
        self
    }

    /// The bearer key's hash of a team.
    #[must_use]
    pub fn key(team: usize) -> KeyHash {
        let mut key = [7; 32];
        key[..8].copy_from_slice(&(team as u64).to_le_bytes());
        key
    }

    /// The name of a team's entry for drafts.
    #[must_use]
    pub fn entry(&self, team: usize) -> String {
        format!("{}-{}", self.model, self.teams[team].name)
    }

    /// A daemon's VM name.
    #[must_use]
    pub fn vm_name(daemon: usize) -> String {
        format!("entry-{daemon}")
    }

    /// The catalogue of this world. The platform sets the revision.
    #[must_use]
    pub fn catalogue(&self) -> Catalogue {
        let model = ModelId::of(self.model);
        let service = ServiceId::of(self.service);
        let mut catalogue = Catalogue {
            revision: 1,
            classes: vec![self.drafts.clone(), self.calls.clone()],
            models: vec![ModelSpec {
                id: model,
                name: self.model.into(),
                version: "v1".into(),
                adapter: String::new(),
                weight_bytes: 10_000_000_000,
                token_bytes: self.token_bytes,
                block_tokens: 16,
            }],
            services: vec![Service {
                id: service,
                name: self.service.into(),
                path_prefix: format!("/{}/", self.service),
                repeatable_methods: vec!["GET".into(), "HEAD".into()],
            }],
            weight_rate: 5_000_000_000,
            ..Catalogue::default()
        };
        for (i, team) in self.teams.iter().enumerate() {
            let id = TeamId::of(team.name);
            catalogue.teams.push(Team { id, name: team.name.into(), keys: vec![Spec::key(i)] });
            let name = self.entry(i);
            let target = EntryTarget::Model(model);
            catalogue.entries.push(entry(name, id, &self.drafts, target, team.drafts));
            let name = format!("{}-{}", self.service, team.name);
            let target = EntryTarget::Service(service);
            catalogue.entries.push(entry(name, id, &self.calls, target, team.calls));
        }
        let drafts = EntryTarget::Model(model);
        let calls = EntryTarget::Service(service);
        let pools = [
            (Role::Prefill, "prefill", self.prefill, drafts),
            (Role::Decode, "decode", self.decode, drafts),
            (Role::Plain, "plain", self.plain, calls),
        ];
        for (role, word, pool, serves) in pools {
            for i in 0..pool.count {
                let endpoint = self.endpoint(&format!("{word}-{i}"), i, role, pool, serves);
                catalogue.endpoints.push(endpoint);
            }
        }
        catalogue
    }

    fn endpoint(
        &self,
        name: &str,
        i: usize,
        role: Role,
        pool: Pool,
        serves: EntryTarget,
    ) -> Endpoint {
        let model = role != Role::Plain;
        Endpoint {
            id: EndpointId::of(name),
            name: name.into(),
            address: format!("192.0.2.{i}:80"),
            data_centre: DataCentreId::of(self.centres[i % self.centres.len()]),
            role,
            serves,
            slots: pool.slots,
            prefill_rate: if role == Role::Prefill { self.prefill_rate } else { 0.0 },
            link_rate: if model { self.link_rate } else { 0 },
            checks_fencing: self.unfenced == 0 || i % self.unfenced != self.unfenced - 1,
            accepts_orders: model,
            leaving: false,
        }
    }
}

fn class(name: &str, ttft: u64, tbt: u64, wait: u64, priority: u8) -> Class {
    Class {
        id: ClassId::of(name),
        name: name.into(),
        ttft: Duration::from_millis(ttft),
        tbt: Duration::from_millis(tbt),
        max_wait: Duration::from_millis(wait),
        priority,
    }
}

fn entry(name: String, team: TeamId, class: &Class, target: EntryTarget, limits: Limits) -> Entry {
    Entry { id: EntryId::of(&name), name, team, class: class.id, target, limits }
}
