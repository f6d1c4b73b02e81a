//! Labels of metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// Why.
#[derive(Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet, Debug)]
pub struct Reason {
    /// A stable name.
    pub reason: &'static str,
}

/// How it ended.
#[derive(Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet, Debug)]
pub struct Outcome {
    /// A stable name.
    pub outcome: &'static str,
}

/// A class of service.
#[derive(Clone, PartialEq, Eq, Hash, EncodeLabelSet, Debug)]
pub struct Class {
    /// Its name.
    pub class: String,
}

/// A team.
#[derive(Clone, PartialEq, Eq, Hash, EncodeLabelSet, Debug)]
pub struct Team {
    /// Its name.
    pub team: String,
}

/// A kind of slot.
#[derive(Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet, Debug)]
pub struct Role {
    /// `prefill`, `decode` or `plain`.
    pub role: &'static str,
}

/// A call to the platform.
#[derive(Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet, Debug)]
pub struct PlatformCall {
    /// `range`, `watch` or `vms`.
    pub kind: &'static str,
    /// `ok`, `compacted`, `limited` or `failed`.
    pub result: &'static str,
}

/// Which way.
#[derive(Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet, Debug)]
pub struct Direction {
    /// `in` or `out`.
    pub direction: &'static str,
}

/// Anything else that the core reports.
#[derive(Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet, Debug)]
pub struct Note {
    /// Its stable name.
    pub name: &'static str,
}
