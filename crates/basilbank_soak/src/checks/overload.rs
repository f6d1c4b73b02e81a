//! What calls that crash endpoints, and crowds, may do.

use std::{collections::BTreeSet, time::Instant};

use super::{CONTACT, Evidence};
use crate::{
    callers::{Kind, Record, Seen},
    play::Trouble,
};

/// Crashes after which a call is not sent on, and how often it may be all the same.
const CRASHES: usize = 3;
const RETRIES: usize = 3;

/// The same for calls that share a part which crashes endpoints.
const PART_CRASHES: usize = 5;
const PART_CALLS: usize = 3;

/// The fewest calls that a share is taken of.
const MIN_CALLS: usize = 20;

/// The least share of sound drafts that begin beside such calls, of that at other times.
const BEGUN_SHARE: f64 = 0.5;

/// The least share of the calls that a crowded daemon reads which is served, of that at other times.
const CROWD_SHARE: f64 = 0.75;

impl Evidence<'_> {
    /// Of a call that has crashed endpoints few retries by callers still reach endpoints.
    pub(super) fn crashes(&self, findings: &mut Vec<String>) {
        let crashes = self.crashes_by(Kind::Deadly);
        let Some((third, _)) = crashes.get(CRASHES - 1) else { return };
        let late = self.late_calls(Kind::Deadly, *third + CONTACT);
        if RETRIES < late {
            findings.push(format!("CRASH {late} retries of a call after its third crash"));
        }
    }

    /// Calls that share a part which has crashed endpoints are not sent on for ever, and calls that share
    /// all else are.
    pub(super) fn crashes_by_part(&self, findings: &mut Vec<String>) {
        let crashes = self.crashes_by(Kind::DeadlyPart);
        if let Some((fifth, _)) = crashes.get(PART_CRASHES - 1) {
            let late = self.late_calls(Kind::DeadlyPart, *fifth + CONTACT);
            if PART_CALLS < late {
                findings.push(format!(
                    "CRASH {late} calls with a part that had crashed five endpoints"
                ));
            }
        }
        let Some((last, _)) = crashes.get(PART_CRASHES - 1).or(crashes.last()) else { return };
        let bad = self.records.values().filter(|record| record.kind == Kind::DeadlyPart);
        let Some(end) = bad.map(|record| record.begun).max() else { return };
        let (from, calm) = (*last + CONTACT * 2, crashes[0].0);
        let beside = self.begun_drafts(|at| from <= at && at <= end);
        let before = self.begun_drafts(|at| at < calm);
        if let (Some(beside), Some(before)) = (beside, before)
            && beside < BEGUN_SHARE * before
        {
            let what = format!("{beside:.2} of sound drafts began, {before:.2} before");
            findings.push(format!("LOST beside calls that crash endpoints {what}"));
        }
    }

    /// Of the calls that a crowded daemon reads about as many are served as at other times.
    pub(super) fn crowds(&self, findings: &mut Vec<String>) {
        for crowd in self.spans.iter().filter(|span| span.trouble == Trouble::Crowd) {
            let end = crowd.to.unwrap_or_else(Instant::now);
            let during = self.served_share(Kind::Crowd, |record| {
                record.daemon == crowd.daemon
                    && crowd.from + CONTACT <= record.begun
                    && record.begun < end
                    && self.had_store(record, record.ended)
            });
            let before = self.served_share(Kind::Sheet, |record| record.begun < crowd.from);
            if let (Some(during), Some(before)) = (during, before)
                && during < CROWD_SHARE * before
            {
                let what = format!("served {during:.2} of what it read, {before:.2} before");
                findings.push(format!("RECOVER crowded daemon {} {what}", crowd.daemon));
            }
        }
    }

    /// The crashes by calls of a kind, in order, each with the call's id.
    fn crashes_by(&self, kind: Kind) -> Vec<(Instant, &str)> {
        let crashes = self.served.iter().filter_map(|(_, served)| served.crashed.as_ref());
        let of_kind = crashes.filter(|(_, id)| self.kind_of(id) == Some(kind));
        let mut crashes: Vec<_> = of_kind.map(|(at, id)| (*at, id.as_str())).collect();
        crashes.sort();
        crashes
    }

    fn kind_of(&self, id: &str) -> Option<Kind> {
        self.records.get(id).map(|record| record.kind)
    }

    /// Calls of a kind that reach endpoints after a moment, by daemons in touch. A caller's retry is a call.
    fn late_calls(&self, kind: Kind, after: Instant) -> usize {
        let arrived = self.served.iter().flat_map(|(_, served)| &served.arrived);
        let late = arrived.filter(|arrival| {
            after < arrival.at
                && self.kind_of(&arrival.id) == Some(kind)
                && self.in_touch(&arrival.id, arrival.at)
        });
        late.map(|arrival| arrival.id.as_str()).collect::<BTreeSet<_>>().len()
    }

    /// The share of the sound drafts of some time that begin, of those that a daemon can bring to endpoints, if
    /// there are enough.
    fn begun_drafts(&self, counts: impl Fn(Instant) -> bool) -> Option<f64> {
        let drafts = self.records.values().filter(|record| {
            matches!(record.kind, Kind::Draft | Kind::Once)
                && record.resumed.is_none()
                && counts(record.begun)
                && self.in_touch(&record.id, record.begun)
                && self.has_path(record)
        });
        let (begun, all): (Vec<_>, Vec<_>) = drafts.partition(|record| 0 < record.events);
        share(begun.len(), begun.len() + all.len())
    }

    /// The share of the calls of a kind that are read which is served, if there are enough.
    fn served_share(&self, kind: Kind, counts: impl Fn(&Record) -> bool) -> Option<f64> {
        let read = self.records.values().filter(|record| {
            record.kind == kind
                && !matches!(record.seen, Seen::Closed | Seen::Unreachable)
                && counts(record)
                && self.in_touch(&record.id, record.begun)
                && self.in_touch(&record.id, record.ended)
        });
        let (served, others): (Vec<_>, Vec<_>) =
            read.partition(|record| record.seen == Seen::Served);
        share(served.len(), served.len() + others.len())
    }
}

fn share(part: usize, all: usize) -> Option<f64> {
    (MIN_CALLS <= all).then(|| part as f64 / all as f64)
}
