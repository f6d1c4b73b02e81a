//! The product's core with a clock around it.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use basilbank_core::{prelude::*, reduce};

use crate::world::Brain;

thread_local! {
    static SPENT: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static EVENTS: Cell<u64> = const { Cell::new(0) };
}

struct Timed(State);

/// A core whose time is counted.
pub fn brain(local: Local, now: Now) -> Box<dyn Brain> {
    Box::new(Timed(State::new(local, now)))
}

/// Time spent in all cores, and events that they took, since this was last asked.
pub fn spent() -> (Duration, u64) {
    (SPENT.take(), EVENTS.take())
}

impl Brain for Timed {
    fn reduce(&mut self, now: Now, event: Event, out: &mut Vec<Effect>) {
        let start = Instant::now();
        reduce(&mut self.0, now, event, out);
        SPENT.set(SPENT.get() + start.elapsed());
        EVENTS.set(EVENTS.get() + 1);
    }

    fn wake_at(&self) -> Option<Duration> {
        self.0.wake_at()
    }

    fn is_ready(&self) -> bool {
        self.0.is_ready()
    }

    fn revision(&self) -> u64 {
        self.0.view.catalogue.revision
    }

    fn state(&self) -> Option<&State> {
        Some(&self.0)
    }
}
