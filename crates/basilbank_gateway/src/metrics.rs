//! Counters and histograms of forwarded calls.

use std::{sync::atomic::AtomicU64, time::Duration};

use basilbank_forward::{event::Liveness, prelude::*};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Upper bounds of the latency histograms, in seconds.
const BOUNDS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 0.9, 2.0, 5.0, 14.0];

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct Reason {
    reason: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct Asked {
    topic: String,
    reason: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct OfTeam {
    team: String,
}

/// Teams that have metrics of their own: those that use most through this daemon.
const TEAMS: usize = 50;

/// All of them. Names carry the prefix `basilbank_forward_`.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    sent: Family<Reason, Counter>,
    refused: Family<Reason, Counter>,
    retried: Family<Reason, Counter>,
    outcomes: Family<Reason, Counter>,
    ended: Family<Reason, Counter>,
    attempts: Histogram,
    requests: Histogram,
    ready: Gauge<i64, std::sync::atomic::AtomicI64>,
    view: Gauge<f64, AtomicU64>,
    proof: Gauge<f64, AtomicU64>,
    passed: Family<OfTeam, Gauge<u64, AtomicU64>>,
    over: Family<OfTeam, Gauge<u64, AtomicU64>>,
    store: Family<Reason, Counter<u64, AtomicU64>>,
    asked: Family<Asked, Counter>,
    probes: Family<Reason, Counter>,
    unusable: Family<Reason, Counter>,
    quarantined: Counter,
    permits: Counter,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut registry = Registry::with_prefix("basilbank_forward");
        let metrics = Metrics {
            sent: Family::default(),
            refused: Family::default(),
            retried: Family::default(),
            outcomes: Family::default(),
            ended: Family::default(),
            attempts: Histogram::new(BOUNDS),
            requests: Histogram::new(BOUNDS),
            ready: Gauge::default(),
            view: Gauge::default(),
            proof: Gauge::default(),
            passed: Family::default(),
            over: Family::default(),
            store: Family::default(),
            asked: Family::default(),
            probes: Family::default(),
            unusable: Family::default(),
            quarantined: Counter::default(),
            permits: Counter::default(),
            registry: Registry::default(),
        };
        registry.register("sent", "Calls to endpoints by step", metrics.sent.clone());
        registry.register("refused", "Own refusals and failures", metrics.refused.clone());
        registry.register("retried", "Calls sent again by reason", metrics.retried.clone());
        registry.register("outcomes", "What attempts came to", metrics.outcomes.clone());
        registry.register("ended", "How calls ended", metrics.ended.clone());
        registry.register("attempt_seconds", "Time of one attempt", metrics.attempts.clone());
        registry.register("request_seconds", "Time of one call", metrics.requests.clone());
        registry.register("ready", "1 while calls are taken", metrics.ready.clone());
        let view = metrics.view.clone();
        registry.register("view_age_seconds", "Age of the view of the list of endpoints", view);
        let proof = metrics.proof.clone();
        let help = "Age of the proof that the configuration is the newest";
        registry.register("proof_age_seconds", help, proof);
        let passed = metrics.passed.clone();
        registry.register("team_units", "Units of quotas that passed, by team", passed);
        let over = metrics.over.clone();
        registry.register("team_over_quota", "Calls beyond the team's quota", over);
        registry.register("store_calls", "Calls to the platform's store", metrics.store.clone());
        let asked = metrics.asked.clone();
        registry.register(
            "store_asked",
            "Questions to the platform's store by topic and reason",
            asked,
        );
        registry.register("probes", "Questions to dark endpoints", metrics.probes.clone());
        let quarantined = metrics.quarantined.clone();
        registry.register("quarantined", "Calls that were put in quarantine", quarantined);
        let permits = metrics.permits.clone();
        registry.register("permits", "Permits for calls to endpoints with a limit", permits);
        let unusable = metrics.unusable.clone();
        registry.register("unusable_entries", "Entries of the store that can't be used", unusable);
        Metrics { registry, ..metrics }
    }
}

impl Metrics {
    /// A call went out.
    pub fn sent(&self, op: &str) {
        count(&self.sent, op);
    }

    /// A refusal or failure of the router's own.
    pub fn refused(&self, refusal: Refusal) {
        count(&self.refused, refusal.as_str());
    }

    /// A refusal before the decisions heard of the call.
    pub fn refused_early(&self, reason: &str) {
        count(&self.refused, reason);
    }

    /// A call to the platform's store.
    pub fn store_call(&self, outcome: &str) {
        count(&self.store, outcome);
    }

    /// The store was asked.
    pub fn store_asked(&self, topic: Topic, why: Why) {
        let (topic, reason) = (topic.as_str().to_owned(), why.as_str().to_owned());
        self.asked.get_or_create(&Asked { topic, reason }).inc();
    }

    /// A version of an entry of the store can't be used.
    pub fn unusable_entry(&self, reason: &str) {
        count(&self.unusable, reason);
    }

    /// A dark endpoint was asked whether it lives.
    pub fn probed(&self, life: Liveness) {
        let answer = match life {
            Liveness::Alive => "alive",
            Liveness::Unreachable => "dark",
        };
        count(&self.probes, answer);
    }

    /// Whether calls are taken.
    pub fn set_ready(&self, ready: i64) {
        self.ready.set(ready);
    }

    /// How old the view of the list of endpoints is.
    pub fn set_view_age(&self, age: Duration) {
        self.view.set(age.as_secs_f64());
    }

    /// How old the proof is that the configuration is the newest, and what teams use through this daemon.
    pub fn set_teams(&self, state: &State, now: Duration) {
        if let Some(age) = state.freshness.age(now) {
            self.proof.set(age.as_secs_f64());
        }
        self.passed.clear();
        self.over.clear();
        for (id, used) in state.quotas.most_used(TEAMS) {
            let Some(team) = state.routes.teams.as_ref().and_then(|teams| teams.get(id)) else {
                continue;
            };
            let label = OfTeam { team: team.name.to_string() };
            self.passed.get_or_create(&label).set(used.passed);
            self.over.get_or_create(&label).set(used.refused);
        }
    }

    /// Counts what a line of the log tells.
    pub fn measured(&self, measure: Measurement) {
        match measure {
            Measurement::Attempt { outcome, duration } => {
                count(&self.outcomes, outcome);
                self.attempts.observe(duration.as_secs_f64());
            }
            Measurement::Request { outcome, duration } => {
                count(&self.ended, outcome);
                self.requests.observe(duration.as_secs_f64());
            }
            Measurement::Quarantined => drop(self.quarantined.inc()),
            Measurement::Permit => drop(self.permits.inc()),
            Measurement::Retry(retry) => count(&self.retried, retry.as_str()),
        }
    }

    /// All of them as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn count(family: &Family<Reason, Counter>, reason: &str) {
    family.get_or_create(&Reason { reason: reason.to_owned() }).inc();
}
