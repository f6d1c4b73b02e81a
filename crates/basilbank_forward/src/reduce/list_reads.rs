//! Confirms for calls that come back that the list of endpoints is current.

use std::time::Duration;

use super::{Context, origin, records};
use crate::{
    effect::Effect,
    event::UnreadChanges,
    log_line::LogLine,
    state::list_reads::Confirmation,
    topic::{Revision, Topic},
};

/// Reads the changes that aren't known yet, unless such a read is open.
pub fn begin(ctx: &mut Context<'_>) {
    let after = ctx.state.list_reads.known_to();
    if after.is_none() || !ctx.state.list_reads.is_due(ctx.now) {
        return;
    }
    let latest_change = *ctx.state.latest_changes.get(Topic::Endpoints);
    ctx.state.list_reads.record_sent(latest_change, ctx.now);
    ctx.push(Effect::ConfirmList { after: after.number, asked_at: ctx.now });
}

/// Handles the store's answer to a read that was sent at `asked_at`.
pub fn handle(
    ctx: &mut Context<'_>,
    asked_at: Duration,
    era: Option<u64>,
    unread: Option<UnreadChanges>,
) {
    ctx.state.list_reads.record_end(asked_at);
    let known_to = ctx.state.list_reads.known_to();
    let is_same_era = era.is_none_or(|era| era == known_to.era);
    let is_confirmed = unread.filter(|_| is_same_era).is_some_and(|unread| {
        for info in unread.changes.iter().filter_map(|(_, info)| info.as_ref()) {
            records::record_former(ctx, info);
        }
        let revision = Revision { era: known_to.era, number: unread.revision };
        if unread.changes.is_empty() {
            // The next read need not begin before that: the store drops old changes.
            ctx.state.list_reads.record_read(revision);
        }
        ctx.state.list_reads.confirm(Confirmation { asked_at, revision })
    });
    if !is_confirmed {
        ctx.log(LogLine::new("list_unconfirmed").with("after", known_to));
    }
    origin::conclude_confirming(ctx, asked_at);
}
