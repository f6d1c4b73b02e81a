//! Items that are sent to peers in several datagrams.

use std::{collections::VecDeque, time::Duration};

/// Maximum number of items that are kept until all repetitions have been sent.
const MAX_ITEMS: usize = 1024;

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
    /// Adds an item, unless it is being announced. Returns `false` if another one was dropped for it.
    #[must_use]
    pub fn push(&mut self, item: T) -> bool {
        if self.0.iter().any(|announcement| announcement.item == item) {
            return true;
        }
        push_bounded(&mut self.0, Announcement { item, sent: 0, due: Duration::ZERO }, MAX_ITEMS)
    }

    /// Returns whether an item hasn't been sent at all.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.0.iter().any(|announcement| announcement.sent == 0)
    }

    /// Removes an item that a peer announces.
    pub fn remove(&mut self, item: &T) {
        self.0.retain(|announcement| announcement.item != *item);
    }

    /// Returns the items for the next datagram, and counts them as sent. They have `max_bytes` at most
    /// in all, unless the first one alone has more.
    pub fn take_due(
        &mut self,
        now: Duration,
        max_bytes: usize,
        bytes: impl Fn(&T) -> usize,
    ) -> Vec<T> {
        let mut taken = Vec::new();
        let mut total = 0;
        for announcement in self.0.iter_mut().filter(|announcement| announcement.due <= now) {
            total += bytes(&announcement.item);
            if max_bytes < total && !taken.is_empty() {
                break;
            }
            announcement.due = now + FIRST_REPEAT_DELAY.saturating_mul(1 << announcement.sent);
            announcement.sent += 1;
            taken.push(announcement.item.clone());
        }
        self.0.retain(|announcement| announcement.sent < REPETITIONS);
        taken
    }
}

/// Appends an item, and removes the first one if the list already has `max` items. Returns `false` if it
/// did.
pub fn push_bounded<T>(list: &mut VecDeque<T>, item: T, max: usize) -> bool {
    let is_full = list.len() == max;
    if is_full {
        list.pop_front();
    }
    list.push_back(item);
    !is_full
}
