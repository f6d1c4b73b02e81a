//! The catalogue's documents and the VM list, with their revisions.

mod accepted;
mod fetch;
mod reader;
mod store;

use std::time::Duration;

use basilbank_wire::VmList;

pub use self::{
    accepted::{AcceptedDocuments, CatalogueCheck},
    fetch::{AdvertisedRevision, AdvertisedRevisions, PendingFetch},
    reader::PlatformReader,
    store::{ApplyResult, DocumentStore},
};

/// The catalogue's documents and the VM list, with their revisions and the state of their
/// distribution.
///
/// Two revisions matter: that of the documents, which rises with each change that the platform
/// publishes, and that of the catalogue in force (`State::view`), which rises with each change that
/// was accepted. Neither ever falls.
#[derive(Debug, Default)]
pub struct Documents {
    /// The newest documents.
    pub store: DocumentStore,
    /// The documents of the catalogue in force, as far as they differ from the newest.
    pub accepted: AcceptedDocuments,
    /// The newest VM list.
    pub vms: VmList,
    /// Highest revisions that peers have advertised.
    pub advertised: AdvertisedRevisions,
    /// Request to a peer for documents.
    pub fetch: PendingFetch,
    /// Request to a peer for the VM list.
    pub vms_fetch: PendingFetch,
    /// Reads of the catalogue from the platform.
    pub catalogue_reader: PlatformReader,
    /// Reads of the VM list from the platform.
    pub vms_reader: PlatformReader,
    /// When the platform last confirmed to this daemon or to a peer that the documents are the
    /// newest.
    pub confirmed_at: Option<Duration>,
    /// Whether a new revision has not been reported to peers yet.
    pub unreported: bool,
    /// When a new revision was last reported to peers.
    pub reported_at: Duration,
    /// Full catalogues sent to peers in the current second.
    pub full_transfers: FullTransfers,
    /// Whether the catalogue in force is fresh enough to serve callers.
    pub freshness: Freshness,
}

/// Number of full catalogues sent to peers in one second. It bounds the load that a restart of many
/// daemons puts on one of them.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct FullTransfers {
    /// Start of the current second.
    pub second_start: Duration,
    /// Full catalogues sent in this second.
    pub sent: u32,
}

/// Whether the catalogue in force may be older than the one that peers have had for a long time.
///
/// A daemon that was just started or resumed after a pause may hold a catalogue that all others
/// have replaced. A caller whose key was revoked minutes ago would then still be served. So the
/// daemon serves no new callers until it has heard from its peers, or knows that it can't reach
/// them.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Freshness {
    /// Whether callers may be served.
    pub is_fresh: bool,
    /// When the daemon stops waiting for peers and serves callers with the catalogue that it has;
    /// `None` before the VM list is known.
    pub peer_deadline: Option<Duration>,
}
