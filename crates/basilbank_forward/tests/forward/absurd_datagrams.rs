//! Datagrams whose numbers are anything: small, usual, or the largest that there are.

use std::net::SocketAddr;

use basilbank_forward::{prelude::*, state::service_hash};
use basilbank_wire::{
    AvoidedEndpoint, CallLimitReport, ConfigurationAge, CrashReport, DemandReport, EndpointLoad,
    LoadGossip, OriginQuery, PeerAddress, Permit, QuarantinedCall, QuotaAnswer, QuotaCounted,
    QuotaRequest, QuotaState, QuotaUse, RefusedCall, ReturnAnswer, ReturnQuery,
    ServiceGenerationStats, StoreRevision, StreamOrigin, WaitingCompletion, WaitingForVersion,
};
use proptest::{prelude::*, test_runner::RngSeed};

use crate::rig::{Rig, WRITER, held, model, plain, prompt, table};

const TEAM: &str = "team-1";
const KEY: KeyHash = KeyHash([7; 16]);

const ENDPOINTS: [&str; 4] = ["e1", "e2", "d1", "p1"];

/// Rows of each kind in a datagram, at most.
const MAX_ROWS: usize = 4;

/// Time after which nothing of what silent peers have said counts any more.
const FORGOTTEN_MS: u64 = 120_000;

