//! Results that are counted, where they have no type elsewhere.

/// Why messages were not sent.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Unsent {
    /// The VM is not on the list.
    UnknownVm,
    /// Too many large packets wait.
    Backlog,
    /// The peer could not be reached, or the packet not be written.
    Failed,
}

impl Unsent {
    /// All of them.
    pub const ALL: &[Unsent] = &[Unsent::UnknownVm, Unsent::Backlog, Unsent::Failed];

    /// The stable name, used as metric label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Unsent::UnknownVm => "unknown_vm",
            Unsent::Backlog => "backlog",
            Unsent::Failed => "failed",
        }
    }
}

/// How a read of the platform ended.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum ReadResult {
    /// An answer came.
    Done,
    /// The platform forgot the changes since the revision asked for.
    Compacted,
    /// The platform's budget of calls is used up.
    Limited,
    /// It was not reached, or its answer could not be read.
    Failed,
}

impl ReadResult {
    /// All of them.
    pub const ALL: &[ReadResult] =
        &[ReadResult::Done, ReadResult::Compacted, ReadResult::Limited, ReadResult::Failed];

    /// The stable name, used as metric label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ReadResult::Done => "done",
            ReadResult::Compacted => "compacted",
            ReadResult::Limited => "limited",
            ReadResult::Failed => "failed",
        }
    }
}
