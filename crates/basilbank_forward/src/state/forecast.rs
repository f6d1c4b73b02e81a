//! Forecasts of when waiting completions start.
//!
//! Memory becomes free as running completions end. What starts in their place ends in turn, after a
//! residence time on average, so that each token of memory that has become free once continues to
//! become free at a steady rate.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::Usage;

/// Time over which the rate of arrivals is measured.
pub const ARRIVAL_WINDOW: Duration = Duration::from_secs(2);

/// Number of parts of [`ARRIVAL_WINDOW`] that are dropped one by one.
const ARRIVAL_BUCKETS: usize = 8;

/// Time after which the weight of a measured error or residence has fallen to 37%.
const MEMORY_OF_MEANS: Duration = Duration::from_secs(30);

/// Minimum margin of a forecast: a round of reports between daemons and of calls to endpoints.
const MIN_MARGIN: Duration = Duration::from_millis(100);

/// Maximum time that a forecast looks ahead. Callers wait less long.
const HORIZON: Duration = Duration::from_secs(600);

/// A forecast of one completion's start.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Forecast {
    /// When it starts; `None` if others take all memory that becomes free.
    pub start: Option<Duration>,
    /// The expected error.
    pub margin: Duration,
    /// Age of the oldest peer's report that it uses.
    pub report_age: Duration,
    /// Difference between `start` and the actual start, once that is known.
    pub error: Option<Duration>,
}

impl Forecast {
    /// Returns whether the completion starts after `latest` even if the forecast is off by its
    /// margin.
    #[must_use]
    pub fn is_after(&self, latest: Duration) -> bool {
        self.start.is_none_or(|start| latest + self.margin < start)
    }
}

/// Memory that becomes free at some time.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Release {
    /// Seconds after the supply was computed.
    at: f64,
    tokens: f64,
}

/// Memory that becomes free over time at the decode endpoints of a service.
#[derive(Clone, PartialEq, Debug)]
pub struct Supply {
    /// When it was computed.
    pub made: Duration,
    /// Age of the oldest peer's report that it uses.
    pub report_age: Duration,
    /// Memory of all endpoints, in tokens.
    pub memory: f64,
    /// Mean time in seconds for which a completion holds memory.
    residence: f64,
    /// Ends of the running completions, the first one first.
    releases: Vec<Release>,
}

impl Supply {
    /// Computes the supply from running completions that generate `rate` tokens per second each.
    /// `residence` is their measured mean time in memory, if there is one. Returns `None` if the
    /// rate isn't known or nothing runs.
    #[must_use]
    pub fn new(
        usages: impl Iterator<Item = Usage>,
        rate: f64,
        residence: Option<Duration>,
        memory: f64,
        now: Duration,
    ) -> Option<Supply> {
        if rate <= 0.0 {
            return None;
        }
        let mut releases = Vec::new();
        for usage in usages.filter(|usage| usage.calls != 0) {
            add_releases(&mut releases, usage, rate, now);
        }
        if releases.is_empty() {
            return None;
        }
        releases.sort_unstable_by(|a, b| a.at.total_cmp(&b.at));
        // Completions are at all stages, so they have half of their time left on average.
        let mean_left = releases.iter().map(|r| r.at).sum::<f64>() / releases.len() as f64;
        let residence = residence.map_or(2.0 * mean_left, |time| time.as_secs_f64()).max(0.01);
        Some(Supply { made: now, report_age: Duration::ZERO, memory, residence, releases })
    }

    /// Returns the tokens of memory per second that become free in the long run.
    #[must_use]
    pub fn steady_rate(&self) -> f64 {
        self.releases.iter().map(|release| release.tokens).sum::<f64>() / self.residence
    }

    /// Returns when `tokens` of memory have become free in addition to `taken_rate` tokens per
    /// second, which others take first. Returns `None` if that is never.
    #[must_use]
    pub fn free_at(&self, tokens: f64, taken_rate: f64) -> Option<Duration> {
        let (mut at, mut free, mut slope) = (0.0, 0.0, -taken_rate);
        for release in &self.releases {
            let step = release.at - at;
            if 0.0 < slope && tokens <= free + slope * step {
                return self.at_seconds(at + (tokens - free) / slope);
            }
            free += slope * step + release.tokens;
            at = release.at;
            slope += release.tokens / self.residence;
            if tokens <= free {
                return self.at_seconds(at);
            }
        }
        if slope <= 0.0 {
            return None;
        }
        self.at_seconds(at + (tokens - free) / slope)
    }

    fn at_seconds(&self, seconds: f64) -> Option<Duration> {
        let is_near = seconds.is_finite() && seconds <= HORIZON.as_secs_f64();
        is_near.then(|| self.made + Duration::from_secs_f64(seconds.max(0.0)))
    }
}

