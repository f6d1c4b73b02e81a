//! What is done to a site, and when: the same for the same seed.

use std::time::Duration;

use basilbank_core::state::Rng;
use basilbank_standin::managed::{Misdeed, StoreFault};

use crate::proxy::Weather;

/// Faults in one play, with those that overlap.
const FAULTS: usize = 9;

/// How late the store answers when it is slow.
const SLOW: Duration = Duration::from_millis(350);

/// One thing that is done to a site.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// SIGTERM; the daemon is started again once it has ended.
    Terminate(usize),
    /// SIGKILL, and a start after the time.
    Kill(usize, Duration),
    /// SIGKILL of all daemons, and a start of all.
    KillAll,
    /// SIGSTOP, and SIGCONT after the time.
    Pause(usize, Duration),
    /// SIGHUP with changed settings.
    Reload(usize),
    /// The way from a daemon to the store.
    StoreLink(usize, Weather, Duration),
    /// The store itself.
    Store(StoreFault, Duration),
    /// The store forgets its history.
    Compact,
    /// The way to an endpoint, from all daemons.
    Link(usize, Weather, Duration),
    /// All connections to an endpoint are reset.
    Reset(usize),
    /// An endpoint misbehaves.
    Misbehave(usize, Misdeed, Duration),
    /// An endpoint drains, leaves, and another instance takes its address.
    Replace(usize),
    /// A new version of the configuration, with one route more.
    Configure,
    /// The time of day jumps at the daemon with the injected clock.
    Step(Duration),
}

/// Sizes of the site that a plan is for.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Daemons; the last one has the injected clock.
    pub daemons: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// How long callers call.
    pub traffic: Duration,
}

/// The faults with their times from the start of the traffic, in order. All are over, restarts
/// included, by the traffic's end but for what a daemon needs to come back.
#[must_use]
pub fn plan(seed: u64, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed);
    let last = sizes.traffic.mul_f64(0.7);
    let mut plan = Vec::new();
    while plan.len() < FAULTS {
        let at = last.mul_f64(rng.unit());
        plan.push((at, fault(&mut rng, sizes)));
        // Some come in series, at the same place or elsewhere.
        if rng.unit() < 0.3 {
            let soon = at + Duration::from_millis(50 + rng.next_u64() % 900);
            plan.push((soon.min(last), fault(&mut rng, sizes)));
        }
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

fn fault(rng: &mut Rng, sizes: Sizes) -> Fault {
    let daemon = rng.index(sizes.daemons);
    let endpoint = rng.index(sizes.endpoints);
    let time = Duration::from_millis(300 + rng.next_u64() % 2500);
    match rng.index(16) {
        0 | 1 => Fault::Terminate(daemon),
        2 => Fault::Kill(daemon, time),
        3 => Fault::KillAll,
        4 | 5 => Fault::Pause(daemon, time),
        6 => Fault::Reload(daemon),
        7 => Fault::StoreLink(daemon, weather(rng), time),
        8 => Fault::Store(outage(rng), time),
        9 => Fault::Compact,
        10 => Fault::Link(endpoint, weather(rng), time),
        11 => Fault::Reset(endpoint),
        12 => Fault::Misbehave(endpoint, misdeed(rng), time),
        13 => Fault::Replace(endpoint),
        14 => Fault::Configure,
        _ => Fault::Step(Duration::from_millis(rng.next_u64() % 6000)),
    }
}

fn weather(rng: &mut Rng) -> Weather {
    let delay = Weather::Delay(Duration::from_millis(5 + rng.next_u64() % 150));
    [delay, Weather::CutForth, Weather::CutBack, Weather::Silent][rng.index(4)]
}

fn outage(rng: &mut Rng) -> StoreFault {
    use StoreFault::{Busy, Closing, Lost, Silent, Slow};
    [Busy, Closing, Silent, Lost, Slow(SLOW)][rng.index(5)]
}

fn misdeed(rng: &mut Rng) -> Misdeed {
    use Misdeed::{Doubled, Error, Forgetful, Full, Garbage, Lost, Mistaken, Torn};
    [Full, Error, Lost, Torn, Doubled, Mistaken, Garbage, Forgetful][rng.index(8)]
}
