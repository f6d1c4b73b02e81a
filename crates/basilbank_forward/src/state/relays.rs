//! Relays: the peers through which this daemon's datagrams reach another data centre.

use super::service_hash;

/// Returns the hash that identifies a data centre in messages between daemons; 0 if it has no name.
#[must_use]
pub fn data_centre_hash(name: &str) -> u32 {
    if name.is_empty() { 0 } else { service_hash(name).max(1) }
}
