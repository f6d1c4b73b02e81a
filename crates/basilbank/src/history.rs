//! What happened to the latest requests.

use std::{
    collections::{HashMap, VecDeque},
    sync::Mutex,
    time::Duration,
};

use basilbank_core::{effect::Progress, ids::RequestId};

use crate::sync::lock;

/// Requests remembered.
const REQUESTS: usize = 2000;

/// Notes remembered of each; the latest ones, beside the first.
const NOTES: usize = 50;

/// One note: when, on the daemon's monotonic clock, and what.
#[derive(Clone, PartialEq, Debug)]
pub struct Event {
    /// When.
    pub at: Duration,
    /// What.
    pub progress: Progress,
}

/// What happened to the latest requests, for operators who ask why.
#[derive(Debug, Default)]
pub struct History {
    ring: Mutex<Ring>,
}

#[derive(Debug, Default)]
struct Ring {
    requests: HashMap<RequestId, VecDeque<Event>>,
    /// In the order of their first notes.
    order: VecDeque<RequestId>,
}

impl History {
    /// Takes a note. Notes that name no request are dropped.
    pub fn record(&self, at: Duration, progress: &Progress) {
        let Some(request) = request(progress) else { return };
        lock(&self.ring).record(request, Event { at, progress: progress.clone() });
    }

    /// What happened to a request, in order; empty when it is not remembered.
    #[must_use]
    pub fn of(&self, request: RequestId) -> Vec<Event> {
        let ring = lock(&self.ring);
        ring.requests.get(&request).map_or_else(Vec::new, |events| events.iter().cloned().collect())
    }
}

impl Ring {
    fn record(&mut self, request: RequestId, event: Event) {
        if !self.requests.contains_key(&request) {
            self.make_room();
            self.order.push_back(request);
        }
        let events = self.requests.entry(request).or_default();
        if NOTES <= events.len() {
            // The first note says whose request it is.
            events.remove(1);
        }
        events.push_back(event);
    }

    fn make_room(&mut self) {
        if self.order.len() < REQUESTS {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.requests.remove(&oldest);
        }
    }
}

/// The request that a report is about.
#[must_use]
pub fn request(progress: &Progress) -> Option<RequestId> {
    match progress {
        Progress::Accepted { request, .. }
        | Progress::Queued { request }
        | Progress::Placed { request, .. }
        | Progress::Retried { request, .. }
        | Progress::FirstToken { request, .. }
        | Progress::Wasted { request, .. }
        | Progress::Settled { request, .. } => Some(*request),
        Progress::Refused { request, .. } => *request,
        Progress::Note { fields, .. } => {
            let (_, id) = fields.iter().find(|(key, _)| *key == "request")?;
            u64::from_str_radix(id, 16).ok().map(RequestId)
        }
    }
}
