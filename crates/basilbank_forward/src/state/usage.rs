//! Memory that completions take at an endpoint, now and until they end.

use std::time::Duration;

/// Expected further length of a completion that has exceeded its caller's estimate, as a fraction
/// of what it has generated. Estimates are right at the median and often off by half. If such a
/// completion counted as ended, its memory would be given away while it continues to grow.
const OVERDUE_FRACTION: f64 = 0.25;

/// Usage of an endpoint by one call, or by all of a peer's calls together.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Usage {
    /// Number of calls.
    pub calls: u32,
    /// Tokens of all calls at their ends: those to be read at a prefill endpoint, those in memory
    /// at a decode endpoint.
    pub tokens: u32,
    /// Number of the tokens that were still to be generated at `generating_since`.
    pub tokens_left: u32,
    /// Since when tokens are generated; `None` before generation starts.
    pub generating_since: Option<Duration>,
}

impl Usage {
    /// Returns the usage of a call that takes no memory.
    #[must_use]
    pub fn plain() -> Usage {
        Usage { calls: 1, ..Usage::default() }
    }

    /// Returns the usage of reading a prompt with this number of tokens.
    #[must_use]
    pub fn prefill(tokens: u32) -> Usage {
        Usage { tokens, ..Usage::plain() }
    }

    /// Returns the usage of a completion, given the tokens of its prompt and of its output.
    #[must_use]
    pub fn completion(prompt: u32, output: u32) -> Usage {
        Usage { tokens: prompt.saturating_add(output), tokens_left: output, ..Usage::plain() }
    }

    /// Returns the number of tokens that are still to be generated, at `rate` tokens per second for
    /// each call.
    #[must_use]
    pub fn tokens_left(&self, now: Duration, rate: f64) -> f64 {
        let left = f64::from(self.tokens_left);
        let Some(since) = self.generating_since else { return left };
        let generated = now.saturating_sub(since).as_secs_f64() * rate * f64::from(self.calls);
        (left - generated).max(generated.min(left) * OVERDUE_FRACTION)
    }
}

/// How a service's completions grow.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Growth {
    /// Tokens per second that one completion generates; zero while it isn't known, so that each
    /// completion counts as if it had just started.
    pub rate: f64,
    /// Memory that is kept free for wrong estimates, as a fraction of what a completion is still
    /// expected to generate.
    pub margin: f64,
}

/// Returns the maximum number of tokens that these completions will have in memory at once until
/// each call has generated `until` more tokens, if no other completion is added.
///
/// A completion starts with its prompt and grows until it ends. Counting each completion at its
/// final size would leave memory idle where answers are long, since completions are at all stages.
/// Counting each at its current size would give the same memory to several when many have started
/// together. All completions generate at the same rate, so time is counted in tokens: memory use
/// peaks just before one of them ends.
///
/// The errors of the estimates are independent and go either way, so the memory that is kept free
/// for them is the root of the sum of the squares. Where prompts are long and answers short it is
/// almost nothing.
#[must_use]
pub fn peak_tokens(
    usages: impl Iterator<Item = Usage>,
    until: f64,
    now: Duration,
    growth: Growth,
) -> f64 {
    let ends = usages.filter(|usage| usage.calls != 0).map(|usage| {
        let left = usage.tokens_left(now, growth.rate);
        let calls = f64::from(usage.calls);
        End { calls, left_per_call: left / calls, tokens: f64::from(usage.tokens) - left }
    });
    let mut ends: Vec<_> = ends.collect();
    ends.sort_unstable_by(|a, b| b.left_per_call.total_cmp(&a.left_per_call));
    let (mut calls, mut tokens, mut max, mut squares) = (0.0, 0.0, 0.0_f64, 0.0);
    for end in ends {
        calls += end.calls;
        tokens += end.tokens;
        squares += end.calls * end.left_per_call * end.left_per_call;
        if end.left_per_call <= until {
            max = max.max(tokens + calls * end.left_per_call);
        }
    }
    max + growth.margin * squares.sqrt()
}

/// The end of some calls, and their current usage.
struct End {
    calls: f64,
    /// Tokens that each call still generates.
    left_per_call: f64,
    /// Tokens that the calls have in memory now.
    tokens: f64,
}
