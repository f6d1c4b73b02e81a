//! Counters and histograms of forwarded calls.

mod record;

use std::{
    collections::{HashMap, HashSet},
    sync::{Mutex, atomic::AtomicU64},
};

use basilbank_forward::prelude::*;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::sent_bytes::SentBytes;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 0.9, 2.0, 5.0, 14.0];

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct StoreReadLabels {
    topic: String,
    reason: String,
}

/// Label of a connection's stage.
#[derive(Clone, PartialEq, Eq, Hash, EncodeLabelSet, Debug)]
struct StageLabel {
    stage: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct TopicLabel {
    topic: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct TeamLabel {
    team: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct RankLabel {
    rank: u8,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct StreamEndLabels {
    framing: &'static str,
    end: &'static str,
    proof: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct UnreadLabels {
    sender: &'static str,
    name: String,
}

/// Who sent something that nothing reads.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Sender {
    /// An endpoint, in an answer.
    Endpoint,
    /// The platform's store, in an answer.
    Store,
    /// A caller, in a request.
    Caller,
}

impl Sender {
    fn as_str(self) -> &'static str {
        match self {
            Sender::Endpoint => "endpoint",
            Sender::Store => "store",
            Sender::Caller => "caller",
        }
    }
}

/// The streams of a team through this daemon.
#[derive(Clone, Copy, Default, Debug)]
struct TeamStreams {
    calls: u64,
    tokens: u64,
}

/// The metrics of forwarded calls. Their names have the prefix `basilbank_forward_`.
#[derive(Debug)]
pub struct Metrics {
    /// What this daemon sends.
    pub sent_bytes: SentBytes,
    registry: Registry,
    sent: Family<ReasonLabel, Counter>,
    refused: Family<ReasonLabel, Counter>,
    retried: Family<ReasonLabel, Counter>,
    outcomes: Family<ReasonLabel, Counter>,
    ended: Family<ReasonLabel, Counter>,
    attempt_seconds: Histogram,
    request_seconds: Histogram,
    ready: Gauge<i64, std::sync::atomic::AtomicI64>,
    view_age: Gauge<f64, AtomicU64>,
    confirmation_age: Gauge<f64, AtomicU64>,
    team_units: Family<TeamLabel, Gauge<u64, AtomicU64>>,
    team_over_quota: Family<TeamLabel, Gauge<u64, AtomicU64>>,
    rank_streams: Family<RankLabel, Counter>,
    rank_late_streams: Family<RankLabel, Counter>,
    rank_first_token_seconds: Family<RankLabel, Histogram, fn() -> Histogram>,
    team_streams: Family<TeamLabel, Gauge<u64, AtomicU64>>,
    team_stream_tokens: Family<TeamLabel, Gauge<u64, AtomicU64>>,
    streams_by_team: Mutex<HashMap<TeamId, TeamStreams>>,
    store_calls: Family<ReasonLabel, Counter<u64, AtomicU64>>,
    store_reads: Family<StoreReadLabels, Counter>,
    probes: Family<ReasonLabel, Counter>,
    unusable_records: Family<ReasonLabel, Counter>,
    unread: Family<UnreadLabels, Counter>,
    unread_names: Mutex<HashSet<(&'static str, String)>>,
    configuration_version: Gauge<u64, AtomicU64>,
    store_lost: Family<TopicLabel, Gauge<f64, AtomicU64>>,
    sent_by_peer: Family<ReasonLabel, Counter>,
    proxy_failures: Family<ReasonLabel, Counter>,
    proxied: Family<ReasonLabel, Counter>,
    stream_ends: Family<StreamEndLabels, Counter>,
    end_checks: Family<ReasonLabel, Counter>,
    event_order: Family<ReasonLabel, Counter>,
    foreign_answers: Family<ReasonLabel, Counter>,
    distrusted_endpoints: Gauge<u64, AtomicU64>,
    unreachable_endpoints: Gauge<u64, AtomicU64>,
    unreached_services: Gauge<u64, AtomicU64>,
    gossip_passed_on: Gauge<u64, AtomicU64>,
    gossip_dropped: Gauge<u64, AtomicU64>,
    caller_connections: Family<StageLabel, Gauge<u64, AtomicU64>>,
    max_caller_connections: Gauge<u64, AtomicU64>,
    body_bytes: Gauge<u64, AtomicU64>,
    body_bound: Gauge<u64, AtomicU64>,
    answer_bytes: Gauge<u64, AtomicU64>,
    answers_paused: Gauge<u64, AtomicU64>,
    bodies_refused: Family<ReasonLabel, Gauge<u64, AtomicU64>>,
    quarantined: Counter,
    evidence_dropped: Counter,
    stream_records_dropped: Counter,
    silences: Counter,
    silence_ends: Family<ReasonLabel, Counter>,
    permits: Counter,
    pauses: Counter,
    forecast_error: Histogram,
    returned: Family<ReasonLabel, Counter>,
    streams_pinned: Family<ReasonLabel, Counter>,
    streams_unknown: Family<ReasonLabel, Counter>,
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
            attempt_seconds: Histogram::new(LATENCY_BOUNDS_S),
            request_seconds: Histogram::new(LATENCY_BOUNDS_S),
            ready: Gauge::default(),
            view_age: Gauge::default(),
            confirmation_age: Gauge::default(),
            team_units: Family::default(),
            team_over_quota: Family::default(),
            rank_streams: Family::default(),
            rank_late_streams: Family::default(),
            rank_first_token_seconds: Family::new_with_constructor(latency_histogram),
            team_streams: Family::default(),
            team_stream_tokens: Family::default(),
            streams_by_team: Mutex::default(),
            store_calls: Family::default(),
            store_reads: Family::default(),
            probes: Family::default(),
            unusable_records: Family::default(),
            unread: Family::default(),
            unread_names: Mutex::default(),
            configuration_version: Gauge::default(),
            store_lost: Family::default(),
            sent_by_peer: Family::default(),
            proxy_failures: Family::default(),
            proxied: Family::default(),
            stream_ends: Family::default(),
            end_checks: Family::default(),
            event_order: Family::default(),
            foreign_answers: Family::default(),
            distrusted_endpoints: Gauge::default(),
            unreachable_endpoints: Gauge::default(),
            unreached_services: Gauge::default(),
            gossip_passed_on: Gauge::default(),
            gossip_dropped: Gauge::default(),
            caller_connections: Family::default(),
            max_caller_connections: Gauge::default(),
            body_bytes: Gauge::default(),
            body_bound: Gauge::default(),
            answer_bytes: Gauge::default(),
            answers_paused: Gauge::default(),
            bodies_refused: Family::default(),
            quarantined: Counter::default(),
            evidence_dropped: Counter::default(),
            stream_records_dropped: Counter::default(),
            silences: Counter::default(),
            silence_ends: Family::default(),
            permits: Counter::default(),
            pauses: Counter::default(),
            forecast_error: Histogram::new(LATENCY_BOUNDS_S),
            returned: Family::default(),
            streams_pinned: Family::default(),
            streams_unknown: Family::default(),
            registry: Registry::default(),
            sent_bytes: SentBytes::default(),
        };
        metrics.sent_bytes.register(&mut registry);
        registry.register("sent", "Calls to endpoints by step", metrics.sent.clone());
        registry.register("refused", "Own refusals and failures", metrics.refused.clone());
        registry.register("retried", "Calls sent again by reason", metrics.retried.clone());
        registry.register("outcomes", "What attempts came to", metrics.outcomes.clone());
        registry.register("ended", "How calls ended", metrics.ended.clone());
        registry.register(
            "attempt_seconds",
            "Time of one attempt",
            metrics.attempt_seconds.clone(),
        );
        registry.register("request_seconds", "Time of one call", metrics.request_seconds.clone());
        registry.register("ready", "1 while calls are taken", metrics.ready.clone());
        let view_age = metrics.view_age.clone();
        registry.register("view_age_seconds", "Age of the view of the list of endpoints", view_age);
        let confirmation_age = metrics.confirmation_age.clone();
        let help = "Age of the proof that the configuration is the newest";
        registry.register("proof_age_seconds", help, confirmation_age);
        let team_units = metrics.team_units.clone();
        registry.register("team_units", "Units of quotas that passed, by team", team_units);
        let team_over_quota = metrics.team_over_quota.clone();
        registry.register("team_over_quota", "Calls beyond the team's quota", team_over_quota);
        let help = "Streams that have begun, by rank";
        registry.register("rank_streams", help, metrics.rank_streams.clone());
        let help = "Streams that have begun late, by rank";
        registry.register("rank_late_streams", help, metrics.rank_late_streams.clone());
        let help = "Time to the first token of a stream, by rank";
        let by_rank = metrics.rank_first_token_seconds.clone();
        registry.register("rank_first_token_seconds", help, by_rank);
        let help = "Streams that have begun, by team";
        registry.register("team_streams", help, metrics.team_streams.clone());
        let help = "Tokens that the begun streams need, by team";
        registry.register("team_stream_tokens", help, metrics.team_stream_tokens.clone());
        registry.register(
            "store_calls",
            "Calls to the platform's store",
            metrics.store_calls.clone(),
        );
        let store_reads = metrics.store_reads.clone();
        registry.register(
            "store_asked",
            "Questions to the platform's store by topic and reason",
            store_reads,
        );
        registry.register("probes", "Questions to dark endpoints", metrics.probes.clone());
        let quarantined = metrics.quarantined.clone();
        registry.register("quarantined", "Calls that were put in quarantine", quarantined);
        registry.register(
            "crash_evidence_dropped",
            "Evidence about crashes that was dropped, as there was too much",
            metrics.evidence_dropped.clone(),
        );
        registry.register(
            "stream_records_dropped",
            "Versions of streams that were forgotten early, as there were too many",
            metrics.stream_records_dropped.clone(),
        );
        let permits = metrics.permits.clone();
        registry.register("permits", "Permits for calls to endpoints with a limit", permits);
        let silences = metrics.silences.clone();
        registry.register("silences", "Attempts whose endpoint fell silent", silences);
        let help = "Ends of silences of attempts' endpoints by reason";
        registry.register("silence_ends", help, metrics.silence_ends.clone());
        let help = "Ends of streams' bodies by framing, place and proof";
        registry.register("stream_ends", help, metrics.stream_ends.clone());
        let help =
            "Answers that only the end of their connection ended, by proof that they are whole";
        registry.register("end_checks", help, metrics.end_checks.clone());
        let help = "Attempts whose events don't follow those before them, by how";
        registry.register("event_order", help, metrics.event_order.clone());
        let help = "Answers that belong to no request on their connection, by the purpose of what was sent";
        registry.register("foreign_answers", help, metrics.foreign_answers.clone());
        let help = "Endpoints that get new connections, as they wrote what belongs to no request";
        registry.register("distrusted_endpoints", help, metrics.distrusted_endpoints.clone());
        let help = "Answers of endpoints that asked for a pause";
        registry.register("pauses", help, metrics.pauses.clone());
        let help =
            "Difference between the forecast and the actual start of completions that waited";
        registry.register("forecast_error_seconds", help, metrics.forecast_error.clone());
        let help = "Calls that returned as they were told, by what became of them";
        registry.register("returned", help, metrics.returned.clone());
        let help = "Streams taken up at their version, by how it is known";
        registry.register("streams_pinned", help, metrics.streams_pinned.clone());
        let help = "Streams that can't be taken up, by why their version isn't known";
        registry.register("streams_unknown", help, metrics.streams_unknown.clone());
        let unusable_records = metrics.unusable_records.clone();
        registry.register(
            "unusable_entries",
            "Entries of the store that can't be used",
            unusable_records,
        );
        let help = "Headers and fields that nothing reads, by sender and name";
        registry.register("unread", help, metrics.unread.clone());
        let version = metrics.configuration_version.clone();
        registry.register("configuration_version", "Version in force", version);
        let help = "Time since the store stopped answering a topic's reader; 0 while it answers";
        registry.register("store_lost_seconds", help, metrics.store_lost.clone());
        let sent_by_peer = metrics.sent_by_peer.clone();
        registry.register("sent_by_peer", "Calls that peers were asked to make", sent_by_peer);
        let help = "Calls that peers were asked to make and that got no answer";
        registry.register("proxy_failures", help, metrics.proxy_failures.clone());
        let help = "Calls that were made for peers, by their end";
        registry.register("proxied", help, metrics.proxied.clone());
        let unreachable = metrics.unreachable_endpoints.clone();
        registry.register("unreachable_endpoints", "Endpoints that don't answer here", unreachable);
        let help = "Services most of whose endpoints don't answer here";
        registry.register("unreached_services", help, metrics.unreached_services.clone());
        let help = "Datagrams of peers that were passed on in this data centre";
        registry.register("gossip_passed_on", help, metrics.gossip_passed_on.clone());
        let help =
            "Relayed datagrams that were dropped as invalid, or not passed on as too frequent";
        registry.register("gossip_dropped", help, metrics.gossip_dropped.clone());
        let help = "Open connections of callers, by what they are at";
        registry.register("caller_connections", help, metrics.caller_connections.clone());
        let help = "Maximum number of open connections of callers";
        registry.register("max_caller_connections", help, metrics.max_caller_connections.clone());
        let help = "Bytes of request bodies that have arrived or are reserved";
        registry.register("body_bytes", help, metrics.body_bytes.clone());
        let help = "Maximum number of bytes of request bodies";
        registry.register("body_bound_bytes", help, metrics.body_bound.clone());
        let help = "Bytes of the bodies that are endpoints' answers";
        registry.register("answer_bytes", help, metrics.answer_bytes.clone());
        let help = "Times that an answer was not read on as there was no memory for it";
        registry.register("answers_paused", help, metrics.answers_paused.clone());
        let help = "Request bodies that there was no memory for, by when they were refused";
        registry.register("bodies_refused", help, metrics.bodies_refused.clone());
        Metrics { registry, ..metrics }
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BOUNDS_S)
}
