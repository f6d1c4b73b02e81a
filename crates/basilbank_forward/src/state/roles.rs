//! Which daemon orders endpoints to change their stage, and the orders that were sent.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use crate::endpoint::EndpointKey;

/// Time that a daemon which did not start with the whole system waits before its first order. A
/// previous holder of the right orders only after a read of the store within the maximum age of one, so
/// its last order is long over.
pub const ORDER_SILENCE: Duration = Duration::from_secs(10);

/// This daemon's right to send orders to endpoints.
///
/// Two daemons that send orders to one endpoint within a lease would undo each other's work, and
/// there is nothing to which they could write to exclude each other. So the right follows from
/// settings that all daemons read alike: only the daemon whose own address is the first of the
/// seeds has it. A daemon whose settings are outdated claims it as well, so a daemon with the right
/// also takes account of its peers' claims. It has the right from its process's start, or only
/// after a long silence. No other daemon takes over while it is down: the stages then stay as they
/// are.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum OrderRight {
    /// The daemon never sends orders.
    #[default]
    None,
    /// The daemon may send orders at once: the whole system starts for the first time.
    AtOnce,
    /// The daemon may send orders after a silence that is longer than the last orders of any
    /// earlier holder of the right can be delayed.
    AfterSilence,
}

/// Orders to endpoints, and the state that they depend on.
#[derive(Debug, Default)]
pub struct Roles {
    /// The right to send orders.
    pub right: OrderRight,
    /// When the right was gained.
    pub right_since: Duration,
    /// When this daemon last heard less than most of the others.
    pub isolated_at: Option<Duration>,
    /// Whether this daemon has heard most of the others since its process started.
    pub has_met: bool,
    /// Whether the settings have been applied since the process started.
    pub is_right_set: bool,
    /// When a peer that goes first last claimed the right.
    pub senior_claim: Option<Duration>,
    /// When a peer that goes after this daemon last claimed the right without yielding it.
    pub junior_claim: Option<Duration>,
    /// The peers that claimed the right, and when this daemon last heard that from them.
    pub claims: BTreeMap<SocketAddr, Duration>,
    /// Offset of the wall clock from the monotonic clock, in milliseconds, when it was last
    /// compared.
    pub clock_offset_ms: Option<i128>,
    /// Number of orders so far.
    pub order_count: u64,
    /// The last fencing number.
    pub last_fence: u64,
    /// When the last order was sent.
    pub last_order: Duration,
    /// Endpoints to which an order was sent, and when.
    pub ordered: HashMap<EndpointKey, Duration>,
    /// When the list of endpoints last grew.
    pub list_grew: Duration,
}

impl Roles {
    /// Returns the first of several peers that claim the right: another one may not hear it, and would
    /// order as well.
    #[must_use]
    pub fn disputed_by(&self, now: Duration) -> Option<SocketAddr> {
        let is_recent = |at: &Duration| now < *at + ORDER_SILENCE;
        let mut claims = self.claims.iter().filter(|(_, at)| is_recent(at));
        let first = claims.next().map(|(address, _)| *address);
        first.filter(|_| claims.next().is_some())
    }
}
