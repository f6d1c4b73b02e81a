//! Checks that the ids of a stream's events rise.

use basilbank_forward::prelude::Damage;

use crate::events::Event;

/// The ids of an answer's events must rise, whichever endpoints write them. Ids that aren't numbers are
/// not checked, since they have no order.
#[derive(Debug, Default)]
pub struct EventOrder {
    /// Id of the last event that has a number.
    last: Option<u64>,
    /// Whether an event of this attempt has had a number.
    has_begun: bool,
    misplaced: Option<MisplacedEvent>,
    gap: Option<u64>,
}

/// An event whose id doesn't follow the one before it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MisplacedEvent {
    /// Id of the event.
    pub id: u64,
    /// Id of the event before it, possibly from another endpoint.
    pub after: u64,
    /// Whether this attempt has written an event before.
    pub has_begun: bool,
}

impl MisplacedEvent {
    /// Returns what it shows of the attempt.
    #[must_use]
    pub fn damage(&self) -> Damage {
        match self.has_begun {
            true => Damage::OutOfOrder,
            false => Damage::NotResumed,
        }
    }
}

impl EventOrder {
    /// Creates a check for an attempt that is to go on after the event with this id.
    #[must_use]
    pub fn after(last_event_id: Option<&str>) -> EventOrder {
        EventOrder { last: last_event_id.and_then(parse_id), ..EventOrder::default() }
    }

    /// Checks the next event, and returns whether it belongs to the stream. After one that doesn't, none
    /// does.
    pub fn check(&mut self, event: &Event<'_>) -> bool {
        if let Some(id) = event.id.and_then(|id| parse_id(std::str::from_utf8(id).ok()?)) {
            self.check_id(id);
        }
        self.misplaced.is_none()
    }

    fn check_id(&mut self, id: u64) {
        if let Some(after) = self.last {
            if id <= after {
                let misplaced = MisplacedEvent { id, after, has_begun: self.has_begun };
                self.misplaced.get_or_insert(misplaced);
            } else if !self.has_begun {
                self.gap = Some(id - after - 1);
            }
        }
        (self.last, self.has_begun) = (Some(id), true);
    }

    /// Returns the first event that doesn't belong to the stream.
    #[must_use]
    pub fn misplaced(&self) -> Option<MisplacedEvent> {
        self.misplaced
    }

    /// Returns how many ids the first event of an attempt skipped that goes on after another one. An
    /// endpoint may number events with gaps, so the stream may be sound. Later calls return `None`.
    pub fn take_gap(&mut self) -> Option<u64> {
        self.gap.take().filter(|gap| *gap != 0)
    }
}

fn parse_id(id: &str) -> Option<u64> {
    id.trim().parse().ok()
}
