//! What must hold for endpoints of several versions.

use super::{CONTACT, Evidence, of};
use crate::{
    callers::{Kind, Record, Seen},
    play::Serving,
};

/// Streams that are taken up again, and new ones, without which their shares say nothing.
const ENOUGH: usize = 10;

/// Decode endpoints of a stream's version that must serve for it to go on.
const ENDPOINTS: usize = 2;

/// Streams, and how many of them brought an event.
#[derive(Clone, Copy, Default)]
struct Count {
    all: usize,
    moved: usize,
}

impl Count {
    fn add(&mut self, record: &Record) {
        self.all += 1;
        self.moved += usize::from(record.events != 0);
    }

    fn share(self) -> f64 {
        self.moved as f64 / self.all.max(1) as f64
    }
}

impl Evidence<'_> {
    /// A prompt that one version read is not decoded at another.
    pub(super) fn kv_versions(&self, findings: &mut Vec<String>) {
        for (instance, served) in &self.served {
            let others = served.taken.iter().filter(|taken| taken.read_by != served.version);
            let mut others = others.peekable();
            let Some(first) = others.peek().map(|taken| (*taken).clone()) else { continue };
            let (count, version) = (others.count(), served.version);
            let example = format!("{}, read by {}", first.id, first.read_by);
            findings.push(format!(
                "ORDER {instance} of {version} decoded {count} prompts that another version read: {example}"
            ));
        }
    }

    /// Streams that are taken up again while their version serves go on at least half as often as new ones
    /// begin.
    pub(super) fn resumed(&self, findings: &mut Vec<String>) {
        let (mut resumed, mut new) = (Count::default(), Count::default());
        let mut stuck = None;
        for record in self.records.values().filter(|record| self.counts(record)) {
            match &record.resumed {
                None if self.serve(record, |_| true) => new.add(record),
                Some(stream) if self.serve(record, |span| span.version == stream.version) => {
                    resumed.add(record);
                    stuck = Some(record).filter(|record| record.events == 0).or(stuck);
                }
                _ => {}
            }
        }
        let is_enough = ENOUGH <= resumed.all.min(new.all);
        if is_enough && resumed.share() < new.share() / 2.0 {
            let example = stuck.map(of).unwrap_or_default();
            findings.push(format!(
                "LOST {} of {} streams that were taken up again went on, {} of {} new ones began: {example}",
                resumed.moved, resumed.all, new.moved, new.all
            ));
        }
    }

    /// A stream whose daemon had no trouble while it was called, and for some time before.
    fn counts(&self, record: &Record) -> bool {
        let is_stream = matches!(record.kind, Kind::Draft | Kind::Once);
        let is_troubled = || {
            self.spans.iter().any(|span| {
                span.daemon == record.daemon
                    && span.from <= record.ended
                    && span.to.is_none_or(|to| record.begun <= to + CONTACT)
            })
        };
        is_stream && record.seen != Seen::Unreachable && !is_troubled()
    }

    /// Enough decode endpoints served all the while, and some time before.
    fn serve(&self, record: &Record, is_meant: impl Fn(&Serving) -> bool) -> bool {
        let serves = |span: &&Serving| {
            is_meant(span)
                && span.from + CONTACT <= record.begun
                && span.to.is_none_or(|to| record.ended <= to)
        };
        ENDPOINTS <= self.serving.iter().filter(serves).count()
    }
}
