//! Counts of members.

/// How many members there are, and how many of them are heard.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Census {
    /// Those that are heard.
    pub heard: usize,
    /// All of them.
    pub of: usize,
}

impl Census {
    /// Whether fewer than half are heard. Exactly half is not a minority: a fleet in two equal places
    /// that lose each other goes on in both, and endpoints judge between two stewards.
    #[must_use]
    pub fn is_minority(&self) -> bool {
        self.heard * 2 < self.of
    }
}
