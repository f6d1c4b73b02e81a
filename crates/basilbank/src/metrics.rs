//! Metrics in the Prometheus text format.
//!
//! Each refusal, retry, waste, outcome and dropped packet has its label from the start, so that a
//! counter that stands at zero shows, and an alert on it can be written before it first counts.

mod families;
mod labels;
mod results;

use std::{hash::Hash, time::Duration};

use basilbank_core::{
    effect::Progress,
    reason::{Outcome, Refusal, Retry, Waste},
    state::State,
};
use basilbank_wire::DropReason;
use prometheus_client::{
    encoding::text::encode,
    metrics::family::{Family, MetricConstructor},
    registry::Registry,
};

pub use self::results::{ReadResult, Unsent};
use self::{
    families::Families,
    labels::{Class, Direction, Note, PlatformCall, Reason, Role, Team},
};
use crate::{callers::EdgeRefusal, names::Names};

/// Roles whose queues are watched.
const ROLES: [&str; 3] = ["prefill", "decode", "plain"];

/// A daemon's metrics.
#[derive(Debug)]
pub struct Metrics {
    families: Families,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let families = Families::default();
        let mut registry = Registry::with_prefix("basilbank");
        families.register(&mut registry);
        let metrics = Metrics { families, registry };
        metrics.create_labels();
        metrics
    }
}

impl Metrics {
    /// All metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let encoded = encode(&mut text, &self.registry);
        debug_assert!(encoded.is_ok(), "a string takes all that is written");
        text
    }

    /// The core reported progress. Names are looked up in the catalogue in force.
    pub fn progress(&self, progress: &Progress, names: &Names) {
        let f = &self.families;
        match progress {
            Progress::Accepted { .. } => drop(f.accepted.inc()),
            Progress::Queued { .. } => drop(f.queued.inc()),
            Progress::Placed { role, waited, .. } => {
                f.queue_wait.get_or_create(&Role { role }).observe(waited.as_secs_f64());
            }
            Progress::Refused { refusal, .. } => self.refused(refusal.as_str()),
            Progress::Retried { retry, .. } => {
                f.retries.get_or_create(&Reason { reason: retry.as_str() }).inc();
            }
            Progress::FirstToken { entry, ttft, .. } => {
                let class = Class { class: names.class_of(*entry).to_owned() };
                f.ttft.get_or_create(&class).observe(ttft.as_secs_f64());
            }
            Progress::Wasted { waste, prefill_time: prefill, tokens, .. } => {
                self.wasted(*waste, *prefill, *tokens);
            }
            Progress::Settled { .. } => self.settled(progress, names),
            Progress::Note { name, .. } => {
                f.notes.get_or_create(&Note { name }).inc();
            }
        }
    }

    /// A call was refused, by the core or before it heard of it.
    pub fn refused(&self, reason: &'static str) {
        self.families.refusals.get_or_create(&Reason { reason }).inc();
    }

    /// The core took one event in.
    pub fn decided(&self, took: Duration) {
        self.families.event_time.observe(took.as_secs_f64());
    }

    /// Takes the state's figures over.
    pub fn measure(&self, state: &State) {
        let f = &self.families;
        let live = state.members.all.values().filter(|m| m.live).count();
        f.members.set(signed(live));
        f.in_progress.set(signed(state.requests.arena.len()));
        f.revision.set(i64::try_from(state.view.catalogue.revision).unwrap_or(i64::MAX));
    }

    /// A peer's packet was dropped.
    pub fn dropped(&self, reason: DropReason) {
        self.families.dropped.get_or_create(&Reason { reason: reason.as_str() }).inc();
    }

    /// Messages to a peer were not sent.
    pub fn unsent(&self, reason: Unsent, messages: usize) {
        let counter = self.families.unsent.get_or_create(&Reason { reason: reason.as_str() });
        counter.inc_by(messages as u64);
    }

    /// A packet went to a peer.
    pub fn peer_sent(&self, bytes: usize) {
        self.peer("out", bytes);
    }

    /// A packet with a right seal came from a peer.
    pub fn peer_received(&self, bytes: usize) {
        self.peer("in", bytes);
    }

    /// The platform was called.
    pub fn platform(&self, kind: &'static str, result: ReadResult) {
        let label = PlatformCall { kind, result: result.as_str() };
        self.families.platform.get_or_create(&label).inc();
    }

    fn peer(&self, direction: &'static str, bytes: usize) {
        let label = Direction { direction };
        self.families.peer_bytes.get_or_create(&label).inc_by(bytes as u64);
        self.families.peer_packets.get_or_create(&label).inc();
    }

    fn wasted(&self, waste: Waste, prefill: Duration, tokens: u32) {
        let label = Reason { reason: waste.as_str() };
        self.families.wasted_prefill.get_or_create(&label).inc_by(prefill.as_secs_f64());
        self.families.wasted_tokens.get_or_create(&label).inc_by(u64::from(tokens));
    }

    fn settled(&self, progress: &Progress, names: &Names) {
        let Progress::Settled {
            team,
            entry,
            outcome,
            prompt_tokens: prompt,
            generated_tokens: generated,
            tbt,
            ..
        } = progress
        else {
            return;
        };
        let f = &self.families;
        f.requests.get_or_create(&labels::Outcome { outcome: outcome.as_str() }).inc();
        let team = Team { team: names.team(*team).to_owned() };
        f.charged_prompt.get_or_create(&team).inc_by(u64::from(*prompt));
        f.charged_generated.get_or_create(&team).inc_by(u64::from(*generated));
        if 1 < *generated {
            let class = Class { class: names.class_of(*entry).to_owned() };
            f.tbt.get_or_create(&class).observe(tbt.as_secs_f64());
        }
    }

    /// Makes all labels that are known beforehand.
    fn create_labels(&self) {
        let f = &self.families;
        let refusals = Refusal::ALL.iter().map(|r| r.as_str());
        for reason in refusals.chain(EdgeRefusal::ALL.iter().map(|r| r.as_str())) {
            create(&f.refusals, &Reason { reason });
        }
        for retry in Retry::ALL {
            create(&f.retries, &Reason { reason: retry.as_str() });
        }
        for waste in Waste::ALL {
            create(&f.wasted_prefill, &Reason { reason: waste.as_str() });
            create(&f.wasted_tokens, &Reason { reason: waste.as_str() });
        }
        for outcome in Outcome::ALL {
            create(&f.requests, &labels::Outcome { outcome: outcome.as_str() });
        }
        self.create_fleet_labels();
    }

    fn create_fleet_labels(&self) {
        let f = &self.families;
        for reason in DropReason::ALL {
            create(&f.dropped, &Reason { reason: reason.as_str() });
        }
        for reason in Unsent::ALL {
            create(&f.unsent, &Reason { reason: reason.as_str() });
        }
        for direction in ["in", "out"] {
            create(&f.peer_bytes, &Direction { direction });
            create(&f.peer_packets, &Direction { direction });
        }
        for role in ROLES {
            create(&f.queue_wait, &Role { role });
        }
        for kind in ["range", "watch", "vms"] {
            for result in ReadResult::ALL {
                let label = PlatformCall { kind, result: result.as_str() };
                create(&f.platform, &label);
            }
        }
    }
}

/// Makes a label show before it counts.
fn create<S: Clone + Eq + Hash, M, C: MetricConstructor<M>>(family: &Family<S, M, C>, label: &S) {
    drop(family.get_or_create(label));
}

fn signed(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
