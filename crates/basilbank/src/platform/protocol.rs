//! The platform's JSON.

use basilbank_wire::{Document, VmRecord};
use serde::Deserialize;

/// `GET /v1/range` and `GET /v1/watch`
#[derive(Deserialize, Debug)]
pub struct Changes {
    /// The revision that the documents apply to; 0 when they are the whole.
    #[serde(default)]
    pub after: u64,
    /// The revision afterwards.
    pub revision: u64,
    /// The documents.
    #[serde(default)]
    pub documents: Vec<DocumentRow>,
}

/// One document.
#[derive(Deserialize, Debug)]
pub struct DocumentRow {
    key: String,
    text: Option<String>,
    #[serde(default)]
    revision: u64,
}

impl From<DocumentRow> for Document {
    fn from(row: DocumentRow) -> Document {
        Document { key: row.key, text: row.text, revision: row.revision }
    }
}

/// `GET /v1/vms`
#[derive(Deserialize, Debug)]
pub struct VmTable {
    /// The list's revision.
    pub revision: u64,
    /// The VMs.
    pub vms: Vec<VmRow>,
}

/// One VM.
#[derive(Deserialize, Debug)]
pub struct VmRow {
    name: String,
    address: String,
    data_centre: String,
    #[serde(default)]
    leaving: bool,
}

impl From<VmRow> for VmRecord {
    fn from(row: VmRow) -> VmRecord {
        VmRecord {
            name: row.name,
            address: row.address,
            data_centre: row.data_centre,
            leaving: row.leaving,
        }
    }
}
