//! The readers of both topics.

use std::time::Duration;

use super::{ReadEffect, ReadEvent, ReadId, ReaderContext, reader::Reader};
use crate::topic::{PerTopic, Topic};

/// The readers of both topics. They ask the same store on the same way, so what one learns of it counts
/// for the other.
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
    /// Takes an event of a topic in. Returns whether the other topic has something to do by it: it then
    /// needs a `Tick`.
    pub fn step(
        &mut self,
        topic: Topic,
        now: Duration,
        context: ReaderContext,
        event: ReadEvent,
        effects: &mut Vec<ReadEffect>,
    ) -> bool {
        let reader = self.0.get_mut(topic);
        let before = reader.is_lost();
        let connection_died = reader.step(now, context, event, effects);
        let (lost, era) = (reader.is_lost(), reader.era());
        let other = self.0.get_mut(topic.other());
        let previous_wake = other.wake_at();
        other.is_other_lost = lost;
        if let Some(era) = era.filter(|era| other.era().is_some_and(|known| known != *era)) {
            other.handle_other_era(now, era);
        }
        // The list has news more often; when its connection went silent, the configuration's, whose
        // watch takes longer, probably did, too.
        if connection_died || lost && !before && topic == Topic::Endpoints {
            other.suspect_connection(now);
        }
        other.wake_at() < previous_wake
    }

    /// The era in which an answer of a topic counts; `None` if it doesn't, and is not to be taken in.
    #[must_use]
    pub fn accepted_era(&self, topic: Topic, read: ReadId, era: Option<u64>) -> Option<u64> {
        self.0.get(topic).accepted_era(read, era)
    }

    /// When the topic needs a `Tick`.
    #[must_use]
    pub fn wake_at(&self, topic: Topic) -> Duration {
        self.0.get(topic).wake_at()
    }
}
