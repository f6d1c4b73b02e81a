//! What is done to a site, and when: the same for the same seed.

mod blind;
mod endings;
mod misplaced;
mod planned;
mod second_answers;
mod shortage;
mod versions;

use std::time::Duration;

use basilbank_core::state::Rng;
use basilbank_standin::managed::{
    BadEntry, BreakShare, Ending, Misdeed, SecondAnswer, StoreFault, Weather,
};

pub use self::{
    blind::Blindness,
    planned::{Routing, planned},
};
use self::{
    blind::blind, endings::endings, misplaced::misplaced, second_answers::second_answers,
    shortage::shortage, versions::versions,
};

/// Faults in one play, with those that overlap.
const FAULTS: usize = 9;

/// Troubles from the second stream of random numbers.
const MORE_FAULTS: usize = 6;

/// Sets the second stream of random numbers apart from the first one: whatever it comes to draw, a
/// seed keeps the faults of the first.
const MORE: u64 = 0x6d6f_7265;

/// The same for a third stream.
const RESTORE: u64 = 0x636f_7079;

/// The same for a fourth stream.
const OVERLOAD: u64 = 0x6c6f_6164;

/// The same for a fifth stream.
const STATED: u64 = 0x7374_6174;

/// The same for a sixth stream.
const PATHS: u64 = 0x7061_7468;

/// The same for a further stream.
const CROWDS: u64 = 0x6372_6f77;

/// Bytes a second of the narrow link to the store, from the least on.
const NARROW: (u32, u64) = (400_000, 1_000_000);

/// Routes that a long configuration has more than the one before, at most: half a megabyte.
const LONG: usize = 1500;

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
    /// The store comes back from a copy of this age; its writers write again after the time.
    Restore(Duration, Duration),
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
    /// The way from a daemon to the store has so many bytes a second, to the end.
    Narrow(usize, u32),
    /// A new version of the configuration, with so many routes more.
    Lengthen(usize),
    /// Entries of another writer name the addresses of all endpoints under other keys, for the time or
    /// to the end: daemons that start meanwhile read them with all others.
    Foreign(BadEntry, Option<Duration>),
    /// An entry of another writer takes the place of an endpoint's.
    Spoil(usize, BadEntry, Duration),
    /// An endpoint starts again under its id, and writes its entry after the time.
    Restart(usize, At, Duration),
    /// An endpoint says for the time that it takes so many calls a second only.
    Limit(usize, u32, Duration),
    /// An endpoint says in its answers alone that it leaves; after the time it has started again.
    Leave(usize, Duration),
    /// An endpoint turns work away for the time, and asks for a pause of this length each time.
    Rest(usize, Duration, Duration),
    /// An endpoint writes so many streams at once for the time, and refuses others as full.
    Crowded(usize, u32, Duration),
    /// An endpoint takes so many times as long for streams for the time.
    Slow(usize, u32, Duration),
    /// A draft that crashes each endpoint that runs it comes again and again for the time.
    Deadly(Duration),
    /// Drafts that share a part which crashes each endpoint that writes on it come for the time.
    DeadlyPart(Duration),
    /// Most new connections go to a daemon for the time.
    Crowd(usize, Duration),
    /// An endpoint frames its answers in a way for the time, and breaks a share of them off.
    EndAnswers(usize, Ending, BreakShare, Duration),
    /// An endpoint answers calls a second time for the time.
    AnswerTwice(usize, SecondAnswer, Duration),
    /// An endpoint's process ends, and starts again under its id after the time.
    End(usize, Duration),
    /// An endpoint of a stage and a version joins.
    Join(&'static str, &'static str),
    /// An endpoint drains, leaves, and another instance of a version takes its address.
    Renew(usize, &'static str),
    /// An endpoint's process ends, and starts again under its id with a version after the time.
    RestartAs(usize, &'static str, Duration),
    /// The processes of all decode endpoints of a version but so many end, and start again after the time.
    CrashVersion(&'static str, usize, Duration),
    /// The paths from some daemons, the first ones from a number on, to endpoints.
    Paths(PathCut, Weather, Duration),
    /// Several daemons read no entries.
    Blind(Blindness),
    /// An endpoint begins streams anew in place of their rest for the time.
    Misplace(usize, Misdeed, Duration),
    /// A second SIGTERM to a daemon that leaves.
    TerminateAgain(usize),
    /// SIGTERM, and another one as soon as the daemon that is started again accepts callers.
    TerminateTwice(usize),
    /// SIGHUP with another bound of retries in the settings.
    Retune(usize),
    /// A new version of the configuration, with what it says of the routes.
    Reconfigure(Routing),
    /// An endpoint drains until it has ended its streams, and another instance takes its address.
    Retire(usize),
    /// A sound endpoint sends nothing for the time, and goes on.
    Silence(usize, Duration),
    /// The time of day jumps at the daemon with the injected clock.
    Step(Duration),
}

/// Which paths from daemons to endpoints are cut.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PathCut {
    /// The first daemon.
    pub first: usize,
    /// How many daemons, from the first on and around; at least one is spared.
    pub daemons: usize,
    /// Whether the plain service's endpoints alone are concerned.
    pub plain: bool,
    /// Whether open connections are reset as the cut begins.
    pub reset: bool,
}

/// Where an endpoint starts again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum At {
    /// At its address.
    Same,
    /// At another address.
    Another,
}

