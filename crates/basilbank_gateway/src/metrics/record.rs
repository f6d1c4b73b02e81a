//! What is counted, and how values are set.

use std::{sync::PoisonError, time::Duration};

use basilbank::{
    callers::{
        body_budget::BodyUsage,
        connections::{Connections, Stage},
    },
    logs::Line,
};
use basilbank_forward::{
    event::Liveness,
    prelude::*,
    state::{Suspects, relays::Relays},
};
use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, family::Family},
};

use super::{
    Metrics, RankLabel, ReasonLabel, Sender, StageLabel, StoreReadLabels, StreamEndLabels,
    TeamLabel, TopicLabel, UnreadLabels,
};
use crate::{connections::CallError, end_proof::EndProof, framing::Framing};

/// Maximum number of unread names that are counted separately. Any sender can make up names, and
/// each of them takes memory for good.
const MAX_UNREAD_NAMES: usize = 32;

/// Maximum length of an unread name in characters; the rest is left out.
const MAX_UNREAD_NAME_CHARS: usize = 64;

/// Name under which all further unread names are counted.
const OTHER_UNREAD: &str = "other";

/// Maximum number of teams that have metrics of their own: those with the highest usage through
/// this daemon.
const MAX_TEAMS: usize = 50;

/// Maximum number of teams whose streams have metrics of their own: those with the most streams
/// through this daemon.
const MAX_STREAM_TEAMS: usize = 32;

/// Maximum number of teams whose streams are counted. Further teams are not counted until the
/// process restarts.
const MAX_COUNTED_TEAMS: usize = 1024;

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

    /// Counts a stream whose events don't follow those before, by how.
    pub fn count_event_order(&self, damage: &'static str) {
        count(&self.event_order, damage);
    }

    /// Counts an answer that only the end of its connection ended.
    pub fn count_end_check(&self, proof: EndProof) {
        count(&self.end_checks, proof.as_str());
    }

    /// Counts an answer that doesn't belong to the request that was sent.
    pub fn count_foreign_answer(&self, purpose: Purpose) {
        count(&self.foreign_answers, purpose.as_str());
    }

    /// Sets the number of endpoints that get new connections because of what they wrote.
    pub fn set_distrusted(&self, endpoints: usize) {
        self.distrusted_endpoints.set(u64::try_from(endpoints).unwrap_or(u64::MAX));
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

    /// Sets how many connections of callers are open, and how many may be.
    pub fn set_callers(&self, callers: &Connections) {
        let gauge_value = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        for stage in Stage::ALL {
            let label = StageLabel { stage: stage.as_str() };
            self.caller_connections.get_or_create(&label).set(gauge_value(callers.count(stage)));
        }
        self.max_caller_connections.set(gauge_value(callers.max()));
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
            Measurement::StreamRecordsDropped(count) => {
                self.stream_records_dropped.inc_by(u64::try_from(count).unwrap_or(u64::MAX));
            }
            Measurement::EvidenceDropped(count) => {
                self.evidence_dropped.inc_by(u64::try_from(count).unwrap_or(u64::MAX));
            }
            Measurement::Silence => drop(self.silences.inc()),
            Measurement::SilenceEnded(end) => count(&self.silence_ends, end),
            Measurement::Permit => drop(self.permits.inc()),
            Measurement::Pause => drop(self.pauses.inc()),
            Measurement::ForecastError(error) => {
                self.forecast_error.observe(error.as_secs_f64());
            }
            Measurement::Returned(outcome) => count(&self.returned, outcome),
            Measurement::StreamPinned(source) => count(&self.streams_pinned, source.as_str()),
            Measurement::StreamUnknown(why) => count(&self.streams_unknown, why.as_str()),
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

fn count(family: &Family<ReasonLabel, Counter>, reason: &str) {
    family.get_or_create(&ReasonLabel { reason: reason.to_owned() }).inc();
}
