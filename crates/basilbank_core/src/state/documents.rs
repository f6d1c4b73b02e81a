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

/// The catalogue's documents and the VM list, with their revisions, and how far they have spread.
///
/// Two revisions count: that of the documents, which goes on with each change that the platform
/// publishes, and that of the catalogue in force (`State::view`), which goes on with each change
/// that was accepted. Both only rise.
#[derive(Debug, Default)]
pub struct Documents {
    /// The documents.
    pub store: DocumentStore,
    /// The documents of the catalogue in force, where they differ.
    pub accepted: AcceptedDocuments,
    /// The VM list.
    pub vms: VmList,
    /// The highest revisions that peers have shown.
    pub advertised: AdvertisedRevisions,
    /// Documents asked for at a peer.
    pub fetch: PendingFetch,
    /// The VM list asked for at a peer.
    pub vms_fetch: PendingFetch,
    /// Reads of the catalogue from the platform.
    pub catalogue_reader: PlatformReader,
    /// Reads of the VM list from the platform.
    pub vms_reader: PlatformReader,
    /// When the platform last confirmed, here or elsewhere, that the documents are the newest.
    pub confirmed_at: Option<Duration>,
    /// New revisions are still to be told to peers.
    pub unreported: bool,
    /// When peers were last told of new revisions.
    pub reported_at: Duration,
    /// Whole catalogues sent to peers within the second that starts here.
    pub full_transfers: FullTransfers,
    /// Whether callers may be served by the catalogue in force.
    pub freshness: Freshness,
}

/// Whole catalogues sent to peers, to bound what a mass restart costs one daemon.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct FullTransfers {
    /// When the current second began.
    pub second_start: Duration,
    /// Whole catalogues in it.
    pub sent: u32,
}

/// Whether the catalogue in force may be older than what peers had long ago.
///
/// A daemon that was just started, or slept, may hold a catalogue that all others have left behind.
/// It would show in a caller whose key was withdrawn minutes ago and is served all the same. So it
/// serves nobody new until it has heard its peers, or knows that it can't.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Freshness {
    /// Callers may be served.
    pub is_fresh: bool,
    /// Without news from peers until this moment it goes by what it has; `None` before the VM list
    /// is known.
    pub peer_deadline: Option<Duration>,
}
