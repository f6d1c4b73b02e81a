//! The decisions under test.

use std::time::Duration;

use basilbank_core::{naive::Naive, prelude::*, reduce};

/// What decides in a daemon: the product's core, or a baseline with the same events and effects.
pub trait Brain {
    /// Takes one event in and pushes what is to be done about it.
    fn reduce(&mut self, now: Now, event: Event, out: &mut Vec<Effect>);

    /// When the next `Event::Tick` is due.
    fn wake_at(&self) -> Option<Duration>;

    /// Whether callers may be sent here.
    fn is_ready(&self) -> bool;

    /// The catalogue revision in force.
    fn revision(&self) -> u64;

    /// The product's state, if this is the product.
    fn state(&self) -> Option<&State> {
        None
    }
}

impl Brain for State {
    fn reduce(&mut self, now: Now, event: Event, out: &mut Vec<Effect>) {
        reduce(self, now, event, out);
    }

    fn wake_at(&self) -> Option<Duration> {
        State::wake_at(self)
    }

    fn is_ready(&self) -> bool {
        State::is_ready(self)
    }

    fn revision(&self) -> u64 {
        self.view.catalogue.revision
    }

    fn state(&self) -> Option<&State> {
        Some(self)
    }
}

impl Brain for Naive {
    fn reduce(&mut self, now: Now, event: Event, out: &mut Vec<Effect>) {
        Naive::reduce(self, now, event, out);
    }

    fn wake_at(&self) -> Option<Duration> {
        self.timers.next_due()
    }

    fn is_ready(&self) -> bool {
        Naive::is_ready(self)
    }

    fn revision(&self) -> u64 {
        self.view.catalogue.revision
    }
}