fn peer(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

fn rig() -> Rig {
    let quota = Quota { rate: 100.0, burst: 400.0, unit: QuotaUnit::Requests };
    let teams = Teams::default().with_team(Team::new(TEAM).with_quota(quota), [KEY]);
    let mut rig = Rig::as_daemon(peer(1), vec![]);
    rig.state.tuning.max_confirmation_age = None;
    rig.list(vec![
        plain("e1", 1),
        plain("e2", 2),
        model("d1", 3, Stage::Decode),
        model("p1", 4, Stage::Prefill),
    ]);
    rig.configure(table(2).with_teams(teams));
    rig
}

/// The numbers of one datagram, drawn one after the other.
struct Numbers(std::vec::IntoIter<(u8, u64)>);

impl Numbers {
    /// Small, one that is known here, the largest ones, or any.
    fn next(&mut self, known: &[u64]) -> u64 {
        let (kind, any) = self.0.next().unwrap_or_default();
        match kind % 8 {
            0 => any % 4,
            1 => u64::MAX - any % 3,
            2 => u64::from(u32::MAX) - any % 3,
            3 => 1 << (any % 64),
            4 => any,
            _ => known
                .get(usize::try_from(any % 97).unwrap_or_default() % known.len().max(1))
                .copied()
                .unwrap_or(any),
        }
    }

    fn any(&mut self) -> u64 {
        self.next(&[])
    }

    fn small(&mut self) -> u32 {
        self.any() as u32
    }

    fn signed(&mut self) -> i64 {
        self.any().cast_signed()
    }

    fn flag(&mut self) -> bool {
        self.any().is_multiple_of(2)
    }

    fn float(&mut self) -> f64 {
        let bits = self.any();
        if bits < 1 << 40 { bits as f64 } else { f64::from_bits(bits) }
    }

    fn rows<T>(&mut self, mut row: impl FnMut(&mut Numbers) -> T) -> Vec<T> {
        (0..self.any() as usize % MAX_ROWS).map(|_| row(self)).collect()
    }

    fn some<T>(&mut self, value: impl FnOnce(&mut Numbers) -> T) -> Option<T> {
        if self.flag() { Some(value(self)) } else { None }
    }
}

/// What the daemon knows by numbers.
struct Known {
    endpoints: Vec<u64>,
    teams: Vec<u64>,
    services: Vec<u64>,
}

impl Known {
    fn of(rig: &Rig) -> Known {
        let directory = &rig.state.directory;
        let hashes = ENDPOINTS.iter().filter_map(|name| directory.hash(directory.find(name)?));
        Known {
            endpoints: hashes.map(u64::from).collect(),
            teams: vec![TeamId::of(TEAM).0],
            services: vec![service_hash(WRITER).into()],
        }
    }

    fn heartbeat(&self, n: &mut Numbers, sequence: u64) -> LoadGossip {
        let endpoint = |n: &mut Numbers| n.next(&self.endpoints) as u32;
        let service = |n: &mut Numbers| n.next(&self.services) as u32;
        let loads = n.rows(|n| EndpointLoad {
            endpoint: endpoint(n),
            tokens: n.small(),
            calls: n.small(),
            tokens_left: n.small(),
        });
        let revision = |n: &mut Numbers| StoreRevision { era: n.any(), number: n.any() };
        LoadGossip {
            incarnation: n.any(),
            sequence,
            leaving: n.any() % 16 == 1,
            tokens: n.rows(Numbers::small),
            paces: n.rows(|n| ServiceGenerationStats {
                service: service(n),
                tokens: n.float() as f32,
                seconds: n.float() as f32,
                squares: n.float() as f32,
                errors: n.float() as f32,
            }),
            waiting: n.rows(|n| WaitingCompletion {
                service: service(n),
                due: n.small().cast_signed(),
                rank: n.some(Numbers::small),
                team: n.some(|n| n.next(&self.teams)),
                late: n.flag(),
            }),
            bound: n.rows(|n| WaitingForVersion {
                version: n.small(),
                due: n.small().cast_signed(),
                calls: n.small(),
                tokens: n.small(),
            }),
            peers: n.rows(|n| PeerAddress { ip: n.small(), port: n.small() }),
            shunned: n.rows(|n| AvoidedEndpoint { endpoint: endpoint(n), left: n.small() }),
            endpoints_news: n.some(revision),
            routes_news: n.some(revision),
            watching: n.flag(),
            crashes: n.rows(|n| CrashReport {
                endpoint: endpoint(n),
                digest: n.any(),
                ran: n.small(),
                parts: n.rows(Numbers::any),
                before: n.small(),
                behind: n.small(),
            }),
            cleared: n.rows(Numbers::any),
            cleared_parts: n.rows(Numbers::any),
            quarantined: n.rows(|n| QuarantinedCall {
                digest: n.any(),
                left: n.small(),
                is_part: n.flag(),
                ago: n.small(),
            }),
            limits: n.rows(|n| CallLimitReport {
                endpoint: endpoint(n),
                rate: n.some(Numbers::float),
                ago: n.small(),
            }),
            fleet: n.small(),
            unreached: n.rows(Numbers::small),
            origins: n.rows(origin),
            demand: n.rows(|n| DemandReport {
                service: service(n),
                rank: n.some(Numbers::small),
                team: n.some(|n| n.next(&self.teams)),
                calls: n.small(),
                late: n.small(),
                tokens: n.small(),
                used: n.small(),
            }),
            data_centre: n.small(),
            hops: n.small(),
            order_claim: n.small().cast_signed(),
            ..LoadGossip::default()
        }
        .with_loads(loads)
    }

    fn message(&self, n: &mut Numbers) -> LoadGossip {
        LoadGossip {
            permits: n.rows(|n| Permit {
                endpoint: n.next(&self.endpoints) as u32,
                word: n.small().cast_signed() % 8,
                wait: n.small(),
            }),
            ages: n.rows(|n| ConfigurationAge {
                asked: n.any(),
                age: n.some(Numbers::small),
                version: n.any(),
            }),
            quota_uses: n.rows(|n| QuotaUse {
                team: n.next(&self.teams),
                epoch: n.small(),
                taken: n.signed(),
                acknowledged: n.signed(),
                ask: n.some(|n| QuotaRequest { ticket: n.any(), amount: n.small() }),
            }),
            quota_states: n.rows(|n| QuotaState {
                team: n.next(&self.teams),
                counted: n.some(|n| QuotaCounted { epoch: n.small(), taken: n.signed() }),
                ask_for: n.small(),
                answer: n.some(|n| QuotaAnswer {
                    ticket: n.any(),
                    granted: n.flag(),
                    wait: n.small(),
                }),
            }),
            origin_queries: n
                .rows(|n| OriginQuery { stream: n.any(), service: n.next(&self.services) as u32 }),
            origin_answers: n.rows(origin),
            refused_calls: n.rows(|n| RefusedCall {
                digest: n.any(),
                wait: n.small(),
                age: n.small(),
            }),
            return_queries: n.rows(|n| ReturnQuery { digest: n.any(), ticket: n.any() }),
            return_answers: n.rows(|n| ReturnAnswer {
                ticket: n.any(),
                returned: n.flag(),
                age: n.small(),
            }),
            ..LoadGossip::default()
        }
    }
}

fn origin(n: &mut Numbers) -> StreamOrigin {
    StreamOrigin {
        stream: n.any(),
        version: n.small(),
        only: n.small(),
        known_to: n.any(),
        era: n.any(),
    }
}

/// Calls come while peers say such things.
fn call_some(rig: &mut Rig) {
    rig.call_with("/stock/1", Credential::Key(KEY));
    rig.call_with("/sheet/1", Credential::Key(KEY));
    rig.call_keyed("/draft/1", Credential::Key(KEY), prompt(1000));
    let effects = std::mem::take(&mut rig.effects);
    for effect in effects {
        let Effect::Start { request, attempt } = effect else { continue };
        let outcome = match attempt.op {
            Op::Hold { .. } => held(),
            _ => Outcome::Answered { status: 200 },
        };
        rig.came(request, attempt.number, outcome);
    }
}

/// Endpoints answer without a limit of calls, whatever peers have said of it.
fn state_no_limits(rig: &mut Rig) {
    for name in ENDPOINTS {
        let endpoint = rig.state.directory.find(name).expect("listed");
        rig.feed(Event::CallLimit { endpoint, rate: None });
    }
}

/// Whether an attempt begins at once, or as soon as the endpoint's limit allows, whoever has named one.
fn is_begun(rig: &mut Rig) -> bool {
    (0..20).any(|_| {
        let starts = rig.starts();
        rig.pass_ms(100);
        !starts.is_empty()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against a daemon that ends, or serves no calls any more, for what a peer has said.
    #[test]
    fn calls_are_served_after_absurd_datagrams(
        datagrams in prop::collection::vec(prop::collection::vec(any::<(u8, u64)>(), 0..160), 1..10),
    ) {
        let mut rig = rig();
        let known = Known::of(&rig);
        for (sequence, numbers) in (1..).zip(datagrams) {
            let mut numbers = Numbers(numbers.into_iter());
            let from = peer(2 + (sequence % 3) as u8);
            let heartbeat = known.heartbeat(&mut numbers, sequence);
            rig.feed(Event::gossip(from, heartbeat));
            rig.feed(Event::gossip(from, known.message(&mut numbers)));
            call_some(&mut rig);
            rig.pass_ms(200);
        }
        rig.pass_ms(FORGOTTEN_MS);
        state_no_limits(&mut rig);
        rig.effects.clear();
        for path in ["/sheet/1", "/stock/1"] {
            rig.call_with(path, Credential::Key(KEY));
            prop_assert!(is_begun(&mut rig), "{}: {:?}", path, rig.effects);
        }
        rig.call_keyed("/draft/1", Credential::Key(KEY), prompt(1000));
        prop_assert!(is_begun(&mut rig), "{:?}", rig.effects);
    }
}
