//! Has documents checked and brings the compiled catalogue into force.

use std::{sync::Arc, time::Duration};

use super::{freshness, note};
use crate::{
    catalogue::Catalogue,
    effect::Effect,
    state::{CatalogueCheck, State, View},
    time::Now,
};

/// Minimum time between two checks, so that a burst of changes is compiled once.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which an unanswered check is requested again.
const CHECK_TIMEOUT: Duration = Duration::from_secs(30);

/// Requests a check of the newest documents if they have not been checked yet.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let store = &state.documents.store;
    let accepted = &mut state.documents.accepted;
    if let Some(check) = &accepted.check {
        if now.mono < check.started_at + CHECK_TIMEOUT {
            return;
        }
        accepted.checked_revision = accepted.checked_revision.min(check.revision.saturating_sub(1));
        accepted.check_failed();
    }
    let is_too_soon =
        0 < accepted.checked_revision && now.mono < accepted.last_check + MIN_CHECK_INTERVAL;
    if store.revision <= accepted.checked_revision || is_too_soon {
        return;
    }
    let revision = store.revision;
    accepted.begin_check(CatalogueCheck { revision, started_at: now.mono, accepted: None });
    out.push(Effect::CheckCatalogue { revision, documents: store.all() });
}

/// Brings a checked catalogue into force unless it is older than the one in force.
pub fn on_checked(
    state: &mut State,
    now: Now,
    revision: u64,
    result: Result<Arc<Catalogue>, usize>,
    out: &mut Vec<Effect>,
) {
    let documents = &mut state.documents;
    let is_pending = documents.accepted.check.as_ref().is_some_and(|c| c.revision == revision);
    match result {
        Ok(catalogue) if state.view.catalogue.revision < revision => {
            if is_pending {
                documents.accepted.check_passed(&documents.store);
            }
            state.view = View::new(catalogue);
            documents.unreported = true;
            note(out, "catalogue_in_force", vec![("revision", revision.to_string())]);
        }
        Ok(_) if is_pending => documents.accepted.check_failed(),
        Ok(_) => {}
        Err(findings) => {
            if is_pending {
                documents.accepted.check_failed();
            }
            let fields =
                vec![("revision", revision.to_string()), ("findings", findings.to_string())];
            note(out, "catalogue_rejected", fields);
        }
    }
    tick(state, now, out);
    freshness::update(state, now, out);
    super::announce(state, now, out);
}
