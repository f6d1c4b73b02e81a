//! Daemons that read no entries while versions change.

use std::time::Duration;

use basilbank_core::state::Rng;
use basilbank_standin::managed::{FIRST_VERSION, Weather};

use super::{Fault, Sizes, crowds};

/// Sets this stream of random numbers apart from the others.
const BLIND: u64 = 0x626c_696e;

/// The version that comes meanwhile.
const NEXT: &str = "v4";

/// Daemons that lose the store at once, while the others stand still for a part of that time, so that the
/// former hear of each other alone.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Blindness {
    /// The first daemon without the store.
    pub first: usize,
    /// How many daemons, from the first on and around.
    pub daemons: usize,
    /// Their way to the store.
    pub weather: Weather,
    /// For how long.
    pub time: Duration,
    /// When the others stop after the beginning, and for how long.
    pub stop: (Duration, Duration),
    /// When all daemons are killed after the beginning, if they are.
    pub kill: Option<Duration>,
    /// When the store forgets its history, if it does.
    pub compact: Option<Duration>,
}

/// Several daemons are blind while endpoints of another version come, crash and go, in plays without a crowd:
/// a daemon that starts while it is blind can't serve one.
pub(super) fn blind(seed: u64, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ BLIND);
    if crowds(seed, sizes).iter().any(|(_, fault)| matches!(fault, Fault::Crowd(..))) {
        return Vec::new();
    }
    let begin = sizes.traffic.mul_f64(0.1 + 0.2 * rng.unit());
    let time = sizes.traffic.mul_f64(0.3);
    let mut plan = vec![
        (begin, Fault::Blind(blindness(&mut rng, sizes, time))),
        (begin, Fault::Join("prefill", NEXT)),
        (begin, Fault::Join("decode", NEXT)),
    ];
    for place in sizes.plain + sizes.prefill..sizes.endpoints {
        let version = [NEXT, FIRST_VERSION][rng.index(2)];
        plan.push((begin + time.mul_f64(0.6 * rng.unit()), Fault::Renew(place, version)));
    }
    for version in [FIRST_VERSION, NEXT] {
        let down = Duration::from_millis(300 + rng.next_u64() % 2500);
        let crash = Fault::CrashVersion(version, rng.index(2), down);
        plan.push((begin + time.mul_f64(0.2 + 0.7 * rng.unit()), crash));
    }
    plan
}

fn blindness(rng: &mut Rng, sizes: Sizes, time: Duration) -> Blindness {
    let weathers = [Weather::Silent, Weather::CutForth, Weather::CutBack, Weather::Refuse];
    let stopped_for = Duration::from_millis(1000 + rng.next_u64() % 5000);
    let mut at = |share: f64| time.mul_f64(share * rng.unit());
    let (stop, kill, compact) = ((at(0.5), stopped_for), at(1.0), at(1.0));
    Blindness {
        first: rng.index(sizes.daemons),
        daemons: 1 + rng.index(sizes.daemons),
        weather: weathers[rng.index(weathers.len())],
        time,
        stop,
        kill: (rng.index(2) == 0).then_some(kill),
        compact: (rng.index(2) == 0).then_some(compact),
    }
}
