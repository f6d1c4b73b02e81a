//! Counters and histograms of forwarded calls.

use std::{
    collections::{HashMap, HashSet},
    sync::{Mutex, PoisonError, atomic::AtomicU64},
    time::Duration,
};

use basilbank::logs::Line;
use basilbank_forward::{
    event::Liveness,
    prelude::*,
    state::{Suspects, relays::Relays},
};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::{
    body_budget::BodyUsage, connections::CallError, end_proof::EndProof, framing::Framing,
    sent_bytes::SentBytes,
};

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

/// Maximum number of unread names that are counted separately. Any sender can make up names, and
/// each of them takes memory for good.
const MAX_UNREAD_NAMES: usize = 32;

/// Maximum length of an unread name in characters; the rest is left out.
const MAX_UNREAD_NAME_CHARS: usize = 64;

/// Name under which all further unread names are counted.
const OTHER_UNREAD: &str = "other";

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

/// Maximum number of teams that have metrics of their own: those with the highest usage through
/// this daemon.
const MAX_TEAMS: usize = 50;

/// Maximum number of teams whose streams have metrics of their own: those with the most streams
/// through this daemon.
const MAX_STREAM_TEAMS: usize = 32;

/// Maximum number of teams whose streams are counted. Further teams are not counted until the
/// process restarts.
const MAX_COUNTED_TEAMS: usize = 1024;

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
    foreign_answers: Family<ReasonLabel, Counter>,
    unreachable_endpoints: Gauge<u64, AtomicU64>,
    unreached_services: Gauge<u64, AtomicU64>,
    gossip_passed_on: Gauge<u64, AtomicU64>,
    gossip_dropped: Gauge<u64, AtomicU64>,
    body_bytes: Gauge<u64, AtomicU64>,
    body_bound: Gauge<u64, AtomicU64>,
    answer_bytes: Gauge<u64, AtomicU64>,
    answers_paused: Gauge<u64, AtomicU64>,
    bodies_refused: Family<ReasonLabel, Gauge<u64, AtomicU64>>,
    quarantined: Counter,
    silences: Counter,
    silence_ends: Family<ReasonLabel, Counter>,
    permits: Counter,
    pauses: Counter,
    forecast_error: Histogram,
    returned: Family<ReasonLabel, Counter>,
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
            foreign_answers: Family::default(),
            unreachable_endpoints: Gauge::default(),
            unreached_services: Gauge::default(),
            gossip_passed_on: Gauge::default(),
            gossip_dropped: Gauge::default(),
            body_bytes: Gauge::default(),
            body_bound: Gauge::default(),
            answer_bytes: Gauge::default(),
            answers_paused: Gauge::default(),
            bodies_refused: Family::default(),
            quarantined: Counter::default(),
            silences: Counter::default(),
            silence_ends: Family::default(),
            permits: Counter::default(),
            pauses: Counter::default(),
            forecast_error: Histogram::new(LATENCY_BOUNDS_S),
            returned: Family::default(),
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
        let help = "Answers that belong to no request on their connection, by what was asked";
        registry.register("foreign_answers", help, metrics.foreign_answers.clone());
        let help = "Answers of endpoints that asked for a pause";
        registry.register("pauses", help, metrics.pauses.clone());
        let help =
            "Difference between the forecast and the actual start of completions that waited";
        registry.register("forecast_error_seconds", help, metrics.forecast_error.clone());
        let help = "Calls that returned as they were told, by what became of them";
        registry.register("returned", help, metrics.returned.clone());
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

impl Metrics {
    /// Counts a call to an endpoint.
    pub fn count_sent(&self, op: &str) {
        count(&self.sent, op);
    }

    /// Counts a call that a peer is asked to make.
    pub fn count_sent_by_peer(&self, op: &str) {
        count(&self.sent_by_peer, op);
    }

    /// Counts a call that a peer was asked to make and that got no answer.
    pub fn count_proxy_failure(&self, error: CallError) {
        count(&self.proxy_failures, Outcome::from(error).as_str());
    }

    /// Counts the end of a stream's body.
    pub fn count_stream_end(&self, framing: Framing, proof: EndProof, is_unfinished: bool) {
        let end = if is_unfinished { "inside_event" } else { "between_events" };
        let labels = StreamEndLabels { framing: framing.as_str(), end, proof: proof.as_str() };
        self.stream_ends.get_or_create(&labels).inc();
    }

