//! Figures of one run.

use std::time::Duration;

use basilbank_core::{naive::Naive, prelude::*};

use crate::{
    mix::START,
    world::{Ask, AskReport, Brain, End, Report, Spec, World},
};

/// After the last ask this much time is left for answers.
pub const DRAIN: Duration = Duration::from_secs(40);

/// What decides.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Version {
    /// The baseline.
    Naive,
    /// The product.
    Current,
}

impl Version {
    /// Both.
    pub const ALL: [Version; 2] = [Version::Naive, Version::Current];

    /// Its name in the figures.
    pub fn name(self) -> &'static str {
        match self {
            Version::Naive => "naive",
            Version::Current => "current",
        }
    }

    /// A spec with this version's decisions.
    pub fn set(self, spec: Spec) -> Spec {
        match self {
            Version::Naive => {
                spec.with_brain(|local, now| Box::new(Naive::new(local, now)) as Box<dyn Brain>)
            }
            Version::Current => spec,
        }
    }
}

/// Runs asks to their end.
pub fn play(spec: Spec, asks: Vec<Ask>) -> (World, Report) {
    play_with(spec, asks, |_| {})
}

/// Runs asks to their end in a world that was changed before.
pub fn play_with(spec: Spec, asks: Vec<Ask>, change: impl FnOnce(&mut World)) -> (World, Report) {
    let end = asks.iter().map(|a| a.at).max().unwrap_or(START) + DRAIN;
    let mut world = World::new(spec);
    change(&mut world);
    for ask in asks {
        world.ask(ask);
    }
    world.run_until(end);
    let report = world.report();
    (world, report)
}

/// Share of asks that were answered whole within both targets.
pub fn goodput(report: &Report, class: &Class, keep: impl Fn(&AskReport) -> bool) -> f64 {
    let all: Vec<_> = report.asks.iter().filter(|a| keep(a)).collect();
    let good = all.iter().filter(|a| a.is_good(class)).count();
    good as f64 / all.len().max(1) as f64
}

/// Share of asks that were answered whole, in time or not.
pub fn done(report: &Report, keep: impl Fn(&AskReport) -> bool) -> f64 {
    let all: Vec<_> = report.asks.iter().filter(|a| keep(a)).collect();
    let done = all.iter().filter(|a| a.end == Some(End::Done)).count();
    done as f64 / all.len().max(1) as f64
}

/// The time to the first token that a share of asks stays below; those without count as endless.
pub fn ttft_at(report: &Report, share: f64, keep: impl Fn(&AskReport) -> bool) -> Duration {
    let mut all: Vec<_> =
        report.asks.iter().filter(|a| keep(a)).map(|a| a.ttft.unwrap_or(Duration::MAX)).collect();
    all.sort_unstable();
    let index = (all.len() as f64 * share).ceil() as usize;
    all.get(index.saturating_sub(1)).copied().unwrap_or_default()
}

/// A duration as milliseconds; 999999 for endless.
pub fn millis(duration: Duration) -> u128 {
    duration.as_millis().min(999_999)
}

/// Share of prefill time of which no waiting caller got a token.
pub fn wasted(report: &Report) -> f64 {
    let spent = report.prefill_spent.as_secs_f64();
    if spent == 0.0 { 0.0 } else { 1.0 - report.prefill_used.as_secs_f64() / spent }
}
