//! In a large fleet few daemons watch the store; the others are followers, which rely on the
//! watchers' reports.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::PeerAddress;

use super::{Peer, Peers, State, peers};

/// Minimum number of peers from which on only some daemons watch the store. With fewer peers each
/// daemon watches it itself: that costs little, and each daemon has its own view.
const MIN_PEERS_FOR_WATCHERS: usize = 20;

/// Number of daemons that watch the store for a large fleet.
const WATCHERS: usize = 6;

/// Minimum number of watchers on which followers rely. It is half of them, so that enough are left
/// when some lose contact with the store or the network, and that no single one is relied on.
pub(super) const MIN_WATCHERS: usize = 3;

/// Maximum age of a watcher's last report: slightly more than three of its heartbeats.
const MAX_WATCHER_SILENCE: Duration = Duration::from_millis(1700);

/// How far this daemon relies on its peers' reports about the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FollowState {
    /// Whether this daemon is a follower: enough peers watch the store and have recently reported
    /// that it answers them, so there is no change that they haven't reported.
    pub follows: bool,
    /// Number of times that a watcher has reported that it lost the store.
    pub watcher_losses: u32,
}

impl State {
    /// Returns whether the fleet is so large that few daemons watch the store for all.
    pub(super) fn is_large_fleet(&self) -> bool {
        MIN_PEERS_FOR_WATCHERS <= self.peers.known.len()
    }

    /// Returns whether this daemon is one of the few that watch the store for a large fleet.
    ///
    /// Each daemon decides this from its rank among all daemons that it knows, so it needn't ask
    /// any other. If daemons know different peers, there is a watcher more or less.
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

    /// Returns whether this daemon is a watcher and the store answers it on both topics: its
    /// followers rely on it for both.
    #[must_use]
    pub fn is_active_watcher(&self) -> bool {
        self.is_watcher() && !self.directory.store_lost && !self.routes_lost
    }

    /// Returns the age of this daemon's view of the list of endpoints: the time since it read the
    /// store or, if it is a follower, since the required number of watchers have reported that
    /// there is no change.
    #[must_use]
    pub fn view_age(&self, now: Duration) -> Duration {
        let mut watchers: Vec<_> = self.peers.known.values().filter(|peer| peer.watching).collect();
        watchers.sort_unstable_by_key(|peer| std::cmp::Reverse(peer.last_seen));
        let oldest = watchers.get(MIN_WATCHERS - 1).filter(|_| self.follow_state().follows);
        let read = self.directory.read_at;
        now.saturating_sub(oldest.map_or(read, |peer| peer.last_seen.max(read)))
    }

    /// Returns whether this daemon is a follower, and how often watchers have lost the store.
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

/// Returns the rank of a daemon among those that may watch the store, by which all daemons order
/// them alike.
fn watcher_rank(address: &SocketAddr) -> Option<u64> {
    let PeerAddress { ip, port } = peers::to_wire(address)?;
    Some(xxhash_rust::xxh3::xxh3_64_with_seed(&ip.to_be_bytes(), port.into()))
}
