//! How fast endpoints of a service generate.

use std::time::Duration;

/// Drafts after which a measurement counts half: a change of the traffic or of the engines shows
/// after some tens of drafts of the whole fleet.
const HALF_LIFE: f64 = 16.0;

/// Bounds of a believable pace, in tokens a second for one draft: a large model on a full engine, and a
/// small one alone. A pace beyond them says that the estimates or the clock are wrong.
const BELIEVABLE: (f64, f64) = (1.0, 100_000.0);

/// What is assumed of the estimates until drafts have ended: they are often far off.
const UNKNOWN_ERROR: f64 = 0.5;

/// Tokens that were generated, and the seconds that it took, newer drafts counting more.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Pace {
    /// Tokens by the callers' estimates.
    pub tokens: f64,
    /// Seconds from the first token to the end.
    pub seconds: f64,
    /// Squares of the estimates that could be compared with what was generated.
    pub squares: f64,
    /// Squares of what these were wrong by.
    pub errors: f64,
}

impl Pace {
    /// Takes a draft in that has ended, at so many tokens a second by what was known before; zero when
    /// nothing was.
    pub fn add(&mut self, tokens: u32, took: Duration, pace: f64) {
        let keep = 0.5_f64.powf(1.0 / HALF_LIFE);
        let (tokens, took) = (f64::from(tokens), took.as_secs_f64());
        self.tokens = self.tokens * keep + tokens;
        self.seconds = self.seconds * keep + took;
        if pace != 0.0 {
            let error = tokens - took * pace;
            self.squares = self.squares * keep + tokens * tokens;
            self.errors = self.errors * keep + error * error;
        }
    }

    /// Both together; what makes no sense is left out.
    #[must_use]
    pub fn with(self, other: Pace) -> Pace {
        let sound = |value: f64| value.is_finite() && 0.0 <= value;
        let values = [other.tokens, other.seconds, other.squares, other.errors];
        if !values.into_iter().all(sound) {
            return self;
        }
        Pace {
            tokens: self.tokens + other.tokens,
            seconds: self.seconds + other.seconds,
            squares: self.squares + other.squares,
            errors: self.errors + other.errors,
        }
    }

    /// How far estimates are off, as a part of them.
    #[must_use]
    pub fn error(&self) -> f64 {
        let known = 0.0 < self.squares;
        let error = if known { (self.errors / self.squares).sqrt() } else { UNKNOWN_ERROR };
        error.min(1.0)
    }

    /// Tokens a second for one draft; zero until one has ended, so that drafts count as if they had
    /// just begun.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        if self.seconds <= 0.0 {
            return 0.0;
        }
        (self.tokens / self.seconds).clamp(BELIEVABLE.0, BELIEVABLE.1)
    }
}
