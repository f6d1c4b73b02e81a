//! Capacity that is left to peers' more urgent completions.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::{QueuePosition, State, peers::FirstWaiting, queue_order::ServiceOrder, service_hash};
use crate::rank::Rank;

/// Maximum time for which free capacity is left to more urgent completions of peers. It bounds the
/// effect of false and outdated reports.
pub const MAX_URGENT_WAIT: Duration = Duration::from_millis(400);

/// Maximum number of peers' completions that are remembered.
const MAX_REMEMBERED: usize = 1024;

/// Maximum difference between the due times of a completion in two datagrams. Due times are
/// reported relative to the time of sending, so they differ by the delay of the datagrams.
const MAX_DUE_DIFFERENCE: Duration = Duration::from_millis(20);

/// A peer's completion to which capacity was left.
#[derive(Clone, Copy, Debug)]
struct Urgent {
    rank: Option<Rank>,
    due: Duration,
    since: Duration,
}

/// Since when capacity is left to the first waiting completion of each peer, by the peer and the
/// hash of the service's name.
#[derive(Debug, Default)]
pub struct HeldBack(HashMap<(SocketAddr, u32), Urgent>);

impl HeldBack {
    /// Returns since when capacity is left to a peer's completion; `None` if too many others are
    /// remembered.
    fn since(&mut self, peer: SocketAddr, first: &FirstWaiting, now: Duration) -> Option<Duration> {
        let key = (peer, first.service);
        let is_same = |known: &Urgent| {
            known.rank == first.rank && known.due.abs_diff(first.due) <= MAX_DUE_DIFFERENCE
        };
        if let Some(known) = self.0.get(&key).filter(|known| is_same(known)) {
            return Some(known.since);
        }
        if MAX_REMEMBERED <= self.0.len() {
            self.0.retain(|_, known| now < known.due);
        }
        if MAX_REMEMBERED <= self.0.len() && !self.0.contains_key(&key) {
            return None;
        }
        self.0.insert(key, Urgent { rank: first.rank, due: first.due, since: now });
        Some(now)
    }
}

impl State {
    /// Returns until when capacity is left to peers' more urgent completions that block one at this
    /// position and can be on time, if there are any.
    ///
    /// A large completion needs the capacity that several others leave at one endpoint, one after
    /// the other. If less urgent ones took it piece by piece, the large one would never start.
    pub fn urgent_until(
        &mut self,
        service: &str,
        own: &QueuePosition,
        now: Duration,
    ) -> Option<Duration> {
        if !self.routes.has_ranks(service) {
            return None;
        }
        let name = service_hash(service);
        let delay = self.tuning.first_token_delay;
        let latest_due = now.saturating_add(self.longest_target(service));
        let unknown = ServiceOrder::default();
        let order = self.demand.order(name).unwrap_or(&unknown);
        let reaches = self.peers.known.iter().filter(|(_, peer)| !peer.unreached.contains(&name));
        let firsts = reaches.flat_map(|(at, peer)| peer.waiting.iter().map(|first| (*at, first)));
        let blocks = |(_, first): &(SocketAddr, &FirstWaiting)| {
            let position = order.peer_position(first, now + delay, own, true);
            first.service == name
                && first.due <= latest_due
                && !position.late
                && position.rank < own.rank
                && position.blocks(own)
        };
        let held_back = &mut self.held_back;
        let until = |(at, first): (SocketAddr, &FirstWaiting)| {
            let since = held_back.since(at, first, now)?;
            Some(first.due.saturating_sub(delay).min(since.saturating_add(MAX_URGENT_WAIT)))
        };
        firsts.filter(blocks).filter_map(until).max()
    }
}
