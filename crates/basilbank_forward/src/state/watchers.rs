//! Few daemons of a large fleet watch the store, and the others rest on their word.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::PeerAddress;

use super::{Peer, Peers, State, peers};

/// Fewer peers than these each watch the store themselves: that costs little, and each has a look of its
/// own.
const FEW_PEERS: usize = 20;

/// Daemons that watch the store for a large fleet.
const WATCHERS: usize = 6;

/// Daemons that have to watch it so that the others need not: half of them, so that the store's or the
/// network's trouble with some leaves enough, and so that no single one is believed.
pub(super) const WATCHERS_LEAST: usize = 3;

/// How old the word of a daemon that watches may be: three of its heartbeats, and a bit.
const WATCHER_SILENCE: Duration = Duration::from_millis(1700);

/// What the peers' word about the store is worth to this daemon.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Rest {
    /// Enough of them watch the store, and have said lately that it answers them: what they don't tell
    /// isn't there.
    pub follows: bool,
    /// How often one of them has said that it doesn't see the store any more.
    pub doubts: u32,
}

impl State {
    /// The fleet is so large that few watch the store for all.
    pub(super) fn is_large(&self) -> bool {
        FEW_PEERS <= self.peers.known.len()
    }

    /// This daemon is one of the few that watch the store for a large fleet.
    ///
    /// Each takes itself for one by its place among all that it hears, so no one has to be asked; daemons
    /// that hear different ones make it one watcher more or less.
    #[must_use]
    pub fn watches(&self) -> bool {
        let peers = &self.peers;
        let Some(own) = peers.own.filter(|_| self.is_large()) else { return false };
        let Some(own) = watch_rank(&own) else { return false };
        let before =
            |(at, peer): &(&SocketAddr, &Peer)| !peer.leaving && watch_rank(at) < Some(own);
        self.leaving.is_none()
            && self.knows()
            && peers.known.iter().filter(before).count() < WATCHERS
    }

    /// This daemon watches, and the store answers it.
    #[must_use]
    pub fn sees_store(&self) -> bool {
        self.watches() && !self.directory.lost
    }

    /// How old this daemon's view of the list of endpoints is: the time since it read the store or, if it
    /// rests on others, since as many of them as that takes have said that there is nothing new.
    #[must_use]
    pub fn view_age(&self, now: Duration) -> Duration {
        let mut words: Vec<_> = self.peers.known.values().filter(|peer| peer.watching).collect();
        words.sort_unstable_by_key(|peer| std::cmp::Reverse(peer.heard));
        let word = words.get(WATCHERS_LEAST - 1).filter(|_| self.rests().follows);
        let read = self.directory.read_at;
        now.saturating_sub(word.map_or(read, |peer| peer.heard.max(read)))
    }

    /// Whether this daemon rests on the word of those that watch.
    #[must_use]
    pub fn rests(&self) -> Rest {
        let Peers { known, now, doubts, .. } = &self.peers;
        let sound = |peer: &&Peer| peer.watching && *now < peer.heard + WATCHER_SILENCE;
        let enough = WATCHERS_LEAST <= known.values().filter(sound).count();
        let follows = enough && self.is_large() && self.knows() && !self.watches();
        Rest { follows, doubts: *doubts }
    }
}

/// The place of a daemon among those that may watch, the same for all who hear it.
fn watch_rank(address: &SocketAddr) -> Option<u64> {
    let PeerAddress { ip, port } = peers::to_wire(address)?;
    Some(xxhash_rust::xxh3::xxh3_64_with_seed(&ip.to_be_bytes(), port.into()))
}
