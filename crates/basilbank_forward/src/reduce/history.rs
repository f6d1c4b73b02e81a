//! Learns from the store which versions of endpoints' software served before this daemon started.
//!
//! After all daemons have restarted none remembers a version whose last endpoint went before. The
//! store still has the changes of the list from that time. It is asked when a stream comes back that
//! nobody knows.

use std::time::Duration;

use super::{Context, origin};
use crate::{
    call::RequestId,
    effect::Effect,
    event::HistoryAnswer,
    log_line::LogLine,
    state::{
        State,
        history::{History, Search},
        requests::OriginStage,
    },
};

/// Time that a call waits for the store beyond the time that it waits for peers, who are asked at the
/// same time. A sound store answers a dozen reads in both.
const TIMEOUT: Duration = Duration::from_millis(60);

/// Asks the store, unless it was asked or somebody remembers.
pub fn begin(ctx: &mut Context<'_>) {
    let newest = ctx.state.directory.revision;
    let is_needed = ctx.state.needs_history(ctx.now);
    if !newest.is_none() && is_needed && ctx.state.history.is_due(ctx.now) {
        let search = Search::new(newest);
        ctx.push(Effect::ReadHistory { after: search.after() });
        ctx.state.history = History::Searching(search);
    }
}

impl State {
    /// Returns whether the time before this daemon's start matters, and nobody has told of it.
    pub(super) fn needs_history(&self, now: Duration) -> bool {
        let has_several = self.has_several_versions(now) && !self.assignments.is_known(now);
        has_several || !self.remembers_versions(now)
    }
}

/// Returns whether a call waits for the store.
pub fn awaits(ctx: &mut Context<'_>, id: RequestId) -> bool {
    begin(ctx);
    if !ctx.state.history.is_open() {
        return false;
    }
    let Some(request) = ctx.state.requests.get_mut(&id) else { return false };
    let until = match request.origin {
        OriginStage::Reading { until } => return ctx.now < until,
        OriginStage::Asked { until, .. } => until + TIMEOUT,
        OriginStage::New | OriginStage::Confirming { .. } | OriginStage::Settled => {
            ctx.now + origin::ANSWER_TIMEOUT + TIMEOUT
        }
    };
    request.origin = OriginStage::Reading { until };
    ctx.set_timer(id, until);
    true
}

/// Handles the store's answer, and asks for older changes if there may be some.
pub fn handle(ctx: &mut Context<'_>, era: Option<u64>, answer: HistoryAnswer) {
    let mut search = match std::mem::take(&mut ctx.state.history) {
        History::Searching(search) => search,
        // An answer to a search that was given up.
        other => return ctx.state.history = other,
    };
    let is_same_era = era.is_none_or(|era| era == search.era());
    let changes = match answer {
        HistoryAnswer::Changes(changes) if is_same_era => Some(changes),
        HistoryAnswer::Gone if is_same_era => None,
        _ => {
            ctx.state.history = History::Failed { at: ctx.now };
            ctx.log(LogLine::new("list_history").with("outcome", "failed"));
            return origin::conclude_reading(ctx);
        }
    };
    if search.handle(changes) {
        ctx.push(Effect::ReadHistory { after: search.after() });
        ctx.state.history = History::Searching(search);
        return;
    }
    ctx.state.history = History::Read { after: search.known_after() };
    record(ctx, search);
    origin::conclude_reading(ctx);
}

/// Records the versions that the changes name, and whether an endpoint of an unknown one has gone.
fn record(ctx: &mut Context<'_>, search: Search) {
    let State { versions, assignments, directory, .. } = &mut *ctx.state;
    let (mut records, mut unknown) = (0, 0);
    for (instance, changes) in search.into_changes() {
        assignments.record_history(&instance, &changes, ctx.now);
        let is_listed = directory.listed().any(|(_, endpoint)| endpoint.info.instance == instance);
        let has_left_since = !is_listed && versions.has_seen(&instance);
        // The version of the record that a removal ends; `None` if it was written too long ago.
        let mut is_known = has_left_since;
        for change in changes {
            match change {
                Some(info) => {
                    versions.record_former(&info, ctx.now);
                    (records, is_known) = (records + 1, true);
                }
                None if !std::mem::take(&mut is_known) => {
                    versions.record_unknown(ctx.now);
                    assignments.record_unknown(ctx.now);
                    unknown += 1;
                }
                None => {}
            }
        }
    }
    ctx.log(
        LogLine::new("list_history")
            .with("outcome", "read")
            .with("records", records)
            .with("unknown", unknown),
    );
}