/// Adds the ends of the completions that a usage stands for. Those of a peer are reported together,
/// and are taken to be evenly spread over their stages.
fn add_releases(releases: &mut Vec<Release>, usage: Usage, rate: f64, now: Duration) {
    let calls = f64::from(usage.calls);
    let mean_left = usage.tokens_left(now, rate) / rate / calls;
    let tokens = f64::from(usage.tokens) / calls;
    for number in 0..usage.calls.min(MAX_CALLS_PER_USAGE) {
        let place = (f64::from(number) + 0.5) / f64::from(usage.calls.min(MAX_CALLS_PER_USAGE));
        let at = if usage.calls == 1 { mean_left } else { 2.0 * mean_left * place };
        let share = calls / f64::from(usage.calls.min(MAX_CALLS_PER_USAGE));
        releases.push(Release { at, tokens: tokens * share });
    }
}

/// Maximum number of completions that one report is divided into, whatever number a peer claims.
const MAX_CALLS_PER_USAGE: u32 = 64;

/// Arrivals in the last [`ARRIVAL_WINDOW`].
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Arrivals {
    buckets: [(u32, f64); ARRIVAL_BUCKETS],
    /// Number of the newest bucket since the clock's start.
    newest: u64,
}

impl Arrivals {
    /// Records a completion that takes `tokens` of memory.
    pub fn record(&mut self, tokens: u64, now: Duration) {
        self.advance(now);
        let bucket = &mut self.buckets[(self.newest % ARRIVAL_BUCKETS as u64) as usize];
        bucket.0 = bucket.0.saturating_add(1);
        bucket.1 += tokens as f64;
    }

    /// Returns the tokens per second that have certainly arrived, beyond chance: the measured rate
    /// less one standard deviation of the number of arrivals, if each of `daemons` daemons had as
    /// many as this one.
    #[must_use]
    pub fn certain_rate(&mut self, daemons: f64, now: Duration) -> f64 {
        let (calls, tokens) = self.totals(now);
        if calls == 0.0 {
            return 0.0;
        }
        let certain = 1.0 - 1.0 / calls.sqrt().max(1.0);
        tokens * daemons * certain / ARRIVAL_WINDOW.as_secs_f64()
    }

    /// Returns the mean tokens of a completion.
    #[must_use]
    pub fn mean_tokens(&mut self, now: Duration) -> Option<f64> {
        let (calls, tokens) = self.totals(now);
        (0.0 < calls).then(|| tokens / calls)
    }

    fn totals(&mut self, now: Duration) -> (f64, f64) {
        self.advance(now);
        let add = |sum: (f64, f64), part: &(u32, f64)| (sum.0 + f64::from(part.0), sum.1 + part.1);
        self.buckets.iter().fold((0.0, 0.0), add)
    }

    fn advance(&mut self, now: Duration) {
        let length = ARRIVAL_WINDOW / ARRIVAL_BUCKETS as u32;
        let current = (now.as_nanos() / length.as_nanos()) as u64;
        let passed = current.saturating_sub(self.newest).min(ARRIVAL_BUCKETS as u64);
        for number in 1..=passed {
            self.buckets[((current - passed + number) % ARRIVAL_BUCKETS as u64) as usize] =
                (0, 0.0);
        }
        self.newest = self.newest.max(current);
    }
}

/// A mean in which newer values have more weight.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct RecentMean {
    sum: f64,
    weight: f64,
    updated: Duration,
}

impl RecentMean {
    /// Records a value.
    pub fn record(&mut self, value: f64, now: Duration) {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let keep = (-age / MEMORY_OF_MEANS.as_secs_f64()).exp();
        self.sum = self.sum * keep + value;
        self.weight = self.weight * keep + 1.0;
        self.updated = now;
    }

    /// Returns the mean as a time, if values were recorded recently.
    #[must_use]
    pub fn time(&self, now: Duration) -> Option<Duration> {
        let is_recent = 0.0 < self.weight && now < self.updated + MEMORY_OF_MEANS;
        let mean = self.sum / self.weight;
        is_recent.then(|| Duration::try_from_secs_f64(mean).unwrap_or_default())
    }
}

/// What the forecasts for one service are based on.
#[derive(Clone, Debug, Default)]
pub struct ServiceForecast {
    /// Completions that arrived here.
    pub arrivals: Arrivals,
    /// Completions that returned here as they were told.
    pub returns: Arrivals,
    /// Mean error of the forecasts, in seconds.
    pub error: RecentMean,
    /// Mean time in seconds for which completions are generated.
    pub residence: RecentMean,
    /// The last supply that was computed.
    pub supply: Option<Arc<Supply>>,
}

impl ServiceForecast {
    /// Returns the margin of a forecast.
    #[must_use]
    pub fn margin(&self, now: Duration) -> Duration {
        self.error.time(now).unwrap_or_default().max(MIN_MARGIN)
    }
}

/// What the forecasts are based on, by service.
#[derive(Clone, Debug, Default)]
pub struct Forecasts {
    /// When the forecasts of all waiting completions are computed again.
    pub review_at: Duration,
    services: HashMap<String, ServiceForecast>,
}

impl Forecasts {
    /// Returns what a configured service's forecasts are based on.
    pub fn service(&mut self, name: &str) -> &mut ServiceForecast {
        if !self.services.contains_key(name) {
            self.services.insert(name.to_owned(), ServiceForecast::default());
        }
        self.services.entry(name.to_owned()).or_default()
    }
}
