//! Plays in which only planned work happens, beside sound endpoints that fall silent for a moment.

use std::time::Duration;

use basilbank_core::state::Rng;
use basilbank_standin::managed::FIRST_VERSION;

use super::{Fault, Sizes};

/// Sets this stream of random numbers apart from the others.
const PLANNED: u64 = 0x726f_6c6c;

/// The same for silences: without them all else stays as it is.
const SILENCES: u64 = 0x7374_696c;

/// Pause between two daemons of a rolling restart, from the least on: they overlap.
const ROLL_MS: (u64, u64) = (200, 3500);

/// Pause between two versions of the configuration.
const CHANGE_MS: (u64, u64) = (500, 2000);

/// Pause between two silences.
const SILENCE_MS: (u64, u64) = (400, 1600);

/// Length of a silence.
const SILENT_MS: (u64, u64) = (500, 1000);

/// When a second SIGTERM follows the first one.
const AGAIN_MS: (u64, u64) = (1, 5000);

/// Number of endpoints that drain.
const RETIRED: usize = 2;

/// Timeouts of routes. The first ones are those at the end.
const PLAIN_TIMEOUTS_MS: [u64; 4] = [5000, 1000, 2000, 9000];
const STREAM_TIMEOUTS_MS: [u64; 4] = [14_000, 3000, 8000, 20_000];

/// Routes that a version may lack.
const PREFIXES: [&str; 4] = ["/stock/", "/sheet/", "/draft/", "/once/"];

/// Stages of endpoints of the second services.
const SECOND: [&str; 5] = ["second", "second", "second-prefill", "second-decode", "second-decode"];

/// What a version of the configuration says of the routes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Routing {
    /// Timeout of plain calls.
    pub plain: Duration,
    /// Timeout of streams.
    pub streams: Duration,
    /// Plain calls go to the second service.
    pub plain_moved: bool,
    /// Streams go to the second service.
    pub streams_moved: bool,
    /// The route that is missing.
    pub dropped: Option<&'static str>,
}

impl Routing {
    /// The configuration that a site starts with.
    pub const START: Routing = Routing {
        plain: Duration::from_secs(5),
        streams: Duration::from_secs(5),
        plain_moved: false,
        streams_moved: false,
        dropped: None,
    };
}

impl Default for Routing {
    fn default() -> Routing {
        Routing {
            plain: Duration::from_millis(PLAIN_TIMEOUTS_MS[0]),
            streams: Duration::from_millis(STREAM_TIMEOUTS_MS[0]),
            plain_moved: false,
            streams_moved: false,
            dropped: None,
        }
    }
}

/// Rolling restarts, reloads and changes of the configuration in series that overlap, endpoints that drain,
/// and silences of endpoints where they are wanted. All begin before the traffic's last third.
#[must_use]
pub fn planned(seed: u64, sizes: Sizes, has_silences: bool) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ PLANNED);
    let last = sizes.traffic.mul_f64(0.7);
    let start = Fault::Reconfigure(Routing::default());
    let mut plan = vec![(Duration::ZERO, start)];
    plan.extend(SECOND.map(|stage| (Duration::ZERO, Fault::Join(stage, FIRST_VERSION))));
    let first = rng.index(sizes.daemons);
    for (n, at) in series(&mut rng, ROLL_MS, last).into_iter().enumerate() {
        plan.extend(restart(&mut rng, (first + n) % sizes.daemons, at, last));
    }
    for at in series(&mut rng, CHANGE_MS, last) {
        let change = match rng.index(4) {
            0 => Fault::Retune(rng.index(sizes.daemons)),
            _ => Fault::Reconfigure(routing(&mut rng)),
        };
        plan.push((at, change));
    }
    for _ in 0..RETIRED {
        let at = last.mul_f64(rng.unit());
        plan.push((at, Fault::Retire(rng.index(sizes.endpoints))));
    }
    plan.push((last, start));
    if has_silences {
        plan.extend(silences(seed, sizes));
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// One daemon's restart. Some get a second SIGTERM, or one as soon as they listen again.
fn restart(rng: &mut Rng, daemon: usize, at: Duration, last: Duration) -> Vec<(Duration, Fault)> {
    let again = (at + from_least(rng, AGAIN_MS)).min(last);
    match rng.index(4) {
        0 => vec![(at, Fault::Terminate(daemon)), (again, Fault::TerminateAgain(daemon))],
        1 => vec![(at, Fault::TerminateTwice(daemon))],
        _ => vec![(at, Fault::Terminate(daemon))],
    }
}

fn routing(rng: &mut Rng) -> Routing {
    Routing {
        plain: Duration::from_millis(PLAIN_TIMEOUTS_MS[rng.index(4)]),
        streams: Duration::from_millis(STREAM_TIMEOUTS_MS[rng.index(4)]),
        plain_moved: rng.index(2) == 0,
        streams_moved: rng.index(2) == 0,
        dropped: (rng.index(3) == 0).then(|| PREFIXES[rng.index(4)]),
    }
}

fn silences(seed: u64, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ SILENCES);
    let last = sizes.traffic.mul_f64(0.7);
    let times = series(&mut rng, SILENCE_MS, last);
    let mut silence = |at| {
        let endpoint = rng.index(sizes.endpoints + SECOND.len());
        (at, Fault::Silence(endpoint, from_least(&mut rng, SILENT_MS)))
    };
    times.into_iter().map(&mut silence).collect()
}

/// Times from the play's start until `last`, with random pauses.
fn series(rng: &mut Rng, pause: (u64, u64), last: Duration) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut at = from_least(rng, pause);
    while at < last {
        times.push(at);
        at += from_least(rng, pause);
    }
    times
}

fn from_least(rng: &mut Rng, (least, more): (u64, u64)) -> Duration {
    Duration::from_millis(least + rng.next_u64() % more)
}
