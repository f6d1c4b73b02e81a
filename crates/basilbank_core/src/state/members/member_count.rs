//! Counts of members.

/// Number of members, and of those in contact.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct MemberCount {
    /// Members in contact.
    pub in_contact: usize,
    /// All members.
    pub total: usize,
}

impl MemberCount {
    /// Whether fewer than half of the members are in contact. Exactly half is not a minority: a
    /// fleet in two places of equal size that lose contact continues in both, and the endpoints
    /// decide between two owners.
    #[must_use]
    pub fn is_minority(&self) -> bool {
        self.in_contact * 2 < self.total
    }
}
