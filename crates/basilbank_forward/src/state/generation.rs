//! How fast endpoints of a service generate.

use std::time::Duration;

/// Drafts after which a measurement counts half: a change of the traffic or of the engines shows
/// after some tens of drafts of the whole fleet.
const HALF_LIFE_COMPLETIONS: f64 = 16.0;

/// Bounds of a believable pace, in tokens a second for one draft: a large model on a full engine, and a
/// small one alone. A pace beyond them says that the estimates or the clock are wrong.
const PLAUSIBLE_TOKENS_PER_SECOND: (f64, f64) = (1.0, 100_000.0);

/// What is assumed of the estimates until drafts have ended: they are often far off.
const INITIAL_RELATIVE_ERROR: f64 = 0.5;

/// Tokens that were generated, and the seconds that it took, newer drafts counting more.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct GenerationStats {
    /// Tokens by the callers' estimates.
    pub tokens: f64,
    /// Seconds from the first token to the end.
    pub seconds: f64,
    /// Squares of the estimates that could be compared with what was generated.
    pub squared_estimates: f64,
    /// Squares of what these were wrong by.
    pub squared_errors: f64,
}

impl GenerationStats {
    /// Takes a draft in that has ended, at so many tokens a second by what was known before; zero when
    /// nothing was.
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

    /// Both together; what makes no sense is left out.
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

    /// How far estimates are off, as a part of them.
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

    /// Tokens a second for one draft; zero until one has ended, so that drafts count as if they had
    /// just begun.
    #[must_use]
    pub fn tokens_per_second(&self) -> f64 {
        if self.seconds <= 0.0 {
            return 0.0;
        }
        (self.tokens / self.seconds)
            .clamp(PLAUSIBLE_TOKENS_PER_SECOND.0, PLAUSIBLE_TOKENS_PER_SECOND.1)
    }
}
