//! Distribution of the catalogue and the VM list between daemons.

/// Asks a peer for documents of the catalogue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FetchCatalogue {
    /// The revision that the sender has.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// Whether the sender wants all documents of the catalogue in force at the receiver, because it
    /// has the newest documents and they were rejected.
    #[prost(bool, tag = "2")]
    pub accepted: bool,
}

/// The documents that changed between two revisions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CatalogueDelta {
    /// The revision that the receiver must have; 0 if all documents are included.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// The revision that the receiver has after it applied the documents.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The changed documents.
    #[prost(message, repeated, tag = "3")]
    pub documents: Vec<Document>,
}

/// One document of the catalogue, as the platform stores it.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Document {
    /// Key of the document at the platform.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Text of the document; `None` if it was removed.
    #[prost(string, optional, tag = "2")]
    pub text: Option<String>,
    /// The platform's revision of the document's last change.
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
    /// Address at which its daemon receives peers' messages, `ip:port`; UDP and TCP use the same
    /// port.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Whether the platform is about to remove it.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
}
