//! Endpoints whose streams don't go on where they should.

use std::time::Duration;

use basilbank_core::state::Rng;
use basilbank_standin::managed::Misdeed;

use super::{Fault, Sizes};

/// Sets this stream of random numbers apart from the others.
const MISPLACED: u64 = 0x6d69_7370;

/// Endpoints that do so in one play.
const ENDPOINTS: usize = 2;

/// Some decode endpoints begin streams anew in place of their rest, in half of the plays.
pub(super) fn misplaced(seed: u64, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ MISPLACED);
    if rng.index(2) == 0 {
        return Vec::new();
    }
    let first = sizes.plain + sizes.prefill;
    let fault = |_| {
        let at = sizes.traffic.mul_f64(0.6 * rng.unit());
        let time = sizes.traffic.mul_f64(0.05 + 0.1 * rng.unit());
        let misdeed = [Misdeed::Restarting, Misdeed::Repeating][rng.index(2)];
        (at, Fault::Misplace(first + rng.index(sizes.endpoints - first), misdeed, time))
    };
    (0..ENDPOINTS).map(fault).collect()
}
