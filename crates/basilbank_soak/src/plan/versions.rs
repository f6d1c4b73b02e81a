//! Endpoints of several versions side by side.

use std::time::Duration;

use basilbank_core::state::Rng;
use basilbank_standin::managed::FIRST_VERSION;

use super::{Fault, Sizes, restore};

/// Sets this stream of random numbers apart from the others.
const VERSIONS: u64 = 0x7665_7273;

/// Versions after the first one.
const LATER: [&str; 2] = ["v2", "v3"];

/// Share of the play between two endpoints that are replaced one after the other.
const STEP: f64 = 0.08;

/// Endpoints of later versions join, others are replaced by those of a later version one after the other
/// and back, one starts again with another version, and those of a version crash: in two plays of three.
pub(super) fn versions(seed: u64, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ VERSIONS);
    if rng.index(3) == 0 {
        return Vec::new();
    }
    let later = LATER[rng.index(LATER.len())];
    let joins = [("prefill", LATER[0]), ("decode", LATER[0]), ("decode", later)];
    let mut plan: Vec<_> = joins
        .iter()
        .map(|(stage, version)| (Duration::ZERO, Fault::Join(stage, version)))
        .collect();
    plan.extend(series(&mut rng, sizes, 0.05, LATER[0]));
    if rng.index(2) == 0 {
        plan.extend(series(&mut rng, sizes, 0.35, FIRST_VERSION));
    }
    let at = sizes.traffic.mul_f64(0.1 + 0.5 * rng.unit());
    let place = decode(&mut rng, sizes);
    let version = [FIRST_VERSION, later][rng.index(2)];
    // A copy of the store would name the former version after a start under the same id.
    plan.push(match restore(seed, sizes) {
        None => (at, Fault::RestartAs(place, version, down(&mut rng))),
        Some(_) => (at, Fault::Renew(place, version)),
    });
    for _ in 0..=rng.index(2) {
        let at = sizes.traffic.mul_f64(0.2 + 0.45 * rng.unit());
        let version = [FIRST_VERSION, LATER[0]][rng.index(2)];
        plan.push((at, Fault::CrashVersion(version, rng.index(2), down(&mut rng))));
    }
    plan
}

/// Some model endpoints are replaced by those of a version, one after the other.
fn series(rng: &mut Rng, sizes: Sizes, begin: f64, to: &'static str) -> Vec<(Duration, Fault)> {
    let models = sizes.endpoints - sizes.plain;
    let begin = begin + 0.1 * rng.unit();
    let (first, count) = (rng.index(models), 2 + rng.index(2));
    let renew = |n: usize| {
        let at = sizes.traffic.mul_f64(begin + STEP * n as f64);
        (at, Fault::Renew(sizes.plain + (first + n) % models, to))
    };
    (0..count).map(renew).collect()
}

fn decode(rng: &mut Rng, sizes: Sizes) -> usize {
    let first = sizes.plain + sizes.prefill;
    first + rng.index(sizes.endpoints - first)
}

fn down(rng: &mut Rng) -> Duration {
    Duration::from_millis(300 + rng.next_u64() % 1500)
}
