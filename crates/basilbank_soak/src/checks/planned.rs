//! What planned work may do to calls: each one that was read whole ends with a whole answer or a refusal.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{Evidence, of};
use crate::{
    callers::{Kind, Record, Seen},
    play::{Sent, Trouble, Work},
};

/// The settings' grace period.
const GRACE: Duration = Duration::from_secs(8);

/// From then on after SIGTERM a call may be cut whose endpoint is still at work: the last sixth of the grace.
const LAST_SIXTH: Duration = GRACE.saturating_sub(GRACE.checked_div(6).expect("six parts"));

/// How late after SIGTERM such a call may have been sent.
const SENT: Duration = Duration::from_secs(3);

/// How long a call that is not passed on may wait before its connection is closed.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// How much earlier than its deadline a call may end: daemons leave a margin to answer in.
const MARGIN: Duration = Duration::from_millis(60);

/// How long after it was sent a version of the configuration may not be in force yet.
const APPLY: Duration = Duration::from_secs(2);

/// When a daemon that leaves refuses calls that may outlast it, and when its last calls are cut.
const REFUSES: Duration = Duration::from_millis(2500);
const ENDS: Duration = Duration::from_millis(7400);

/// How much later it may refuse, since it learns of the signal later than it is sent.
const SIGNAL_SLACK: Duration = Duration::from_millis(100);

/// All that was seen in a play in which only planned work happened.
pub struct PlannedEvidence<'a> {
    /// What was seen in every play.
    pub seen: Evidence<'a>,
    /// What was done.
    pub work: &'a Work,
}

/// How often a play came to the cases that it is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Coverage {
    /// Calls that were sent to a daemon between 2.5 and 3.3 s after its SIGTERM and got an answer.
    pub late: usize,
    /// Those of them that reached an endpoint.
    pub late_passed: usize,
    /// Calls that were cut in the last sixth of a grace period, as they may be.
    pub cut_at_end: usize,
    /// Calls that ended without an answer at their deadline or their route's timeout.
    pub timed_out: usize,
    /// Streams that were taken up again.
    pub resumed: usize,
}

