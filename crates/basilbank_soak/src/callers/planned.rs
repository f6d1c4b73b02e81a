//! Callers of a play in which only planned work happens: long calls, and nobody leaves one.

use std::{sync::atomic::AtomicBool, time::Duration};

use super::{Caller, Kind, Record, Records};
use crate::streams::Events;

/// Numbers of events of a stream, each of which takes some 50 ms: from a fifth of a second to more than the
/// grace period.
const STREAMS: [u32; 7] = [4, 20, 60, 100, 150, 200, 300];

/// What callers of streams wait: most of them longer than a daemon that leaves lives.
const STREAM_PATIENCE_MS: [u64; 4] = [14_000, 14_000, 9000, 3500];

/// What callers of plain calls wait.
const PLAIN_PATIENCE_MS: [u64; 3] = [1500, 4000, 9000];

/// Longest work of an endpoint on a plain call, in milliseconds; half of the calls need none.
const WORK_MS: u64 = 1200;

impl Caller {
    pub(super) fn run_planned(self, records: &Records, stop: &AtomicBool) {
        self.run_calls(Caller::call_planned, records, stop);
    }

    fn call_planned(&mut self) -> (Record, Events) {
        let kinds = [Kind::Stock, Kind::Sheet, Kind::Draft, Kind::Once];
        let kind = kinds[[0, 0, 1, 1, 2, 2, 3][self.rng.index(7)]];
        let mut events = Events::of(STREAMS[self.rng.index(STREAMS.len())]);
        let works = self.rng.index(2) == 0;
        let work = self.rng.next_u64() % WORK_MS;
        self.work = Duration::from_millis(if works { work } else { 0 });
        let ms = match kind {
            Kind::Draft | Kind::Once => STREAM_PATIENCE_MS[self.rng.index(4)],
            _ => PLAIN_PATIENCE_MS[self.rng.index(3)],
        };
        let record = self.send(kind, &mut events, None, Duration::from_millis(ms));
        (record, events)
    }
}