    /// Counts an answer that only the end of its connection ended.
    pub fn count_end_check(&self, proof: EndProof) {
        count(&self.end_checks, proof.as_str());
    }

    /// Counts an answer that doesn't belong to the request that was sent.
    pub fn count_foreign_answer(&self, asked: &str) {
        count(&self.foreign_answers, asked);
    }

    /// Counts a call that this daemon made, or refused to make, for a peer.
    pub fn count_proxied(&self, end: &str) {
        count(&self.proxied, end);
    }

    /// Counts a refusal or failure that the router itself reports.
    pub fn count_refused(&self, refusal: Refusal) {
        count(&self.refused, refusal.as_str());
    }

    /// Counts a refusal of a call that did not get as far as the reducer.
    pub fn count_refused_early(&self, reason: &str) {
        count(&self.refused, reason);
    }

    /// Counts a call to the platform's store.
    pub fn count_store_call(&self, outcome: &str) {
        count(&self.store_calls, outcome);
    }

    /// Counts a read of the store by its reason.
    pub fn count_store_read(&self, topic: Topic, reason: ReadReason) {
        let (topic, reason) = (topic.as_str().to_owned(), reason.as_str().to_owned());
        self.store_reads.get_or_create(&StoreReadLabels { topic, reason }).inc();
    }

    /// Counts a version of a record of the store that can't be used.
    pub fn count_unusable_record(&self, reason: &str) {
        count(&self.unusable_records, reason);
    }

    /// Counts the names of headers or fields that nothing reads.
    pub fn count_unread(&self, sender: Sender, names: impl IntoIterator<Item = impl AsRef<str>>) {
        let sender = sender.as_str();
        for name in names {
            let name = self.unread_name(sender, name.as_ref());
            self.unread.get_or_create(&UnreadLabels { sender, name }).inc();
        }
    }

    /// Returns the name under which an unread name is counted.
    fn unread_name(&self, sender: &'static str, name: &str) -> String {
        let name: String = name.chars().take(MAX_UNREAD_NAME_CHARS).collect();
        let mut names = self.unread_names.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = (sender, name.clone());
        if names.contains(&entry) {
            return name;
        }
        if MAX_UNREAD_NAMES <= names.len() {
            return OTHER_UNREAD.to_owned();
        }
        names.insert(entry);
        log::info!("{}", Line::new("unread").with("sender", sender).with("name", &name));
        name
    }

    /// Sets the configuration's version that is in force.
    pub fn set_configuration_version(&self, version: u64) {
        self.configuration_version.set(version);
    }

    /// Sets how many endpoints and services this daemon can't reach.
    pub fn set_unreachable(&self, suspects: &Suspects) {
        let gauge_value = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        self.unreachable_endpoints.set(gauge_value(suspects.count_unreachable()));
        self.unreached_services.set(gauge_value(suspects.unreached.len()));
    }

    /// Sets how many datagrams were passed on here, and how many of those passed on to this daemon
    /// were dropped.
    pub fn set_relays(&self, relays: &Relays) {
        self.gossip_passed_on.set(relays.passed_on);
        self.gossip_dropped.set(relays.dropped);
    }

    /// Sets the memory that request bodies take, and how many there was none for.
    pub fn set_bodies(&self, usage: &BodyUsage) {
        let gauge_value = |bytes: usize| u64::try_from(bytes).unwrap_or(u64::MAX);
        self.body_bytes.set(gauge_value(usage.bytes));
        self.body_bound.set(gauge_value(usage.bound));
        self.answer_bytes.set(gauge_value(usage.answers));
        self.answers_paused.set(usage.answers_paused);
        for (reason, count) in [("unread", usage.refused_unread), ("midway", usage.refused_midway)]
        {
            let label = ReasonLabel { reason: reason.to_owned() };
            self.bodies_refused.get_or_create(&label).set(count);
        }
    }

    /// Sets for how long the store hasn't answered a topic's reader.
    pub fn set_store_lost(&self, topic: Topic, lost_for: Duration) {
        let topic = topic.as_str();
        self.store_lost.get_or_create(&TopicLabel { topic }).set(lost_for.as_secs_f64());
    }

    /// Counts a probe of an unreachable endpoint.
    pub fn count_probe(&self, liveness: Liveness) {
        let answer = match liveness {
            Liveness::Alive => "alive",
            Liveness::Unreachable => "dark",
            Liveness::Silent => "silent",
            Liveness::Withheld => "withheld",
        };
        count(&self.probes, answer);
    }

