//! Decode endpoints that take few streams at once or are slow.

use std::time::Duration;

use basilbank_core::state::Rng;

use super::{Fault, Sizes};

/// Sets this stream of random numbers apart from the others.
const SHORTAGE: u64 = 0x7368_6f72;

/// Share of the play for which endpoints take few streams.
const CROWDED_FRACTION: f64 = 0.3;

/// Share of the play for which an endpoint is slow.
const SLOW_FRACTION: f64 = 0.4;

/// All decode endpoints take few streams at once, so that calls wait and are refused, in two plays of
/// three. One of them is slow, in two plays of three.
pub(super) fn shortage(seed: u64, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ SHORTAGE);
    let decode = sizes.plain + sizes.prefill..sizes.endpoints;
    let slots = 1 + rng.index(2) as u32;
    let begin = sizes.traffic.mul_f64(0.4 * rng.unit());
    let time = sizes.traffic.mul_f64(CROWDED_FRACTION);
    let is_crowded = rng.index(3) != 0;
    let all = decode.clone().filter(|_| is_crowded);
    let mut plan: Vec<_> = all.map(|place| (begin, Fault::Crowded(place, slots, time))).collect();
    let slow = decode.start + rng.index(decode.len().max(1));
    let (factor, begin) = (2 + rng.index(4) as u32, sizes.traffic.mul_f64(0.3 * rng.unit()));
    if rng.index(3) != 0 {
        plan.push((begin, Fault::Slow(slow, factor, sizes.traffic.mul_f64(SLOW_FRACTION))));
    }
    plan
}
