//! Requests that are about to take over from an attempt at a silent endpoint.
//!
//! Each of them needs one call of its service's retry budget. They are counted as they come and go,
//! since each silent request is looked at several times a second.

use std::collections::HashMap;

use super::State;
use crate::call::RequestId;

/// The requests whose next attempt takes over, as [`Request::prepares_takeover`] says.
///
/// [`Request::prepares_takeover`]: super::Request::prepares_takeover
#[derive(Debug, Default)]
pub struct Takeovers {
    services: HashMap<RequestId, String>,
    counts: HashMap<String, usize>,
}

impl Takeovers {
    /// Returns the number of requests of a service, apart from one.
    #[must_use]
    pub fn count_others(&self, service: &str, id: RequestId) -> usize {
        let count = self.counts.get(service).copied().unwrap_or_default();
        let is_counted = self.services.get(&id).is_some_and(|own| own == service);
        count - usize::from(is_counted)
    }

    fn add(&mut self, id: RequestId, service: &str) {
        self.services.insert(id, service.to_owned());
        *self.counts.entry(service.to_owned()).or_default() += 1;
    }

    fn remove(&mut self, id: RequestId) {
        let Some(service) = self.services.remove(&id) else { return };
        let Some(count) = self.counts.get_mut(&service) else { return };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&service);
        }
    }
}

impl State {
    /// Counts a request, or no longer, after a change of what [`Request::prepares_takeover`] depends on.
    ///
    /// [`Request::prepares_takeover`]: super::Request::prepares_takeover
    pub(crate) fn update_takeover(&mut self, id: RequestId) {
        let request = self.requests.get(&id).filter(|request| request.prepares_takeover());
        match (request, self.takeovers.services.contains_key(&id)) {
            (Some(request), false) => self.takeovers.add(id, &request.service),
            (None, true) => self.takeovers.remove(id),
            _ => {}
        }
    }

    /// Returns the number of requests of a service that are about to take over, apart from one.
    pub(crate) fn count_other_takeovers(&self, service: &str, id: RequestId) -> usize {
        let count = self.takeovers.count_others(service, id);
        debug_assert_eq!(count, self.recount_other_takeovers(service, id));
        count
    }

    fn recount_other_takeovers(&self, service: &str, id: RequestId) -> usize {
        let others = self.requests.iter().filter(|(other, _)| **other != id);
        others.filter(|(_, r)| r.service == service && r.prepares_takeover()).count()
    }
}
