//! Why a packet was dropped.

/// Why a packet was dropped. Each has a counter.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub enum DropReason {
    /// Its seal was made with another key, or its bytes were changed.
    Forged,
    /// Its seal is right, but it can't be decoded.
    Malformed,
    /// It is meant for another VM.
    Misaddressed,
    /// It was seen before, or is too old to tell.
    Replayed,
    /// Its sender has been heard from a later incarnation.
    OldIncarnation,
    /// It is larger than packets may be.
    TooLarge,
    /// The receiver is behind.
    Overload,
}

impl DropReason {
    /// All of them, in order.
    pub const ALL: &[DropReason] = &[
        DropReason::Forged,
        DropReason::Malformed,
        DropReason::Misaddressed,
        DropReason::Replayed,
        DropReason::OldIncarnation,
        DropReason::TooLarge,
        DropReason::Overload,
    ];

    /// The stable name, used as metric label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::Forged => "forged",
            DropReason::Malformed => "malformed",
            DropReason::Misaddressed => "misaddressed",
            DropReason::Replayed => "replayed",
            DropReason::OldIncarnation => "old_incarnation",
            DropReason::TooLarge => "too_large",
            DropReason::Overload => "overload",
        }
    }
}
