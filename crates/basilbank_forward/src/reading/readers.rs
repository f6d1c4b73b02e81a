//! The readers of both topics.

use std::time::Duration;

use super::{ReadEffect, ReadEvent, ReadId, ReaderContext, reader::Reader};
use crate::topic::{PerTopic, Topic};

/// The readers of both topics. They reach the same store over the same network path, so what one
/// learns about the store applies to the other.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Readers(PerTopic<Reader>);

impl Default for Readers {
    fn default() -> Readers {
        Readers(PerTopic {
            routes: Reader::new(Topic::Routes),
            endpoints: Reader::new(Topic::Endpoints),
        })
    }
}

impl Readers {
    /// Handles an event of a topic. Returns whether the other topic needs a `Tick` because of it.
    pub fn step(
        &mut self,
        topic: Topic,
        now: Duration,
        context: ReaderContext,
        event: ReadEvent,
        effects: &mut Vec<ReadEffect>,
    ) -> bool {
        let reader = self.0.get_mut(topic);
        let was_lost = reader.is_lost();
        let connection_died = reader.step(now, context, event, effects);
        let (lost, era) = (reader.is_lost(), reader.era());
        let other = self.0.get_mut(topic.other());
        let previous_wake = other.wake_at();
        other.is_other_lost = lost;
        if let Some(era) = era.filter(|era| other.era().is_some_and(|known| known != *era)) {
            other.handle_other_era(now, era);
        }
        // The list changes more often. If its connection has stopped answering, the
        // configuration's, whose watch takes longer, probably has, too.
        if connection_died || lost && !was_lost && topic == Topic::Endpoints {
            other.suspect_connection(now);
        }
        other.wake_at() < previous_wake
    }

    /// Returns the era in which an answer of a topic is used; `None` if the answer has to be
    /// discarded.
    #[must_use]
    pub fn accepted_era(&self, topic: Topic, read: ReadId, era: Option<u64>) -> Option<u64> {
        self.0.get(topic).accepted_era(read, era)
    }

    /// Returns since when the store hasn't answered a topic's reader; `None` while it answers.
    #[must_use]
    pub fn lost_since(&self, topic: Topic) -> Option<Duration> {
        self.0.get(topic).lost_since()
    }

    /// Returns when the topic needs a `Tick`.
    #[must_use]
    pub fn wake_at(&self, topic: Topic) -> Duration {
        self.0.get(topic).wake_at()
    }
}
