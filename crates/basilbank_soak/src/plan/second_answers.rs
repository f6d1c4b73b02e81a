//! Endpoints that answer calls a second time.

use std::time::Duration;

use basilbank_core::state::Rng;
use basilbank_standin::managed::SecondAnswer;

use super::{Fault, Sizes};

/// Sets this stream of random numbers apart from the others.
const SECONDS: u64 = 0x7365_636f;

/// Endpoints that do so in one play.
const ENDPOINTS: usize = 3;

/// Statuses of second answers.
const STATUSES: [u16; 8] = [200, 400, 404, 408, 421, 429, 500, 503];

/// Longest time between the two answers to a call, in milliseconds.
const MAX_DELAY: u64 = 10;

/// Some endpoints answer calls a second time, in two plays of three.
pub(super) fn second_answers(seed: u64, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ SECONDS);
    if rng.index(3) == 0 {
        return Vec::new();
    }
    let fault = |_| {
        let at = sizes.traffic.mul_f64(0.5 * rng.unit());
        let time = sizes.traffic.mul_f64(0.1 + 0.2 * rng.unit());
        let endpoint = rng.index(sizes.endpoints);
        (at, Fault::AnswerTwice(endpoint, second_answer(&mut rng), time))
    };
    (0..ENDPOINTS).map(fault).collect()
}

fn second_answer(rng: &mut Rng) -> SecondAnswer {
    let delay = Duration::from_millis(rng.next_u64() % MAX_DELAY);
    SecondAnswer {
        status: STATUSES[rng.index(STATUSES.len())],
        not_executed: rng.index(2) == 0,
        has_id: rng.index(2) == 0,
        sealed: rng.index(2) == 0,
        delay: (rng.index(2) == 0).then_some(delay),
        ..SecondAnswer::failure(200)
    }
}
