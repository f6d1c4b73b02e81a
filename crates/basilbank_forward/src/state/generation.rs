//! Measurements of how fast the endpoints of a service generate.

use std::time::Duration;

/// Number of completions after which the weight of a measurement is halved. A change of the traffic
/// or of the engines shows after some tens of completions of the whole fleet.
const HALF_LIFE_COMPLETIONS: f64 = 16.0;

/// Minimum and maximum plausible rate of one completion: those of a large model on a full engine,
/// and of a small model alone on one. A rate outside of them means that the estimates or the clock
/// are wrong.
const PLAUSIBLE_TOKENS_PER_SECOND: (f64, f64) = (1.0, 100_000.0);

/// Maximum number of tokens of one completion.
const MAX_TOKENS: f64 = 1e6;

/// Maximum time in seconds that the generation of one completion takes.
const MAX_SECONDS: f64 = 3600.0;

/// Maximum sum of the weights of all completions, the newest of which has a weight of 1.
const MAX_WEIGHTS: f64 = 24.0;

/// Maximum [`GenerationStats::tokens`].
pub const MAX_SUM_TOKENS: f64 = MAX_WEIGHTS * MAX_TOKENS;

/// Maximum [`GenerationStats::seconds`].
pub const MAX_SUM_SECONDS: f64 = MAX_WEIGHTS * MAX_SECONDS;

/// Maximum sum of the squares of estimates, or of their errors.
pub const MAX_SQUARES: f64 = MAX_WEIGHTS * MAX_TOKENS * MAX_TOKENS;

/// Relative error of the estimates that is assumed until completions have ended: estimates are
/// often far off.
const INITIAL_RELATIVE_ERROR: f64 = 0.5;

/// Sums over completed generations, in which newer ones have more weight.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct GenerationStats {
    /// Generated tokens, by the callers' estimates.
    pub tokens: f64,
    /// Seconds from the first token to the end.
    pub seconds: f64,
    /// Squares of the estimates that could be compared with the generated length.
    pub squared_estimates: f64,
    /// Squares of the errors of these estimates.
    pub squared_errors: f64,
}

impl GenerationStats {
    /// Records a completion that has ended. `tokens` is the caller's estimate, and `rate` the
    /// number of tokens per second that was known before; zero when none was.
    pub fn record(&mut self, tokens: u32, took: Duration, rate: f64) {
        let keep = 0.5_f64.powf(1.0 / HALF_LIFE_COMPLETIONS);
        let (tokens, took) = (f64::from(tokens), took.as_secs_f64());
        self.tokens = self.tokens * keep + tokens;
        self.seconds = self.seconds * keep + took;
        if rate != 0.0 {
            let error = tokens - took * rate;
            self.squared_estimates = self.squared_estimates * keep + tokens * tokens;
            self.squared_errors = self.squared_errors * keep + error * error;
        }
    }

    /// Returns the sums of both. Invalid values of `other` are ignored.
    #[must_use]
    pub fn merge(self, other: GenerationStats) -> GenerationStats {
        let is_valid = |value: f64| value.is_finite() && 0.0 <= value;
        let values = [other.tokens, other.seconds, other.squared_estimates, other.squared_errors];
        if !values.into_iter().all(is_valid) {
            return self;
        }
        GenerationStats {
            tokens: self.tokens + other.tokens,
            seconds: self.seconds + other.seconds,
            squared_estimates: self.squared_estimates + other.squared_estimates,
            squared_errors: self.squared_errors + other.squared_errors,
        }
    }

    /// Returns the error of the estimates as a fraction of them.
    #[must_use]
    pub fn relative_error(&self) -> f64 {
        let is_known = 0.0 < self.squared_estimates;
        let error = if is_known {
            (self.squared_errors / self.squared_estimates).sqrt()
        } else {
            INITIAL_RELATIVE_ERROR
        };
        error.min(1.0)
    }

    /// Returns the number of tokens per second of one completion. It is zero until a completion has
    /// ended, so that all completions count as if they had just started.
    #[must_use]
    pub fn tokens_per_second(&self) -> f64 {
        if self.seconds <= 0.0 {
            return 0.0;
        }
        (self.tokens / self.seconds)
            .clamp(PLAUSIBLE_TOKENS_PER_SECOND.0, PLAUSIBLE_TOKENS_PER_SECOND.1)
    }
}
