//! Items that are sent to peers in several datagrams.

use std::{collections::VecDeque, time::Duration};

/// Maximum number of items that are kept until all repetitions have been sent.
const MAX_ITEMS: usize = 256;

/// Maximum number of items in one datagram.
const MAX_PER_DATAGRAM: usize = 48;

/// Number of datagrams that carry each item.
const REPETITIONS: u8 = 5;

/// Time from the first of these datagrams to the second, doubled for each further one. Together
/// they outlast a short loss of contact with a peer, and one lost datagram costs little time.
const FIRST_REPEAT_DELAY: Duration = Duration::from_millis(300);

/// Items that are sent to peers in several datagrams.
#[derive(Clone, Debug)]
pub struct Announcements<T>(VecDeque<Announcement<T>>);

#[derive(Clone, Debug)]
struct Announcement<T> {
    item: T,
    sent: u8,
    due: Duration,
}

impl<T> Default for Announcements<T> {
    fn default() -> Announcements<T> {
        Announcements(VecDeque::new())
    }
}

impl<T: Clone + PartialEq> Announcements<T> {
    /// Adds an item, unless it is being announced.
    pub fn push(&mut self, item: T) {
        if self.0.iter().any(|announcement| announcement.item == item) {
            return;
        }
        push_bounded(&mut self.0, Announcement { item, sent: 0, due: Duration::ZERO }, MAX_ITEMS);
    }

    /// Removes an item that a peer announces.
    pub fn remove(&mut self, item: &T) {
        self.0.retain(|announcement| announcement.item != *item);
    }

    /// Returns the items for the next datagram, and counts them as sent.
    pub fn take_due(&mut self, now: Duration) -> Vec<T> {
        let due = self.0.iter_mut().filter(|announcement| announcement.due <= now);
        let taken = due.take(MAX_PER_DATAGRAM).map(|announcement| {
            announcement.due = now + FIRST_REPEAT_DELAY.saturating_mul(1 << announcement.sent);
            announcement.sent += 1;
            announcement.item.clone()
        });
        let taken = taken.collect();
        self.0.retain(|announcement| announcement.sent < REPETITIONS);
        taken
    }
}

/// Appends an item, and removes the first one if the list already has `max` items.
pub fn push_bounded<T>(list: &mut VecDeque<T>, item: T, max: usize) {
    if list.len() == max {
        list.pop_front();
    }
    list.push_back(item);
}