impl PlannedEvidence<'_> {
    /// What is wrong: the rule's name first.
    #[must_use]
    pub fn findings(&self) -> Vec<String> {
        let passed = self.passed();
        let mut findings = self.seen.findings();
        for record in self.seen.records.values() {
            let arrived = passed.get(record.id.as_str()).copied();
            if self.is_lost(record, arrived.is_some()) {
                let took = record.ended - record.begun;
                let what = format!("{:?} after {took:?}, {} events", record.seen, record.events);
                findings.push(format!("CUT {} {what}, {}", of(record), self.beside(record)));
            }
            if arrived.is_some_and(|at| self.is_too_late(record, at)) {
                let beside = self.beside(record);
                findings.push(format!("LATE_TAKEN {} {:?}, {beside}", of(record), record.seen));
            }
        }
        findings.sort();
        findings
    }

    /// How often the play came to the cases that it is for.
    #[must_use]
    pub fn coverage(&self) -> Coverage {
        let passed = self.passed();
        let mut coverage = Coverage::default();
        for record in self.seen.records.values() {
            let was_passed = passed.contains_key(record.id.as_str());
            let late = self.terminated(record).is_some_and(|at| at + REFUSES <= record.begun);
            let was_read = !matches!(record.seen, Seen::Unreachable | Seen::Closed);
            coverage.late += usize::from(late && was_read);
            coverage.late_passed += usize::from(late && was_passed);
            coverage.resumed += usize::from(record.resumed.is_some() && was_passed);
            if is_unanswered(record) {
                let timed_out = self.reached_deadline(record);
                coverage.timed_out += usize::from(timed_out);
                coverage.cut_at_end += usize::from(!timed_out && self.is_cut_at_end(record));
            }
        }
        coverage
    }

    /// When calls first reached an endpoint, by id.
    fn passed(&self) -> HashMap<&str, Instant> {
        let mut passed = HashMap::new();
        for arrival in self.seen.served.iter().flat_map(|(_, served)| &served.arrived) {
            let first = passed.entry(arrival.id.as_str()).or_insert(arrival.at);
            *first = arrival.at.min(*first);
        }
        passed
    }

    /// It was read whole and ended without an answer, and nothing excuses that.
    fn is_lost(&self, record: &Record, was_passed: bool) -> bool {
        let was_read = was_passed || !record.is_reset && LOSS_SLACK < record.ended - record.begun;
        is_unanswered(record)
            && was_read
            && !self.reached_deadline(record)
            && !(was_passed && self.is_cut_at_end(record))
    }

    fn reached_deadline(&self, record: &Record) -> bool {
        let timeouts = self.timeouts(record, record.begun);
        let least = timeouts.min().unwrap_or(Duration::MAX).min(record.patience);
        least.saturating_sub(MARGIN) <= record.ended - record.begun
    }

    /// Timeouts of its route in versions that may have been in force between its sending and a later moment.
    fn timeouts(&self, record: &Record, by: Instant) -> impl Iterator<Item = Duration> {
        let versions = &self.work.versions;
        let in_force = move |n: usize, sent: &Sent| {
            let next = versions.get(n + 1);
            sent.at <= by && next.is_none_or(|next| record.begun < next.at + APPLY)
        };
        let is_stream = matches!(record.kind, Kind::Draft | Kind::Once);
        versions
            .iter()
            .enumerate()
            .filter(move |(n, sent)| in_force(*n, sent))
            .map(move |(_, sent)| if is_stream { sent.routing.streams } else { sent.routing.plain })
    }

    /// The SIGTERM after which its daemon had the call, or in the course of it.
    fn terminated(&self, record: &Record) -> Option<Instant> {
        let leaving = self.seen.spans.iter().filter(|span| {
            span.daemon == record.daemon
                && span.trouble == Trouble::Leaving
                && span.from <= record.ended
                && span.to.is_none_or(|to| record.begun <= to)
        });
        leaving.map(|span| span.from).max()
    }

    fn is_cut_at_end(&self, record: &Record) -> bool {
        self.terminated(record)
            .is_some_and(|at| record.begun <= at + SENT && at + LAST_SIXTH <= record.ended)
    }

    /// It was sent to a daemon that leaves and may outlast it. The daemon read it before it arrived at an
    /// endpoint.
    fn is_too_late(&self, record: &Record, arrived: Instant) -> bool {
        let timeouts = self.timeouts(record, arrived);
        let least = timeouts.min().unwrap_or(Duration::MAX).min(record.patience);
        let deadline = record.begun + least.saturating_sub(MARGIN);
        self.terminated(record)
            .is_some_and(|at| at + REFUSES + SIGNAL_SLACK < record.begun && at + ENDS < deadline)
    }

    /// What happened at its end, for the log.
    fn beside(&self, record: &Record) -> String {
        let since = |at: Instant| record.ended.saturating_duration_since(at);
        let mut beside = Vec::new();
        if let Some(at) = self.terminated(record) {
            let sent = record.begun.saturating_duration_since(at);
            beside.push(format!("sent {sent:?} and ended {:?} after SIGTERM", since(at)));
        }
        let version = self.work.versions.iter().rfind(|sent| sent.at <= record.ended);
        beside.extend(version.map(|sent| format!("version sent {:?} before", since(sent.at))));
        let silences = self.work.silences.iter().filter(|silence| {
            silence.from <= record.ended && record.ended <= silence.to + LOSS_SLACK
        });
        beside
            .extend(silences.map(|s| format!("place {} silent for {:?}", s.place, since(s.from))));
        beside.join(", ")
    }
}

fn is_unanswered(record: &Record) -> bool {
    matches!(record.seen, Seen::Closed | Seen::Broken | Seen::Nothing)
}
