//! Memory that drafts take at an endpoint, now and until they end.

use std::time::Duration;

/// Part of what a draft has generated that it is expected to generate yet once it is past its caller's
/// estimate. Estimates are right at the median and often off by half; a draft that counted as ended
/// would be given away while it goes on growing.
const OVERDUE: f64 = 0.25;

/// What one call, or all of a peer's calls together, take at an endpoint.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Share {
    /// Calls.
    pub calls: u32,
    /// Tokens of all of them at their ends: to be read at a prefill endpoint, in memory at a decode
    /// endpoint.
    pub tokens: u32,
    /// Those of them that were still to be generated at `since`.
    pub left: u32,
    /// Since when they are generated; `None` before it begins.
    pub since: Option<Duration>,
}

impl Share {
    /// A call that takes no memory.
    #[must_use]
    pub fn plain() -> Share {
        Share { calls: 1, ..Share::default() }
    }

    /// A prompt of so many tokens that is read.
    #[must_use]
    pub fn reading(tokens: u32) -> Share {
        Share { tokens, ..Share::plain() }
    }

    /// A draft with a prompt, which grows while it is generated.
    #[must_use]
    pub fn draft(prompt: u32, output: u32) -> Share {
        Share { tokens: prompt.saturating_add(output), left: output, ..Share::plain() }
    }

    /// Tokens that are still to be generated, at so many a second for each call.
    #[must_use]
    pub fn left(&self, now: Duration, pace: f64) -> f64 {
        let left = f64::from(self.left);
        let Some(since) = self.since else { return left };
        let made = now.saturating_sub(since).as_secs_f64() * pace * f64::from(self.calls);
        (left - made).max(made.min(left) * OVERDUE)
    }
}

/// How drafts of a service grow.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Growth {
    /// Tokens a second that one of them generates; zero while nothing is known, so that each counts as
    /// if it had just begun.
    pub pace: f64,
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
pub fn peak(shares: impl Iterator<Item = Share>, until: f64, now: Duration, growth: Growth) -> f64 {
    let ends = shares.filter(|share| share.calls != 0).map(|share| {
        let left = share.left(now, growth.pace);
        let calls = f64::from(share.calls);
        End { calls, left: left / calls, tokens: f64::from(share.tokens) - left }
    });
    let mut ends: Vec<_> = ends.collect();
    ends.sort_unstable_by(|a, b| b.left.total_cmp(&a.left));
    let (mut calls, mut tokens, mut most, mut squares) = (0.0, 0.0, 0.0_f64, 0.0);
    for end in ends {
        calls += end.calls;
        tokens += end.tokens;
        squares += end.calls * end.left * end.left;
        if end.left <= until {
            most = most.max(tokens + calls * end.left);
        }
    }
    most + growth.margin * squares.sqrt()
}

/// When calls will end, and what they take now.
struct End {
    calls: f64,
    /// Tokens that each of them still generates.
    left: f64,
    tokens: f64,
}
