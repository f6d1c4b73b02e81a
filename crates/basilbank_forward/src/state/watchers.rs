//! Few daemons of a large fleet watch the store, and the others rest on their word.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::PeerAddress;

use super::{Peer, Peers, State, peers};

/// Fewer peers than these each watch the store themselves: that costs little, and each has a look of its
/// own.
const MIN_PEERS_FOR_WATCHERS: usize = 20;

/// Daemons that watch the store for a large fleet.
const WATCHERS: usize = 6;

/// Daemons that have to watch it so that the others need not: half of them, so that the store's or the
/// network's trouble with some leaves enough, and so that no single one is believed.
pub(super) const MIN_WATCHERS: usize = 3;

/// How old the word of a daemon that watches may be: three of its heartbeats, and a bit.
const MAX_WATCHER_SILENCE: Duration = Duration::from_millis(1700);

/// What the peers' word about the store is worth to this daemon.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FollowState {
    /// Enough of them watch the store, and have said lately that it answers them: what they don't tell
    /// isn't there.
    pub follows: bool,
    /// How often one of them has said that it doesn't see the store any more.
    pub watcher_losses: u32,
}

impl State {
    /// The fleet is so large that few watch the store for all.
    pub(super) fn is_large_fleet(&self) -> bool {
        MIN_PEERS_FOR_WATCHERS <= self.peers.known.len()
    }

    /// This daemon is one of the few that watch the store for a large fleet.
    ///
    /// Each takes itself for one by its place among all that it hears, so no one has to be asked; daemons
    /// that hear different ones make it one watcher more or less.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let peers = &self.peers;
        let Some(own) = peers.own_address.filter(|_| self.is_large_fleet()) else { return false };
        let Some(own) = watcher_rank(&own) else { return false };
        let is_before =
            |(at, peer): &(&SocketAddr, &Peer)| !peer.leaving && watcher_rank(at) < Some(own);
        self.leaving.is_none()
            && self.is_initialized()
            && peers.known.iter().filter(is_before).count() < WATCHERS
    }

    /// This daemon watches, and the store answers it.
    #[must_use]
    pub fn is_active_watcher(&self) -> bool {
        self.is_watcher() && !self.directory.store_lost
    }

    /// How old this daemon's view of the list of endpoints is: the time since it read the store or, if it
    /// rests on others, since as many of them as that takes have said that there is nothing new.
    #[must_use]
    pub fn view_age(&self, now: Duration) -> Duration {
        let mut watchers: Vec<_> = self.peers.known.values().filter(|peer| peer.watching).collect();
        watchers.sort_unstable_by_key(|peer| std::cmp::Reverse(peer.last_seen));
        let oldest = watchers.get(MIN_WATCHERS - 1).filter(|_| self.follow_state().follows);
        let read = self.directory.read_at;
        now.saturating_sub(oldest.map_or(read, |peer| peer.last_seen.max(read)))
    }

    /// Whether this daemon rests on the word of those that watch.
    #[must_use]
    pub fn follow_state(&self) -> FollowState {
        let Peers { known, now, watcher_losses, .. } = &self.peers;
        let is_reliable =
            |peer: &&Peer| peer.watching && *now < peer.last_seen + MAX_WATCHER_SILENCE;
        let enough = MIN_WATCHERS <= known.values().filter(is_reliable).count();
        let follows =
            enough && self.is_large_fleet() && self.is_initialized() && !self.is_watcher();
        FollowState { follows, watcher_losses: *watcher_losses }
    }
}

/// The place of a daemon among those that may watch, the same for all who hear it.
fn watcher_rank(address: &SocketAddr) -> Option<u64> {
    let PeerAddress { ip, port } = peers::to_wire(address)?;
    Some(xxhash_rust::xxh3::xxh3_64_with_seed(&ip.to_be_bytes(), port.into()))
}