    /// Sets whether calls are accepted.
    pub fn set_ready(&self, ready: i64) {
        self.ready.set(ready);
    }

    /// Sets the age of the view of the list of endpoints.
    pub fn set_view_age(&self, age: Duration) {
        self.view_age.set(age.as_secs_f64());
    }

    /// Sets the time since the configuration was confirmed to be the newest, and the usage of teams
    /// through this daemon.
    pub fn set_team_usage(&self, state: &State, now: Duration) {
        if let Some(age) = state.freshness.age(now) {
            self.confirmation_age.set(age.as_secs_f64());
        }
        self.team_units.clear();
        self.team_over_quota.clear();
        for (id, used) in state.quotas.most_used(MAX_TEAMS) {
            let Some(team) = state.routes.teams.as_ref().and_then(|teams| teams.get(id)) else {
                continue;
            };
            let label = TeamLabel { team: team.name.to_string() };
            self.team_units.get_or_create(&label).set(used.passed);
            self.team_over_quota.get_or_create(&label).set(used.refused);
        }
        self.set_team_streams(state);
    }

    /// Sets the streams of the teams with the most of them.
    fn set_team_streams(&self, state: &State) {
        let counted = self.streams_by_team.lock().unwrap_or_else(PoisonError::into_inner);
        let mut most: Vec<_> = counted.iter().map(|(id, streams)| (*id, *streams)).collect();
        drop(counted);
        most.sort_unstable_by_key(|(id, streams)| (std::cmp::Reverse(streams.calls), *id));
        self.team_streams.clear();
        self.team_stream_tokens.clear();
        for (id, streams) in most.into_iter().take(MAX_STREAM_TEAMS) {
            let Some(team) = state.routes.teams.as_ref().and_then(|teams| teams.get(id)) else {
                continue;
            };
            let label = TeamLabel { team: team.name.to_string() };
            self.team_streams.get_or_create(&label).set(streams.calls);
            self.team_stream_tokens.get_or_create(&label).set(streams.tokens);
        }
    }

    fn count_first_token(&self, rank: Rank, on_time: bool, duration: Duration) {
        let label = RankLabel { rank: rank.0 };
        self.rank_streams.get_or_create(&label).inc();
        if !on_time {
            self.rank_late_streams.get_or_create(&label).inc();
        }
        self.rank_first_token_seconds.get_or_create(&label).observe(duration.as_secs_f64());
    }

    fn count_team_stream(&self, team: TeamId, tokens: u64) {
        let mut counted = self.streams_by_team.lock().unwrap_or_else(PoisonError::into_inner);
        if counted.len() < MAX_COUNTED_TEAMS || counted.contains_key(&team) {
            let streams = counted.entry(team).or_default();
            streams.calls += 1;
            streams.tokens = streams.tokens.saturating_add(tokens);
        }
    }

    /// Records the measurement of a log line.
    pub fn record_measurement(&self, measurement: Measurement) {
        match measurement {
            Measurement::Attempt { outcome, duration } => {
                count(&self.outcomes, outcome);
                self.attempt_seconds.observe(duration.as_secs_f64());
            }
            Measurement::Request { outcome, duration } => {
                count(&self.ended, outcome);
                self.request_seconds.observe(duration.as_secs_f64());
            }
            Measurement::FirstToken { rank, team, tokens, on_time, duration } => {
                if let Some(rank) = rank {
                    self.count_first_token(rank, on_time, duration);
                }
                if let Some(team) = team {
                    self.count_team_stream(team, tokens);
                }
            }
            Measurement::Quarantined => drop(self.quarantined.inc()),
            Measurement::Silence => drop(self.silences.inc()),
            Measurement::SilenceEnded(end) => count(&self.silence_ends, end),
            Measurement::Permit => drop(self.permits.inc()),
            Measurement::Pause => drop(self.pauses.inc()),
            Measurement::ForecastError(error) => {
                self.forecast_error.observe(error.as_secs_f64());
            }
            Measurement::Returned(outcome) => count(&self.returned, outcome),
            Measurement::Retry(retry) => count(&self.retried, retry.as_str()),
        }
    }

    /// Encodes all metrics as text.
    #[must_use]
    pub fn encode_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BOUNDS_S)
}

fn count(family: &Family<ReasonLabel, Counter>, reason: &str) {
    family.get_or_create(&ReasonLabel { reason: reason.to_owned() }).inc();
}
