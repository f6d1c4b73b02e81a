//! Reasons for which a packet from a peer is dropped.

/// Reason for which a packet was dropped. Each reason has a counter in the metrics.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub enum DropReason {
    /// The MAC doesn't match: it was made with another key, or the bytes were changed.
    Forged,
    /// The MAC is valid, but the packet can't be decoded; or reading a frame from a stream failed.
    Malformed,
    /// The packet is addressed to another VM.
    Misaddressed,
    /// The packet was received before, or its sequence number is below the replay window, so that a
    /// repetition can't be detected.
    Replayed,
    /// A packet of a later incarnation of the sender was received before.
    OldIncarnation,
    /// The packet is larger than the maximum size.
    TooLarge,
    /// The receiver can't keep up with the packets that arrive.
    Overload,
}

impl DropReason {
    /// All reasons, in the order of their definition.
    pub const ALL: &[DropReason] = &[
        DropReason::Forged,
        DropReason::Malformed,
        DropReason::Misaddressed,
        DropReason::Replayed,
        DropReason::OldIncarnation,
        DropReason::TooLarge,
        DropReason::Overload,
    ];

    /// Returns the stable name, which is used as a metric label.
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
