//! The catalogue's documents and the VM list, with their revisions.

use basilbank_wire::VmList;

/// The catalogue's documents and the VM list, with their revisions.
#[derive(Debug, Default)]
pub struct Documents {
    /// The VM list.
    pub vms: VmList,
}
