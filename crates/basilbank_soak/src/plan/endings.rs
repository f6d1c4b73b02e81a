//! Answers that break off.

use std::{ops::Range, time::Duration};

use basilbank_core::state::Rng;
use basilbank_standin::managed::{BreakKind, BreakPlace, BreakShare, Ending, Framing};

use super::{Fault, Sizes};

/// Sets this stream of random numbers apart from the others.
const ENDINGS: u64 = 0x656e_6473;

/// Series of endpoints whose answers break off.
const SERIES: usize = 4;

/// Shares of the play between two endpoints of a series: those whose answers break off, and those whose
/// processes end.
const STEP: f64 = 0.01;
const END_STEP: f64 = 0.04;

/// The endpoints of a stage frame their answers in a way one after the other, and break a share of them
/// off; so do others. Processes of decode endpoints end, and of plain ones, while the end of the connection
/// alone marks their answers. In two plays of three.
pub(super) fn endings(seed: u64, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = Rng::new(seed ^ ENDINGS);
    if rng.index(3) == 0 {
        return Vec::new();
    }
    let mut plan = Vec::new();
    for n in 0..SERIES {
        let begin = 0.6 * (n as f64 + rng.unit()) / SERIES as f64;
        plan.extend(breaks(&mut rng, sizes, begin));
    }
    let begin = 0.35 * rng.unit();
    plan.extend(ends(&mut rng, sizes, decode(sizes), begin));
    let begin = 0.35 * rng.unit();
    plan.extend(ends(&mut rng, sizes, 0..sizes.plain, begin));
    plan
}

fn decode(sizes: Sizes) -> Range<usize> {
    sizes.plain + sizes.prefill..sizes.endpoints
}

fn breaks(rng: &mut Rng, sizes: Sizes, begin: f64) -> Vec<(Duration, Fault)> {
    let (plain, prefill) = (0..sizes.plain, sizes.plain..sizes.plain + sizes.prefill);
    let stages = [plain, prefill, decode(sizes), decode(sizes)];
    let stage = stages[rng.index(stages.len())].clone();
    let ending = ending(rng, stage.start < sizes.plain);
    let one_in = 2 + rng.next_u64() % 4;
    let time = sizes.traffic.mul_f64(0.05 + 0.1 * rng.unit());
    let fault = |(n, endpoint)| {
        let share = BreakShare { one_in, seed: rng.next_u64() };
        let at = sizes.traffic.mul_f64(begin + STEP * n as f64);
        (at, Fault::EndAnswers(endpoint, ending, share, time))
    };
    stage.enumerate().map(fault).collect()
}

/// Endpoints end one after the other.
fn ends(
    rng: &mut Rng,
    sizes: Sizes,
    stage: Range<usize>,
    begin: f64,
) -> impl Iterator<Item = (Duration, Fault)> {
    let down = Duration::from_millis(300 + rng.next_u64() % 1000);
    let unmarked = Ending { framing: Some(Framing::Connection), broken: None };
    let time = sizes.traffic.mul_f64(3.0 * END_STEP);
    stage.enumerate().flat_map(move |(n, endpoint)| {
        let at = |steps: usize| sizes.traffic.mul_f64(begin + END_STEP * steps as f64);
        let frame = Fault::EndAnswers(endpoint, unmarked, BreakShare::ALL, time);
        [(at(n), frame), (at(n + 2), Fault::End(endpoint, down))]
    })
}

/// How answers are framed and break off, of all ways that can be told from a whole answer.
fn ending(rng: &mut Rng, is_plain: bool) -> Ending {
    let framing = [Framing::Length, Framing::Chunks, Framing::Connection][rng.index(3)];
    let place = [BreakPlace::Head, BreakPlace::Inside, BreakPlace::Between][rng.index(3)];
    let kind = [BreakKind::Close, BreakKind::Reset, BreakKind::Silence][rng.index(3)];
    let is_between_events = place == BreakPlace::Between || is_plain && place == BreakPlace::Inside;
    let is_unmarked = (framing, kind) == (Framing::Connection, BreakKind::Close);
    let kind = if is_unmarked && is_between_events { BreakKind::Reset } else { kind };
    Ending { framing: Some(framing), broken: Some((place, kind)) }
}
