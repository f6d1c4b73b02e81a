//! Endpoints as they are discovered. An endpoint is one incarnation of a server process, never an
//! address.

use std::{fmt, net::SocketAddr, num::NonZeroU32};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::topic::ItemRevisions;

slotmap::new_key_type! {
    /// Identifies one endpoint. Keys are never reused: when an address is used again, the endpoint
    /// there has another key.
    pub struct EndpointKey;
}

/// The work that an endpoint does for completions.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Stage {
    /// The endpoint reads prompts.
    Prefill,
    /// The endpoint generates tokens.
    Decode,
}

impl Stage {
    /// Returns the stable name, for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Prefill => "prefill",
            Stage::Decode => "decode",
        }
    }
}

/// One endpoint record of the store's list.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EndpointInfo {
    /// The instance's id. An instance may restart under the same id.
    pub instance: String,
    /// Start time of this incarnation, in milliseconds since the Unix epoch; `None` if the record
    /// doesn't state it.
    pub start_time: Option<u64>,
    /// The service that the endpoint serves.
    pub service: String,
    /// The address at which it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is shutting down and takes no new work.
    pub draining: bool,
    /// Its stage; `None` for plain services.
    pub stage: Option<Stage>,
    /// The version of its software, not of the model's weights.
    pub version: String,
    /// When the record was written, by the store's revisions.
    pub revisions: ItemRevisions,
    /// Number of heartbeats that the endpoint had sent by the record's last change.
    pub heartbeats: u64,
}

/// Identifies a version of the software of a service's endpoints. What two versions write, events
/// of one stream or KV caches, doesn't fit together.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct SoftwareVersion(NonZeroU32);

impl SoftwareVersion {
    /// Stands for one of several versions. No endpoint has it.
    pub const UNKNOWN: SoftwareVersion = SoftwareVersion(NonZeroU32::MAX);

    /// Returns the version as it is sent between daemons.
    #[must_use]
    pub fn to_wire(self) -> u32 {
        self.0.get()
    }

    /// Reads a version that a daemon sent; 0 is none.
    #[must_use]
    pub fn from_wire(wire: u32) -> Option<SoftwareVersion> {
        NonZeroU32::new(wire).map(SoftwareVersion)
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// How the incarnation in a record relates to the known incarnation of the same instance.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StartOrder {
    /// The record is of the known incarnation.
    Same,
    /// The record is of an earlier incarnation.
    Earlier,
    /// The record is of a later incarnation.
    Later,
    /// The record is of another incarnation, and doesn't show which one started first.
    Different,
}

impl EndpointInfo {
    /// Returns the version of the endpoint's software. Equally named versions of two services differ.
    #[must_use]
    pub fn software_version(&self) -> SoftwareVersion {
        let service = xxh3_64(self.service.as_bytes());
        let hash = xxh3_64_with_seed(self.version.as_bytes(), service) as u32;
        SoftwareVersion(NonZeroU32::new(hash).unwrap_or(NonZeroU32::MIN))
    }

    /// Returns whether the endpoint's software has a version, or no version is asked for.
    #[must_use]
    pub fn has_version(&self, version: Option<SoftwareVersion>) -> bool {
        version.is_none_or(|version| self.software_version() == version)
    }

    /// Compares the incarnation in `record` with this one.
    ///
    /// An incarnation serves one service with one version for its whole life, and states its start time
    /// in all of its records or in none. So a record that newly states a start time belongs to another
    /// incarnation: taking it for the same one would keep holds that may belong to other calls by now,
    /// while the opposite mistake costs reading some prompts again, once. A record without a start time
    /// says nothing about the incarnation and counts as the known one, unless the address or the
    /// version differs.
    #[must_use]
    pub fn compare_start(&self, record: &EndpointInfo) -> StartOrder {
        match (self.start_time, record.start_time) {
            (Some(known), Some(stated)) if stated < known => StartOrder::Earlier,
            (Some(known), Some(stated)) if known < stated => StartOrder::Later,
            (None, Some(_)) => StartOrder::Different,
            (Some(_), None) if self.addr != record.addr => StartOrder::Different,
            _ if self.service != record.service => StartOrder::Different,
            _ if self.version != record.version => StartOrder::Different,
            _ => StartOrder::Same,
        }
    }
}
