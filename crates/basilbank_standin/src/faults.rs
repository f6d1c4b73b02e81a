//! Switches that make an engine or a plain service fail.

use std::time::Duration;

/// What goes wrong at a stand-in. The default is a healthy one.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Faults {
    /// Connections are accepted, calls are not answered, and no tokens are generated.
    pub stall: bool,
    /// Streams stop after this many tokens, without an end.
    pub stall_after: Option<u32>,
    /// Transfers of KV caches to this decode engine make no progress.
    pub stall_import: bool,
    /// Answers to prefills, decodes and plain calls come this much later than the work is done.
    pub late: Duration,
    /// Each line of a stream is sent twice.
    pub doubled: bool,
    /// The token at this offset is never sent.
    pub lose: Option<usize>,
    /// KV caches are evicted at once.
    pub evict: bool,
    /// Orders with an old fencing number are taken.
    pub ignore_fence: bool,
    /// New work is refused: not run, leaving.
    pub leaving: bool,
    /// New work is refused: not run, full.
    pub full: bool,
    /// Plain calls are run, and then their connection is dropped without an answer.
    pub drop_answer: bool,
}

impl Faults {
    /// Whether a stream that has `made` tokens generates no more for now.
    pub(crate) fn stops(&self, made: u32) -> bool {
        self.stall || self.stall_after.is_some_and(|after| after <= made)
    }
}