/// Sizes of the site that a plan is for.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Daemons; the last one has the injected clock.
    pub daemons: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// How many of them, the first ones, serve plain calls.
    pub plain: usize,
    /// How many after those read prompts; the rest decode.
    pub prefill: usize,
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
    plan.extend(more(seed, sizes));
    plan.extend(restore(seed, sizes));
    plan.extend(overload(seed, sizes));
    plan.extend(stated(seed, sizes));
    plan.extend(paths(seed, sizes));
    plan.extend(crowds(seed, sizes));
    plan.extend(endings(seed, sizes));
    plan.extend(versions(seed, sizes));
    plan.extend(shortage(seed, sizes));
    plan.extend(second_answers(seed, sizes));
    plan.extend(blind(seed, sizes));
    plan.extend(misplaced(seed, sizes));
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// Troubles of entries, of endpoints that start again, and of long configurations over a narrow link.
fn more(seed: u64, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ MORE);
    let last = sizes.traffic.mul_f64(0.7);
    let rate = NARROW.0 + (rng.next_u64() % NARROW.1) as u32;
    let narrow = Fault::Narrow(rng.index(sizes.daemons), rate);
    let lengthen = Fault::Lengthen(1 + rng.index(LONG));
    let mut plan = vec![(Duration::ZERO, narrow), (last.mul_f64(rng.unit()), lengthen)];
    while plan.len() < 2 + MORE_FAULTS {
        let at = last.mul_f64(rng.unit());
        plan.push((at, trouble(&mut rng, sizes)));
    }
    plan
}

/// The store comes back from a copy, in two plays of three.
fn restore(seed: u64, sizes: Sizes) -> Option<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ RESTORE);
    let at = sizes.traffic.mul_f64(0.7 * rng.unit());
    let age = Duration::from_millis(200 + rng.next_u64() % 4000);
    let time = Duration::from_millis(100 + rng.next_u64() % 1500);
    (rng.index(3) != 0).then_some((at, Fault::Restore(age, time)))
}

/// An endpoint that names a limit, and a draft that crashes endpoints, each in two plays of three. Both last
/// longer than daemons may take to act on them.
fn overload(seed: u64, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ OVERLOAD);
    let (begin, time) = (sizes.traffic.mul_f64(0.2 * rng.unit()), sizes.traffic.mul_f64(0.7));
    let endpoint = rng.index(sizes.endpoints);
    let rate = 1 + rng.index(4) as u32;
    let limit = (rng.index(3) != 0).then_some((begin, Fault::Limit(endpoint, rate, time)));
    let begin = sizes.traffic.mul_f64(0.3 * rng.unit());
    let deadly = (rng.index(3) != 0).then_some((begin, Fault::Deadly(time)));
    limit.into_iter().chain(deadly).collect()
}

/// An endpoint that leaves while only its answers say so, and one that asks for pauses, each in two plays of
/// three.
fn stated(seed: u64, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ STATED);
    let begin = sizes.traffic.mul_f64(0.4 * rng.unit());
    let (endpoint, time) = (rng.index(sizes.endpoints), sizes.traffic.mul_f64(0.6));
    let leave = (rng.index(3) != 0).then_some((begin, Fault::Leave(endpoint, time)));
    let begin = sizes.traffic.mul_f64(0.5 * rng.unit());
    let pause = Duration::from_millis(500 + rng.next_u64() % 2500);
    let (endpoint, time) = (rng.index(sizes.endpoints), sizes.traffic.mul_f64(0.3));
    let rest = (rng.index(3) != 0).then_some((begin, Fault::Rest(endpoint, pause, time)));
    leave.into_iter().chain(rest).collect()
}

/// Drafts that share a bad part, in two plays of three, and a crowd at one daemon and then at another, in
/// half of them.
fn crowds(seed: u64, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ CROWDS);
    let (begin, time) = (sizes.traffic.mul_f64(0.3 * rng.unit()), sizes.traffic.mul_f64(0.7));
    let part = (rng.index(3) != 0).then_some((begin, Fault::DeadlyPart(time)));
    let (begin, time) = (sizes.traffic.mul_f64(0.1 + 0.2 * rng.unit()), sizes.traffic.mul_f64(0.3));
    let crowd = |n: usize| {
        let daemon = (seed as usize + n) % sizes.daemons;
        (begin + time.mul_f64(1.1) * n as u32, Fault::Crowd(daemon, time))
    };
    let crowds = if rng.index(2) == 0 { Vec::new() } else { vec![crowd(0), crowd(1)] };
    part.into_iter().chain(crowds).collect()
}

/// Daemons that are cut off from endpoints twice, in two plays of three.
fn paths(seed: u64, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ PATHS);
    let mut cut = |begin: f64| {
        let cut = PathCut {
            first: rng.index(sizes.daemons),
            daemons: 1 + rng.index(sizes.daemons.max(2) - 1),
            plain: rng.index(3) == 0,
            reset: rng.index(2) == 0,
        };
        let weathers = [Weather::Silent, Weather::CutForth, Weather::CutBack, Weather::Refuse];
        let at = sizes.traffic.mul_f64(begin + 0.05 * rng.unit());
        (at, Fault::Paths(cut, weathers[rng.index(4)], sizes.traffic.mul_f64(0.25)))
    };
    let cuts = vec![cut(0.05), cut(0.4)];
    if rng.index(3) == 0 { Vec::new() } else { cuts }
}

fn trouble(rng: &mut Rng, sizes: Sizes) -> Fault {
    let endpoint = rng.index(sizes.endpoints);
    let time = Duration::from_millis(300 + rng.next_u64() % 2500);
    let soon = Duration::from_millis(rng.next_u64() % 300);
    let kind = BadEntry::KINDS[rng.index(BadEntry::KINDS.len())];
    let bad = kind[rng.index(kind.len())];
    let at = [At::Same, At::Another][rng.index(2)];
    match rng.index(4) {
        0 => Fault::Foreign(bad, (rng.unit() < 0.5).then_some(time)),
        1 => Fault::Spoil(endpoint, bad, time),
        _ => Fault::Restart(endpoint, at, soon),
    }
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
