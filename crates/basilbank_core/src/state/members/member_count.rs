//! Counts of members.

/// How many members there are, and how many of them are heard.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct MemberCount {
    /// Those that are heard.
    pub in_contact: usize,
    /// All of them.
    pub total: usize,
}

impl MemberCount {
    /// Whether fewer than half are heard. Exactly half is not a minority: a fleet in two equal places
    /// that lose each other goes on in both, and endpoints judge between two stewards.
    #[must_use]
    pub fn is_minority(&self) -> bool {
        self.in_contact * 2 < self.total
    }
}
