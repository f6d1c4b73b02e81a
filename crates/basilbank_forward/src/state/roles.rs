//! Who orders endpoints' stages, and what was ordered.

use std::{collections::HashMap, time::Duration};

use crate::endpoint::EndpointKey;

/// This daemon's right to order endpoints.
///
/// Two daemons that order one endpoint within a lease undo each other's work, and nothing can be
/// written by which they could exclude each other. So the right follows from what all daemons read
/// alike: only the one whose own address stands first among the seeds has it, and it has it from
/// its process's start or never gets it without a long silence. Nobody succeeds it while it is
/// down: the stages stay as they are.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum OrderRight {
    /// It never orders.
    #[default]
    None,
    /// It may order at once: the whole system starts for the first time.
    AtOnce,
    /// It may order after a silence that is longer than any older holder's last orders can be late.
    AfterSilence,
}

/// Orders and the load that they follow.
#[derive(Debug, Default)]
pub struct Roles {
    /// The right to order.
    pub right: OrderRight,
    /// When the right was gained.
    pub right_since: Duration,
    /// The time of day less the steady clock, in milliseconds, when it was last looked at.
    pub clock_offset_ms: Option<i128>,
    /// Orders so far.
    pub order_count: u64,
    /// The last fencing number.
    pub last_fence: u64,
    /// When the last order was sent.
    pub last_order: Duration,
    /// Endpoints whose order was sent, and when.
    pub ordered: HashMap<EndpointKey, Duration>,
    /// When the list of endpoints last grew.
    pub list_grew: Duration,
}
