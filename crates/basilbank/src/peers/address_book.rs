//! Where peers are.

use std::{collections::HashMap, net::SocketAddr};

use basilbank_core::ids::VmId;
use basilbank_wire::{VmList, VmRecord};

use crate::logs::Line;

/// Peers' addresses, from the VM list that the core goes by.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct AddressBook {
    revision: u64,
    addresses: HashMap<VmId, SocketAddr>,
}

impl AddressBook {
    /// Takes a VM list over if it is another one than last time. `true` if it is.
    pub fn learn(&mut self, list: &VmList) -> bool {
        if list.revision == self.revision {
            return false;
        }
        self.revision = list.revision;
        self.addresses = list.vms.iter().filter_map(entry).collect();
        true
    }

    /// Where a VM is.
    #[must_use]
    pub fn get(&self, vm: VmId) -> Option<SocketAddr> {
        self.addresses.get(&vm).copied()
    }
}

fn entry(vm: &VmRecord) -> Option<(VmId, SocketAddr)> {
    match vm.address.parse() {
        Ok(address) => Some((VmId::of(&vm.name), address)),
        Err(_) => {
            let line = Line::new("vm_address_invalid");
            log::warn!("{}", line.with("vm", &vm.name).with("address", &vm.address));
            None
        }
    }
}
