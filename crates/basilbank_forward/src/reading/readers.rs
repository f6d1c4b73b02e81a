//! The readers of both topics.

use std::time::Duration;

use super::{Around, ReadEffect, ReadEvent, ReadId, reader::Reader};
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
        around: Around,
        event: ReadEvent,
        effects: &mut Vec<ReadEffect>,
    ) -> bool {
        let reader = self.0.get_mut(topic);
        let before = reader.is_lost();
        let dead = reader.step(now, around, event, effects);
        let (lost, era) = (reader.is_lost(), reader.era());
        let other = self.0.get_mut(topic.other());
        let until = other.wake_at();
        other.other_lost = lost;
        if let Some(era) = era.filter(|era| other.era().is_some_and(|known| known != *era)) {
            other.other_era(now, era);
        }
        // The list has news more often; when its connection went silent, the configuration's, whose
        // watch takes longer, probably did, too.
        if dead || lost && !before && topic == Topic::Endpoints {
            other.doubt(now);
        }
        other.wake_at() < until
    }

    /// The era in which an answer of a topic counts; `None` if it doesn't, and is not to be taken in.
    #[must_use]
    pub fn counts(&self, topic: Topic, read: ReadId, era: Option<u64>) -> Option<u64> {
        self.0.get(topic).counts(read, era)
    }

    /// When the topic needs a `Tick`.
    #[must_use]
    pub fn wake_at(&self, topic: Topic) -> Duration {
        self.0.get(topic).wake_at()
    }
}
