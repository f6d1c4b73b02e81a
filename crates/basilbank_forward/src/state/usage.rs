//! Memory that drafts take at an endpoint, now and until they end.

use std::time::Duration;

/// Part of what a draft has generated that it is expected to generate yet once it is past its caller's
/// estimate. Estimates are right at the median and often off by half; a draft that counted as ended
/// would be given away while it goes on growing.
const OVERDUE_FRACTION: f64 = 0.25;

/// What one call, or all of a peer's calls together, take at an endpoint.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Usage {
    /// Calls.
    pub calls: u32,
    /// Tokens of all of them at their ends: to be read at a prefill endpoint, in memory at a decode
    /// endpoint.
    pub tokens: u32,
    /// Those of them that were still to be generated at `since`.
    pub tokens_left: u32,
    /// Since when they are generated; `None` before it begins.
    pub generating_since: Option<Duration>,
}

impl Usage {
    /// A call that takes no memory.
    #[must_use]
    pub fn plain() -> Usage {
        Usage { calls: 1, ..Usage::default() }
    }

    /// A prompt of so many tokens that is read.
    #[must_use]
    pub fn prefill(tokens: u32) -> Usage {
        Usage { tokens, ..Usage::plain() }
    }

    /// A draft with a prompt, which grows while it is generated.
    #[must_use]
    pub fn completion(prompt: u32, output: u32) -> Usage {
        Usage { tokens: prompt.saturating_add(output), tokens_left: output, ..Usage::plain() }
    }

    /// Tokens that are still to be generated, at so many a second for each call.
    #[must_use]
    pub fn tokens_left(&self, now: Duration, rate: f64) -> f64 {
        let left = f64::from(self.tokens_left);
        let Some(since) = self.generating_since else { return left };
        let generated = now.saturating_sub(since).as_secs_f64() * rate * f64::from(self.calls);
        (left - generated).max(generated.min(left) * OVERDUE_FRACTION)
    }
}

/// How drafts of a service grow.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Growth {
    /// Tokens a second that one of them generates; zero while nothing is known, so that each counts as
    /// if it had just begun.
    pub rate: f64,
    /// Room that is kept for wrong estimates, as a part of what a draft is still expected to generate.
    pub margin: f64,
}

/// The most tokens that these drafts will have in memory at once, until each call has generated so
/// many more tokens and if no other comes.
///
/// A draft takes its prompt at first and grows until it ends. To count each at its end keeps memory
/// idle where answers are long, since drafts are at all stages; to count each as it is now gives the
/// same memory to several when many have begun together. All generate equally fast, so time is
/// counted in tokens: the memory is fullest just before one of them ends.
///
/// Estimates are wrong either way, and for each draft by itself, so the room that is kept for that is the
/// root of the squares' sum. Where prompts are long and answers short it is next to nothing.
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

/// When calls will end, and what they take now.
struct End {
    calls: f64,
    /// Tokens that each of them still generates.
    left_per_call: f64,
    tokens: f64,
}
