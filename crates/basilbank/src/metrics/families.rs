//! All metrics, and their registration.

use prometheus_client::{
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

use crate::metrics::labels::{Class, Direction, Note, Outcome, PlatformCall, Reason, Role, Team};

/// A counter of seconds or of another amount that is no whole number.
pub type AmountCounter = Counter<f64, std::sync::atomic::AtomicU64>;

/// Latencies by class of service.
pub type ByClass = Family<Class, Histogram, fn() -> Histogram>;

/// All metrics. Each clone counts into the same ones.
#[derive(Clone, Debug)]
pub struct Families {
    /// Calls that were refused.
    pub refusals: Family<Reason, Counter>,
    /// Attempts that were followed by another.
    pub retries: Family<Reason, Counter>,
    /// Requests that ended.
    pub requests: Family<Outcome, Counter>,
    /// Requests accepted.
    pub accepted: Counter,
    /// Requests that had to wait for capacity.
    pub queued: Counter,
    /// Prefill seconds that no caller received.
    pub wasted_prefill: Family<Reason, AmountCounter>,
    /// Generated tokens that no caller received.
    pub wasted_tokens: Family<Reason, Counter>,
    /// Prompt tokens charged.
    pub charged_prompt: Family<Team, Counter>,
    /// Generated tokens charged.
    pub charged_generated: Family<Team, Counter>,
    /// Time to the first token.
    pub ttft: ByClass,
    /// Mean time between tokens of one request.
    pub tbt: ByClass,
    /// Time that requests waited for a slot.
    pub queue_wait: Family<Role, Histogram, fn() -> Histogram>,
    /// Peers' packets dropped.
    pub dropped: Family<Reason, Counter>,
    /// Messages to peers that were not sent.
    pub unsent: Family<Reason, Counter>,
    /// Bytes to and from peers.
    pub peer_bytes: Family<Direction, Counter>,
    /// Packets to and from peers.
    pub peer_packets: Family<Direction, Counter>,
    /// Calls to the platform.
    pub platform: Family<PlatformCall, Counter>,
    /// Anything else that the core reported.
    pub notes: Family<Note, Counter>,
    /// Live members, this daemon included.
    pub members: Gauge,
    /// The catalogue revision in force.
    pub revision: Gauge,
    /// Requests in progress.
    pub in_progress: Gauge,
    /// Time that the core took for one event.
    pub event_time: Histogram,
}

impl Default for Families {
    fn default() -> Families {
        Families {
            refusals: Family::default(),
            retries: Family::default(),
            requests: Family::default(),
            accepted: Counter::default(),
            queued: Counter::default(),
            wasted_prefill: Family::default(),
            wasted_tokens: Family::default(),
            charged_prompt: Family::default(),
            charged_generated: Family::default(),
            ttft: Family::new_with_constructor(latency),
            tbt: Family::new_with_constructor(latency),
            queue_wait: Family::new_with_constructor(latency),
            dropped: Family::default(),
            unsent: Family::default(),
            peer_bytes: Family::default(),
            peer_packets: Family::default(),
            platform: Family::default(),
            notes: Family::default(),
            members: Gauge::default(),
            revision: Gauge::default(),
            in_progress: Gauge::default(),
            event_time: Histogram::new(exponential_buckets(1e-6, 2.0, 18)),
        }
    }
}

/// From a millisecond to half a minute, in steps of about a half.
fn latency() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 1.5, 26))
}

impl Families {
    /// Puts all metrics into a registry.
    pub fn register(&self, registry: &mut Registry) {
        self.register_requests(registry);
        self.register_latencies(registry);
        self.register_fleet(registry);
    }

    fn register_requests(&self, r: &mut Registry) {
        r.register("refusals", "Calls that were refused", self.refusals.clone());
        r.register("retries", "Attempts that were followed by another", self.retries.clone());
        r.register("requests", "Requests that ended", self.requests.clone());
        r.register("accepted", "Requests accepted", self.accepted.clone());
        r.register("queued", "Requests that had to wait for capacity", self.queued.clone());
        r.register("wasted_tokens", "Generated tokens not charged", self.wasted_tokens.clone());
        let (prompt, generated) = (&self.charged_prompt, &self.charged_generated);
        r.register("charged_prompt_tokens", "Prompt tokens charged", prompt.clone());
        r.register("charged_generated_tokens", "Generated tokens charged", generated.clone());
        r.register("requests_in_progress", "Requests in progress", self.in_progress.clone());
    }

    fn register_latencies(&self, r: &mut Registry) {
        let mut seconds = |name, help, metric: &ByClass| {
            r.register_with_unit(name, help, Unit::Seconds, metric.clone());
        };
        seconds("ttft", "Time to the first token", &self.ttft);
        seconds("tbt", "Mean time between tokens of a request", &self.tbt);
        let (wait, event) = (self.queue_wait.clone(), self.event_time.clone());
        r.register_with_unit("queue_wait", "Time waited for a slot", Unit::Seconds, wait);
        r.register_with_unit("event", "Time that the core took", Unit::Seconds, event);
        let prefill = self.wasted_prefill.clone();
        r.register_with_unit("wasted_prefill", "Prefill not charged", Unit::Seconds, prefill);
    }

    fn register_fleet(&self, r: &mut Registry) {
        r.register("peer_packets_dropped", "Peers' packets dropped", self.dropped.clone());
        r.register("peer_messages_unsent", "Messages not sent to peers", self.unsent.clone());
        r.register("peer_bytes", "Bytes to and from peers", self.peer_bytes.clone());
        r.register("peer_packets", "Packets to and from peers", self.peer_packets.clone());
        r.register("platform_calls", "Calls to the platform", self.platform.clone());
        r.register("notes", "Other events of the core", self.notes.clone());
        r.register("members_live", "Live members", self.members.clone());
        r.register("catalogue_revision", "Catalogue revision in force", self.revision.clone());
    }
}
