//! Where peers were heard from.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use basilbank_core::ids::VmId;

use crate::sync::lock;

/// Most peers remembered: any one of them can send the VM list.
const MOST: usize = 64;

/// Where peers were heard from, as long as this daemon has no VM list.
///
/// A daemon that starts while the platform is down has no address of a peer. Its peers, who know it
/// from the list, send it heartbeats, and it would ask them for list and catalogue, but not know
/// where. It would show in a replaced VM that is not ready for as long as the platform is down, while
/// it counts its questions as unsent. A peer's datagrams come from the address at which it listens, so
/// that of an authentic one will do until the list is there.
#[derive(Debug, Default)]
pub struct Heard {
    is_closed: AtomicBool,
    addresses: Mutex<HashMap<VmId, SocketAddr>>,
}

impl Heard {
    /// An authentic datagram came from a peer.
    pub fn note(&self, vm: VmId, address: SocketAddr) {
        if self.is_closed.load(Ordering::Relaxed) {
            return;
        }
        let mut addresses = lock(&self.addresses);
        if addresses.len() < MOST || addresses.contains_key(&vm) {
            addresses.insert(vm, address);
        }
    }

    /// Where a peer was heard from.
    #[must_use]
    pub fn get(&self, vm: VmId) -> Option<SocketAddr> {
        if self.is_closed.load(Ordering::Relaxed) {
            return None;
        }
        lock(&self.addresses).get(&vm).copied()
    }

    /// The VM list is there: from now on it alone says where peers are.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        lock(&self.addresses).clear();
    }
}
