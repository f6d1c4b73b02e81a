//! Questions about the state, answered by the event loop.

use std::{
    sync::mpsc::{Receiver, Sender, channel, sync_channel},
    time::Duration,
};

use basilbank_core::{event::Event, state::State};

/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// A question about the state, answered between two events.
pub type Query = Box<dyn FnOnce(&State) + Send>;

/// Asks the event loop. The state itself stays on its thread, without a lock around it.
#[derive(Clone, Debug)]
pub struct Queries {
    queries: Sender<Query>,
    events: Sender<Event>,
}

/// A way to ask, and where the event loop finds the questions.
#[must_use]
pub fn queries(events: Sender<Event>) -> (Queries, Receiver<Query>) {
    let (queries, questions) = channel();
    (Queries { queries, events }, questions)
}

impl Queries {
    /// Asks, and waits for the answer. `None` when the event loop has ended or is stuck.
    pub fn ask<T: Send + 'static>(
        &self,
        question: impl FnOnce(&State) -> T + Send + 'static,
    ) -> Option<T> {
        let (answer, answered) = sync_channel(1);
        let query = move |state: &State| {
            let _ = answer.send(question(state));
        };
        self.queries.send(Box::new(query)).ok()?;
        // The loop looks for questions after each event; this one wakes it.
        self.events.send(Event::Tick).ok()?;
        answered.recv_timeout(PATIENCE).ok()
    }
}
