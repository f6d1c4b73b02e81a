//! The start of a read: why it is due, and what it asks for.

use std::time::Duration;

use super::Reader;
use crate::{
    reading::{
        Query, ReadEffect, ReadId, ReadReason, ReaderContext, Scope,
        limits::{
            HEDGE_DELAY, MAX_CHANGES_FACTOR, MAX_PAGE_BYTES, MIN_CHANGES_BYTES, READ_TIMEOUT,
            ROUTES_WAIT_FACTOR, hedge_interval,
        },
        pending::PendingRead,
    },
    topic::Topic,
};

impl Reader {
    pub(super) fn start_if_due(
        &mut self,
        now: Duration,
        context: ReaderContext,
        effects: &mut Vec<ReadEffect>,
    ) {
        if now < self.next_start() {
            return;
        }
        if self.follow_watchers(now, context) {
            return;
        }
        let is_early = std::mem::take(&mut self.is_early);
        if let Some(oldest) = self.pending.first().cloned() {
            if is_early && !self.is_lost() {
                let line = self.log_line("store_watch_stale").with("after", self.revision);
                effects.push(ReadEffect::Log(line));
            } else if !is_early {
                self.ignores_peers |= self.pending.iter().any(|pending| pending.is_prompted);
                self.mark_lost(now, &oldest, "no answer in time", effects);
            }
            self.failures += 1;
        }
        self.start(now, context, is_early, effects);
    }

    fn start(
        &mut self,
        now: Duration,
        context: ReaderContext,
        is_prompted: bool,
        effects: &mut Vec<ReadEffect>,
    ) {
        let reason = self.reason(context);
        let after = self.revision.number;
        let scope = match reason {
            ReadReason::Full => Scope::Page { page_token: self.page_token.clone() },
            // After a failure the store must not wait for a change: its answer shows that it is
            // back. If there is a change to read, lack of an answer is conclusive at once.
            ReadReason::Failure
            | ReadReason::Change
            | ReadReason::Poll
            | ReadReason::History
            | ReadReason::Confirmation => Scope::Changes { after, wait: Duration::ZERO },
            ReadReason::Watch => Scope::Changes { after, wait: self.watch_wait(now, context) },
        };
        let (wait, max_bytes) = match scope {
            Scope::Page { .. } => (Duration::ZERO, MAX_PAGE_BYTES),
            Scope::Changes { wait, .. } => (
                wait,
                self.full_read_bytes.saturating_mul(MAX_CHANGES_FACTOR).max(MIN_CHANGES_BYTES),
            ),
        };
        let margin =
            if wait.is_zero() { hedge_interval(context.peers_in_contact) } else { HEDGE_DELAY };
        let hedge_delay = wait + margin;
        let id = ReadId(self.read_count);
        self.read_count += 1;
        self.last_started = now;
        self.pending.push(PendingRead {
            id,
            started_at: now,
            hedge_at: now + hedge_delay,
            close_at: now + hedge_delay + READ_TIMEOUT,
            has_begun: false,
            bytes: 0,
            is_page: matches!(scope, Scope::Page { .. }),
            is_prompted,
            latest_change: context.latest_change,
        });
        // A hedged read starts long before the connection attempt is given up.
        effects.push(ReadEffect::Start(
            id,
            Query { scope, reason, connect_timeout: READ_TIMEOUT, max_bytes },
        ));
    }

    fn reason(&self, context: ReaderContext) -> ReadReason {
        match self.revision {
            after if after.is_none() => ReadReason::Full,
            _ if self.failures != 0 => ReadReason::Failure,
            after if after < context.latest_change => ReadReason::Change,
            // The connection was idle for long. If it died meanwhile, a watch would show that only
            // at its end.
            _ if context.is_follower || self.was_following => ReadReason::Poll,
            _ => ReadReason::Watch,
        }
    }

    /// Returns how long a watch lets the store wait.
    fn watch_wait(&self, now: Duration, context: ReaderContext) -> Duration {
        let longer =
            self.topic == Topic::Routes && context.is_shared && self.short_watches_until <= now;
        let wait = if longer {
            context.watch_wait.saturating_mul(ROUTES_WAIT_FACTOR)
        } else {
            context.watch_wait
        };
        wait.min(context.max_wait)
    }
}
