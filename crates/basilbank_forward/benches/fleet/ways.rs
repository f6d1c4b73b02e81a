//! Other ways to keep a quota over many daemons, as models: what passes, and what is refused below it.

use std::{collections::VecDeque, time::Duration};

use basilbank_core::state::{Bucket, Rng};

/// A way.
#[derive(Clone, Copy, Debug)]
pub enum Way {
    /// Each daemon has the quota over the number of daemons.
    EvenShare,
    /// Each daemon counts all that it has heard of, with the others' sums at each heartbeat.
    Heartbeats(Duration),
}

/// What came of it.
#[derive(Default)]
pub struct Got {
    /// The most that passed in 8 s, as a part of what is allowed.
    pub worst: f64,
    /// What passed, as a part of what one bucket lets pass.
    pub used: f64,
    /// Part of the calls that were refused though one bucket would have let them pass.
    pub refused_below: f64,
}

/// Seconds of a play, and of the window.
const LASTS: f64 = 25.0;
const WINDOW: f64 = 8.0;

/// Plays calls of 3,000 to 9,000 units at random daemons: as a part of the rate 0.6 at first, then `asks`.
pub fn play(way: Way, daemons: usize, by: usize, asks: f64, rate: f64, seed: u64) -> Got {
    let mut rng = Rng::new(seed);
    let (mut got, mut ideal, mut one) = (Got::default(), 0.0, Bucket::full(rate, Duration::ZERO));
    let mut own = vec![Bucket::full(rate, Duration::ZERO); daemons];
    let mut untold = vec![0.0; daemons];
    let mut told_at = 0.0;
    let (mut window, mut sum, mut calls) = (VecDeque::new(), 0.0, 0);
    let mut at = 0.0;
    while at < LASTS {
        let load = if at < 8.0 { asks.min(0.6) } else { asks };
        at += -(1.0 - rng.unit()).ln() * 6000.0 / (rate * load);
        let now = Duration::from_secs_f64(at);
        let amount = 3000.0 + 6000.0 * rng.unit();
        let daemon = rng.index(by);
        calls += 1;
        if let Way::Heartbeats(pause) = way
            && told_at + pause.as_secs_f64() <= at
        {
            told_at = at;
            let all: f64 = untold.iter().sum();
            for (bucket, mine) in own.iter_mut().zip(&mut untold) {
                bucket.fill(rate, rate, now);
                bucket.level -= all - std::mem::take(mine);
            }
        }
        one.fill(rate, rate, now);
        let within = amount <= one.level;
        if within {
            one.level -= amount;
            ideal += amount;
        }
        let share = match way {
            Way::EvenShare => rate / daemons as f64,
            Way::Heartbeats(_) => rate,
        };
        let bucket = &mut own[daemon];
        bucket.fill(share, share, now);
        if bucket.level < 0.0 {
            got.refused_below += f64::from(u8::from(within));
            continue;
        }
        bucket.level -= amount;
        untold[daemon] += amount;
        got.used += amount;
        sum += amount;
        window.push_back((at, amount));
        while let Some((then, amount)) = window.front().copied()
            && then + WINDOW <= at
        {
            window.pop_front();
            sum -= amount;
        }
        let allowed = rate * (WINDOW + 1.0) * 1.25 + rate * 0.5;
        got.worst = got.worst.max(sum / allowed);
    }
    got.used /= ideal;
    got.refused_below /= f64::from(calls);
    got
}
