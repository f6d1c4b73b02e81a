//! The catalogue and the VM list, passed on between daemons.

/// Asks a peer for documents.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FetchCatalogue {
    /// The revision that the sender has.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// It wants the whole of the catalogue in force at the receiver, because it has the newest
    /// documents and they were rejected.
    #[prost(bool, tag = "2")]
    pub accepted: bool,
}

/// Documents that changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CatalogueDelta {
    /// The revision that the receiver must have; 0 when the delta is the whole.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// The revision that the receiver has afterwards.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The documents.
    #[prost(message, repeated, tag = "3")]
    pub documents: Vec<Document>,
}

/// One document of the catalogue, as the platform holds it.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Document {
    /// The platform's key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The text; `None` when the document was removed.
    #[prost(string, optional, tag = "2")]
    pub text: Option<String>,
    /// The platform's revision at the document's last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// Asks a peer for the VM list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FetchVms {
    /// The revision that the sender has.
    #[prost(uint64, tag = "1")]
    pub after: u64,
}

/// The VM list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VmList {
    /// The platform's revision of the list.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The VMs.
    #[prost(message, repeated, tag = "2")]
    pub vms: Vec<VmRecord>,
}

/// One VM of the system, as the platform lists it.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct VmRecord {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Where its daemon hears peers, `ip:port`; UDP and TCP use the same number.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// The platform is about to take it away.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
}
